/**
 * What an entry of pools says to the other processes: tells schedulers of jobs that it has stored, and hands
 * clients' calls on to other entries.
 */
import * as errors from '../base/common/errors.js';
import * as handOn from '../coordination/node/pool/handOn.js';
import type * as peerDirectory from '../coordination/node/pool/peerDirectory.js';
import * as jobApi from '../platform/jobApi.js';
import type * as poolMessages from '../protocol/common/poolMessages.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import type * as httpServer from '../transport/node/httpServer.js';
import * as rpcClient from '../transport/node/rpcClient.js';

import * as poolKit from './poolKit.js';

/** An entry with a way to the store answers within two regions' delays. */
const HAND_ON_TIMEOUT_MS = 700;

/** The leader hears of a job by its watch as well. */
const TELL_TIMEOUT_MS = 500;

/** An entry's ways to the other processes. */
export interface EntryPeers {
  readonly handOn: handOn.HandOn;
  /** Does not wait for any answer. */
  readonly tellSchedulers: (jobId: string, part: poolKeys.JobPart) => void;
}

/**
 * @param kit - the program's parts
 * @param directory - where the others answer
 * @returns the ways to them
 */
export const createEntryPeers = (
  kit: poolKit.PoolKit,
  directory: peerDirectory.PeerDirectory,
): EntryPeers => {
  const clientsWith = (timeoutMs: number): rpcClient.RpcClients =>
    rpcClient.createRpcClients({ call: kit.call, timeoutMs, peerSecret: poolKit.PEER_SECRET });
  const entries = clientsWith(HAND_ON_TIMEOUT_MS);
  const schedulers = clientsWith(TELL_TIMEOUT_MS);

  const tell = async (url: string, jobId: string, part: poolKeys.JobPart): Promise<void> => {
    try {
      await schedulers.poolScheduler(url).jobChanged({ from: kit.sender(), jobId, part });
    } catch (thrown) {
      kit.metrics.count('auburnlift_schedulers_not_told_total', {
        kind: errors.normalize(thrown).kind,
      });
    }
  };

  return {
    handOn: handOn.createHandOn({
      clock: kit.clock,
      log: kit.log,
      urls: () => directory.urls(poolKeys.PeerRole.entry),
      ask: async (url, { requestId, method, host, path, apiKey, deadlineMs, body }) => {
        const answer = await entries.poolEntry(url).handOn({
          from: kit.sender(),
          requestId,
          method,
          host,
          path,
          ...(apiKey === undefined ? {} : { apiKey }),
          deadlineMs: Math.round(deadlineMs),
          body: Buffer.from(body).toString('base64'),
        });
        return { status: answer.status, body: answer.body };
      },
    }),
    tellSchedulers: (jobId, part) => {
      for (const url of directory.urls(poolKeys.PeerRole.scheduler)) void tell(url, jobId, part);
    },
  };
};

/**
 * @param message - a call that was handed on
 * @returns the call as the client made it
 */
export const toRequest = (message: poolMessages.HandOnMessage): httpServer.ServerRequest => ({
  method: message.method,
  path: message.path,
  query: new URLSearchParams(),
  headers: {
    host: message.host,
    [jobApi.DEADLINE_HEADER]: String(message.deadlineMs),
    ...(message.apiKey === undefined ? {} : { [jobApi.KEY_HEADER]: message.apiKey }),
  },
  body: Buffer.from(message.body, 'base64'),
  signal: new AbortController().signal,
});
