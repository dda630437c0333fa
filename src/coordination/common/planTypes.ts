/**
 * Input and output of a planning round. The leader builds the input and carries out the plan;
 * everything in between is pure.
 */
import type * as configuration from '../../state/common/configuration.js';
import type * as job from '../../state/common/job.js';
import type * as worker from '../../state/common/worker.js';

import type * as runEstimates from './runEstimates.js';

/** A worker as input of planning. */
export interface PlanWorker {
  readonly workerId: string;
  readonly rack: string;
  readonly accelerators: number;
  readonly health: worker.WorkerHealth;
  /** Set while the worker is quarantined by the planner and not by an operator. */
  readonly autoQuarantinedSinceMs?: number;
  /** Failures before this time don't count: the worker was released after them. */
  readonly ignoreFailuresUntilMs?: number;
}

/** Input of a planning round. */
export interface PlanView {
  readonly nowMs: number;
  readonly cell: string;
  readonly configVersion: number;
  readonly document: configuration.ConfigurationDocument;
  readonly workers: readonly PlanWorker[];
  /** All jobs of the cell that have not ended, in order of submission. */
  readonly jobs: readonly job.JobRecord[];
  /** Ended jobs with failures, for attributing failures to workers or jobs. */
  readonly endedFailedJobs?: readonly job.JobRecord[];
  /** Run time estimates from finished jobs. */
  readonly estimates?: runEstimates.RunEstimates;
}

/** A job to be placed. */
export interface PlannedPlacement {
  readonly jobId: string;
  readonly placement: readonly job.MemberPlacement[];
  readonly ruleId: string | undefined;
  readonly why: string;
}

/** A job to be stopped. */
export interface PlannedStop {
  readonly jobId: string;
  readonly cause: 'reclaimed' | 'compacted';
  readonly why: string;
}

/** A job that stays queued, with a human-readable reason. */
export interface PlannedWait {
  readonly jobId: string;
  readonly why: string;
}

/** A worker to be quarantined or released. */
export interface PlannedHealthChange {
  readonly workerId: string;
  readonly why: string;
}

/** Decisions of a planning round. */
export interface Plan {
  readonly placements: readonly PlannedPlacement[];
  readonly stops: readonly PlannedStop[];
  readonly waits: readonly PlannedWait[];
  readonly quarantines: readonly PlannedHealthChange[];
  readonly releases: readonly PlannedHealthChange[];
  /** Warnings for operators, such as guarantees that can't be met now. */
  readonly warnings: readonly string[];
}
