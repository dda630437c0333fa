/**
 * Tasks: the members of a job as agents and workers see them.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Names one start of one member. The same token twice is the same start. */
export const TaskToken = Schema.Struct({
  jobId: units.CallerKey,
  attempt: units.Count,
  member: units.integerBetween(0, 63),
});

/** See {@link TaskToken}. */
export type TaskToken = typeof TaskToken.Type;

/**
 * @param token - names one start of one member
 * @returns the token as a key
 */
export const tokenKey = (token: TaskToken): string =>
  `${token.jobId}/${token.attempt}/${token.member}`;

/** Where a task is, as its agent reports it. */
export const TaskPhase = {
  /** Accelerators are held for it under a reservation lease. */
  reserved: 'reserved',
  running: 'running',
  /** Asked to checkpoint and stop, within its grace. */
  stopping: 'stopping',
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
} as const;

/** One of the values of {@link TaskPhase}. */
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase];

/** What an agent says about one task. */
export const TaskReport = Schema.Struct({
  token: TaskToken,
  phase: Schema.Literals(['reserved', 'running', 'stopping', 'done', 'failed', 'stopped']),
  accelerators: Schema.Array(units.integerBetween(0, 63)),
  /** Work done since the job's very first start, as far as the worker's lagged report says. */
  progressMs: units.Count,
  /** Work that a restart would keep. */
  checkpointMs: units.Count,
  reason: Schema.optionalKey(units.ShortText),
});

/** See {@link TaskReport}. */
export type TaskReport = typeof TaskReport.Type;

/** Holds accelerators for a member until it is started, released or the reservation lapses. */
export const ReserveCommand = Schema.Struct({
  type: Schema.Literal('reserve'),
  token: TaskToken,
  accelerators: Schema.Array(units.integerBetween(0, 63)),
  leaseMs: units.DurationMs,
});

/** Gives up a reservation. */
export const ReleaseCommand = Schema.Struct({ type: Schema.Literal('release'), token: TaskToken });

/** Starts a reserved member. */
export const StartCommand = Schema.Struct({
  type: Schema.Literal('start'),
  token: TaskToken,
  /** Work that the last checkpoint kept. */
  resumeFromMs: units.Count,
  payload: Schema.String,
});

/** Stops a member and makes any later start of the same token fail. */
export const StopCommand = Schema.Struct({
  type: Schema.Literal('stop'),
  token: TaskToken,
  /** Time for a checkpoint; 0 stops at once. */
  graceMs: units.DurationMs,
});

/** Slows a member down. */
export const ThrottleCommand = Schema.Struct({
  type: Schema.Literal('throttle'),
  token: TaskToken,
  share: units.Share,
});

/** Asks for a checkpoint while the member goes on. */
export const CheckpointCommand = Schema.Struct({
  type: Schema.Literal('checkpoint'),
  token: TaskToken,
});

/** What a cell's leader may ask of an agent. */
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
