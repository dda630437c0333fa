/**
 * The longest chain of a job's steps, and the time within which the job is in time.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';

/** How many tasks of a step the pool's total capacity holds concurrently. */
export type SlotsOf = (service: string, step: poolJob.Step) => number;

/** Unlimited slots, for a pool of unknown or unlimited capacity. */
export const unlimitedSlots: SlotsOf = () => Infinity;

/** Share of the slots that a step may take; a wider one is granted the time of several waves. */
const WAVE_SHARE = 0.25;

/**
 * @param job - a job
 * @param step - one of its steps
 * @param slotsOf - the pool's slots
 * @returns the number of waves in which its tasks run
 */
export const wavesOf = (job: poolJob.PoolJob, step: poolJob.Step, slotsOf: SlotsOf): number => {
  const slotsPerWave = Math.max(1, WAVE_SHARE * slotsOf(job.policy.service, step));
  return step.isGang ? 1 : Math.max(1, Math.ceil(step.count / slotsPerWave));
};

/** Runtime of one task of a step in milliseconds, with local data. */
export type WorkOf = (step: poolJob.Step, index: number) => number;

/** The runtime that the submitter declared. */
export const declaredWork: WorkOf = (step) => step.estimatedMs;

/**
 * @param job - a job
 * @param workOf - work of one task of each step
 * @returns the longest chain of its steps, in milliseconds
 */
export const longestChainMs = (job: poolJob.PoolJob, workOf: WorkOf = declaredWork): number => {
  const endsMs: number[] = [];
  job.steps.forEach((step, index) => {
    const beforeMs = step.after.map((it) => endsMs[it] ?? 0);
    endsMs.push(Math.max(0, ...beforeMs) + workOf(step, index));
  });
  return Math.max(0, ...endsMs);
};

/**
 * @param job - a job
 * @param workOf - work of one task of each step
 * @param slotsOf - the pool's slots
 * @returns its longest chain with each step counted once per wave; the objective is based on it
 */
export const longestChainInWavesMs = (
  job: poolJob.PoolJob,
  workOf: WorkOf,
  slotsOf: SlotsOf,
): number =>
  longestChainMs(job, (step, index) => workOf(step, index) * wavesOf(job, step, slotsOf));

/**
 * @param job - a job
 * @param chainMs - its longest chain of work
 * @returns time from its acceptance or due time within which it is in time
 */
export const objectiveMs = (job: poolJob.PoolJob, chainMs = longestChainMs(job)): number =>
  job.policy.stretch * chainMs + job.policy.objectiveMs;
