/**
 * What an agent remembers of requests, so that none runs twice and none is lost with a connection.
 *
 * Guards against: a request repeated because its connection went silent (it attaches to the first
 * run or gets its answer); a request that arrives after the entry was told that it did not run (it
 * was tombstoned); an answer that is lost on its way (it is kept and can be taken again).
 */
import type * as errors from '../../base/common/errors.js';
import type * as exchange from './exchange.js';

/** How a request ended: the upstream's whole answer, or an error of a known kind. */
export type Outcome =
  | { readonly type: 'answer'; readonly answer: exchange.Answer }
  | { readonly type: 'error'; readonly error: errors.ErrorBody };

/** What is known of one request. */
export type OutcomeEntry =
  | { readonly type: 'running' }
  | { readonly type: 'ended'; readonly outcome: Outcome; readonly untilMs: number }
  | { readonly type: 'tombstoned'; readonly untilMs: number };

/** All requests that the agent remembers, by customer and request id. */
export type OutcomeTable = ReadonlyMap<string, OutcomeEntry>;

/** How long ends and tombstones are kept: longer than any entry asks for them. */
export const OUTCOME_MEMORY_MS = 120_000;

/**
 * @param customerId - who sent the request
 * @param requestId - the id that the customer or the entry gave it
 * @returns the key: customers can't see each other's requests
 */
export const outcomeKey = (customerId: string, requestId: string): string =>
  `${customerId}/${requestId}`;

/** What is to be done with a request that arrives. */
export type Arrival =
  /** It is new: run it. */
  | { readonly type: 'run' }
  /** It runs: wait for its end. */
  | { readonly type: 'attach' }
  | { readonly type: 'replay'; readonly outcome: Outcome }
  /** It never ran here and never will. */
  | { readonly type: 'neverRan' };

/** The table after a request arrived. */
export interface ArrivalStep {
  readonly next: OutcomeTable;
  readonly arrival: Arrival;
}

/**
 * @param table - what the agent remembers
 * @param key - see {@link outcomeKey}
 * @param mode - whether the request may be started
 * @param nowMs - monotonic time
 * @returns the table with the request in it, and what to do
 */
export const arrive = (
  table: OutcomeTable,
  key: string,
  mode: exchange.ExchangeMode,
  nowMs: number,
): ArrivalStep => {
  const known = table.get(key);
  if (known?.type === 'running') return { next: table, arrival: { type: 'attach' } };
  if (known?.type === 'ended') {
    return { next: table, arrival: { type: 'replay', outcome: known.outcome } };
  }
  if (known?.type === 'tombstoned') return { next: table, arrival: { type: 'neverRan' } };
  const entry: OutcomeEntry =
    mode === 'run'
      ? { type: 'running' }
      : { type: 'tombstoned', untilMs: nowMs + OUTCOME_MEMORY_MS };
  const next = new Map(table).set(key, entry);
  return { next, arrival: { type: mode === 'run' ? 'run' : 'neverRan' } };
};

/**
 * @param table - what the agent remembers
 * @param key - a running request
 * @param outcome - how it ended
 * @param nowMs - monotonic time
 * @returns the table with the end in it; a refusal is not kept, so that the same request may come
 *   again when there is room
 */
export const end = (
  table: OutcomeTable,
  key: string,
  outcome: Outcome,
  nowMs: number,
): OutcomeTable => {
  const next = new Map(table);
  const neverRan = outcome.type === 'error' && outcome.error.ran === 'no';
  if (neverRan) next.delete(key);
  else next.set(key, { type: 'ended', outcome, untilMs: nowMs + OUTCOME_MEMORY_MS });
  return next;
};

/**
 * @param table - what the agent remembers
 * @param nowMs - monotonic time
 * @returns the table without ends and tombstones whose time is over
 */
export const expire = (table: OutcomeTable, nowMs: number): OutcomeTable => {
  const kept = [...table].filter(([, it]) => it.type === 'running' || it.untilMs > nowMs);
  return kept.length === table.size ? table : new Map(kept);
};
