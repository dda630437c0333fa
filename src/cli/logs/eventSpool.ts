/**
 * Stores the events of many jobs in compressed blocks until the end of the log and returns them job by job. Log
 * lines come in any order, so no job is known to be complete before the end.
 */
import * as zlib from 'node:zlib';

import type * as logLines from './logLines.js';
import * as ownText from './ownText.js';

/** Jobs are hashed into this many partitions; only one partition is decompressed at a time. */
const PARTITIONS = 256;

/** Large enough to compress repeated content well, small enough to hold one open block for each partition. */
const BLOCK_BYTES = 32_768;

/** The fastest level is sufficient, since the lines of a partition are similar. */
const COMPRESSION = { level: 1 };

const TIME_RADIX = 36;

/** Fields that an event holds separately or that no command reads. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set(['at', 'event', 'role', 'node', 'level']);

/** Which events and fields a spool stores. */
export interface SpoolOptions {
  /** Maximum number of events of one job; the first ones added are kept. */
  readonly maxJobEvents: number;
  /** Maximum total length of the encoded events of one job. */
  readonly maxJobCharacters: number;
  /** Names of the fields to store; all by default. */
  readonly fields?: ReadonlySet<string>;
}

/** Events of the jobs whose ids have the same hash. */
interface Partition {
  readonly blocks: Buffer[];
  /** The block being written: a buffer, since a string built by appending takes several times the memory. */
  open: Buffer | undefined;
  openBytes: number;
  lastJobId: string;
  lastAtMs: number;
}

const createPartition = (): Partition => ({
  blocks: [],
  open: undefined,
  openBytes: 0,
  lastJobId: '',
  lastAtMs: 0,
});

