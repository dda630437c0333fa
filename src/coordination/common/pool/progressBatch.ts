/**
 * One transaction of jobs' progress: what it is conditional on, and what a refusal of it means.
 */
import * as recordStore from '../../../state/common/pool/recordStore.js';
import * as store from '../../../state/common/store.js';

/** A record that is due to be written. */
export interface DueRecord {
  readonly key: string;
  readonly value: string;
  /** Revision that is overwritten; 0 where there is none. */
  readonly revision: number;
  /** Key of a cancellation that the leader has not heard of; absent where it has heard of one. */
  readonly cancelKey?: string;
}

/** A job with its record as it is now. */
export interface DueJob {
  readonly jobId: string;
  readonly record: DueRecord;
}

/** Jobs that are written together. */
export type ProgressBatch = readonly DueJob[];

/** What became of a batch. */
export const BatchOutcome = {
  written: 'written',
  /** A job of it was cancelled: no copy of the batch has taken effect or will. */
  outdated: 'outdated',
  /** Another process leads or has changed a record. */
  conflict: 'conflict',
} as const;

/** One of the values of {@link BatchOutcome}. */
export type BatchOutcome = (typeof BatchOutcome)[keyof typeof BatchOutcome];

/** What a refusal means. */
export interface RefusedBatch {
  readonly outcome: BatchOutcome;
  /** Cancellations that the leader has not heard of. */
  readonly cancels: readonly store.StoreEntry[];
  /** Revision of each job's record, where an earlier copy of the batch has written it. */
  readonly revisions: ReadonlyMap<string, number>;
}

/** Three entries a job, two conditions and a put, beside the one of leadership. */
export const MAX_JOBS = Math.floor((recordStore.MAX_TRANSACTION_ENTRIES - 1) / 3);

/**
 * Without the second condition a leader that has not heard of a cancellation, since its watch is late,
 * stores and sends starts of a job that nobody wants any more.
 */
const conditionsOf = ({ key, revision, cancelKey }: DueRecord): recordStore.Condition[] => [
  { key, revision },
  ...(cancelKey === undefined ? [] : [{ key: cancelKey, revision: store.ABSENT_REVISION }]),
];

/**
 * @param batch - the jobs
 * @param leadership - the record of leadership that must still stand
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
 * @param leadership - the record of leadership that had to stand
 * @param refusal - the store's answer
 * @returns what it means
 */
export const judgeRefusal = (
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
  // An earlier copy of the same transaction took effect: every record stands as it was to be.
  if (batch.every(({ record }) => current.get(record.key)?.value === record.value)) {
    const revisions = new Map(batch.map((it) => [it.jobId, revisionOf(it.record.key)]));
    return { outcome: BatchOutcome.written, cancels, revisions };
  }
  const isUntouched = batch.every(({ record }) => revisionOf(record.key) === record.revision);
  const isOutdated = cancels.length > 0 && isUntouched;
  const outcome = isOutdated ? BatchOutcome.outdated : BatchOutcome.conflict;
  return { outcome, cancels, revisions: new Map() };
};
