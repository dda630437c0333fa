/**
 * Jobs of a pool: steps with dependencies, each of tasks with a vector of resources. The pool is the
 * set of workers of one service over all availability zones.
 */
import * as Schema from 'effect/Schema';

import * as units from '../units.js';

/** What one task takes of a worker, or what a worker has. */
export const Resources = Schema.Struct({
  cpuMillicores: units.Count,
  memoryMb: units.Count,
  accelerators: units.Count,
});

/** See {@link Resources}. */
export type Resources = typeof Resources.Type;

/** Most tasks of one step; beyond it a job's progress would outgrow one value of the store. */
export const MAX_TASKS_PER_STEP = 5000;

/** Most steps of one job. */
export const MAX_STEPS = 100;

/** Like tasks that become ready together. */
export const Step = Schema.Struct({
  count: units.integerBetween(1, MAX_TASKS_PER_STEP),
  resources: Resources,
  /** What the submitter believes a task takes; far from the truth as often as not. */
  estimatedMs: units.Count,
  /** Earlier steps whose tasks must all be done first. */
  after: Schema.Array(units.Count),
  isCheckpointing: Schema.Boolean,
  /** All tasks run together or none does. */
  isGang: Schema.Boolean,
  /** On more than one rack the tasks take several times as long. */
  isSameRack: Schema.Boolean,
  /** Label that a worker must have. */
  requiredLabel: Schema.optionalKey(Schema.String),
  /** Rack where the data is; elsewhere the tasks take several times as long. */
  preferredRack: Schema.optionalKey(Schema.String),
  /** Most tasks of the step on one worker; 0 sets no limit. */
  maxPerWorker: units.Count,
  /** Copies of a task may run in parallel. */
  isSpeculative: Schema.Boolean,
  /** Runs until the job is cancelled and is started again however it ends. */
  isLongRunning: Schema.Boolean,
  /** What the tasks run; tasks of one image behave alike. */
  image: Schema.optionalKey(Schema.String),
  /** Tail latency that a long-running task owes its own users; 0 sets none. */
  targetLatencyMs: units.Count,
  /** Takes only processor time that other tasks leave; its processor share takes no room. */
  isFiller: Schema.Boolean,
  /** Tasks that the system may keep away at once; absent where nothing was asked for. */
  maxUnavailable: Schema.optionalKey(units.Count),
});

/** See {@link Step}. */
export type Step = typeof Step.Type;

/** Times at which the steps run anew. */
export const Schedule = Schema.Struct({
  /** Unix milliseconds of the first occurrence. */
  firstAtMs: units.Count,
  intervalMs: units.Count,
  occurrences: units.integerBetween(1, 100_000),
});

/** See {@link Schedule}. */
export type Schedule = typeof Schedule.Type;

/** What the configuration says of a queue's jobs. */
export const QueuePolicy = Schema.Struct({
  queue: Schema.String,
  /** Service whose workers run the tasks. */
  service: Schema.String,
  /** 0 comes first and may preempt the others. */
  priority: units.Count,
  /** Failed runs after which a task is given up. */
  attempts: units.Count,
  /** A job is in time within this multiple of its longest chain of work, plus the objective. */
  stretch: Schema.Number,
  objectiveMs: units.Count,
  /** The queue's starts need the policy service's consent. */
  needsAdvice: Schema.Boolean,
});

/** See {@link QueuePolicy}. */
export type QueuePolicy = typeof QueuePolicy.Type;

/** A job as it was accepted; never changed afterwards. */
export const PoolJob = Schema.Struct({
  jobId: units.CallerKey,
  customerId: Schema.String,
  /** Handed to the worker with each task as it is. */
  payload: Schema.String,
  steps: Schema.Array(Step),
  schedule: Schema.optionalKey(Schedule),
  /** Unix milliseconds at the entry that accepted it. */
  acceptedAtMs: units.Count,
  /** The queue's policy when the job came; holds on where the queue has gone since. */
  policy: QueuePolicy,
});

/** See {@link PoolJob}. */
export type PoolJob = typeof PoolJob.Type;

/** Where a job is, as callers see it. */
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
 * @param times - how often `b` is added; negative to take it away
 * @returns their sum
 */
export const addResources = (a: Resources, b: Resources, times = 1): Resources => ({
  cpuMillicores: a.cpuMillicores + b.cpuMillicores * times,
  memoryMb: a.memoryMb + b.memoryMb * times,
  accelerators: a.accelerators + b.accelerators * times,
});

const timesOf = (free: number, needed: number): number =>
  needed === 0 ? Number.MAX_SAFE_INTEGER : Math.max(0, Math.floor(free / needed));

/**
 * @param free - room
 * @param needed - what one task takes
 * @returns how many such tasks the room holds
 */
export const timesThatFit = (free: Resources, needed: Resources): number =>
  Math.min(
    timesOf(free.cpuMillicores, needed.cpuMillicores),
    timesOf(free.memoryMb, needed.memoryMb),
    timesOf(free.accelerators, needed.accelerators),
  );

/**
 * @param step - a step
 * @returns what one of its tasks takes of a worker's room
 */
export const roomOf = (step: Step): Resources =>
  step.isFiller ? { ...step.resources, cpuMillicores: 0 } : step.resources;
