/**
 * The process log: roarr events written as one line of key=value pairs to standard output.
 *
 * Guards against a reader that stops reading: a write to a full pipe would block the whole process, so
 * lines are queued up to a limit with one write in flight; further lines are counted and dropped.
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

/** Maximum number of queued lines: about a quarter of a megabyte, or some seconds of a busy process. */
const MAX_QUEUED_LINES = 1500;

/** Delay before a retry when the output accepts no data. */
const RETRY_MS = 20;

let queuedLines: string[] = [];
let dropped = 0;
let isWriting = false;

const takeChunk = (): string => {
  const lines = queuedLines;
  queuedLines = [];
  if (dropped > 0) lines.push(`${logging.formatLine({ event: 'linesDropped', lines: dropped })}\n`);
  dropped = 0;
  return lines.join('');
};

const write = (chunk: Buffer): void => {
  fs.write(STANDARD_OUTPUT, chunk, (error, written) => {
    const rest = error === null ? chunk.subarray(written) : chunk;
    if (error !== null && error.code !== 'EAGAIN') {
      // The reader is gone, and there is no other output to report it to.
      isWriting = false;
      return;
    }
    if (rest.length > 0) {
      setTimeout(() => write(rest), error === null ? 0 : RETRY_MS);
    } else if (queuedLines.length > 0) {
      write(Buffer.from(takeChunk()));
    } else {
      isWriting = false;
    }
  });
};

const enqueue = (line: string): void => {
  if (queuedLines.length >= MAX_QUEUED_LINES) {
    dropped += 1;
    return;
  }
  queuedLines.push(line);
  if (isWriting) return;
  isWriting = true;
  // Writes the lines of one event loop turn together.
  setImmediate(() => write(Buffer.from(takeChunk())));
};

/** Writes the queued lines synchronously when the process exits. */
const flush = (): void => {
  if (queuedLines.length === 0) return;
  try {
    fs.writeSync(STANDARD_OUTPUT, takeChunk());
  } catch {
    // The reader is gone or blocked; the process exits anyway.
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
 * @param fields - fields added to every line, such as the role and id of the process
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
