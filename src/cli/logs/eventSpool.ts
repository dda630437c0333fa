/**
 * Keeps the events of many jobs compressed, until the log's end, and gives them back job by job: lines stand in
 * any order, so no job is known to be over before.
 */
import * as zlib from 'node:zlib';

import type * as logLines from './logLines.js';
import * as ownText from './ownText.js';

/** Jobs are spread over so many parts, of which one at a time is read again. */
const PARTS = 256;

/** Enough for the compression to find what the lines of a part share, little enough to hold once for each part. */
const BLOCK_BYTES = 32_768;

/** The least work: the lines of a part are alike enough. */
const COMPRESSION = { level: 1 };

const TIME_RADIX = 36;

/** What an event holds beside its fields, or nobody asks for. */
const LEFT_OUT: ReadonlySet<string> = new Set(['at', 'event', 'role', 'node', 'level']);

/** What is kept. */
export interface SpoolOptions {
  /** Events of one job: those that are added first. */
  readonly maxJobEvents: number;
  /** What these are long altogether. */
  readonly maxJobCharacters: number;
  /** Fields by name; all unless given. */
  readonly fields?: ReadonlySet<string>;
}

/** Events by a hash of their jobs. */
interface Part {
  readonly blocks: Buffer[];
  /** The block that is being written; a text that grows would be held in pieces many times as large. */
  open: Buffer | undefined;
  openBytes: number;
  lastJobId: string;
  lastAtMs: number;
}

const createPart = (): Part => ({
  blocks: [],
  open: undefined,
  openBytes: 0,
  lastJobId: '',
  lastAtMs: 0,
});

