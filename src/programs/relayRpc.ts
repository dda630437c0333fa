/**
 * Calls of the store between processes: how one asks, and how an entry serves it.
 */
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import * as platformStore from '../platform/platformStore.js';
import type * as envelope from '../protocol/common/envelope.js';
import type * as poolMessages from '../protocol/common/poolMessages.js';
import type * as rpcClient from '../transport/node/rpcClient.js';

/** Kept of a caller's time for the way to the entry and back. */
const WAY_MS = 100;

/**
 * @param entry - an entry
 * @param from - who asks
 * @param request - a call of the store
 * @returns the store's answer
 * @throws HttpCallError as if the store had been called without another process between
 */
export const askRelay = async (
  entry: rpcClient.PoolEntryClient,
  from: envelope.Sender,
  request: http.HttpRequest,
): Promise<http.HttpReply> => {
  const { method, path, timeoutMs, unreadStatuses = [] } = request;
  try {
    const answer = await entry.relay({
      from,
      method,
      path,
      body: Buffer.from(request.body).toString('base64'),
      timeoutMs: Math.max(WAY_MS, Math.round(timeoutMs - WAY_MS)),
      unreadStatuses,
    });
    const pieces: Buffer[] = [];
    for await (const piece of answer.body) pieces.push(Buffer.from(piece, 'base64'));
    return { status: answer.status, headers: {}, body: Buffer.concat(pieces) };
  } catch (thrown) {
    const { kind, message } = errors.normalize(thrown);
    const { notSent, lost } = http.HttpFailure;
    throw new http.HttpCallError(kind === 'noUpstream' ? notSent : lost, message);
  }
};

/** An answer on its way. */
interface Passing {
  readonly body: AsyncIterable<string>;
  readonly add: (piece: Uint8Array) => void;
  readonly end: () => void;
  readonly fail: (error: Error) => void;
}

const startPassing = (): Passing => {
  let isOpen = true;
  let toCaller: ReadableStreamDefaultController<string> | undefined;
  const body = new ReadableStream<string>({
    start: (controller) => {
      toCaller = controller;
    },
    cancel: () => {
      isOpen = false;
    },
  });
  const whileOpen = (deed: () => void): void => {
    if (isOpen) deed();
  };
  const finish = (deed: () => void): void => {
    whileOpen(deed);
    isOpen = false;
  };
  return {
    body,
    add: (piece) => whileOpen(() => toCaller?.enqueue(Buffer.from(piece).toString('base64'))),
    end: () => finish(() => toCaller?.close()),
    fail: (error) => finish(() => toCaller?.error(error)),
  };
};

const failureOf = (thrown: unknown): errors.AuburnliftError => {
  const isNotSent =
    thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
  const { message } = errors.normalize(thrown);
  return errors.fail(isNotSent ? 'noUpstream' : 'peerUnreachable', message);
};

/**
 * Passes an answer on while it comes: kept until it is whole, a long one would begin only after its caller
 * has given up, however often it is asked for.
 *
 * @param message - a call of the store by another process
 * @param address - the store
 * @param call - this process's own way to it
 * @returns the store's answer, once it has begun
 * @throws AuburnliftError `noUpstream` where nothing was sent, `peerUnreachable` where that is open
 */
export const serveRelay = (
  message: poolMessages.RelayMessage,
  address: http.Address,
  call: http.HttpCall,
): Promise<Omit<poolMessages.RelayAnswer, 'from'>> =>
  new Promise((resolve, reject) => {
    const passing = startPassing();
    let isBegun = false;
    const begin = (status: number): void => {
      isBegun = true;
      resolve({ status, body: passing.body });
    };
    const { method, path, timeoutMs, unreadStatuses } = message;
    const body = Buffer.from(message.body, 'base64');
    const headers: Record<string, string> =
      body.length === 0 ? {} : { 'content-type': 'application/json' };
    const whole = call({
      address,
      method,
      path,
      headers,
      body,
      timeoutMs,
      transfer: platformStore.TRANSFER_LIMITS,
      unreadStatuses,
      onArrival: (status, piece) => {
        if (!isBegun) begin(status);
        if (piece !== undefined) passing.add(piece);
      },
    });
    whole.then(
      (reply) => {
        // Something else than a connection may answer, all at once.
        if (!isBegun) {
          begin(reply.status);
          passing.add(reply.body);
        }
        passing.end();
      },
      (thrown: unknown) => {
        const failure = failureOf(thrown);
        if (isBegun) passing.fail(failure);
        else reject(failure);
      },
    );
  });
