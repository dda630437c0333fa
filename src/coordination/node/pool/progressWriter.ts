/**
 * Stores jobs' progress for the leader: one transaction at a time, several jobs in each.
 *
 * Guards against two failures. A former leader that still writes: each transaction is conditional on
 * the present leadership. A copy of an unanswered write that takes effect seconds later: it is also
 * conditional on each record that it overwrites, and nothing newer is sent before the first is settled.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import * as recordStore from '../../../state/common/pool/recordStore.js';

/** A record that is due to be written. */
export interface DueRecord {
  readonly key: string;
  readonly value: string;
  /** Revision that is overwritten; 0 where there is none. */
  readonly revision: number;
}

/** What the writer needs. */
export interface ProgressWriterOptions {
  readonly store: Pick<recordStore.RecordStore, 'transact'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** The record of leadership that must still stand. */
  readonly leadership: recordStore.Condition;
  /** Encodes a job as it is now. */
  readonly recordOf: (jobId: string) => DueRecord | undefined;
  /** Hears the revision of a job's record that was written. */
  readonly onDidWrite: (jobId: string, revision: number) => void;
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

/** Two entries a job, a condition and a put, beside the one of leadership. */
const MAX_JOBS = Math.floor((recordStore.MAX_TRANSACTION_ENTRIES - 1) / 2);

/** Keeps one transaction well below the store's limit on a body. */
const MAX_BYTES = 400_000;

/** Wait before an unanswered or refused write is tried again; the store answers in milliseconds. */
const RETRY_MS = 150;

interface Waiter {
  readonly resolve: () => void;
}

interface Batch {
  readonly jobIds: readonly string[];
  readonly records: readonly DueRecord[];
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

  const takeBatch = (): { batch: Batch; waiters: Waiter[] } => {
    const jobIds: string[] = [];
    const records: DueRecord[] = [];
    const waiters: Waiter[] = [];
    let bytes = 0;
    for (const [jobId, its] of due) {
      if (jobIds.length === MAX_JOBS || bytes > MAX_BYTES) break;
      due.delete(jobId);
      waiters.push(...its);
      const record = options.recordOf(jobId);
      if (record !== undefined) {
        jobIds.push(jobId);
        records.push(record);
        bytes += record.value.length;
      }
    }
    return { batch: { jobIds, records }, waiters };
  };

  const noteWritten = (batch: Batch, revisionOf: (index: number) => number): void => {
    batch.jobIds.forEach((jobId, index) => options.onDidWrite(jobId, revisionOf(index)));
  };

  /** An earlier copy of the same transaction took effect: every record stands as it was to be. */
  const tookEffect = (
    batch: Batch,
    result: Extract<recordStore.TransactionResult, { isCommitted: false }>,
  ): boolean => {
    const current = new Map(result.current.map((it) => [it.key, it]));
    const isLed = current.get(options.leadership.key)?.revision === options.leadership.revision;
    return isLed && batch.records.every((it) => current.get(it.key)?.value === it.value);
  };

  const attempt = async (batch: Batch): Promise<boolean> => {
    const result = await options.store.transact({
      conditions: [options.leadership, ...batch.records],
      puts: batch.records.map(({ key, value }) => ({ key, value })),
      removes: [],
    });
    if (result.isCommitted) {
      noteWritten(batch, () => result.revision);
      return true;
    }
    if (tookEffect(batch, result)) {
      const revisions = new Map(result.current.map((it) => [it.key, it.revision]));
      noteWritten(batch, (index) => revisions.get(batch.records[index]?.key ?? '') ?? 0);
      return true;
    }
    options.onDidConflict('a record was changed by somebody else, or another process leads');
    return false;
  };

  const write = async (batch: Batch): Promise<boolean> => {
    for (;;) {
      if (isDisposed) return false;
      try {
        return await attempt(batch);
      } catch (thrown) {
        options.metrics.count('auburnlift_progress_write_failures_total');
        const { message } = errors.normalize(thrown);
        options.log('warn', 'progressWriteFailed', { jobs: batch.jobIds.length, reason: message });
        await clock.sleep(options.clock, RETRY_MS);
      }
    }
  };

  const run = async (): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    // Changes of one turn of the loop go into one transaction.
    await Promise.resolve();
    while (due.size > 0 && !isDisposed) {
      const { batch, waiters } = takeBatch();
      const startedAtMs = options.clock.monotonicMs();
      writing = { jobIds: batch.jobIds, waiters };
      const isWritten = batch.records.length === 0 || (await write(batch));
      if (!isWritten) return;
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
