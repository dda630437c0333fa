/**
 * The leader's in-memory state of one job: its tasks, their runs and what may start next. Pure: the
 * leader stores what changed and sends the orders that follow from it.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import type * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import * as crashAttribution from './crashAttribution.js';
import type * as delayedOrders from './delayedOrders.js';

/** One task with the state of its current run. */
export interface TaskEntry {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  run: number;
  phase: progressRecord.TaskPhase;
  failures: number;
  failedRun: number;
  workerId: string;
  incarnationMs: number;
  agentId: string;
  saved: string;
  /** Consecutive starts that no worker accepted. */
  refusals: number;
  /** Leader's clock before which it is not started again. */
  notBeforeMs: number;
  /** Workers on which it failed, stalled or straggled; its next run avoids them where possible. */
  avoidedWorkerIds: string[];
  /** How often it was restarted on another worker because it was a straggler. */
  relocations: number;
  /** Unix milliseconds at which its run was assigned; 0 where unknown. */
  startedAtWallMs: number;
  /** Factor by which its run takes longer than with local data; 0 where unknown. */
  distanceFactor: number;
  /** Observed runtime, converted to that with local data; 0 where unknown or not done. */
  workMs: number;
  /** An earlier run that was declared lost but turned out to be done; 0 where there is none. */
  earlierDoneRun: number;
  /** The run whose start order has no result yet; 0 where there is none. */
  orderedRun: number;
  /** Unacknowledged start orders of any of its runs, one for each agent. */
  openOrders: delayedOrders.OpenOrder[];
  /** Crashes of workers under it, ordered by run. */
  crashes: progressRecord.WorkerCrash[];
  /** Starts since the crash from which on its starts are limited. */
  limitedStarts: number;
  /** The last start that certainly did not begin; 0 where there is none. */
  notBegunRun: number;
}

/** One job with its tasks; occurrences of a schedule are added when they are due. */
export interface JobEntry {
  readonly job: poolJob.PoolJob;
  state: poolJob.PoolJobState;
  isCancelled: boolean;
  /** Unix milliseconds of its end; 0 before. */
  endedAtMs: number;
  /** Tasks by occurrence, step and index. */
  readonly occurrences: TaskEntry[][][];
  /** Revision of the progress record in the store; 0 where there is none. */
  progressRevision: number;
  /** Leader's clock when it discovered the job. */
  readonly discoveredAtMs: number;
  /** How often a run of it was preempted. */
  preemptions: number;
  /** The store refuses its progress record: nothing of it starts until the record is stored. */
  isRecordRefused: boolean;
}

/** Tasks that start together: a gang, or one task. */
export interface ReadyUnit {
  readonly entry: JobEntry;
  readonly step: poolJob.Step;
  readonly stepIndex: number;
  readonly occurrence: number;
  readonly tasks: readonly TaskEntry[];
}

const newTask = (occurrence: number, step: number, index: number): TaskEntry => ({
  occurrence,
  step,
  index,
  run: 0,
  phase: progressRecord.TaskPhase.waiting,
  failures: 0,
  failedRun: 0,
  workerId: '',
  incarnationMs: 0,
  agentId: '',
  saved: '',
  refusals: 0,
  notBeforeMs: 0,
  avoidedWorkerIds: [],
  relocations: 0,
  startedAtWallMs: 0,
  distanceFactor: 0,
  workMs: 0,
  earlierDoneRun: 0,
  orderedRun: 0,
  openOrders: [],
  crashes: [],
  limitedStarts: 0,
  notBegunRun: 0,
});

const newOccurrence = (job: poolJob.PoolJob, occurrence: number): TaskEntry[][] =>
  job.steps.map((step, stepIndex) =>
    Array.from({ length: step.count }, (_, index) => newTask(occurrence, stepIndex, index)),
  );

/**
 * @param job - a job
 * @returns the number of its occurrences; 1 without a schedule
 */
export const occurrenceCount = (job: poolJob.PoolJob): number => job.schedule?.occurrences ?? 1;

/**
 * @param job - a job
 * @param occurrence - counted from 0
 * @returns Unix milliseconds before which the occurrence may not start; 0 without a schedule
 */
