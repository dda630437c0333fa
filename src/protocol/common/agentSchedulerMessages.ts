/**
 * Messages between an agent and the leader of its cell.
 */
import * as Schema from 'effect/Schema';

import * as task from '../../state/common/task.js';
import * as units from '../../state/common/units.js';
import * as worker from '../../state/common/worker.js';
import * as envelope from './envelope.js';

/** A leader makes its epoch known; the agent refuses every lower one from then on. */
export const FenceRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  epoch: units.Count,
  /** Where the agent reports from now on. */
  leaderUrl: units.Url,
});

/** See {@link FenceRequest}. */
export type FenceRequest = typeof FenceRequest.Type;

/** What the agent holds, as of the moment at which it accepted the epoch. */
export const FenceReply = Schema.Struct({
  from: envelope.Sender,
  bootId: units.CallerKey,
  acceptedEpoch: units.Count,
  /** How long the agent's process has been up. */
  uptimeMs: units.Count,
  worker: Schema.optionalKey(worker.WorkerInfo),
  /** Counts the command messages that the agent has handled since its boot. */
  commandCount: units.Count,
  tasks: Schema.Array(task.TaskReport),
});

/** See {@link FenceReply}. */
export type FenceReply = typeof FenceReply.Type;

/** Commands of one planning round to one agent. */
export const CommandRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  epoch: units.Count,
  /** Boot of the agent that the leader has fenced: a command that outlived it is refused. */
  bootId: units.CallerKey,
  commands: Schema.Array(task.TaskCommand),
});

/** See {@link CommandRequest}. */
export type CommandRequest = typeof CommandRequest.Type;

/** What became of one command. */
export const CommandResult = Schema.Struct({
  isAccepted: Schema.Boolean,
  /** Nothing of the token runs, and nothing of it ever will. */
  isGone: Schema.Boolean,
  /** Why it was refused. */
  reason: Schema.optionalKey(units.ShortText),
});

/** See {@link CommandResult}. */
export type CommandResult = typeof CommandResult.Type;

/** Results in the order of the commands. */
export const CommandReply = Schema.Struct({
  from: envelope.Sender,
  bootId: units.CallerKey,
  /** Counts the command messages that the agent has handled since its boot. */
  commandCount: units.Count,
  results: Schema.Array(CommandResult),
});

/** See {@link CommandReply}. */
export type CommandReply = typeof CommandReply.Type;

/** The agent's heartbeat to its leader, which also renews the leases of the worker's tasks. */
export const ReportRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  bootId: units.CallerKey,
  /** Epoch that the agent has accepted. */
  epoch: units.Count,
  /** How long the agent's process has been up. */
  uptimeMs: units.Count,
  /** Stamp of the last answer from the leader of the epoch. */
  stampMs: Schema.optionalKey(units.Count),
  worker: worker.WorkerInfo,
  isLeaving: Schema.Boolean,
  /** All tasks, or only those that changed since the last acknowledged report. */
  isFull: Schema.Boolean,
  /** Counts the command messages that the agent has handled since its boot. */
  commandCount: units.Count,
  tasks: Schema.Array(task.TaskReport),
});

/** See {@link ReportRequest}. */
export type ReportRequest = typeof ReportRequest.Type;

/** The leader's answer to a heartbeat. */
export const ReportReply = Schema.Struct({
  from: envelope.Sender,
  epoch: units.Count,
  /**
   * From the sending of the report on, the worker's tasks may run this long without another. 0 where
   * the leader may not grant: what was granted before stands.
   */
  leaseMs: units.DurationMs,
  /** The leader's monotonic time, to be sent back with the next report. */
  stampMs: units.Count,
  /** Period of the next reports while nothing happens. */
  reportMs: units.DurationMs,
  /** The leader wants to be told everything. */
  wantsFull: Schema.Boolean,
  /** Ended tasks whose end is durable; the agent may forget them. */
  acknowledged: Schema.Array(task.TaskToken),
});

/** See {@link ReportReply}. */
export type ReportReply = typeof ReportReply.Type;
