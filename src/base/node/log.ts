/**
 * The process log: roarr events written as one line of key=value pairs to standard output.
 *
 * Guards against a reader that does not read: a write to a full pipe would stop the whole process, so
 * lines wait in a bounded queue with one write under way, and those beyond it are counted and dropped.
 */
import './enableRoarr.js';

import * as fs from 'node:fs';

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

const STANDARD_OUTPUT = 1;

/** Lines that wait for the reader: about a quarter of a megabyte, seconds of a busy process. */
const MAX_WAITING_LINES = 1500;

/** Pause where the output takes nothing at the moment. */
const RETRY_MS = 20;

let waiting: string[] = [];
let dropped = 0;
let isWriting = false;

const takeChunk = (): string => {
  const lines = waiting;
  waiting = [];
  if (dropped > 0) lines.push(`${logging.formatLine({ event: 'linesDropped', lines: dropped })}\n`);
  dropped = 0;
  return lines.join('');
};

const write = (chunk: Buffer): void => {
  fs.write(STANDARD_OUTPUT, chunk, (error, written) => {
    const rest = error === null ? chunk.subarray(written) : chunk;
    if (error !== null && error.code !== 'EAGAIN') {
      // Nobody reads any more, and there is no other place to say so.
      isWriting = false;
      return;
    }
    if (rest.length > 0) {
      setTimeout(() => write(rest), error === null ? 0 : RETRY_MS);
    } else if (waiting.length > 0) {
      write(Buffer.from(takeChunk()));
    } else {
      isWriting = false;
    }
  });
};

const enqueue = (line: string): void => {
  if (waiting.length >= MAX_WAITING_LINES) {
    dropped += 1;
    return;
  }
  waiting.push(line);
  if (isWriting) return;
  isWriting = true;
  // Lines of one turn of the loop go out together.
  setImmediate(() => write(Buffer.from(takeChunk())));
};

/** Writes what waits before the process ends; called once nothing else is done. */
const flush = (): void => {
  if (waiting.length === 0) return;
  try {
    fs.writeSync(STANDARD_OUTPUT, takeChunk());
  } catch {
    // The reader is gone or stands still; the process ends all the same.
  }
};
process.once('exit', flush);

const writeLine = (text: string): void => {
  const { context, message, time } = JSON.parse(text) as RoarrLine;
  const { logLevel: _, ...fields } = context;
  const at = new Date(time).toISOString();
  enqueue(`${logging.formatLine({ at, event: message, ...fields })}\n`);
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
