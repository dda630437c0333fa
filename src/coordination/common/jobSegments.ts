/**
 * How a cell's jobs are laid out in the store: a fixed number of segments, each far below the
 * largest value, so that the changes of one planning round cost at most one write a segment.
 */
import * as Schema from 'effect/Schema';

import * as job from '../../state/common/job.js';
import * as units from '../../state/common/units.js';

/** Segments of a cell. A wave of any size costs at most this many writes. */
export const SEGMENT_COUNT = 8;

/** Ended jobs kept in each segment for questions; older ones live in the ledger only. */
export const MAX_ENDED_PER_SEGMENT = 64;

/**
 * A segment must stay well below the megabyte that the store takes: beyond this, submissions are
 * refused. The other half is room for what the jobs in it gather while they live.
 */
export const MAX_SEGMENT_BYTES = 524_288;

/** Beyond this a segment is written with fewer decisions, so that the store still takes it. */
export const TRIM_SEGMENT_BYTES = 917_504;

/** Decisions and failures that a trimmed record keeps. */
const TRIMMED_HISTORY = 2;

/** The value of one segment. */
export const JobSegment = Schema.Struct({
  /** Epoch of the leader that wrote it. */
  epoch: units.Count,
  /** Chosen by the writer, so that a lost answer is settled by reading back. */
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
 * @returns the jobs to keep: all that live, and the latest that ended
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

/** Records are replaced and never changed, so each is measured once. */
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
 * Made for bursts of submissions while little ends. Without the bound the segment would outgrow the
 * store's largest value, and then nothing of it could be written any more: no start, no
 * cancellation.
 *
 * @param records - all jobs of a segment
 * @param accepted - the job to be added
 * @returns whether the segment can hold it
 */
export const hasRoom = (records: readonly job.JobRecord[], accepted: job.JobRecord): boolean =>
  totalBytes(records.filter((it) => !job.isTerminal(it.state))) + bytesOf(accepted) <=
  MAX_SEGMENT_BYTES;

const trimmed = (record: job.JobRecord): job.JobRecord => ({
  ...record,
  failures: record.failures.slice(-TRIMMED_HISTORY),
  decisions: record.decisions.slice(-TRIMMED_HISTORY),
});

/**
 * @param records - all jobs of a segment
 * @returns what to write: ended jobs go first, then all but the latest decisions, until it fits
 */
export const fit = (records: readonly job.JobRecord[]): readonly job.JobRecord[] => {
  const kept = retain(records);
  if (totalBytes(kept) <= TRIM_SEGMENT_BYTES) return kept;
  const live = kept.filter((it) => !job.isTerminal(it.state));
  return totalBytes(live) <= TRIM_SEGMENT_BYTES ? live : live.map(trimmed);
};
