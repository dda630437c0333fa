/**
 * Receives a request's body into one buffer.
 *
 * Guards against chunks of one byte: each arrives as an object with a slice of a receive buffer, many times its size.
 * What arrives is copied at once, and the buffer counts with its capacity.
 */
import type * as nodeHttp from 'node:http';

import * as errors from '../../base/common/errors.js';
import * as connectionState from '../common/connectionState.js';
import type * as connectionGuard from './connectionGuard.js';
import type * as guardedConnection from './guardedConnection.js';

/** A body that is received. */
export interface BodyOptions {
  readonly message: nodeHttp.IncomingMessage;
  readonly maxBodyBytes: number;
  /** Accounts for more bytes and returns whether they fit. */
  readonly reserve: (bytes: number) => boolean;
  readonly recordLimit: connectionGuard.ConnectionGuard['recordLimit'];
  readonly connection: guardedConnection.GuardedConnection;
}

/** First size of the buffer for a body whose length is not announced. */
const FIRST_BYTES = 4096;

/** Retry delay sent to callers that were refused because of buffered bytes. */
const BUFFER_RETRY_MS = 1000;

/**
 * @param maxBytes - the limit
 * @returns the error for a larger body
 */
export const bodyTooLarge = (maxBytes: number): errors.AuburnliftError =>
  errors.fail('tooLarge', `the body is larger than ${maxBytes} bytes; nothing ran`, {
    field: 'body',
  });

const noBuffer = (): errors.AuburnliftError =>
  errors.fail('overloaded', 'too many body bytes are buffered; nothing ran', {
    retryAfterMs: BUFFER_RETRY_MS,
  });

const brokenOff = (limit: connectionState.LimitName): errors.AuburnliftError =>
  limit === connectionState.LimitName.bodyTime
    ? errors.fail('deadlineUnmeetable', 'the body did not arrive in time; nothing ran', {
        retryAfterMs: BUFFER_RETRY_MS,
      })
    : noBuffer();

/**
 * @param message - a request
 * @returns the length that its head announces; 0 if it announces none
 */
export const announcedBytes = (message: Pick<nodeHttp.IncomingMessage, 'headers'>): number =>
  Number(message.headers['content-length'] ?? 0);

const createGrowingBuffer = (announced: number, { maxBodyBytes, reserve }: BodyOptions) => {
  let buffer = Buffer.alloc(0);
  let size = 0;
  const grow = (needed: number): void => {
    const wanted = Math.max(needed, buffer.length * 2, Math.min(announced, FIRST_BYTES));
    const capacity = Math.min(maxBodyBytes, announced > 0 ? Math.min(wanted, announced) : wanted);
    if (!reserve(capacity - buffer.length)) throw noBuffer();
    const larger = Buffer.allocUnsafeSlow(capacity);
    buffer.copy(larger, 0, 0, size);
    buffer = larger;
  };
  return {
    add: (chunk: Buffer): void => {
      const needed = size + chunk.length;
      if (needed > maxBodyBytes) throw bodyTooLarge(maxBodyBytes);
      if (needed > buffer.length) grow(needed);
      chunk.copy(buffer, size);
      size = needed;
    },
    bytes: (): Buffer => buffer.subarray(0, size),
  };
};

/**
 * @param options - the request and its limits
 * @returns the body
 * @throws AuburnliftError `tooLarge`, `overloaded` or `deadlineUnmeetable`; the rest of the body is discarded then
 */
export const receiveBody = (options: BodyOptions): Promise<Uint8Array> => {
  const { message, connection, maxBodyBytes, recordLimit } = options;
  const announced = announcedBytes(message);
  if (announced > maxBodyBytes) {
    recordLimit(connectionState.LimitName.bodyBytes);
    return Promise.reject(bodyTooLarge(maxBodyBytes));
  }
  return new Promise((resolve, reject) => {
    const buffer = createGrowingBuffer(announced, options);
    const stop = (): void => {
      connection.breakOffBody = undefined;
      message.removeAllListeners('data');
      message.removeAllListeners('end');
    };
    const fail = (error: Error): void => {
      stop();
      reject(error);
    };
    message.on('data', (chunk: Buffer) => {
      try {
        buffer.add(chunk);
      } catch (thrown) {
        const error = errors.normalize(thrown);
        const { bodyBytes, bufferedBytes } = connectionState.LimitName;
        recordLimit(error.kind === 'tooLarge' ? bodyBytes : bufferedBytes);
        fail(error);
      }
    });
    message.on('end', () => {
      stop();
      resolve(buffer.bytes());
    });
    message.on('error', fail);
    message.once('close', () => {
      if (!message.complete) fail(errors.fail('cancelled', 'the caller left; nothing ran'));
    });
    connection.breakOffBody = (limit) => fail(brokenOff(limit));
  });
};
