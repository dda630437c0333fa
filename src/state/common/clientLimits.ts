/**
 * Limits on what clients may cost a process, as settings, and their defaults from what the process may use.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

const optionalInteger = (minimum: number, maximum: number) =>
  Schema.optionalKey(units.integerBetween(minimum, maximum));

const GB = 1_073_741_824;
const HOUR_MS = 3_600_000;

/** Settings of the limits; each that is absent has a default. */
export const ClientLimitSettings = Schema.Struct({
  /** Connections of all ports together. */
  maxConnections: optionalInteger(8, 100_000),
  /** Bytes outside the heap that are held for clients: received data, bodies and unread answers of all ports. */
  maxBufferedBytes: optionalInteger(65_536, 16 * GB),
  /** Requests that are worked on at the same time, at all ports. */
  maxHandledRequests: optionalInteger(1, 1_000_000),
  /** Time in which a head has to arrive, from its first byte. */
  headTimeoutMs: optionalInteger(100, HOUR_MS),
  /** Time in which a body has to arrive; a later deadline that its caller announces counts instead. */
  bodyTimeoutMs: optionalInteger(100, HOUR_MS),
  /** Time in which an answer has to be read, besides what its length takes at the lowest rate. */
  answerTimeoutMs: optionalInteger(100, HOUR_MS),
  /** Lowest rate at which a client may read an answer. */
  minAnswerBytesPerS: optionalInteger(1, GB),
  /** Time after which a connection without a request is closed. */
  idleTimeoutMs: optionalInteger(100, HOUR_MS),
  /** Requests that one connection may send ahead of its answers, for each second and at once. */
  maxAheadPerS: optionalInteger(1, 100_000),
  /** Log lines about requests that are refused, for each second and reason to refuse. */
  maxRefusalLinesPerS: optionalInteger(1, 10_000),
  /** Calls of one customer that read from the store, for each second at one entry. */
  maxCustomerReadsPerS: optionalInteger(1, 1_000_000),
  /** Calls of one customer that write to the store, for each second at one entry. */
  maxCustomerWritesPerS: optionalInteger(1, 1_000_000),
});

/** See {@link ClientLimitSettings}. */
export type ClientLimitSettings = typeof ClientLimitSettings.Type;

/** The limits in force. */
export type ClientLimits = Required<ClientLimitSettings>;

/** What a process may use. */
export interface ProcessBudget {
  /** Largest heap. */
  readonly heapBytes: number;
  /** All memory of the process; absent where nobody limits it. */
  readonly memoryBytes?: number;
  /** Descriptors of the process; absent where nobody limits them. */
  readonly maxDescriptors?: number;
  /** Calls that the store takes from all processes together; absent where nobody limits them. */
  readonly storeReadsPerS?: number;
  /** See {@link storeReadsPerS}. */
  readonly storeWritesPerS?: number;
}

/** Heap that an open connection takes: a socket, a parser and the state of both. */
const CONNECTION_HEAP_BYTES = 20_480;

/** Heap that a request takes while it waits for the store: its head, its decoded body and the call. */
const REQUEST_HEAP_BYTES = 16_384;

/** Part of the heap for connections, and the same for requests; the rest carries the work itself. */
const HEAP_SHARE = 0.25;

/** Memory of the runtime outside the heap, before the first connection. */
const RUNTIME_BYTES = 68_157_440;

/** Received pieces that were used and not collected yet; the runtime collects when it has this much of them. */
const UNCOLLECTED_BYTES = 67_108_864;

/** Part of the rest for buffers. */
const BUFFER_SHARE = 0.75;

/** Descriptors that the platform keeps for files, and those of the connections that the process opens itself. */
const OTHER_DESCRIPTORS = 296;

const MIN_BUFFERED_BYTES = 4_194_304;
const DEFAULT_BUFFERED_BYTES = 67_108_864;
const MAX_CONNECTIONS = 16_384;
const MIN_CONNECTIONS = 32;

/** Part of the store's calls that one customer may use up at one entry. */
const STORE_SHARE = 0.25;

const connectionsOf = ({ heapBytes, maxDescriptors = Infinity }: ProcessBudget): number => {
  const byHeap = Math.floor((heapBytes * HEAP_SHARE) / CONNECTION_HEAP_BYTES);
  const most = Math.min(MAX_CONNECTIONS, byHeap, maxDescriptors - OTHER_DESCRIPTORS);
  return Math.max(MIN_CONNECTIONS, most);
};

const bufferedBytesOf = ({ heapBytes, memoryBytes }: ProcessBudget): number => {
  if (memoryBytes === undefined) return DEFAULT_BUFFERED_BYTES;
  const free = memoryBytes - heapBytes - RUNTIME_BYTES - UNCOLLECTED_BYTES;
  return Math.max(MIN_BUFFERED_BYTES, Math.floor(free * BUFFER_SHARE));
};

const storeShareOf = (callsPerS: number | undefined): number =>
  callsPerS === undefined ? 1_000_000 : Math.max(1, Math.floor(callsPerS * STORE_SHARE));

/**
 * @param budget - what the process may use
 * @param settings - limits that are set; they go before the defaults
 * @returns the limits in force
 */
export const deriveClientLimits = (
  budget: ProcessBudget,
  settings: ClientLimitSettings = {},
): ClientLimits => ({
  maxConnections: connectionsOf(budget),
  maxBufferedBytes: bufferedBytesOf(budget),
  maxHandledRequests: Math.max(
    MIN_CONNECTIONS,
    Math.floor((budget.heapBytes * HEAP_SHARE) / REQUEST_HEAP_BYTES),
  ),
  headTimeoutMs: 10_000,
  bodyTimeoutMs: 60_000,
  answerTimeoutMs: 30_000,
  minAnswerBytesPerS: 1024,
  idleTimeoutMs: 65_000,
  maxAheadPerS: 100,
  maxRefusalLinesPerS: 20,
  maxCustomerReadsPerS: storeShareOf(budget.storeReadsPerS),
  maxCustomerWritesPerS: storeShareOf(budget.storeWritesPerS),
  ...settings,
});
