/**
 * Parses the processes' log lines: one event per line as `key=value` pairs. Lines of other programs may be
 * mixed in, and any text may precede the first pair of a line.
 */

/** One logged event of a process. */
export interface LogEvent {
  /** Unix milliseconds by the clock of the machine that wrote it. */
  readonly atMs: number;
  readonly event: string;
  readonly role: string;
  readonly node: string;
  readonly fields: ReadonlyMap<string, string>;
}

/** Why a line is skipped. */
export const SkipReason = {
  /** Written by another program. */
  foreign: 'foreign',
  /** An auburnlift line that is truncated or damaged. */
  cut: 'cut',
  tooLong: 'tooLong',
  /** Exceeds the limits for one job. */
  beyond: 'beyond',
} as const;

/** One of the values of {@link SkipReason}. */
export type SkipReason = (typeof SkipReason)[keyof typeof SkipReason];

/** More than any line that the processes write. */
export const MAX_LINE_CHARACTERS = 16_384;

/** Every line of a process starts with its time and its event. */
const LINE_START = /(?:^|\s)(at=\S+ event=)/;

/** A pair with a plain or quoted value, followed by white space or the end. */
const PAIR = /([A-Za-z][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"=]+)(?:\s+|$)/y;

const unquote = (text: string): string | undefined => {
  if (!text.startsWith('"')) return text;
  try {
    return JSON.parse(text) as string;
  } catch {
    // Not a JSON escape: the line is damaged or from another program.
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
 * @param line - one log line
 * @param isComplete - whether its end was read; a truncated last value can't be told from a complete one
 * @returns its event, or why it is skipped
 */
export const parseLine = (line: string, isComplete = true): LogEvent | SkipReason => {
  if (line.length > MAX_LINE_CHARACTERS) return SkipReason.tooLong;
  const beginning = LINE_START.exec(line);
  if (beginning?.[1] === undefined) return SkipReason.foreign;
  if (!isComplete) return SkipReason.cut;
  const start = beginning.index + beginning[0].length - beginning[1].length;
  const fields = parsePairs(line.slice(start).trimEnd());
  const atMs = Date.parse(fields?.get('at') ?? '');
  const event = fields?.get('event');
  const role = fields?.get('role');
  const node = fields?.get('node');
  const hasHeader = event !== undefined && role !== undefined && node !== undefined;
  if (fields === undefined || Number.isNaN(atMs) || !hasHeader) return SkipReason.cut;
  return { atMs, event, role, node, fields };
};
