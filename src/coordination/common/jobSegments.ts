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

/** A segment must stay well below a megabyte; beyond this, submissions are refused. */
export const MAX_SEGMENT_BYTES = 524_288;

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
