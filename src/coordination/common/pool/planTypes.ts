/**
 * What a planning round looks at and what it decides.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import type * as jobBook from './jobBook.js';

/** A run that takes room on a worker until its end is listed. */
export interface Holding {
  readonly jobId: string;
  readonly task: string;
  readonly run: number;
  readonly room: poolJob.Resources;
  /** Names the step of one occurrence. */
  readonly stepKey: string;
  /** Names what is stopped together: a gang, or one task. */
  readonly groupKey: string;
  readonly priority: number;
  readonly customerId: string;
  /** Its end has been ordered, or it is of no more use; its room comes back soon. */
  readonly isLeaving: boolean;
  /** Whether stopping it would break a promise: a long-running task beyond its budget. */
  readonly isProtected: boolean;
  /** How often its job was stopped for others that could not claim it as their guarantee. */
  readonly preemptions: number;
  readonly isCheckpointing: boolean;
  /** Work that is lost where it is stopped now, in milliseconds of its run. */
  readonly unsavedMs: number;
  /** Expected time to its end. */
  readonly remainingMs: number;
}

/** A worker that may take tasks. */
export interface PlanWorker {
  readonly workerId: string;
  readonly agentId: string;
  readonly incarnationMs: number;
  readonly service: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: poolJob.Resources;
  /** Room that nothing holds; a round takes from it. */
  free: poolJob.Resources;
  readonly holdings: readonly Holding[];
  /** Fails or holds up what it runs, as far as one sees; takes tasks only where nobody else can. */
  readonly isSuspect: boolean;
  /** Tasks of each step that the round has placed here. */
  readonly placedSteps: Map<string, number>;
}

/** Tasks that start together or not at all. */
export interface PlanUnit {
  readonly unit: jobBook.ReadyUnit;
  readonly groupKey: string;
  readonly stepKey: string;
  readonly priority: number;
  readonly customerId: string;
  readonly room: poolJob.Resources;
  /** Time by the leader's clock until which a start still serves the caller in time. */
  readonly latestStartMs: number;
  /** Time by the leader's clock after which a start serves nobody any more. */
  readonly uselessAfterMs: number;
  /** Time by the leader's clock from which its caller counts. */
  readonly countedFromMs: number;
  /** How long it has been ready. */
  readonly waitedMs: number;
  /** Expected run time of one task near its data. */
  readonly expectedMs: number;
  /** Consent for each worker that may run it; absent where none is needed. */
  readonly ticketsByWorker?: ReadonlyMap<string, string>;
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

/** A running group that is held up, as it would be started elsewhere. */
export interface HeldUpUnit {
  readonly unit: PlanUnit;
  /** Workers that have it now. */
  readonly workerIds: ReadonlySet<string>;
}

/** What a round decided. */
export interface RoundPlan {
  readonly starts: readonly Placement[];
  /** Group keys of what is stopped so that a guarantee can be honoured, with its beneficiary. */
  readonly evictions: ReadonlyMap<string, PlanUnit>;
  readonly waits: readonly Wait[];
  /** What is stopped to be begun again on a worker that does not hold it up. */
  readonly moves: readonly PlanUnit[];
}

/** Accelerators that belong to each customer's jobs of priority 0. */
export type Guarantees = ReadonlyMap<string, number>;
