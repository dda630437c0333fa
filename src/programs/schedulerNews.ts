/**
 * Tells the schedulers of jobs and cancellations that an entry has stored.
 *
 * Load it answers: a watch that hears nothing for a second while all other calls are answered, or that is slow.
 * Urgent work with half a second to spare would be late by the leader's not knowing of it.
 */
import * as errors from '../base/common/errors.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import * as rpcClient from '../transport/node/rpcClient.js';

import * as poolKit from './poolKit.js';

/** The leader hears of a job by its watch as well. */
const TELL_TIMEOUT_MS = 500;

/**
 * @param kit - the program's parts
 * @returns tells all of them, since an entry does not know who leads; does not wait for any answer
 */
export const createSchedulerNews = (
  kit: poolKit.PoolKit,
): ((jobId: string, part: poolKeys.JobPart) => void) => {
  const clients = rpcClient.createRpcClients({
    call: kit.call,
    timeoutMs: TELL_TIMEOUT_MS,
    peerSecret: poolKit.PEER_SECRET,
  });
  const tell = async (url: string, jobId: string, part: poolKeys.JobPart): Promise<void> => {
    try {
      await clients.poolScheduler(url).jobChanged({ from: kit.sender(), jobId, part });
    } catch (thrown) {
      const { kind } = errors.normalize(thrown);
      kit.metrics.count('auburnlift_schedulers_not_told_total', { kind });
    }
  };
  return (jobId, part) => {
    for (const url of kit.peerUrls(poolKeys.PeerRole.scheduler)) void tell(url, jobId, part);
  };
};
