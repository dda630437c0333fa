/**
 * Inputs and decisions of a planning round.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import type * as jobState from './jobState.js';

/** A run that occupies capacity on a worker until its end is reported. */
export interface Allocation {
  readonly jobId: string;
  readonly task: string;
  readonly run: number;
  readonly room: poolJob.Resources;
  /** Identifies the step of one occurrence. */
  readonly stepKey: string;
  /** Identifies what is stopped together: a gang, or one task. */
  readonly groupKey: string;
  readonly priority: number;
  readonly customerId: string;
  /** It is terminating or presumably not on the worker; its capacity is free soon. */
  readonly isLeaving: boolean;
  /** Must not be preempted: its step limits how many of its tasks may be unavailable. */
  readonly isProtected: boolean;
  /** How often a run of its job was preempted. */
  readonly preemptions: number;
  readonly isCheckpointing: boolean;
  /** Work that is lost if it is stopped now, in milliseconds of its runtime. */
  readonly unsavedMs: number;
  /** How long its task can start on no other worker if it is stopped now. */
  readonly boundMs: number;
  /** Expected time to its end; infinite for a run that lasts until it is stopped. */
  readonly remainingMs: number;
}

/** A worker that accepts tasks. */
export interface PlanWorker {
  readonly workerId: string;
  readonly agentId: string;
  readonly incarnationMs: number;
  readonly service: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: poolJob.Resources;
  /** Free capacity; a round takes from it. */
  free: poolJob.Resources;
  readonly allocations: readonly Allocation[];
  /** Suspected of failing or slowing its runs; used only where no other worker can ever hold a unit. */
  readonly isSuspect: boolean;
  /** A run failed here since the last one that was done: used only where the others have no room now. */
  readonly isDoubtful: boolean;
  /** A run that started here lately went well: preferred by units that failed before. */
  readonly isProven: boolean;
  /** Time of a task here relative to a worker of mean speed. */
  readonly speedFactor: number;
  /** Tasks of each step that the round has placed here. */
  readonly placedSteps: Map<string, number>;
  /** Jobs of these tasks. */
  readonly placedJobIds: Set<string>;
  /** The only job whose tasks may start here; absent where there is no such limit. */
  exclusiveJobId?: string | undefined;
}

/** Groups of workers; a unit is placed within one group. */
export type CandidateGroups = readonly (readonly PlanWorker[])[];

/** Whether a worker is among those preferred for a unit. */
export type Preference = (worker: PlanWorker) => boolean;

/** Tasks that start together or not at all. */
export interface PlanUnit {
  readonly unit: jobState.ReadyUnit;
  readonly groupKey: string;
  readonly stepKey: string;
  readonly priority: number;
  readonly customerId: string;
  readonly room: poolJob.Resources;
  /** Latest start, on the leader's clock, with which the job is in time on workers of mean speed. */
  readonly latestStartMs: number;
  /** Latest start, on the leader's clock, with which the job still has value to the caller. */
  readonly latestUsefulStartMs: number;
  /** Acceptance or due time, on the leader's clock. */
  readonly releaseTimeMs: number;
  /** How long it has been ready. */
  readonly waitedMs: number;
  /** Expected runtime of one task with local data on a worker of mean speed. */
  readonly expectedMs: number;
  /** Policy service's consent by worker that may run it; absent where none is needed. */
  readonly ticketsByWorker?: ReadonlyMap<string, string>;
  /**
   * For each of its tasks the only worker that may run it, since a delayed copy of its start order may arrive there;
   * undefined for a task without one. Absent where no task has one.
   */
  readonly boundWorkerIds?: readonly (string | undefined)[];
  /** It starts only on workers without tasks of other jobs, which start none until it is off probation. */
  readonly isIsolated?: boolean;
  /** It has waited too long: an isolated unit may start beside tasks that run already. */
  readonly mayShareWorker?: boolean;
}

/** A unit with a worker for each of its tasks. */
export interface Placement {
  readonly unit: PlanUnit;
  /** In the order of the unit's tasks. */
  readonly workers: readonly PlanWorker[];
}

/** Why a unit was not started. */
export interface Wait {
  readonly unit: PlanUnit;
  readonly reason: string;
}

/** A straggler, as a unit to be started on another worker. */
export interface StragglerUnit {
  readonly unit: PlanUnit;
  /** Workers that run it now. */
  readonly workerIds: ReadonlySet<string>;
}

/** Decisions of a round. */
export interface RoundPlan {
  readonly starts: readonly Placement[];
  /** Groups to preempt by key, each with the unit that gets its capacity. */
  readonly preemptions: ReadonlyMap<string, PlanUnit>;
  readonly waits: readonly Wait[];
  /** Stragglers to stop, so that they restart on other workers. */
  readonly relocations: readonly PlanUnit[];
}

/** Accelerators guaranteed to each customer's jobs of priority 0. */
export type Guarantees = ReadonlyMap<string, number>;
