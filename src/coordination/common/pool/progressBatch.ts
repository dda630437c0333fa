/**
 * One transaction that writes the progress of jobs: its conditions, and the meaning of a refusal.
 */
import * as recordStore from '../../../state/common/pool/recordStore.js';
import * as store from '../../../state/common/store.js';

/** A record that is to be written. */
export interface DueRecord {
  readonly key: string;
  readonly value: string;
  /** Revision that is overwritten; 0 where there is none. */
  readonly revision: number;
  /** Key under which a cancellation would stand; absent where the leader knows of a cancellation. */
  readonly cancelKey?: string;
}

/** A job with its current record. */
export interface DueJob {
  readonly jobId: string;
  readonly record: DueRecord;
}

/** Jobs that are written together. */
export type ProgressBatch = readonly DueJob[];

/** Outcome of writing a batch. */
export const BatchOutcome = {
  written: 'written',
  /** A job of it was cancelled: no attempt to write the batch has taken effect or will. */
  outdated: 'outdated',
  /** Another process leads or has changed a record. */
  conflict: 'conflict',
} as const;

/** One of the values of {@link BatchOutcome}. */
export type BatchOutcome = (typeof BatchOutcome)[keyof typeof BatchOutcome];

/** Meaning of a refused batch. */
export interface RefusedBatch {
  readonly outcome: BatchOutcome;
  /** Cancellations that the leader did not know of. */
  readonly cancels: readonly store.StoreEntry[];
  /** Revision of each job's record, where an earlier attempt has written the batch. */
  readonly revisions: ReadonlyMap<string, number>;
}

/** Three entries per job, two conditions and a put, besides the condition of leadership. */
export const MAX_JOBS = Math.floor((recordStore.MAX_TRANSACTION_ENTRIES - 1) / 3);

/**
 * Without the second condition a leader that does not know of a cancellation yet, since its watch is
 * delayed, stores and sends starts of a cancelled job.
 */
const conditionsOf = ({ key, revision, cancelKey }: DueRecord): recordStore.Condition[] => [
  { key, revision },
  ...(cancelKey === undefined ? [] : [{ key: cancelKey, revision: store.ABSENT_REVISION }]),
];

/**
 * @param batch - the jobs
 * @param leadership - the leadership record, which must be unchanged
 * @returns the transaction
 */
export const toTransaction = (
  batch: ProgressBatch,
  leadership: recordStore.Condition,
): recordStore.Transaction => ({
  conditions: [leadership, ...batch.flatMap(({ record }) => conditionsOf(record))],
  puts: batch.map(({ record: { key, value } }) => ({ key, value })),
  removes: [],
});

/**
 * @param batch - the jobs
 * @param leadership - the leadership record, which had to be unchanged
 * @param refusal - the store's answer
 * @returns the meaning of the refusal
 */
export const interpretRefusal = (
  batch: ProgressBatch,
  leadership: recordStore.Condition,
  refusal: Extract<recordStore.TransactionResult, { isCommitted: false }>,
): RefusedBatch => {
  const current = new Map(refusal.current.map((it) => [it.key, it]));
  const revisionOf = (key: string): number => current.get(key)?.revision ?? store.ABSENT_REVISION;
  if (revisionOf(leadership.key) !== leadership.revision) {
    return { outcome: BatchOutcome.conflict, cancels: [], revisions: new Map() };
  }
  const cancels = batch
    .map(({ record }) => current.get(record.cancelKey ?? ''))
    .filter((it) => it !== undefined);
  // An earlier attempt of the same transaction took effect: every record has its new value.
  if (batch.every(({ record }) => current.get(record.key)?.value === record.value)) {
    const revisions = new Map(batch.map((it) => [it.jobId, revisionOf(it.record.key)]));
    return { outcome: BatchOutcome.written, cancels, revisions };
  }
  const isUntouched = batch.every(({ record }) => revisionOf(record.key) === record.revision);
  const isOutdated = cancels.length > 0 && isUntouched;
  const outcome = isOutdated ? BatchOutcome.outdated : BatchOutcome.conflict;
  return { outcome, cancels, revisions: new Map() };
};