export const dueAtMs = (job: poolJob.PoolJob, occurrence: number): number =>
  job.schedule === undefined ? 0 : job.schedule.firstAtMs + occurrence * job.schedule.intervalMs;

/**
 * Adds the occurrences that are due.
 *
 * @param entry - a job
 * @param wallMs - Unix milliseconds now
 */
export const addDueOccurrences = (entry: JobEntry, wallMs: number): void => {
  const total = occurrenceCount(entry.job);
  for (let next = entry.occurrences.length; next < total; next += 1) {
    if (dueAtMs(entry.job, next) > wallMs) return;
    entry.occurrences.push(newOccurrence(entry.job, next));
  }
};

/**
 * @param job - an accepted job
 * @param nowMs - the leader's clock
 * @returns the job without progress; its tasks are added at once unless it has a schedule
 */
export const createJobEntry = (job: poolJob.PoolJob, nowMs: number): JobEntry => {
  const entry: JobEntry = {
    job,
    state: poolJob.PoolJobState.queued,
    isCancelled: false,
    endedAtMs: 0,
    occurrences: [],
    progressRevision: 0,
    discoveredAtMs: nowMs,
    preemptions: 0,
    isRecordRefused: false,
  };
  if (job.schedule === undefined) addDueOccurrences(entry, 0);
  return entry;
};

/**
 * @param entry - a job
 * @returns all its tasks
 */
export const tasksOf = (entry: JobEntry): readonly TaskEntry[] => entry.occurrences.flat(2);

/**
 * @param entry - a job
 * @param name - a task's name
 * @returns the task, or undefined where the job has none of that name
 */
export const findTask = (entry: JobEntry, name: poolWorker.TaskName): TaskEntry | undefined =>
  entry.occurrences[name.occurrence]?.[name.step]?.[name.index];

/**
 * Restores the progress that a previous leader stored.
 *
 * @param entry - a job without progress
 * @param record - its progress
 * @param revision - revision of the record in the store
 */
export const restoreProgress = (
  entry: JobEntry,
  record: progressRecord.ProgressRecord,
  revision: number,
): void => {
  entry.state = record.state;
  entry.endedAtMs = record.endedAtMs;
  entry.progressRevision = revision;
  const last = record.tasks.reduce((highest, row) => Math.max(highest, row.occurrence), -1);
  for (let next = entry.occurrences.length; next <= last; next += 1) {
    entry.occurrences.push(newOccurrence(entry.job, next));
  }
  for (const row of record.tasks) {
    const task = entry.occurrences[row.occurrence]?.[row.step]?.[row.index];
    if (task !== undefined) Object.assign(task, row);
  }
};

/**
 * @param entry - a job
 * @returns its progress as it is stored
 */
export const toProgressRecord = (entry: JobEntry): progressRecord.ProgressRecord => ({
  state: entry.state,
  endedAtMs: entry.endedAtMs,
  tasks: tasksOf(entry).filter((task) => task.run > 0 || task.phase !== 'waiting'),
});

/**
 * @param entry - a job
 * @returns whether it is in a final state
 */
export const isEnded = (entry: JobEntry): boolean =>
  entry.state === poolJob.PoolJobState.complete ||
  entry.state === poolJob.PoolJobState.failed ||
  entry.state === poolJob.PoolJobState.cancelled;

/**
 * @param tasks - tasks of a step, or of a job
 * @returns whether all of them are done
 */
export const areTasksDone = (tasks: readonly TaskEntry[]): boolean =>
  tasks.every((task) => task.phase === progressRecord.TaskPhase.done);

/**
 * @param task - a task
 * @returns whether it is done or has failed for good
 */
export const isTaskEnded = ({ phase }: TaskEntry): boolean =>
  phase === progressRecord.TaskPhase.done || phase === progressRecord.TaskPhase.failed;

/** First backoff after a start that no worker accepted, doubled with each further one. */
const FIRST_REFUSAL_BACKOFF_MS = 100;

/** Longest backoff: the worker or its policy may have changed by then. */
const MAX_REFUSAL_BACKOFF_MS = 5000;

