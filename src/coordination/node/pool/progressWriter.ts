/**
 * Stores jobs' progress for the leader: one transaction at a time, with several jobs in each.
 *
 * Guards against four failures. A previous leader that still writes: each transaction is conditional on the
 * current leadership record. A delayed duplicate of an unanswered write: each transaction is also conditional on
 * the revisions it overwrites, and no newer one is sent before its outcome is known. A cancellation that the
 * leader has not received, so that a cancelled job would be started: each transaction is conditional on there
 * being none, and a start is sent only after it is stored. A record that the store refuses, or that takes long to write,
 * and holds up all others: it is written alone, with a pause before the next time.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import * as store from '../../../state/common/store.js';
import * as dueRecords from '../../common/pool/dueRecords.js';
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
  /** The store refuses a job's record for what it contains; it is written again after a pause. */
  readonly onDidRefuse: (jobId: string) => void;
  /** Called with a cancellation that the leader had not received; must apply it before returning. */
  readonly onDidFindCancel: (record: store.StoreEntry) => void;
  /** Another process changed a record or leads: the term is over. */
  readonly onDidConflict: (reason: string) => void;
}

/** Stores jobs' progress. */
export interface ProgressWriter {
  /**
   * @param jobId - a job that changed
   * @returns settled once the job's current or a later state is stored; never if the term ends before, or while the
   *   store refuses the record
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

/** A larger record is written alone, and not again before as long a time has passed as its last write took. */
const LARGE_BYTES = 100_000;

/** Delay before an unanswered or refused write is retried; the store answers in milliseconds. */
const RETRY_MS = 150;

/** First pause after the store has refused a record, doubled with each further refusal up to the longest. */
const FIRST_REFUSAL_PAUSE_MS = 1000;
const MAX_REFUSAL_PAUSE_MS = 60_000;

interface Waiter {
  readonly resolve: () => void;
}

/** A job that is being written, with what waits for its record. */
interface TakenJob extends progressBatch.DueJob {
  readonly waiters: readonly Waiter[];
}

/** Result of writing a batch. */
type WriteResult = 'stored' | 'refused' | 'ended';

/**
 * @param options - its dependencies
 * @returns an idle writer
 */
export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
  const { clock: time, log, metrics } = options;
  const due = dueRecords.createDueRecords<Waiter>();
  const refusals = new Map<string, number>();
  let writing: { readonly jobId: string; readonly waiters: Waiter[] }[] = [];
  let isWriting = false;
  let isDisposed = false;
  let wake: () => void = () => undefined;

  const nowMs = (): number => time.monotonicMs();

  const encode = (jobId: string): progressBatch.DueJob | undefined => {
    const record = options.recordOf(jobId);
    return record === undefined ? undefined : { jobId, record };
  };

