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
    return { status: answer.status, headers: {}, body: Buffer.from(answer.body, 'base64') };
  } catch (thrown) {
    const { kind, message } = errors.normalize(thrown);
    const { notSent, lost } = http.HttpFailure;
    throw new http.HttpCallError(kind === 'noUpstream' ? notSent : lost, message);
  }
};

/**
 * @param message - a call of the store by another process
 * @param address - the store
 * @param call - this process's own way to it
 * @returns the store's answer
 * @throws AuburnliftError `noUpstream` where nothing was sent, `peerUnreachable` where that is open
 */
export const serveRelay = async (
  message: poolMessages.RelayMessage,
  address: http.Address,
  call: http.HttpCall,
): Promise<Omit<poolMessages.RelayAnswer, 'from'>> => {
  const { method, path, timeoutMs, unreadStatuses } = message;
  const body = Buffer.from(message.body, 'base64');
  const headers: Record<string, string> =
    body.length === 0 ? {} : { 'content-type': 'application/json' };
  try {
    const reply = await call({
      address,
      method,
      path,
      headers,
      body,
      timeoutMs,
      transfer: platformStore.TRANSFER,
      unreadStatuses,
    });
    return { status: reply.status, body: Buffer.from(reply.body).toString('base64') };
  } catch (thrown) {
    const isNotSent =
      thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
    const { message: reason } = errors.normalize(thrown);
    throw errors.fail(isNotSent ? 'noUpstream' : 'peerUnreachable', reason);
  }
};
