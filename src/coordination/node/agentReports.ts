/**
 * State that agents report to the leader of their cell, and the leader's replies.
 */
import type * as task from '../../state/common/task.js';
import type * as worker from '../../state/common/worker.js';

/** State of an agent, sent when it accepts an epoch and with each report. */
export interface AgentState {
  readonly bootId: string;
  readonly acceptedEpoch: number;
  /** Uptime of the agent. */
  readonly uptimeMs: number;
  readonly worker: worker.WorkerInfo | undefined;
  /** Number of command messages that the agent had handled when it built this. */
  readonly commandCount: number;
  readonly tasks: readonly task.TaskReport[];
}

/** A report, as received by the leader. */
export interface AgentReport extends AgentState {
  readonly worker: worker.WorkerInfo;
  /** Stamp of the last reply of this leader that the agent had received. */
  readonly stampMs: number | undefined;
  readonly isFull: boolean;
  readonly isLeaving: boolean;
}

/** The leader's reply to a report. */
export interface ReportAnswer {
  readonly epoch: number;
  readonly leaseMs: number;
  readonly stampMs: number;
  readonly reportMs: number;
  readonly wantsFull: boolean;
  readonly acknowledged: readonly task.TaskToken[];
}
