/**
 * Group commit of job changes: all changes since the last round are written together, with at most
 * one write per segment and one round at a time.
 *
 * Bursts stay cheap: 500 concurrent cancellations cost at most one write per segment.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as job from '../../state/common/job.js';
import * as store from '../../state/common/store.js';
import * as jobSegments from '../common/jobSegments.js';

import type * as jobStore from './jobStore.js';

/** Options of {@link createCommitQueue}. */
export interface CommitQueueOptions {
  readonly jobStore: jobStore.JobStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** The current jobs of a segment. */
  readonly recordsOf: (segment: number) => readonly job.JobRecord[];
  /** Delay before a failed write is retried. */
  readonly retryMs: number;
  /** Called when another leader has written, so this one must stop. */
  readonly onLeadershipLost: () => void;
}

/** Group commit of one cell. */
export interface CommitQueue extends disposable.Disposable {
  /** Writes the job with the next round, retrying until it is written. */
  readonly markDirty: (jobId: string) => void;
  /**
   * Waits for the round that writes the job's current state.
   *
   * @throws AuburnliftError `storeUnavailable` if nothing was written, `StoreOutcomeUnknown` if
   *   that is not known
   */
  readonly commit: (jobId: string) => Promise<void>;
  readonly isDirty: (jobId: string) => boolean;
  /** Whether the last write succeeded. */
  readonly isHealthy: () => boolean;
  /** Writes the dirty segments now, without waiting for retries. */
  readonly flush: () => Promise<void>;
}

interface Waiter {
  readonly resolve: () => void;
  readonly reject: (thrown: unknown) => void;
}

/**
 * @param options - options
 * @returns an empty queue
 */
export const createCommitQueue = (options: CommitQueueOptions): CommitQueue => {
  const dirty = new Set<number>();
  const writing = new Set<number>();
  const waiters = new Map<number, Waiter[]>();
  let running: Promise<void> | undefined;
  let isHealthy = true;
  let isDisposed = false;
  let retry: disposable.Disposable | undefined;

  const notifyWaiters = (segment: number, held: readonly Waiter[], thrown: unknown): void => {
    for (const waiter of held) {
      if (thrown === undefined) waiter.resolve();
      else waiter.reject(thrown);
    }
    if (thrown !== undefined) dirty.add(segment);
  };
  const writeSegment = async (segment: number): Promise<void> => {
    const held = waiters.get(segment) ?? [];
    waiters.delete(segment);
    writing.add(segment);
    try {
      await options.jobStore.write(segment, jobSegments.fit(options.recordsOf(segment)));
      isHealthy = true;
      notifyWaiters(segment, held, undefined);
    } catch (thrown) {
      isHealthy = false;
      notifyWaiters(segment, held, thrown);
      const isUnknown = thrown instanceof store.StoreOutcomeUnknown;
      const { kind, message } = errors.normalize(thrown);
      options.log('warn', 'commitFailed', { segment, kind, isUnknown, reason: message });
      if (kind === 'notLeader') options.onLeadershipLost();
    } finally {
      writing.delete(segment);
    }
  };
  const writeRound = async (): Promise<void> => {
    const segments = [...dirty];
    dirty.clear();
    await Promise.all(segments.map(writeSegment));
  };
  const run = async (): Promise<void> => {
    // Waits one microtask, so that concurrent changes join the same round.
    await Promise.resolve();
    while (dirty.size > 0 && !isDisposed) {
      await writeRound();
      if (!isHealthy) break;
    }
  };
  const startRounds = (): void => {
    if (running !== undefined || isDisposed) return;
    running = run().finally(() => {
      running = undefined;
      if (dirty.size === 0 || isDisposed) return;
      retry = options.clock.after(isHealthy ? 0 : options.retryMs, startRounds);
    });
  };
  return {
    markDirty: (jobId) => {
      dirty.add(jobSegments.segmentOf(jobId));
      startRounds();
    },
    commit: (jobId) =>
      new Promise((resolve, reject) => {
        const segment = jobSegments.segmentOf(jobId);
        waiters.set(segment, [...(waiters.get(segment) ?? []), { resolve, reject }]);
        dirty.add(segment);
        startRounds();
      }),
    isDirty: (jobId) => {
      const segment = jobSegments.segmentOf(jobId);
      return dirty.has(segment) || writing.has(segment);
    },
    isHealthy: () => isHealthy,
    flush: async () => {
      startRounds();
      await running;
    },
    dispose: () => {
      isDisposed = true;
      void retry?.dispose();
    },
  };
};
