/**
 * Messages between an agent and the leader of its cell.
 */
import * as Schema from 'effect/Schema';

import * as task from '../../state/common/task.js';
import * as units from '../../state/common/units.js';
import * as worker from '../../state/common/worker.js';
import * as envelope from './envelope.js';

/** Announces a leader's epoch; from then on the agent rejects every lower epoch. */
export const FenceRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  epoch: units.Count,
  /** URL to which the agent reports from now on. */
  leaderUrl: units.Url,
});

/** See {@link FenceRequest}. */
export type FenceRequest = typeof FenceRequest.Type;

/** The agent's tasks at the instant when it accepted the epoch. */
export const FenceReply = Schema.Struct({
  from: envelope.Sender,
  bootId: units.CallerKey,
  acceptedEpoch: units.Count,
  /** Uptime of the agent's process. */
  uptimeMs: units.Count,
  worker: Schema.optionalKey(worker.WorkerInfo),
  /** Number of command messages that the agent has handled since its boot. */
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
  /** Boot of the agent that the leader has fenced; commands for an earlier boot are rejected. */
  bootId: units.CallerKey,
  commands: Schema.Array(task.TaskCommand),
});

/** See {@link CommandRequest}. */
export type CommandRequest = typeof CommandRequest.Type;

/** Result of one command. */
export const CommandResult = Schema.Struct({
  isAccepted: Schema.Boolean,
  /** The task with this token does not run and never will. */
  isGone: Schema.Boolean,
  /** Why the command was rejected. */
  reason: Schema.optionalKey(units.ShortText),
});

/** See {@link CommandResult}. */
export type CommandResult = typeof CommandResult.Type;

/** Results in the order of the commands. */
export const CommandReply = Schema.Struct({
  from: envelope.Sender,
  bootId: units.CallerKey,
  /** Number of command messages that the agent has handled since its boot. */
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
  /** Highest epoch that the agent has accepted. */
  epoch: units.Count,
  /** Uptime of the agent's process. */
  uptimeMs: units.Count,
  /** Stamp of the last reply from the leader of the epoch. */
  stampMs: Schema.optionalKey(units.Count),
  worker: worker.WorkerInfo,
  isLeaving: Schema.Boolean,
  /** Whether `tasks` has all tasks, or only those changed since the last acknowledged report. */
  isFull: Schema.Boolean,
  /** Number of command messages that the agent has handled since its boot. */
  commandCount: units.Count,
  tasks: Schema.Array(task.TaskReport),
});

/** See {@link ReportRequest}. */
export type ReportRequest = typeof ReportRequest.Type;

/** The leader's reply to a heartbeat. */
export const ReportReply = Schema.Struct({
  from: envelope.Sender,
  epoch: units.Count,
  /**
   * Lease of the worker's tasks, counted from when the report was sent. 0 if the leader may not
   * grant leases now; the previous lease then stays valid until it expires.
   */
  leaseMs: units.DurationMs,
  /** The leader's monotonic time; the agent returns it with the next report. */
  stampMs: units.Count,
  /** Period of reports while no task changes. */
  reportMs: units.DurationMs,
  /** The leader requests a full report. */
  wantsFull: Schema.Boolean,
  /** Ended tasks whose end is durable; the agent may drop them. */
  acknowledged: Schema.Array(task.TaskToken),
});

/** See {@link ReportReply}. */
export type ReportReply = typeof ReportReply.Type;
