/**
 * Jobs of a pool: steps with dependencies, each with tasks that have a resource request. A pool is
 * the set of workers of one service over all availability zones.
 */
import * as Schema from 'effect/Schema';

import * as units from '../units.js';

/** Resources that a task requests, or that a worker has. */
export const Resources = Schema.Struct({
  cpuMillicores: units.Count,
  memoryMb: units.Count,
  accelerators: units.Count,
});

/** See {@link Resources}. */
export type Resources = typeof Resources.Type;

/**
 * A job's progress is one value of the store, with a row for each task that was started. A row has this many bytes on the
 * mean at most: with ids of 24 characters, some failures and a few unacknowledged orders and crashes among them.
 */
export const MAX_TASK_RECORD_BYTES = 160;

/**
 * @param maxValueBytes - largest value that the store takes
 * @returns maximum tasks of a job over all its steps and occurrences
 */
export const maxTasksPerJob = (maxValueBytes: number): number =>
  Math.floor(maxValueBytes / MAX_TASK_RECORD_BYTES);

/** The shortest row of a task that was started. */
const MIN_TASK_RECORD_BYTES = 40;

/**
 * @param job - a job, which an earlier version may have accepted
 * @param maxValueBytes - largest value that the store takes
 * @returns whether it has so many tasks that its progress can't be stored until its end, whatever their rows are
 */
export const isTooLargeToEnd = (
  { steps, schedule }: Pick<PoolJob, 'steps' | 'schedule'>,
  maxValueBytes: number,
): boolean => {
  const tasks = steps.reduce((sum, { count }) => sum + count, 0) * (schedule?.occurrences ?? 1);
  return tasks * MIN_TASK_RECORD_BYTES > maxValueBytes;
};

/** Maximum steps per job. */
export const MAX_STEPS = 100;

/** Identical tasks that become ready at the same time. */
export const Step = Schema.Struct({
  count: units.Count,
  resources: Resources,
  /** The submitter's estimate of a task's run time; often far off. */
  estimatedMs: units.Count,
  /** Indexes of earlier steps whose tasks must all be done first. */
  after: Schema.Array(units.Count),
  isCheckpointing: Schema.Boolean,
  /** Either all tasks run at the same time or none does. */
  isGang: Schema.Boolean,
  /** If spread over more than one rack, the tasks take several times as long. */
  isSameRack: Schema.Boolean,
  /** Label that the worker must have. */
  requiredLabel: Schema.optionalKey(Schema.String),
  /** Rack that holds the data; on other racks the tasks take several times as long. */
  preferredRack: Schema.optionalKey(Schema.String),
  /** Maximum tasks of the step per worker; 0 means no limit. */
  maxPerWorker: units.Count,
  /** Duplicates of a task may run in parallel. */
  isSpeculative: Schema.Boolean,
  /** Runs until the job is cancelled; restarted however a run ends. */
  isLongRunning: Schema.Boolean,
  /** Image that the tasks run; tasks of the same image behave alike. */
  image: Schema.optionalKey(Schema.String),
  /** Target tail latency of a long-running task towards its own users; 0 means none. */
  targetLatencyMs: units.Count,
  /** Uses only processor time left over by other tasks; its processor request consumes no capacity. */
  isFiller: Schema.Boolean,
  /** Tasks that the system may make unavailable at the same time; absent if not specified. */
  maxUnavailable: Schema.optionalKey(units.Count),
});

/** See {@link Step}. */
export type Step = typeof Step.Type;

/** Times at which the steps are repeated. */
export const Schedule = Schema.Struct({
  /** Unix milliseconds of the first occurrence. */
  firstAtMs: units.Count,
  intervalMs: units.Count,
  occurrences: units.integerBetween(1, 100_000),
});

/** See {@link Schedule}. */
export type Schedule = typeof Schedule.Type;

/** Policy of the configuration for a queue's jobs. */
export const QueuePolicy = Schema.Struct({
  queue: Schema.String,
  /** Service whose workers run the tasks. */
  service: Schema.String,
  /** 0 is the highest and may preempt the others. */
  priority: units.Count,
  /** Failed runs after which a task fails for good. */
  attempts: units.Count,
  /** A job meets its deadline within this multiple of its longest chain of work, plus `objectiveMs`. */
  stretch: Schema.Number,
  objectiveMs: units.Count,
  /** Starts in the queue need approval by the policy service. */
  needsAdvice: Schema.Boolean,
});

/** See {@link QueuePolicy}. */
export type QueuePolicy = typeof QueuePolicy.Type;

/** A job as accepted; it never changes afterwards. */
export const PoolJob = Schema.Struct({
  jobId: units.CallerKey,
  customerId: Schema.String,
  /** Passed unchanged to the worker with each task. */
  payload: Schema.String,
  steps: Schema.Array(Step),
  schedule: Schema.optionalKey(Schedule),
  /** Unix milliseconds by the clock of the entry that accepted it. */
  acceptedAtMs: units.Count,
  /** The queue's policy when the job was accepted; it applies even if the queue has been removed since. */
  policy: QueuePolicy,
});

/** See {@link PoolJob}. */
export type PoolJob = typeof PoolJob.Type;

/** State of a job as reported to callers. */
export const PoolJobState = {
  queued: 'queued',
  running: 'running',
  complete: 'complete',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;

/** One of the values of {@link PoolJobState}. */
export type PoolJobState = (typeof PoolJobState)[keyof typeof PoolJobState];

/** No resources. */
export const NO_RESOURCES: Resources = { cpuMillicores: 0, memoryMb: 0, accelerators: 0 };

/**
 * @param a - resources
 * @param b - resources
 * @param times - how often `b` is added; negative to subtract
 * @returns their sum
 */
export const addResources = (a: Resources, b: Resources, times = 1): Resources => ({
  cpuMillicores: a.cpuMillicores + b.cpuMillicores * times,
  memoryMb: a.memoryMb + b.memoryMb * times,
  accelerators: a.accelerators + b.accelerators * times,
});

/**
 * @param a - resources
 * @param b - resources
 * @returns whether they are equal
 */
export const areSameResources = (a: Resources, b: Resources): boolean =>
  a.cpuMillicores === b.cpuMillicores &&
  a.memoryMb === b.memoryMb &&
  a.accelerators === b.accelerators;

const timesOf = (free: number, needed: number): number =>
  needed === 0 ? Number.MAX_SAFE_INTEGER : Math.max(0, Math.floor(free / needed));

/**
 * @param free - free capacity
 * @param needed - resource request of one task
 * @returns how many such tasks fit into the free capacity
 */
export const countFittingTasks = (free: Resources, needed: Resources): number =>
  Math.min(
    timesOf(free.cpuMillicores, needed.cpuMillicores),
    timesOf(free.memoryMb, needed.memoryMb),
    timesOf(free.accelerators, needed.accelerators),
  );

/**
 * @param step - a step
 * @returns the capacity that one of its tasks consumes on a worker
 */
export const consumedResources = (step: Step): Resources =>
  step.isFiller ? { ...step.resources, cpuMillicores: 0 } : step.resources;