/**
 * Backs off after a start that was refused or not acknowledged. Without a pause a worker that refuses
 * everything is sent start after start, each with a write to the store.
 *
 * @param task - the task
 * @param nowMs - the leader's clock
 */
export const recordRefusal = (task: TaskEntry, nowMs: number): void => {
  task.notBeforeMs =
    nowMs + Math.min(MAX_REFUSAL_BACKOFF_MS, FIRST_REFUSAL_BACKOFF_MS * 2 ** task.refusals);
  task.refusals += 1;
};

/**
 * Records that the last start of a task certainly did not begin, so it does not count against a limit.
 *
 * @param task - the task
 * @param run - number of the start
 */
export const recordNotBegun = (task: TaskEntry, run: number): void => {
  if (task.run !== run || task.notBegunRun === run) return;
  task.notBegunRun = run;
  task.limitedStarts = Math.max(0, task.limitedStarts - 1);
};

/**
 * Forgets the crashes of a task that is not their cause.
 *
 * @param task - the task
 */
export const forgetCrashes = (task: TaskEntry): void => {
  task.crashes = [];
  task.limitedStarts = 0;
};

/**
 * Lets a task avoid the worker of its last run from now on, where another one can take it.
 *
 * @param task - the task
 */
export const avoidWorker = (task: TaskEntry): void => {
  const { workerId, avoidedWorkerIds } = task;
  if (workerId !== '' && !avoidedWorkerIds.includes(workerId)) avoidedWorkerIds.push(workerId);
};

/**
 * Records that tasks are relocated because their worker slows them down.
 *
 * @param tasks - a gang, or one task
 */
export const recordRelocation = (tasks: readonly TaskEntry[]): void => {
  for (const task of tasks) {
    task.relocations += 1;
    task.avoidedWorkerIds.push(task.workerId);
  }
};

/**
 * @param entry - a job
 * @param task - one of its tasks
 * @returns the tasks that run and end together with it: its gang, or the task alone
 */
export const groupOf = (entry: JobEntry, task: TaskEntry): readonly TaskEntry[] =>
  entry.job.steps[task.step]?.isGang === true
    ? (entry.occurrences[task.occurrence]?.[task.step] ?? [task])
    : [task];

/** A task of a unit with the worker that it is assigned to. */
export interface Assignment {
  readonly task: TaskEntry;
  readonly workerId: string;
  readonly incarnationMs: number;
  readonly agentId: string;
}

/** Start of a run; 0 where a value is unknown. */
export interface RunStart {
  /** Unix milliseconds. */
  readonly wallMs: number;
  /** Factor by which the run takes longer than with local data. */
  readonly distanceFactor: number;
}

/**
 * Records that a task of a job has begun: its worker has accepted or reported a run of it. An assignment shows nothing,
 * since its start may be refused, get no answer or never be sent.
 *
 * @param entry - the job
 * @returns whether none of its tasks was known to have begun
 */
export const recordBegun = (entry: JobEntry): boolean => {
  if (entry.state !== poolJob.PoolJobState.queued) return false;
  entry.state = poolJob.PoolJobState.running;
  return true;
};

/**
 * Assigns the tasks of a unit to workers, under one run number that no member has had before. A gang
 * resumes from one common checkpoint.
 *
 * @param assignments - one for each task of the unit
 * @param start - when they start and how remote from their data
 */
export const assign = (
  assignments: readonly Assignment[],
  start: RunStart = { wallMs: 0, distanceFactor: 0 },
): void => {
  const run = 1 + Math.max(...assignments.map(({ task }) => task.run));
  const saved = assignments.map(({ task }) => task.saved).find((it) => it !== '') ?? '';
  for (const { task, workerId, incarnationMs, agentId } of assignments) {
    task.run = run;
    task.phase = progressRecord.TaskPhase.assigned;
    task.workerId = workerId;
    task.incarnationMs = incarnationMs;
    task.agentId = agentId;
    task.saved = saved;
    task.startedAtWallMs = start.wallMs;
    task.distanceFactor = start.distanceFactor;
    if (crashAttribution.isLimited(task)) task.limitedStarts += 1;
  }
};
