/**
 * Workers of a pool and their runs, as reported by their agents.
 */
import * as Schema from 'effect/Schema';

import * as units from '../units.js';
import * as poolJob from './poolJob.js';

/** Whether a worker accepts new tasks. */
export const WorkerState = { ready: 'ready', draining: 'draining', gone: 'gone' } as const;

/** One of the values of {@link WorkerState}. */
export type WorkerState = (typeof WorkerState)[keyof typeof WorkerState];

/** One incarnation of a worker. */
export const WorkerInfo = Schema.Struct({
  workerId: Schema.String,
  /** Unix milliseconds of the worker's start: distinguishes incarnations with the same id. */
  incarnationMs: units.Count,
  service: Schema.String,
  zone: Schema.String,
  state: Schema.Literals(['ready', 'draining', 'gone']),
  capacity: poolJob.Resources,
  labels: Schema.Array(Schema.String),
  rack: Schema.optionalKey(Schema.String),
  /** The machine that hosts the worker, if the platform reports it. */
  machineId: Schema.optionalKey(Schema.String),
  /** Minimum time that a draining worker has left. */
  remainingMs: Schema.optionalKey(units.Count),
});

/** See {@link WorkerInfo}. */
export type WorkerInfo = typeof WorkerInfo.Type;

/** How a run ended. */
export const EndKind = {
  done: 'done',
  /** Because of its own fault or the worker's. */
  failed: 'failed',
  stopped: 'stopped',
  /** Its lease expired. */
  lapsed: 'lapsed',
  /** Another member of its gang ended. */
  broken: 'broken',
  /** The other members of its gang did not start in time. */
  alone: 'alone',
} as const;

/** One of the values of {@link EndKind}. */
export type EndKind = (typeof EndKind)[keyof typeof EndKind];

/** A run in progress on a worker. */
export const RunningTask = Schema.Struct({
  task: Schema.String,
  run: units.Count,
  /** Checkpoint from which the task can resume; empty if there is none. */
  saved: Schema.String,
  percent: Schema.Number,
  /** Tail latency in milliseconds of a serving task, otherwise processor use; a rough figure. */
  loadFigure: Schema.optionalKey(Schema.Number),
});

/** See {@link RunningTask}. */
export type RunningTask = typeof RunningTask.Type;

/** A run that ended on a worker; reported until it is acknowledged. */
export const EndedRun = Schema.Struct({
  /** Increases within one incarnation of the worker. */
  sequence: units.Count,
  task: Schema.String,
  run: units.Count,
  how: Schema.Literals(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
  saved: Schema.String,
});

/** See {@link EndedRun}. */
export type EndedRun = typeof EndedRun.Type;

/** A worker's report of its runs at one instant. */
export const WorkerReport = Schema.Struct({
  incarnationMs: units.Count,
  /** The worker's own monotonic clock. */
  clockMs: units.Count,
  running: Schema.Array(RunningTask),
  /** Ends that are not acknowledged, the earliest first. */
  ended: Schema.Array(EndedRun),
  /** The list of ends is as long as it can be: a run that neither list names may have ended. Absent where it is complete. */
  mayOmitEnds: Schema.optionalKey(Schema.Boolean),
});

/** See {@link WorkerReport}. */
export type WorkerReport = typeof WorkerReport.Type;

/** Identifies a task of a job. */
export interface TaskName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/**
 * @param name - a task
 * @returns its name on the wire
 */
export const formatTaskName = (name: TaskName): string =>
  `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`;

/**
 * @param text - a task's name
 * @returns its parts, or undefined if it is not a task's name
 */
export const parseTaskName = (text: string): TaskName | undefined => {
  const parts = /^(.+)\.(\d+)\.(\d+)\.(\d+)$/.exec(text);
  const [, jobId, occurrence, step, index] = parts ?? [];
  if (jobId === undefined) return undefined;
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
};

/**
 * @param name - a task's name
 * @param run - number of its start
 * @returns the key of the run among a worker's runs
 */
export const runKey = (name: string, run: number): string => `${name}#${run}`;
