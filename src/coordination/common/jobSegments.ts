/**
 * Layout of a cell's jobs in the store: a fixed number of segments, each far below the largest
 * value, so that the changes of one planning round cost at most one write per segment.
 */
import * as Schema from 'effect/Schema';

import * as job from '../../state/common/job.js';
import * as units from '../../state/common/units.js';

/** Segments of a cell. A batch of changes of any size costs at most this many writes. */
export const SEGMENT_COUNT = 8;

/** Ended jobs retained in each segment for queries; older ones are in the ledger only. */
export const MAX_ENDED_PER_SEGMENT = 64;

/**
 * Submissions are refused beyond this size: a segment must stay well below the megabyte that the
 * store accepts. The other half is for what its jobs add to their records later.
 */
export const MAX_SEGMENT_BYTES = 524_288;

/** Beyond this a segment is written with fewer decisions, so that the store still accepts it. */
export const TRIM_SEGMENT_BYTES = 917_504;

/** Decisions and failures that a trimmed record retains. */
const TRIMMED_HISTORY = 2;

/** The value of one segment. */
export const JobSegment = Schema.Struct({
  /** Epoch of the leader that wrote it. */
  epoch: units.Count,
  /** Chosen by the writer, so that after a lost answer a read shows whether the write succeeded. */
  writeId: units.CallerKey,
  jobs: Schema.Array(job.JobRecord),
});

/** See {@link JobSegment}. */
export type JobSegment = typeof JobSegment.Type;

const HASH_FACTOR = 31;
const HASH_MODULUS = 1_000_000_007;

/**
 * @param jobId - id of a job
 * @returns number of the segment that holds it
 */
export const segmentOf = (jobId: string): number => {
  let hash = 7;
  for (const char of jobId) {
    hash = (hash * HASH_FACTOR + (char.codePointAt(0) ?? 0)) % HASH_MODULUS;
  }
  return hash % SEGMENT_COUNT;
};

const endedAtMs = (record: job.JobRecord): number => record.endedAtMs ?? 0;

/**
 * @param records - all jobs of a segment
 * @returns the jobs to retain: all that have not ended, and the latest that ended
 */
export const retain = (records: readonly job.JobRecord[]): readonly job.JobRecord[] => {
  const live = records.filter((it) => !job.isTerminal(it.state));
  const ended = records
    .filter((it) => job.isTerminal(it.state))
    .sort((a, b) => endedAtMs(b) - endedAtMs(a))
    .slice(0, MAX_ENDED_PER_SEGMENT);
  return [...live, ...ended];
};

const sizes = new WeakMap<job.JobRecord, number>();

/** Records are immutable, so the size of each is computed once. */
const bytesOf = (record: job.JobRecord): number => {
  const known = sizes.get(record);
  if (known !== undefined) return known;
  const bytes = new TextEncoder().encode(JSON.stringify(record)).length + 1;
  sizes.set(record, bytes);
  return bytes;
};

const totalBytes = (records: readonly job.JobRecord[]): number =>
  records.reduce((sum, it) => sum + bytesOf(it), 0);

/**
 * Limits bursts of submissions while few jobs end. Without the bound the segment would exceed the
 * store's largest value and nothing in it could be written any more: no start, no cancellation.
 *
 * @param records - all jobs of a segment
 * @param accepted - the job to be added
 * @returns whether the segment can hold it
 */
export const hasCapacity = (records: readonly job.JobRecord[], accepted: job.JobRecord): boolean =>
  totalBytes(records.filter((it) => !job.isTerminal(it.state))) + bytesOf(accepted) <=
  MAX_SEGMENT_BYTES;

const trimmed = (record: job.JobRecord): job.JobRecord => ({
  ...record,
  failures: record.failures.slice(-TRIMMED_HISTORY),
  decisions: record.decisions.slice(-TRIMMED_HISTORY),
});

/**
 * @param records - all jobs of a segment
 * @returns the records to write: drops ended jobs first, then all but the latest decisions, until
 *   they fit
 */
export const fit = (records: readonly job.JobRecord[]): readonly job.JobRecord[] => {
  const retained = retain(records);
  if (totalBytes(retained) <= TRIM_SEGMENT_BYTES) return retained;
  const live = retained.filter((it) => !job.isTerminal(it.state));
  return totalBytes(live) <= TRIM_SEGMENT_BYTES ? live : live.map(trimmed);
};
