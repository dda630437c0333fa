/**
 * Logging as a dependency, and the form of a line.
 */

/** A value that a line can show. */
export type LogValue = string | number | boolean | null | undefined;

/** Facts of an event; keys carry their unit as a suffix. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** How much attention an event wants. */
export const LogLevel = { debug: 'debug', info: 'info', warn: 'warn', error: 'error' } as const;

/** One of the values of {@link LogLevel}. */
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Writes one line for one event. */
export type Log = (level: LogLevel, event: string, fields?: LogFields) => void;

const NEEDS_QUOTES = /[\s"=\\]|^$/;

const formatValue = (value: LogValue): string => {
  const text = String(value);
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
};

/**
 * @param fields - the facts in the order in which they are to stand
 * @returns `key=value` pairs on one line; what has no value is left out
 */
export const formatLine = (fields: LogFields): string =>
  Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ');

/** A log that drops everything, for tests. */
export const silentLog: Log = () => undefined;
