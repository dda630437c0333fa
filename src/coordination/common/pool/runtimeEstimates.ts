/**
 * Runtime estimates of tasks, from the submitters' declarations and the observed work of each queue.
 *
 * Some queues declare several times too much or too little. Taken at face value, an urgent job that
 * declares a sixth of its work seems past its deadline while it is still in time, and is deprioritized
 * behind everything else; tasks that declare a fraction seem to be stragglers on every worker.
 */
import * as statistics from '../../../base/common/statistics.js';
import type * as poolJob from '../../../state/common/pool/poolJob.js';

/** Declared and observed work of one task. */
interface ObservedWork {
  readonly declaredMs: number;
  readonly workMs: number;
}

/** Distribution of the work in a queue, in logarithms, and the error of its declarations. */
interface QueueSummary {
  readonly meanWork: number;
  /** Logarithm of declared over observed work; above 0 where too much is declared. */
  readonly meanError: number;
  /** Weight of the declaration against the queue's usual work, 0 to 1. */
  readonly declaredShare: number;
}

interface QueueObservations {
  /** Observations by job, since tasks of one job are declared alike. */
  readonly observed: Map<string, ObservedWork>;
  readonly summary: QueueSummary;
}

/** Observed work of all queues. */
export interface RuntimeEstimates {
  readonly queues: Map<string, QueueObservations>;
}

/** Jobs remembered of each queue: what a queue runs may change within an hour. */
const MAX_JOBS_PER_QUEUE = 40;

/** The declarations of a queue with fewer observed jobs are not trusted. */
const MIN_JOBS = 3;

/** Share of the jobs that may fall below {@link MIN_RATIO}; they may have run on a slow worker. */
const LOW_SHARE = 0.15;

/** Below this ratio of declared to observed work the declaration is at fault, not the worker. */
const MIN_RATIO = 0.5;

/** The prior weighs as much as this many observed jobs. */
const PRIOR_JOBS = 2;

/** Prior variance of the logarithm of work: kinds of jobs spread over a few times their mean. */
const PRIOR_WORK_VARIANCE = 0.5;

/**
 * @returns estimates without observations
 */
export const createRuntimeEstimates = (): RuntimeEstimates => ({ queues: new Map() });

const meanSquare = (values: readonly number[]): number =>
  statistics.mean(values.map((it) => it * it));

/** Variance about the mean, shrunk towards the prior. */
const varianceOf = (values: readonly number[], priorVariance: number): number => {
  const center = statistics.mean(values);
  const squares = values.reduce((sum, it) => sum + (it - center) ** 2, 0);
  return (PRIOR_JOBS * priorVariance + squares) / (PRIOR_JOBS + values.length);
};

const summarize = (observed: readonly ObservedWork[]): QueueSummary => {
  const works = observed.map((it) => Math.log(it.workMs));
  const errors = observed.map((it) => Math.log(it.declaredMs / it.workMs));
  const workVariance = varianceOf(works, PRIOR_WORK_VARIANCE) * (1 + 1 / observed.length);
  // The prior variance of declarations is the mean square error of this queue's own.
  const errorVariance = varianceOf(errors, meanSquare(errors));
  return {
    meanWork: statistics.mean(works),
    meanError: statistics.mean(errors) * (observed.length / (observed.length + PRIOR_JOBS)),
    declaredShare: workVariance / (workVariance + errorVariance),
  };
};

/**
 * @param estimates - the estimates
 * @param job - the job of a task that is done
 * @param step - its step, with the declared runtime
 * @param workMs - observed runtime, converted to that with local data; 0 where unknown
 */
export const recordTask = (
  estimates: RuntimeEstimates,
  job: poolJob.PoolJob,
  step: poolJob.Step,
  workMs: number,
): void => {
  if (workMs <= 0) return;
  const { queue } = job.policy;
  const observed = estimates.queues.get(queue)?.observed ?? new Map<string, ObservedWork>();
  observed.set(job.jobId, { declaredMs: Math.max(1, step.estimatedMs), workMs });
  const [oldest] = observed.keys();
  if (observed.size > MAX_JOBS_PER_QUEUE && oldest !== undefined) observed.delete(oldest);
  estimates.queues.set(queue, { observed, summary: summarize([...observed.values()]) });
};

/**
 * Records the longest task of a job that a previous leader observed.
 *
 * @param estimates - the estimates
 * @param job - a job
 * @param tasks - its tasks
 */
export const recordRestoredJob = (
  estimates: RuntimeEstimates,
  job: poolJob.PoolJob,
  tasks: readonly { readonly step: number; readonly workMs: number }[],
): void => {
  const longest = tasks.reduce<(typeof tasks)[number] | undefined>(
    (known, it) => (it.workMs > (known?.workMs ?? 0) ? it : known),
    undefined,
  );
  const step = longest === undefined ? undefined : job.steps[longest.step];
  if (longest !== undefined && step !== undefined) recordTask(estimates, job, step, longest.workMs);
};

/**
 * Combines the declaration with the queue's usual work, weighted by how far off each has been.
 *
 * @param estimates - the estimates
 * @param queue - a queue
 * @param declaredMs - declared runtime of one task
 * @returns its expected runtime with local data
 */
export const expectedWorkMs = (
  estimates: RuntimeEstimates,
  queue: string,
  declaredMs: number,
): number => {
  const summary = estimates.queues.get(queue)?.summary;
  if (summary === undefined || declaredMs <= 0) return declaredMs;
  const { declaredShare, meanError, meanWork } = summary;
  const corrected = Math.log(declaredMs) - meanError;
  return Math.round(Math.exp(declaredShare * corrected + (1 - declaredShare) * meanWork));
};

/**
 * @param estimates - the estimates
 * @param queue - a queue
 * @returns whether nearly all its jobs took at most twice what was declared
 */
export const areDeclarationsReliable = (estimates: RuntimeEstimates, queue: string): boolean => {
  const observed = estimates.queues.get(queue)?.observed;
  if (observed === undefined || observed.size < MIN_JOBS) return false;
  const ratios = [...observed.values()].map((it) => it.declaredMs / it.workMs);
  const ordered = ratios.sort((a, b) => a - b);
  return (ordered[Math.floor(ordered.length * LOW_SHARE)] ?? 0) >= MIN_RATIO;
};
