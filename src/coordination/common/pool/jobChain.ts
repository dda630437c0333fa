/**
 * How long a job takes at least, and until when it is in time.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';

/** How many tasks of a step the pool's whole room holds at once. */
export type SlotsOf = (service: string, step: poolJob.Step) => number;

/** A pool of which nothing is known, or one that holds everything. */
export const endlessRoom: SlotsOf = () => Infinity;

/** A step may take this share of the room; a wider one is owed the time of so many more waves. */
const WAVE_SHARE = 0.25;

/**
 * @param job - a job
 * @param step - one of its steps
 * @param slotsOf - the pool's room
 * @returns how many waves its tasks come in
 */
export const wavesOf = (job: poolJob.PoolJob, step: poolJob.Step, slotsOf: SlotsOf): number => {
  const atOnce = Math.max(1, WAVE_SHARE * slotsOf(job.policy.service, step));
  return step.isGang ? 1 : Math.max(1, Math.ceil(step.count / atOnce));
};

/** Work of one task of a step, in milliseconds near its data. */
export type WorkOf = (step: poolJob.Step, index: number) => number;

/** What the submitter believes. */
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
 * @param slotsOf - the pool's room
 * @returns the longest chain that its caller is owed the time of, each step in its waves
 */
export const owedChainMs = (job: poolJob.PoolJob, workOf: WorkOf, slotsOf: SlotsOf): number =>
  longestChainMs(job, (step, index) => workOf(step, index) * wavesOf(job, step, slotsOf));

/**
 * @param job - a job
 * @param chainMs - its longest chain of work
 * @returns time from its acceptance within which it is in time
 */
export const objectiveMs = (job: poolJob.PoolJob, chainMs = longestChainMs(job)): number =>
  job.policy.stretch * chainMs + job.policy.objectiveMs;