/** Matches a value that needs escaping in a column. */
// eslint-disable-next-line no-control-regex -- tabs separate columns and line feeds separate events
const SPECIAL = /^["~]|[\u0000-\u001f]/;

const encodeText = (text: string): string => (SPECIAL.test(text) ? JSON.stringify(text) : text);

const decodeText = (text: string): string =>
  text.startsWith('"') ? (JSON.parse(text) as string) : text;

/** Replaces a leading job id by `~`, since most values of a job's events start with it. */
const encodeValue = (value: string, jobId: string): string =>
  value.startsWith(jobId) ? `~${encodeText(value.slice(jobId.length))}` : encodeText(value);

const decodeValue = (text: string, jobId: string): string =>
  text.startsWith('~') ? jobId + decodeText(text.slice(1)) : decodeText(text);

/** Encodes an event without its job and time as columns separated by tabs. */
const encode = (
  jobId: string,
  { event, role, node, fields }: logLines.LogEvent,
  names: ReadonlySet<string> | undefined,
): string => {
  let text = [event, role, node].map(encodeText).join('\t');
  for (const [name, value] of fields) {
    const isStored = names?.has(name) ?? !OMITTED_FIELDS.has(name);
    if (isStored) text += `\t${name}=${encodeValue(value, jobId)}`;
  }
  return text;
};

const decode = (jobId: string, atMs: number, text: string): logLines.LogEvent => {
  const [event = '', role = '', node = '', ...pairs] = text.split('\t');
  const fields = new Map<string, string>();
  for (const pair of pairs) {
    const at = pair.indexOf('=');
    fields.set(pair.slice(0, at), decodeValue(pair.slice(at + 1), jobId));
  }
  return {
    atMs,
    event: decodeText(event),
    role: decodeText(role),
    node: decodeText(node),
    fields,
  };
};

// Copied, since the result of zlib is a view of a larger buffer.
const compress = (block: Uint8Array): Buffer =>
  Buffer.from(zlib.deflateRawSync(block, COMPRESSION));

const seal = (partition: Partition): void => {
  if (partition.openBytes > 0 && partition.open !== undefined) {
    partition.blocks.push(compress(partition.open.subarray(0, partition.openBytes)));
  }
  partition.openBytes = 0;
  partition.lastJobId = '';
  partition.lastAtMs = 0;
};

/** Prefixes an event with its job (empty if unchanged) and its time (as the difference to the previous event). */
const toLine = (
  { lastJobId, lastAtMs }: Partition,
  jobId: string,
  atMs: number,
  text: string,
): string =>
  `${jobId === lastJobId ? '' : encodeText(jobId)}\t${(atMs - lastAtMs).toString(TIME_RADIX)}\t${text}\n`;

const append = (partition: Partition, jobId: string, atMs: number, text: string): void => {
  let line = toLine(partition, jobId, atMs, text);
  if (partition.openBytes + Buffer.byteLength(line) > BLOCK_BYTES) {
    seal(partition);
    line = toLine(partition, jobId, atMs, text);
  }
  if (Buffer.byteLength(line) > BLOCK_BYTES) {
    partition.blocks.push(compress(Buffer.from(line)));
    return;
  }
  partition.open ??= Buffer.alloc(BLOCK_BYTES);
  partition.openBytes += partition.open.write(line, partition.openBytes);
  partition.lastJobId = jobId;
  partition.lastAtMs = atMs;
};

/** Passes on the events of a block in the order in which they were appended. */
const readBlock = (
  block: Buffer,
  onEvent: (jobId: string, atMs: number, text: string) => void,
): void => {
  let jobId = '';
  let atMs = 0;
  for (const line of zlib.inflateRawSync(block).toString('utf8').split('\n')) {
    const timeFrom = line.indexOf('\t') + 1;
    const textFrom = line.indexOf('\t', timeFrom) + 1;
    if (timeFrom > 1) jobId = ownText.copySubstring(decodeText(line.slice(0, timeFrom - 1)));
    if (textFrom > 0) {
      atMs += parseInt(line.slice(timeFrom, textFrom - 1), TIME_RADIX);
      onEvent(jobId, atMs, line.slice(textFrom));
    }
  }
};

const partitionIndex = (jobId: string): number => {
  let hash = 0;
  for (let index = 0; index < jobId.length; index += 1) {
    hash = (Math.imul(hash, 31) + jobId.charCodeAt(index)) % 2 ** 31;
  }
  return Math.abs(hash) % PARTITIONS;
};

/** The encoded events of one job, with their times. */
interface StoredEvents {
  characters: number;
  readonly texts: string[];
  readonly timesMs: number[];
}

const eventsInOrder = function* eventsInOrder(
  jobId: string,
  { texts, timesMs }: StoredEvents,
): Generator<logLines.LogEvent> {
  const order = timesMs.map((_, index) => index);
  order.sort((a, b) => (timesMs[a] ?? 0) - (timesMs[b] ?? 0));
  for (const index of order) yield decode(jobId, timesMs[index] ?? 0, texts[index] ?? '');
};

/** The events of a job. */
export interface JobEvents {
  readonly jobId: string;
  /** Sorted by time; can be iterated once. */
  readonly events: Iterable<logLines.LogEvent>;
}

/** Stores events until the end of the log. */
export interface EventSpool {
  readonly add: (jobId: string, event: logLines.LogEvent) => void;
  /** The jobs in no particular order. */
  readonly jobs: () => Iterable<JobEvents>;
  /** Number of events dropped by the limits per job; complete only after all jobs were read. */
  readonly beyond: () => number;
}

/**
 * @param options - limits per job and stored fields
 * @returns an empty spool
 */
export const createEventSpool = ({
  maxJobEvents,
  maxJobCharacters,
  fields,
}: SpoolOptions): EventSpool => {
  const partitions = Array.from({ length: PARTITIONS }, createPartition);
  let beyond = 0;
  const readPartition = (partition: Partition): Map<string, StoredEvents> => {
    const jobs = new Map<string, StoredEvents>();
    seal(partition);
    const store = (jobId: string, atMs: number, text: string): void => {
      const stored = jobs.get(jobId) ?? { characters: 0, texts: [], timesMs: [] };
      jobs.set(jobId, stored);
      stored.characters += text.length;
      if (stored.texts.length < maxJobEvents && stored.characters <= maxJobCharacters) {
        stored.texts.push(text);
        stored.timesMs.push(atMs);
      } else beyond += 1;
    };
    partition.blocks.forEach((block) => readBlock(block, store));
    return jobs;
  };
  return {
    add: (jobId, event) => {
      const target = partitions[partitionIndex(jobId)];
      if (target !== undefined) append(target, jobId, event.atMs, encode(jobId, event, fields));
    },
    jobs: function* readJobs() {
      beyond = 0;
      for (const partition of partitions) {
        for (const [jobId, stored] of readPartition(partition)) {
          yield { jobId, events: eventsInOrder(jobId, stored) };
        }
      }
    },
    beyond: () => beyond,
  };
};
