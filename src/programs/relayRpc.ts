/**
 * Store calls relayed by an entry: the requesting side and the serving side.
 */
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import * as platformStore from '../platform/platformStore.js';
import type * as envelope from '../protocol/common/envelope.js';
import type * as poolMessages from '../protocol/common/poolMessages.js';
import type * as rpcClient from '../transport/node/rpcClient.js';

/** Part of the caller's timeout reserved for the round trip to the entry. */
const RELAY_OVERHEAD_MS = 100;

/**
 * @param entry - the relaying entry
 * @param from - the requesting process
 * @param request - a call of the store
 * @returns the store's answer
 * @throws HttpCallError as for a direct call of the store
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
      timeoutMs: Math.max(RELAY_OVERHEAD_MS, Math.round(timeoutMs - RELAY_OVERHEAD_MS)),
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

/** A response that is forwarded while it arrives. */
interface ReplyStream {
  readonly body: AsyncIterable<string>;
  readonly add: (piece: Uint8Array) => void;
  readonly end: () => void;
  readonly fail: (error: Error) => void;
}

const createReplyStream = (): ReplyStream => {
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
  const whileOpen = (action: () => void): void => {
    if (isOpen) action();
  };
  const finish = (action: () => void): void => {
    whileOpen(action);
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
 * Forwards a response while it arrives: if it were buffered until complete, a long one would reach the caller
 * only after its timeout, on every retry.
 *
 * @param message - a call of the store by another process
 * @param address - the store
 * @param call - this process's direct call of the store
 * @returns the store's answer, once it has begun
 * @throws AuburnliftError `noUpstream` where nothing was sent, `peerUnreachable` where that is unknown
 */
export const serveRelay = (
  message: poolMessages.RelayMessage,
  address: http.Address,
  call: http.HttpCall,
): Promise<Omit<poolMessages.RelayAnswer, 'from'>> =>
  new Promise((resolve, reject) => {
    const stream = createReplyStream();
    let hasBegun = false;
    const begin = (status: number): void => {
      hasBegun = true;
      resolve({ status, body: stream.body });
    };
    const { method, path, timeoutMs, unreadStatuses } = message;
    const body = Buffer.from(message.body, 'base64');
    const headers: Record<string, string> =
      body.length === 0 ? {} : { 'content-type': 'application/json' };
    const exchange = call({
      address,
      method,
      path,
      headers,
      body,
      timeoutMs,
      transfer: platformStore.TRANSFER_LIMITS,
      unreadStatuses,
      onArrival: (status, piece) => {
        if (!hasBegun) begin(status);
        if (piece !== undefined) stream.add(piece);
      },
    });
    exchange.then(
      (reply) => {
        // The call may give a complete response without having called onArrival.
        if (!hasBegun) {
          begin(reply.status);
          stream.add(reply.body);
        }
        stream.end();
      },
      (thrown: unknown) => {
        const failure = failureOf(thrown);
        if (hasBegun) stream.fail(failure);
        else reject(failure);
      },
    );
  });
