/**
 * Derives the leader terms from the schedulers' log lines in any order. A term ends with the line that says so
 * or, without one, with the last line of its process before the next term.
 */
import type * as logLines from './logLines.js';
import * as ownText from './ownText.js';

/** A span of time. */
export interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The leader terms found in the logs. */
export interface Terms {
  /** Spans of time without a leader. */
  readonly leaderless: readonly Span[];
  /** Whether another scheduler led: a replaced leader that has not noticed it goes on logging stale state. */
  readonly isOutdated: (event: logLines.LogEvent) => boolean;
}

const CHUNK_LINES = 16_384;
const MAX_OFFSET_MS = 2 ** 32 - 1;

/** Times of lines that lie within 49 days, the range of an offset of 32 bits. */
interface TimeChunk {
  readonly baseMs: number;
  readonly offsetsMs: Uint32Array;
  count: number;
  minMs: number;
  maxMs: number;
}

const createChunk = (atMs: number): TimeChunk => ({
  // Lines come in any order, so half of the range lies before the first one.
  baseMs: atMs - Math.floor(MAX_OFFSET_MS / 2),
  offsetsMs: new Uint32Array(CHUNK_LINES),
  count: 0,
  minMs: atMs,
  maxMs: atMs,
});

/**
 * Stores the times of one scheduler's lines, in four bytes each: which line was the last of a term is known
 * only at the end of the log.
 */
const createLineTimes = () => {
  const chunks: TimeChunk[] = [];
  const lastIn = ({ baseMs, offsetsMs, count }: TimeChunk, untilMs: number): number => {
    let lastMs = -Infinity;
    for (let index = 0; index < count; index += 1) {
      const atMs = baseMs + (offsetsMs[index] ?? 0);
      if (atMs <= untilMs && atMs > lastMs) lastMs = atMs;
    }
    return lastMs;
  };
  return {
    add: (atMs: number): void => {
      let chunk = chunks.at(-1);
      const offsetMs = chunk === undefined ? -1 : atMs - chunk.baseMs;
      const isWithin = offsetMs >= 0 && offsetMs <= MAX_OFFSET_MS;
      if (chunk === undefined || chunk.count === CHUNK_LINES || !isWithin) {
        chunk = createChunk(atMs);
        chunks.push(chunk);
      }
      chunk.offsetsMs[chunk.count] = atMs - chunk.baseMs;
      chunk.count += 1;
      chunk.minMs = Math.min(chunk.minMs, atMs);
      chunk.maxMs = Math.max(chunk.maxMs, atMs);
    },
    /** Time of the last line up to a given time, or -Infinity. */
    lastMs: (untilMs: number): number => {
      let lastMs = -Infinity;
      for (const chunk of chunks) {
        if (chunk.maxMs <= untilMs) lastMs = Math.max(lastMs, chunk.maxMs);
        else if (chunk.minMs <= untilMs) lastMs = Math.max(lastMs, lastIn(chunk, untilMs));
      }
      return lastMs;
    },
  };
};

type LineTimes = ReturnType<typeof createLineTimes>;

/** Events that begin or end a term. */
const TERM_EVENTS: ReadonlySet<string> = new Set([
  'loaded',
  'started',
  'leadershipLost',
  'stopping',
]);

interface TermEvent {
  readonly atMs: number;
  readonly event: string;
  readonly node: string;
}

const leaderlessOf = (
  termEvents: readonly TermEvent[],
  timesOf: (node: string) => LineTimes | undefined,
): Span[] => {
  const leaderless: Span[] = [];
  let leader = '';
  let hasEnded = true;
  let vacantFromMs: number | undefined;
  let lastTermEventAtMs = -Infinity;
  const lastLineAtMs = ({ atMs, event }: TermEvent): number => {
    // Lines in the millisecond of a process start were written after the start.
    const untilMs = event === 'started' ? atMs - 1 : atMs;
    return Math.max(lastTermEventAtMs, timesOf(leader)?.lastMs(untilMs) ?? -Infinity);
  };
  for (const termEvent of termEvents) {
    const { atMs, event, node } = termEvent;
    if (event === 'loaded') {
      const fromMs = vacantFromMs ?? (hasEnded ? atMs : lastLineAtMs(termEvent));
      if (atMs > fromMs) leaderless.push({ fromMs, untilMs: atMs });
      leader = node;
      hasEnded = false;
      vacantFromMs = undefined;
      lastTermEventAtMs = atMs;
    } else if (node === leader && !hasEnded) {
      hasEnded = true;
      vacantFromMs = event === 'started' ? lastLineAtMs(termEvent) : atMs;
    }
  }
  return leaderless;
};

/** Finds the scheduler that had loaded last at a given time; an empty name before the first. */
const createLeaderAt = (termEvents: readonly TermEvent[]): ((atMs: number) => string) => {
  const loads = termEvents.filter((it) => it.event === 'loaded');
  return (atMs) => {
    let low = 0;
    let high = loads.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((loads[middle]?.atMs ?? Infinity) <= atMs) low = middle + 1;
      else high = middle;
    }
    return loads[low - 1]?.node ?? '';
  };
};

/** Collects the events of a log in any order and derives the leader terms. */
export interface TermCollector {
  readonly add: (event: logLines.LogEvent) => void;
  readonly terms: () => Terms;
}

/**
 * @returns a collector without events
 */
export const createTermCollector = (): TermCollector => {
  const termEvents: TermEvent[] = [];
  const times = new Map<string, LineTimes>();
  return {
    add: ({ atMs, event, role, node }) => {
      if (role !== 'scheduler') return;
      if (TERM_EVENTS.has(event)) {
        termEvents.push({
          atMs,
          event: ownText.copySubstring(event),
          node: ownText.copySubstring(node),
        });
        return;
      }
      const known = times.get(node);
      const lines = known ?? createLineTimes();
      if (known === undefined) times.set(ownText.copySubstring(node), lines);
      lines.add(atMs);
    },
    terms: () => {
      termEvents.sort((a, b) => a.atMs - b.atMs);
      const leaderAt = createLeaderAt(termEvents);
      return {
        leaderless: leaderlessOf(termEvents, (node) => times.get(node)),
        isOutdated: ({ role, node, atMs }) => {
          if (role !== 'scheduler') return false;
          const leader = leaderAt(atMs);
          return leader !== '' && node !== leader;
        },
      };
    },
  };
};
