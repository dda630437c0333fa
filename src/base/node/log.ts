/**
 * The process log: roarr events written as one line of key=value pairs to standard error.
 */
import './enableRoarr.js';

import * as roarr from 'roarr';

import * as logging from '../common/logging.js';

interface RoarrLine {
  readonly context: Record<string, logging.LogValue>;
  readonly message: string;
  readonly time: number;
}

const LEVEL_NUMBERS: Readonly<Record<logging.LogLevel, number>> = {
  debug: 20,
  info: 30,
  warn: 40,
  error: 50,
};

const writeLine = (text: string): void => {
  const { context, message, time } = JSON.parse(text) as RoarrLine;
  const { logLevel: _, ...fields } = context;
  const at = new Date(time).toISOString();
  process.stderr.write(`${logging.formatLine({ at, event: message, ...fields })}\n`);
};

/**
 * @param minLevel - events below it are dropped
 * @param fields - facts of the process that every line carries, such as its role and id
 * @returns the log of this process
 */
export const createLog = (minLevel: logging.LogLevel, fields: logging.LogFields): logging.Log => {
  roarr.ROARR.write = writeLine;
  const logger = roarr.Roarr.child({ ...fields });
  return (level, event, more = {}) => {
    if (LEVEL_NUMBERS[level] < LEVEL_NUMBERS[minLevel]) return;
    logger[level]({ level, ...more }, event);
  };
};
