/**
 * The leader's long-poll loop with one agent: each sync request renews the tasks' leases and waits for updates
 * of the worker.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import * as leaseClock from '../../common/pool/leaseClock.js';
import type * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of a session. */
export interface AgentSessionOptions {
  readonly link: agentContract.AgentApi;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly worker: workerTable.WorkerEntry;
  /** Duration of the leases granted; 0 while the leadership is not certain. */
  readonly grantMs: () => number;
  /** What the agent keeps of its worker's speed for the next leader; undefined where nothing is known. */
  readonly speedRecordOf: (worker: workerTable.WorkerEntry) => string | undefined;
  /** @returns settled once the run ends in the update may be acknowledged */
  readonly onUpdate: (news: agentContract.WorkerUpdate, receivedAtMs: number) => Promise<unknown>;
  readonly onDidLoseAgent: () => void;
}

/** How long a sync request waits for updates; leases of ten seconds are renewed ten times as often. */
const SYNC_WAIT_MS = 900;

/** Delay after a failed sync request: bounds the time until a restarted agent is reached again. */
const RETRY_MS = 200;

/**
 * Longest wait for run ends to be stored before the next sync request, which acknowledges them. Without the
 * wait the acknowledgement would be sent with the request after it, most of a second later.
 */
const STORE_WAIT_MS = 150;

/** No lease is granted from an older sample of the worker's clock: the worker does not respond. */
const MAX_SAMPLE_AGE_MS = 2500;

/**
 * Computes a lease and records its expiry, so that the leader knows when all granted leases have expired.
 *
 * @param worker - the worker
 * @param nowMs - the leader's clock
 * @param grantMs - duration of the lease; 0 grants none
 * @returns expiry of the lease on the worker's clock; 0 if none is granted
 */
export const grantLease = (
  worker: workerTable.WorkerEntry,
  nowMs: number,
  grantMs: number,
): number => {
  const { sample } = worker;
  if (sample === undefined || grantMs === 0) return 0;
  if (nowMs - sample.atMs > MAX_SAMPLE_AGE_MS) return 0;
  const untilMs = leaseClock.leaseUntil(sample, nowMs, grantMs);
  worker.leasesExpireAtMs = Math.max(
    worker.leasesExpireAtMs,
    leaseClock.expiredByMs(sample, untilMs),
  );
  return untilMs;
};

/**
 * @param options - its dependencies
 * @returns the session; disposing it ends it after the request in flight
 */
export const startAgentSession = (options: AgentSessionOptions): disposable.Disposable => {
  const { worker, clock: time } = options;
  let isDisposed = false;
  let knownVersion = 0;
  let bootId = '';
  let keptRecord: string | undefined;

  const newRecord = (): string | undefined => {
    const record = options.speedRecordOf(worker);
    return record === keptRecord ? undefined : record;
  };
  const requestOf = (record: string | undefined): agentContract.SyncRequest => ({
    fence: worker.fence,
    incarnationMs: worker.sample?.incarnationMs ?? 0,
    leaseUntilMs: grantLease(worker, time.monotonicMs(), options.grantMs()),
    seenUpTo: worker.seenUpTo,
    knownVersion,
    waitMs: SYNC_WAIT_MS,
    ...(record === undefined ? {} : { speedRecord: record }),
  });
  const apply = (news: agentContract.WorkerUpdate): Promise<unknown> => {
    knownVersion = news.version;
    if (news.bootId !== bootId) {
      // A restarted agent has kept nothing.
      keptRecord = undefined;
      options.log('info', 'agentFound', { agent: worker.agentId, boot: news.bootId });
    }
    bootId = news.bootId;
    return options.onUpdate(news, time.monotonicMs());
  };
  const run = async (): Promise<void> => {
    while (!isDisposed) {
      try {
        const record = newRecord();
        const news = await options.link.sync(worker.url, requestOf(record));
        if (news.bootId === bootId) keptRecord = record ?? keptRecord;
        if (!isDisposed) await Promise.race([apply(news), clock.sleep(time, STORE_WAIT_MS)]);
      } catch (thrown) {
        if (isDisposed) return;
        const { message } = errors.normalize(thrown);
        if (worker.isReachable) {
          options.log('warn', 'agentLost', { agent: worker.agentId, reason: message });
        }
        knownVersion = 0;
        options.onDidLoseAgent();
        await clock.sleep(time, RETRY_MS);
      }
    }
  };
  void run();
  return {
    dispose: () => {
      isDisposed = true;
    },
  };
};
