/**
 * What a planning round reads and what it decides. The leader builds the view and carries the plan
 * out; everything between is pure.
 */
import type * as configuration from '../../state/common/configuration.js';
import type * as job from '../../state/common/job.js';
import type * as worker from '../../state/common/worker.js';

import type * as runEstimates from './runEstimates.js';

/** A worker as planning sees it. */
export interface PlanWorker {
  readonly workerId: string;
  readonly rack: string;
  readonly accelerators: number;
  readonly health: worker.WorkerHealth;
  /** Set while the planner itself holds the worker in quarantine, not an operator. */
  readonly autoQuarantinedSinceMs?: number;
  /** Failures before this moment don't count: the worker was released after them. */
  readonly blameFromMs?: number;
}

/** What a round is planned from. */
export interface PlanView {
  readonly nowMs: number;
  readonly cell: string;
  readonly configVersion: number;
  readonly document: configuration.ConfigurationDocument;
  readonly workers: readonly PlanWorker[];
  /** All jobs of the cell that have not ended, in the order of their submission. */
  readonly jobs: readonly job.JobRecord[];
  /** Ended jobs that failed somewhere: evidence against workers or against the jobs. */
  readonly endedFailedJobs?: readonly job.JobRecord[];
  /** Run times learned from jobs that finished. */
  readonly estimates?: runEstimates.RunEstimates;
}

/** A job that gets accelerators. */
export interface PlannedPlacement {
  readonly jobId: string;
  readonly placement: readonly job.MemberPlacement[];
  readonly ruleId: string | undefined;
  readonly why: string;
}

/** A job that must give its accelerators back. */
export interface PlannedStop {
  readonly jobId: string;
  readonly cause: 'reclaimed' | 'compacted';
  readonly why: string;
}

/** A job that waits, with the reason for people. */
export interface PlannedWait {
  readonly jobId: string;
  readonly why: string;
}

/** A worker that is to be quarantined or released. */
export interface PlannedHealth {
  readonly workerId: string;
  readonly why: string;
}

/** What a round decided. */
export interface Plan {
  readonly placements: readonly PlannedPlacement[];
  readonly stops: readonly PlannedStop[];
  readonly waits: readonly PlannedWait[];
  readonly quarantines: readonly PlannedHealth[];
  readonly releases: readonly PlannedHealth[];
  /** What operators must know: guarantees that can't be met now, for instance. */
  readonly warnings: readonly string[];
}
