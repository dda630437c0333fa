/**
 * Tasks: the members of a job as agents and workers run them.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Identifies one start of one member. Repeating a token repeats the same start. */
export const TaskToken = Schema.Struct({
  jobId: units.CallerKey,
  attempt: units.Count,
  member: units.integerBetween(0, 63),
});

/** See {@link TaskToken}. */
export type TaskToken = typeof TaskToken.Type;

/**
 * @param token - identifies one start of one member
 * @returns the token as a string key
 */
export const tokenKey = (token: TaskToken): string =>
  `${token.jobId}/${token.attempt}/${token.member}`;

/** State of a task, as reported by its agent. */
export const TaskPhase = {
  /** Accelerators are reserved for it under a lease. */
  reserved: 'reserved',
  running: 'running',
  /** Asked to checkpoint and stop within its grace period. */
  stopping: 'stopping',
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
} as const;

/** One of the values of {@link TaskPhase}. */
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase];

/** An agent's report of one task. */
export const TaskReport = Schema.Struct({
  token: TaskToken,
  phase: Schema.Literals(['reserved', 'running', 'stopping', 'done', 'failed', 'stopped']),
  accelerators: Schema.Array(units.integerBetween(0, 63)),
  /** Work done since the job's first start, according to the worker's delayed report. */
  progressMs: units.Count,
  /** Work that a restart would preserve. */
  checkpointMs: units.Count,
  reason: Schema.optionalKey(units.ShortText),
});

/** See {@link TaskReport}. */
export type TaskReport = typeof TaskReport.Type;

/** Reserves accelerators for a member until it is started or released, or the reservation expires. */
export const ReserveCommand = Schema.Struct({
  type: Schema.Literal('reserve'),
  token: TaskToken,
  accelerators: Schema.Array(units.integerBetween(0, 63)),
  leaseMs: units.DurationMs,
});

/** Releases a reservation. */
export const ReleaseCommand = Schema.Struct({ type: Schema.Literal('release'), token: TaskToken });

/** Starts a reserved member. */
export const StartCommand = Schema.Struct({
  type: Schema.Literal('start'),
  token: TaskToken,
  /** Work saved by the last checkpoint. */
  resumeFromMs: units.Count,
  payload: Schema.String,
});

/** Stops a member and makes any later start of the same token fail. */
export const StopCommand = Schema.Struct({
  type: Schema.Literal('stop'),
  token: TaskToken,
  /** Time for a checkpoint; 0 stops the member immediately. */
  graceMs: units.DurationMs,
});

/** Slows a member down. */
export const ThrottleCommand = Schema.Struct({
  type: Schema.Literal('throttle'),
  token: TaskToken,
  share: units.Share,
});

/** Requests a checkpoint while the member continues to run. */
export const CheckpointCommand = Schema.Struct({
  type: Schema.Literal('checkpoint'),
  token: TaskToken,
});

/** A command of a cell's leader to an agent. */
export const TaskCommand = Schema.Union([
  ReserveCommand,
  ReleaseCommand,
  StartCommand,
  StopCommand,
  ThrottleCommand,
  CheckpointCommand,
]);

/** See {@link TaskCommand}. */
export type TaskCommand = typeof TaskCommand.Type;
