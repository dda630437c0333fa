/**
 * Log interface for dependency injection, and the format of a log line.
 */

/** Value of a log field. */
export type LogValue = string | number | boolean | null | undefined;

/** Fields of an event; keys carry their unit as a suffix. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Severity of an event. */
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
 * @param fields - the fields in output order
 * @returns `key=value` pairs on one line; undefined values are omitted
 */
export const formatLine = (fields: LogFields): string =>
  Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ');

/** A log that drops everything, for tests. */
export const silentLog: Log = () => undefined;
