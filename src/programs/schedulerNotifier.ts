/**
 * Notifies the schedulers of jobs and cancellations that an entry has stored.
 *
 * The leader's watch of the store can be slow, or report nothing for a second while all other calls are
 * answered. Urgent work with half a second of slack would then miss its deadline.
 */
import * as errors from '../base/common/errors.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import * as rpcClient from '../transport/node/rpcClient.js';

import * as poolContext from './poolContext.js';

/** Short, since the leader also receives the job through its watch. */
const NOTIFY_TIMEOUT_MS = 500;

/**
 * @param ctx - shared services of the program
 * @returns notifies all schedulers, since an entry does not know the leader; does not wait for responses
 */
export const createSchedulerNotifier = (
  ctx: poolContext.PoolContext,
): ((jobId: string, part: poolKeys.JobPart) => void) => {
  const clients = rpcClient.createRpcClients({
    call: ctx.call,
    timeoutMs: NOTIFY_TIMEOUT_MS,
    peerSecret: poolContext.PEER_SECRET,
  });
  const notify = async (url: string, jobId: string, part: poolKeys.JobPart): Promise<void> => {
    try {
      await clients.poolScheduler(url).jobChanged({ from: ctx.sender(), jobId, part });
    } catch (thrown) {
      const { kind } = errors.normalize(thrown);
      ctx.metrics.count('auburnlift_schedulers_not_told_total', { kind });
    }
  };
  return (jobId, part) => {
    for (const url of ctx.peerUrls(poolKeys.PeerRole.scheduler)) void notify(url, jobId, part);
  };
};
