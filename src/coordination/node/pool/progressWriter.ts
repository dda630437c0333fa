/**
 * Stores jobs' progress for the leader: one transaction at a time, with several jobs in each.
 *
 * Guards against three failures. A previous leader that still writes: each transaction is conditional on the
 * current leadership record. A delayed duplicate of an unanswered write: each transaction is also conditional on
 * the revisions it overwrites, and no newer one is sent before its outcome is known. A cancellation that the
 * leader has not received, so that a cancelled job would be started: each transaction is conditional on there
 * being none, and a start is sent only after it is stored.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';
import * as progressBatch from '../../common/pool/progressBatch.js';

/** Dependencies of the writer. */
export interface ProgressWriterOptions {
  readonly store: Pick<recordStore.RecordStore, 'transact'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** The leadership record, which must be unchanged for a write to take effect. */
  readonly leadership: recordStore.Condition;
  /** Encodes the current state of a job. */
  readonly recordOf: (jobId: string) => progressBatch.DueRecord | undefined;
  /** Called with the new revision of a job's record. */
  readonly onDidWrite: (jobId: string, revision: number) => void;
  /** Called with a cancellation that the leader had not received; must apply it before returning. */
  readonly onDidFindCancel: (record: store.StoreEntry) => void;
  /** Another process changed a record or leads: the term is over. */
  readonly onDidConflict: (reason: string) => void;
}

/** Stores jobs' progress. */
export interface ProgressWriter {
  /**
   * @param jobId - a job that changed
   * @returns settled once the job's current or a later state is stored; never if the term ends before
   */
  readonly save: (jobId: string) => Promise<void>;
  /**
   * @param jobId - a job
   * @returns settled once no change of the job is waiting to be stored
   */
  readonly whenStored: (jobId: string) => Promise<void>;
  readonly dispose: () => void;
}

/** Keeps a transaction well below the store's limit on request bodies. */
const MAX_BYTES = 400_000;

/** Delay before an unanswered or refused write is retried; the store answers in milliseconds. */
const RETRY_MS = 150;

interface Waiter {
  readonly resolve: () => void;
}

/**
 * @param options - its dependencies
 * @returns an idle writer
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
    const refused = progressBatch.interpretRefusal(batch, options.leadership, result);
    refused.revisions.forEach((revision, jobId) => options.onDidWrite(jobId, revision));
    refused.cancels.forEach(options.onDidFindCancel);
    return refused.outcome;
  };

  /** @returns whether the current state of the jobs is stored */
  const write = async (first: progressBatch.ProgressBatch): Promise<boolean> => {
    let batch = first;
    while (!isDisposed && batch.length > 0) {
      try {
        const outcome = await attempt(batch);
        if (outcome === progressBatch.BatchOutcome.written) return true;
        if (outcome === progressBatch.BatchOutcome.conflict) {
          options.onDidConflict('another process leads or changed a record');
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
    // Changes within one turn of the event loop are stored in one transaction.
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
