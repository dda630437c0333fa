/**
 * Number of accepted jobs of a queue that have not started: requested from the leader, or counted from the store
 * if no leader answers. A result is cached for half a second.
 *
 * Guards against an accumulation of concurrent counts: while one is slow, as over a low-bandwidth link, callers
 * share it and get an error before their deadline.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';

import type * as poolLeadership from './poolLeadership.js';

/** Dependencies of the counts. */
export interface PendingCountsOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Requests the counts from a scheduler; throws if it is not the leader or does not answer. */
  readonly askLeader: (url: string) => Promise<Readonly<Record<string, number>>>;
}

/** Counts jobs that have not started. */
export interface PendingCounts {
  /** @throws AuburnliftError `storeUnavailable` if neither leader nor store answers in time */
  readonly ofQueue: (queue: string) => Promise<number>;
}

/** Cache lifetime: a count may be two seconds old when the caller receives it; the leader's is up to 1.5 s old. */
const CACHE_MS = 500;

/** A count that was started longer ago is too old to be returned. */
const MAX_AGE_MS = 2000;

/** Longest time that a caller waits for a count. */
const MAX_WAIT_MS = 900;

type Counts = Readonly<Record<string, number>>;

/** One count, shared by all callers that request it meanwhile. */
interface Count {
  readonly counts: Promise<Counts>;
  readonly startedAtMs: number;
  isOpen: boolean;
}

const tooLate = (): errors.AuburnliftError =>
  errors.fail('storeUnavailable', 'counting the pending jobs takes too long', {
    retryAfterMs: MAX_WAIT_MS,
  });

/**
 * @param options - what the counts need
 * @returns the counts
 */
export const createPendingCounts = (options: PendingCountsOptions): PendingCounts => {
  const { store, clock: time } = options;
  let last: Count | undefined;

  const fromLeader = async (): Promise<Counts | undefined> => {
    const record = await store.get(poolKeys.LEADER);
    if (record === undefined) return undefined;
    const { url } = JSON.parse(record.value) as poolLeadership.LeaderRecord;
    try {
      return await options.askLeader(url);
    } catch (thrown) {
      options.log('warn', 'leaderNotAnswering', {
        url,
        reason: errors.normalize(thrown).message,
      });
      return undefined;
    }
  };

  const fromStore = async (): Promise<Counts> => {
    const jobs = await store.list(poolKeys.JOBS);
    const progress = await store.list(poolKeys.PROGRESS);
    const started = new Set(
      progress.entries
        .filter((it) => progressRecord.decodeProgress(it.value).state !== 'queued')
        .map((it) => it.key.slice(poolKeys.PROGRESS.length)),
    );
    const counts: Record<string, number> = {};
    for (const { key, value } of jobs.entries) {
      const parsed = poolKeys.parseJobKey(key);
      const isWaiting = parsed?.part === poolKeys.JobPart.spec && !started.has(parsed.jobId);
      if (isWaiting) {
        const { queue } = (JSON.parse(value) as poolJob.PoolJob).policy;
        counts[queue] = (counts[queue] ?? 0) + 1;
      }
    }
    return counts;
  };

  const load = async (): Promise<Counts> => {
    const startedAtMs = time.monotonicMs();
    const ofLeader = await fromLeader();
    const counts = ofLeader ?? (await fromStore());
    options.log('info', 'pendingCounted', {
      source: ofLeader === undefined ? 'store' : 'leader',
      queues: Object.keys(counts).length,
      jobs: Object.values(counts).reduce((sum, it) => sum + it, 0),
      durationMs: Math.round(time.monotonicMs() - startedAtMs),
    });
    return counts;
  };

  const startCount = (): Count => {
    const count: Count = { counts: load(), startedAtMs: time.monotonicMs(), isOpen: true };
    const settle = (): void => {
      count.isOpen = false;
    };
    count.counts.then(settle, settle);
    return count;
  };

  const ageMs = ({ startedAtMs }: Count): number => time.monotonicMs() - startedAtMs;

  const evict = (count: Count): void => {
    if (last === count) last = undefined;
  };

  return {
    ofQueue: async (queue) => {
      if (last === undefined || (!last.isOpen && ageMs(last) > CACHE_MS)) last = startCount();
      const count = last;
      try {
        const counts = await Promise.race([count.counts, clock.sleep(time, MAX_WAIT_MS)]);
        if (counts === undefined || ageMs(count) > MAX_AGE_MS) throw tooLate();
        return counts[queue] ?? 0;
      } catch (thrown) {
        if (!count.isOpen) evict(count);
        throw thrown;
      }
    },
  };
};
