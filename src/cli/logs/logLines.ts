/**
 * Reads the collected logs of the processes: `key=value` pairs, one event a line. Lines of other programs
 * stand around them, and a line may have anything before its first pair.
 */

/** One event of a process. */
export interface LogEvent {
  /** Unix milliseconds by the clock of the machine that wrote it. */
  readonly atMs: number;
  readonly event: string;
  readonly role: string;
  readonly node: string;
  readonly fields: ReadonlyMap<string, string>;
}

/** Why a line is passed over. */
export const SkipReason = {
  /** Another program's. */
  foreign: 'foreign',
  /** One of ours that ends in the middle. */
  cut: 'cut',
  tooLong: 'tooLong',
  /** Beyond what is kept of one job. */
  beyond: 'beyond',
} as const;

/** One of the values of {@link SkipReason}. */
export type SkipReason = (typeof SkipReason)[keyof typeof SkipReason];

/** Above every line that the processes write. */
export const MAX_LINE_CHARACTERS = 16_384;

/** Every line of ours begins with its time and its event. */
const BEGINNING = /(?:^|\s)(at=\S+ event=)/;

/** A pair with a plain or a quoted value, then the end or a blank. */
const PAIR = /([A-Za-z][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"=]+)(?:\s+|$)/y;

const unquote = (text: string): string | undefined => {
  if (!text.startsWith('"')) return text;
  try {
    return JSON.parse(text) as string;
  } catch {
    // An escape that JSON does not know: not one of ours, or damaged.
    return undefined;
  }
};

const parsePairs = (text: string): Map<string, string> | undefined => {
  const fields = new Map<string, string>();
  PAIR.lastIndex = 0;
  while (PAIR.lastIndex < text.length) {
    const match = PAIR.exec(text);
    const value = match?.[2] === undefined ? undefined : unquote(match[2]);
    if (match?.[1] === undefined || value === undefined) return undefined;
    fields.set(match[1], value);
  }
  return fields;
};

/**
 * @param line - one line of a log
 * @param isWhole - whether its end was read: the last value of a line that was cut reads like a whole one
 * @returns its event, or why it is passed over
 */
export const parseLine = (line: string, isWhole = true): LogEvent | SkipReason => {
  if (line.length > MAX_LINE_CHARACTERS) return SkipReason.tooLong;
  const beginning = BEGINNING.exec(line);
  if (beginning?.[1] === undefined) return SkipReason.foreign;
  if (!isWhole) return SkipReason.cut;
  const start = beginning.index + beginning[0].length - beginning[1].length;
  const fields = parsePairs(line.slice(start).trimEnd());
  const atMs = Date.parse(fields?.get('at') ?? '');
  const event = fields?.get('event');
  const role = fields?.get('role');
  const node = fields?.get('node');
  const isComplete = event !== undefined && role !== undefined && node !== undefined;
  if (fields === undefined || Number.isNaN(atMs) || !isComplete) return SkipReason.cut;
  return { atMs, event, role, node, fields };
};
