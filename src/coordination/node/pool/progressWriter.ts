/**
 * Stores jobs' progress for the leader: one transaction at a time, several jobs in each.
 *
 * Guards against three failures. A former leader that still writes: each transaction is conditional on
 * the present leadership. A copy of an unanswered write that takes effect seconds later: it is also
 * conditional on each record that it overwrites, and nothing newer is sent before the first is settled.
 * A cancellation that the leader has not heard of, so that a cancelled job is started again: each
 * transaction is conditional on there being none, and a start is sent only after it is stored.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';
import * as progressBatch from '../../common/pool/progressBatch.js';

/** What the writer needs. */
export interface ProgressWriterOptions {
  readonly store: Pick<recordStore.RecordStore, 'transact'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** The record of leadership that must still stand. */
  readonly leadership: recordStore.Condition;
  /** Encodes a job as it is now. */
  readonly recordOf: (jobId: string) => progressBatch.DueRecord | undefined;
  /** Hears the revision of a job's record that was written. */
  readonly onDidWrite: (jobId: string, revision: number) => void;
  /** A job was cancelled without the leader's knowledge; it has changed when this returns. */
  readonly onDidFindCancel: (record: store.StoreEntry) => void;
  /** Somebody else changed a record or leads: the leader must give up. */
  readonly onDidConflict: (reason: string) => void;
}

/** Stores jobs' progress. */
export interface ProgressWriter {
  /**
   * @param jobId - a job that changed
   * @returns settled once the job as it is now, or later, is stored; never where the leader gives up
   */
  readonly save: (jobId: string) => Promise<void>;
  /**
   * @param jobId - a job
   * @returns settled once nothing of the job waits to be stored any more
   */
  readonly whenStored: (jobId: string) => Promise<void>;
  readonly dispose: () => void;
}

/** Keeps one transaction well below the store's limit on a body. */
const MAX_BYTES = 400_000;

/** Wait before an unanswered or refused write is tried again; the store answers in milliseconds. */
const RETRY_MS = 150;

interface Waiter {
  readonly resolve: () => void;
}

/**
 * @param options - what the writer needs
 * @returns a writer that is idle
 */
export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
  const due = new Map<string, Waiter[]>();
  let writing: { readonly jobIds: readonly string[]; readonly waiters: Waiter[] } | undefined;
  let isWriting = false;
  let isDisposed = false;

  const encode = (jobId: string): progressBatch.DueJob | undefined => {
    const record = options.recordOf(jobId);
    return record === undefined ? undefined : { jobId, record };
  };

  const takeBatch = (): { batch: progressBatch.ProgressBatch; waiters: Waiter[] } => {
    const batch: progressBatch.DueJob[] = [];
    const waiters: Waiter[] = [];
    let bytes = 0;
    for (const [jobId, its] of due) {
      if (batch.length === progressBatch.MAX_JOBS || bytes > MAX_BYTES) break;
      due.delete(jobId);
      waiters.push(...its);
      const job = encode(jobId);
      if (job !== undefined) batch.push(job);
      bytes += job?.record.value.length ?? 0;
    }
    return { batch, waiters };
  };

  const attempt = async (
    batch: progressBatch.ProgressBatch,
  ): Promise<progressBatch.BatchOutcome> => {
    const result = await options.store.transact(
      progressBatch.toTransaction(batch, options.leadership),
    );
    if (result.isCommitted) {
      batch.forEach(({ jobId }) => options.onDidWrite(jobId, result.revision));
      return progressBatch.BatchOutcome.written;
    }
    const refused = progressBatch.judgeRefusal(batch, options.leadership, result);
    refused.revisions.forEach((revision, jobId) => options.onDidWrite(jobId, revision));
    refused.cancels.forEach(options.onDidFindCancel);
    return refused.outcome;
  };

  /** @returns whether the jobs are stored, as they are now */
  const write = async (first: progressBatch.ProgressBatch): Promise<boolean> => {
    let batch = first;
    while (!isDisposed && batch.length > 0) {
      try {
        const outcome = await attempt(batch);
        if (outcome === progressBatch.BatchOutcome.written) return true;
        if (outcome === progressBatch.BatchOutcome.conflict) {
          options.onDidConflict('a record was changed by somebody else, or another process leads');
          return false;
        }
        batch = batch.map(({ jobId }) => encode(jobId)).filter((it) => it !== undefined);
      } catch (thrown) {
        options.metrics.count('auburnlift_progress_write_failures_total');
        const { message } = errors.normalize(thrown);
        options.log('warn', 'progressWriteFailed', { jobs: batch.length, reason: message });
        await clock.sleep(options.clock, RETRY_MS);
      }
    }
    return !isDisposed;
  };

  const run = async (): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    // Changes of one turn of the loop go into one transaction.
    await Promise.resolve();
    while (due.size > 0 && !isDisposed) {
      const { batch, waiters } = takeBatch();
      const startedAtMs = options.clock.monotonicMs();
      writing = { jobIds: batch.map((it) => it.jobId), waiters };
      if (!(await write(batch))) return;
      writing = undefined;
      options.metrics.time(
        'auburnlift_progress_write_ms',
        options.clock.monotonicMs() - startedAtMs,
      );
      waiters.forEach((it) => it.resolve());
    }
    isWriting = false;
  };

  return {
    whenStored: (jobId) => {
      const waiters =
        due.get(jobId) ?? (writing?.jobIds.includes(jobId) === true ? writing.waiters : undefined);
      if (waiters === undefined) return Promise.resolve();
      return new Promise((resolve) => {
        waiters.push({ resolve });
      });
    },
    save: (jobId) =>
      new Promise((resolve) => {
        const waiters = due.get(jobId) ?? [];
        waiters.push({ resolve });
        due.set(jobId, waiters);
        void run();
      }),
    dispose: () => {
      isDisposed = true;
      due.clear();
    },
  };
};
