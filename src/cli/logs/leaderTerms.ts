/**
 * Who led when, by the lines of the schedulers in any order: a term ends with its own word, or with its
 * process's last line before the next.
 */
import type * as logLines from './logLines.js';
import * as ownText from './ownText.js';

/** A span of time. */
export interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Who led when. */
export interface Terms {
  /** Times at which nobody led. */
  readonly leaderless: readonly Span[];
  /** One that leads no more, and has not heard of it, goes on telling what it believes. */
  readonly isOutdated: (event: logLines.LogEvent) => boolean;
}

const CHUNK_LINES = 16_384;
const MAX_OFFSET_MS = 2 ** 32 - 1;

/** Times of lines that lie within 49 days. */
interface TimeChunk {
  readonly baseMs: number;
  readonly offsetsMs: Uint32Array;
  count: number;
  minMs: number;
  maxMs: number;
}

const createChunk = (atMs: number): TimeChunk => ({
  // Lines stand in any order: half of the reach lies before the first.
  baseMs: atMs - Math.floor(MAX_OFFSET_MS / 2),
  offsetsMs: new Uint32Array(CHUNK_LINES),
  count: 0,
  minMs: atMs,
  maxMs: atMs,
});

/**
 * The times of one scheduler's lines. Which of them was the last of a term is known at the end of the log only,
 * so each is kept, in four bytes.
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
    /** The last line until a time, or -Infinity. */
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

/** Lines that begin or end a term. */
const TERM_EVENTS: ReadonlySet<string> = new Set([
  'loaded',
  'started',
  'leadershipLost',
  'stopping',
]);

interface Mark {
  readonly atMs: number;
  readonly event: string;
  readonly node: string;
}

const leaderlessOf = (
  marks: readonly Mark[],
  timesOf: (node: string) => LineTimes | undefined,
): Span[] => {
  const leaderless: Span[] = [];
  let leader = '';
  let hasEnded = true;
  let vacantFromMs: number | undefined;
  let lastMarkAtMs = -Infinity;
  const lastLineAtMs = ({ atMs, event }: Mark): number => {
    // What stands in the millisecond of a process's beginning was written after it.
    const untilMs = event === 'started' ? atMs - 1 : atMs;
    return Math.max(lastMarkAtMs, timesOf(leader)?.lastMs(untilMs) ?? -Infinity);
  };
  for (const mark of marks) {
    const { atMs, event, node } = mark;
    if (event === 'loaded') {
      const fromMs = vacantFromMs ?? (hasEnded ? atMs : lastLineAtMs(mark));
      if (atMs > fromMs) leaderless.push({ fromMs, untilMs: atMs });
      leader = node;
      hasEnded = false;
      vacantFromMs = undefined;
      lastMarkAtMs = atMs;
    } else if (node === leader && !hasEnded) {
      hasEnded = true;
      vacantFromMs = event === 'started' ? lastLineAtMs(mark) : atMs;
    }
  }
  return leaderless;
};

/** Who had loaded last at a time; nobody before the first. */
const createLeaderAt = (marks: readonly Mark[]): ((atMs: number) => string) => {
  const loads = marks.filter((it) => it.event === 'loaded');
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

/** Takes the events of a log in any order. */
export interface TermReader {
  readonly take: (event: logLines.LogEvent) => void;
  readonly terms: () => Terms;
}

/**
 * @returns a reader that has taken nothing yet
 */
export const createTermReader = (): TermReader => {
  const marks: Mark[] = [];
  const times = new Map<string, LineTimes>();
  return {
    take: ({ atMs, event, role, node }) => {
      if (role !== 'scheduler') return;
      if (TERM_EVENTS.has(event)) {
        marks.push({ atMs, event: ownText.ownText(event), node: ownText.ownText(node) });
        return;
      }
      const known = times.get(node);
      const lines = known ?? createLineTimes();
      if (known === undefined) times.set(ownText.ownText(node), lines);
      lines.add(atMs);
    },
    terms: () => {
      marks.sort((a, b) => a.atMs - b.atMs);
      const leaderAt = createLeaderAt(marks);
      return {
        leaderless: leaderlessOf(marks, (node) => times.get(node)),
        isOutdated: ({ role, node, atMs }) => {
          if (role !== 'scheduler') return false;
          const leader = leaderAt(atMs);
          return leader !== '' && node !== leader;
        },
      };
    },
  };
};
