/**
 * How long a job takes at least, by what its submitter believes, and until when it is in time.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';

/**
 * @param job - a job
 * @returns the longest chain of its steps, in milliseconds of declared work
 */
export const longestChainMs = (job: poolJob.PoolJob): number => {
  const endsMs: number[] = [];
  for (const step of job.steps) {
    const beforeMs = step.after.map((it) => endsMs[it] ?? 0);
    endsMs.push(Math.max(0, ...beforeMs) + step.estimatedMs);
  }
  return Math.max(0, ...endsMs);
};

/**
 * @param job - a job
 * @returns time from its acceptance within which it is in time
 */
export const objectiveMs = (job: poolJob.PoolJob): number =>
  job.policy.stretch * longestChainMs(job) + job.policy.objectiveMs;
