/**
 * What agents say to the leader of their cell, and what it answers.
 */
import type * as task from '../../state/common/task.js';
import type * as worker from '../../state/common/worker.js';

/** What an agent holds, as it says when it accepts an epoch or reports. */
export interface AgentState {
  readonly bootId: string;
  readonly acceptedEpoch: number;
  /** How long the agent has been up. */
  readonly uptimeMs: number;
  readonly worker: worker.WorkerInfo | undefined;
  /** Command messages that the agent had handled when it wrote this. */
  readonly commandCount: number;
  readonly tasks: readonly task.TaskReport[];
}

/** A report as the leader takes it. */
export interface AgentReport extends AgentState {
  readonly worker: worker.WorkerInfo;
  /** This leader's stamp that the agent had received before. */
  readonly stampMs: number | undefined;
  readonly isFull: boolean;
  readonly isLeaving: boolean;
}

/** What the leader answers to a report. */
export interface ReportAnswer {
  readonly epoch: number;
  readonly leaseMs: number;
  readonly stampMs: number;
  readonly reportMs: number;
  readonly wantsFull: boolean;
  readonly acknowledged: readonly task.TaskToken[];
}
