/**
 * Workers of a pool and what runs on them, as their agents tell.
 */
import * as Schema from 'effect/Schema';

import * as units from '../units.js';
import * as poolJob from './poolJob.js';

/** Whether a worker takes new tasks. */
export const WorkerState = { ready: 'ready', draining: 'draining', gone: 'gone' } as const;

/** One of the values of {@link WorkerState}. */
export type WorkerState = (typeof WorkerState)[keyof typeof WorkerState];

/** One life of a worker. */
export const WorkerInfo = Schema.Struct({
  workerId: Schema.String,
  /** Unix milliseconds of the worker's start: tells two lives under one id apart. */
  incarnationMs: units.Count,
  service: Schema.String,
  zone: Schema.String,
  state: Schema.Literals(['ready', 'draining', 'gone']),
  capacity: poolJob.Resources,
  labels: Schema.Array(Schema.String),
  rack: Schema.optionalKey(Schema.String),
  /** The machine under the worker, where the platform names it. */
  machineId: Schema.optionalKey(Schema.String),
  /** Least time that a draining worker still has. */
  remainingMs: Schema.optionalKey(units.Count),
});

/** See {@link WorkerInfo}. */
export type WorkerInfo = typeof WorkerInfo.Type;

/** How a run ended. */
export const EndKind = {
  done: 'done',
  /** By its own fault or the worker's. */
  failed: 'failed',
  stopped: 'stopped',
  /** Its lease ran out. */
  lapsed: 'lapsed',
  /** Another member of its gang ended. */
  broken: 'broken',
  /** The other members of its gang did not come in time. */
  alone: 'alone',
} as const;

/** One of the values of {@link EndKind}. */
export type EndKind = (typeof EndKind)[keyof typeof EndKind];

/** Something that runs on a worker. */
export const RunningTask = Schema.Struct({
  task: Schema.String,
  run: units.Count,
  /** Checkpoint from which the task can go on; empty where there is none. */
  saved: Schema.String,
  percent: Schema.Number,
  /** Tail latency in milliseconds of a task that serves, otherwise processor use; a rough figure. */
  loadFigure: Schema.optionalKey(Schema.Number),
});

/** See {@link RunningTask}. */
export type RunningTask = typeof RunningTask.Type;

/** Something that ran on a worker; listed until it is acknowledged. */
export const EndedRun = Schema.Struct({
  /** Rises within one life of the worker. */
  sequence: units.Count,
  task: Schema.String,
  run: units.Count,
  how: Schema.Literals(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
  saved: Schema.String,
});

/** See {@link EndedRun}. */
export type EndedRun = typeof EndedRun.Type;

/** What a worker said of itself at one moment. */
export const WorkerView = Schema.Struct({
  incarnationMs: units.Count,
  /** The worker's own steady clock. */
  clockMs: units.Count,
  running: Schema.Array(RunningTask),
  ended: Schema.Array(EndedRun),
});

/** See {@link WorkerView}. */
export type WorkerView = typeof WorkerView.Type;

/** Names a task of a job. */
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
 * @returns its parts, or undefined where it is none
 */
export const parseTaskName = (text: string): TaskName | undefined => {
  const parts = /^(.+)\.(\d+)\.(\d+)\.(\d+)$/.exec(text);
  const [, jobId, occurrence, step, index] = parts ?? [];
  if (jobId === undefined) return undefined;
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
};