/** A value that the columns can't hold as it is. */
// eslint-disable-next-line no-control-regex -- tabs and ends of lines part the columns and events
const AWKWARD = /^["~]|[\u0000-\u001f]/;

const encodeText = (text: string): string => (AWKWARD.test(text) ? JSON.stringify(text) : text);

const decodeText = (text: string): string =>
  text.startsWith('"') ? (JSON.parse(text) as string) : text;

/** A job's id stands in most values of its events: `~` stands for it. */
const encodeValue = (value: string, jobId: string): string =>
  value.startsWith(jobId) ? `~${encodeText(value.slice(jobId.length))}` : encodeText(value);

const decodeValue = (text: string, jobId: string): string =>
  text.startsWith('~') ? jobId + decodeText(text.slice(1)) : decodeText(text);

/** An event but for its job and its time, as columns parted by tabs. */
const encode = (
  jobId: string,
  { event, role, node, fields }: logLines.LogEvent,
  names: ReadonlySet<string> | undefined,
): string => {
  let text = [event, role, node].map(encodeText).join('\t');
  for (const [name, value] of fields) {
    const isKept = names?.has(name) ?? !LEFT_OUT.has(name);
    if (isKept) text += `\t${name}=${encodeValue(value, jobId)}`;
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

// A copy: what zlib gives stands in a larger buffer.
const compress = (block: Uint8Array): Buffer =>
  Buffer.from(zlib.deflateRawSync(block, COMPRESSION));

const seal = (part: Part): void => {
  if (part.openBytes > 0 && part.open !== undefined) {
    part.blocks.push(compress(part.open.subarray(0, part.openBytes)));
  }
  part.openBytes = 0;
  part.lastJobId = '';
  part.lastAtMs = 0;
};

/** Job and time stand before an event: nothing for the job of the event before, the time as what it is later. */
const toLine = ({ lastJobId, lastAtMs }: Part, jobId: string, atMs: number, text: string): string =>
  `${jobId === lastJobId ? '' : encodeText(jobId)}\t${(atMs - lastAtMs).toString(TIME_RADIX)}\t${text}\n`;

const append = (part: Part, jobId: string, atMs: number, text: string): void => {
  let line = toLine(part, jobId, atMs, text);
  if (part.openBytes + Buffer.byteLength(line) > BLOCK_BYTES) {
    seal(part);
    line = toLine(part, jobId, atMs, text);
  }
  if (Buffer.byteLength(line) > BLOCK_BYTES) {
    part.blocks.push(compress(Buffer.from(line)));
    return;
  }
  part.open ??= Buffer.alloc(BLOCK_BYTES);
  part.openBytes += part.open.write(line, part.openBytes);
  part.lastJobId = jobId;
  part.lastAtMs = atMs;
};

/** Gives the events of a block, as they were appended. */
const readBlock = (
  block: Buffer,
  onEvent: (jobId: string, atMs: number, text: string) => void,
): void => {
  let jobId = '';
  let atMs = 0;
  for (const line of zlib.inflateRawSync(block).toString('utf8').split('\n')) {
    const timeFrom = line.indexOf('\t') + 1;
    const textFrom = line.indexOf('\t', timeFrom) + 1;
    if (timeFrom > 1) jobId = ownText.ownText(decodeText(line.slice(0, timeFrom - 1)));
    if (textFrom > 0) {
      atMs += parseInt(line.slice(timeFrom, textFrom - 1), TIME_RADIX);
      onEvent(jobId, atMs, line.slice(textFrom));
    }
  }
};

const partIndex = (jobId: string): number => {
  let hash = 0;
  for (let index = 0; index < jobId.length; index += 1) {
    hash = (Math.imul(hash, 31) + jobId.charCodeAt(index)) % 2 ** 31;
  }
  return Math.abs(hash) % PARTS;
};

/** One job's events as they are kept, each behind its time. */
interface KeptEvents {
  characters: number;
  readonly texts: string[];
  readonly timesMs: number[];
}

const eventsInOrder = function* eventsInOrder(
  jobId: string,
  { texts, timesMs }: KeptEvents,
): Generator<logLines.LogEvent> {
  const order = timesMs.map((_, index) => index);
  order.sort((a, b) => (timesMs[a] ?? 0) - (timesMs[b] ?? 0));
  for (const index of order) yield decode(jobId, timesMs[index] ?? 0, texts[index] ?? '');
};

/** The events of a job. */
export interface JobEvents {
  readonly jobId: string;
  /** In the order of time, once. */
  readonly events: Iterable<logLines.LogEvent>;
}

/** Holds events until the end of the log. */
export interface EventSpool {
  readonly add: (jobId: string, event: logLines.LogEvent) => void;
  /** Job by job, in no order. */
  readonly jobs: () => Iterable<JobEvents>;
  /** Events beyond what is kept of one job; known when all jobs were read. */
  readonly beyond: () => number;
}

/**
 * @param options - what is kept
 * @returns an empty spool
 */
export const createEventSpool = ({
  maxJobEvents,
  maxJobCharacters,
  fields,
}: SpoolOptions): EventSpool => {
  const parts = Array.from({ length: PARTS }, createPart);
  let beyond = 0;
  const readPart = (part: Part): Map<string, KeptEvents> => {
    const jobs = new Map<string, KeptEvents>();
    seal(part);
    const keep = (jobId: string, atMs: number, text: string): void => {
      const kept = jobs.get(jobId) ?? { characters: 0, texts: [], timesMs: [] };
      jobs.set(jobId, kept);
      kept.characters += text.length;
      if (kept.texts.length < maxJobEvents && kept.characters <= maxJobCharacters) {
        kept.texts.push(text);
        kept.timesMs.push(atMs);
      } else beyond += 1;
    };
    part.blocks.forEach((block) => readBlock(block, keep));
    return jobs;
  };
  return {
    add: (jobId, event) => {
      const part = parts[partIndex(jobId)];
      if (part !== undefined) append(part, jobId, event.atMs, encode(jobId, event, fields));
    },
    jobs: function* readJobs() {
      beyond = 0;
      for (const part of parts) {
        for (const [jobId, kept] of readPart(part)) {
          yield { jobId, events: eventsInOrder(jobId, kept) };
        }
      }
    },
    beyond: () => beyond,
  };
};