  /** Takes the next jobs; what does not fit into the transaction any more stays due. */
  const takeBatch = (): TakenJob[] => {
    const batch: TakenJob[] = [];
    let bytes = 0;
    for (const { jobId, waiters } of due.take(nowMs(), progressBatch.MAX_JOBS)) {
      if (bytes > MAX_BYTES) {
        due.add(jobId, waiters);
      } else {
        const job = encode(jobId);
        if (job === undefined) waiters.forEach((it) => it.resolve());
        else batch.push({ ...job, waiters });
        bytes += job?.record.value.length ?? 0;
      }
    }
    return batch;
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

  const write = async (first: progressBatch.ProgressBatch): Promise<WriteResult> => {
    let batch = first;
    while (!isDisposed && batch.length > 0) {
      try {
        const outcome = await attempt(batch);
        if (outcome === progressBatch.BatchOutcome.written) return 'stored';
        if (outcome === progressBatch.BatchOutcome.conflict) {
          options.onDidConflict('another process leads or changed a record');
          return 'ended';
        }
        batch = batch.map(({ jobId }) => encode(jobId)).filter((it) => it !== undefined);
      } catch (thrown) {
        if (thrown instanceof store.StoreRefused) return 'refused';
        metrics.count('auburnlift_progress_write_failures_total');
        const { message } = errors.normalize(thrown);
        log('warn', 'progressWriteFailed', { jobs: batch.length, reason: message });
        await clock.sleep(time, RETRY_MS);
      }
    }
    return isDisposed ? 'ended' : 'stored';
  };

  const finish = ({ jobId, record, waiters }: TakenJob, durationMs: number): void => {
    refusals.delete(jobId);
    if (record.value.length > LARGE_BYTES) {
      due.writeAlone(jobId);
      due.pause(jobId, nowMs() + durationMs);
    } else {
      due.forget(jobId);
    }
    waiters.forEach((it) => it.resolve());
  };

  const putBackRefused = ({ jobId, record, waiters }: TakenJob): void => {
    const count = refusals.get(jobId) ?? 0;
    refusals.set(jobId, count + 1);
    const pauseMs = Math.min(MAX_REFUSAL_PAUSE_MS, FIRST_REFUSAL_PAUSE_MS * 2 ** count);
    due.pause(jobId, nowMs() + pauseMs);
    due.add(jobId, waiters);
    metrics.count('auburnlift_records_refused_total');
    log('error', 'recordRefused', { job: jobId, bytes: record.value.length, pauseMs });
    options.onDidRefuse(jobId);
  };

  /** The store refuses a transaction as a whole, so each of several records is written alone. */
  const handleRefusal = (batch: readonly TakenJob[]): void => {
    const [first] = batch;
    if (batch.length === 1 && first !== undefined) {
      putBackRefused(first);
      return;
    }
    for (const { jobId, waiters } of batch) {
      due.writeAlone(jobId);
      due.add(jobId, waiters);
    }
  };

  /** @returns whether the term goes on */
  const writeNext = async (): Promise<boolean> => {
    const batch = takeBatch();
    if (batch.length === 0) return true;
    writing = batch.map(({ jobId, waiters }) => ({ jobId, waiters: [...waiters] }));
    const startedAtMs = nowMs();
    const result = await write(batch);
    if (result === 'ended') return false;
    const durationMs = nowMs() - startedAtMs;
    const written = batch.map((it, index) => ({ ...it, waiters: writing[index]?.waiters ?? [] }));
    writing = [];
    if (result === 'refused') {
      handleRefusal(written);
      return true;
    }
    metrics.time('auburnlift_progress_write_ms', durationMs);
    written.forEach((it) => finish(it, durationMs));
    return true;
  };

  /** Settled once a record may be written, or a further one is due. */
  const waitUntilDue = (): Promise<void> =>
    new Promise((resolve) => {
      const timer = time.after(Math.max(0, due.nextAtMs() - nowMs()), () => wake());
      wake = () => {
        void timer.dispose();
        resolve();
      };
    });

  const run = async (): Promise<void> => {
    if (isWriting) {
      wake();
      return;
    }
    isWriting = true;
    // Changes within one turn of the event loop are stored in one transaction.
    await Promise.resolve();
    while (due.nextAtMs() < Infinity && !isDisposed) {
      if (due.nextAtMs() > nowMs()) await waitUntilDue();
      else if (!(await writeNext())) return;
    }
    isWriting = false;
  };

  return {
    whenStored: (jobId) => {
      const waiters =
        due.waitersOf(jobId) ?? writing.find((it) => it.jobId === jobId)?.waiters ?? undefined;
      if (waiters === undefined) return Promise.resolve();
      return new Promise((resolve) => {
        waiters.push({ resolve });
      });
    },
    save: (jobId) =>
      new Promise((resolve) => {
        due.add(jobId, [{ resolve }]);
        void run();
      }),
    dispose: () => {
      isDisposed = true;
      due.clear();
      wake();
    },
  };
};
