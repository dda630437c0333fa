/**
 * The workers of a cell as its leader knows them, and until when their tasks may still run.
 *
 * Guards against running a job twice: a worker that is not heard of counts as running its tasks
 * until the longest lease that any leader may have granted it has certainly lapsed.
 */
import type * as worker from '../../state/common/worker.js';

/** A worker with what the leader knows of it. */
export interface RosterEntry {
  readonly info: worker.WorkerInfo;
  readonly bootId: string;
  readonly lastReportMs: number;
  /** Monotonic moment after which no task of the worker can run without a new lease. */
  readonly leaseUntilMs: number;
  readonly isQuarantined: boolean;
  readonly isLeaving: boolean;
  readonly healthReason: string;
  /** Command messages that the agent has answered since its boot. */
  readonly commandCount: number;
  /** Whether the agent has accepted this leader's epoch. */
  readonly isFenced: boolean;
}

/** All workers of the cell by id. */
export type Roster = ReadonlyMap<string, RosterEntry>;

/** Largest difference in speed between two monotonic clocks. */
export const CLOCK_DRIFT_SHARE = 0.01;

/** A worker without a report for this long gets no new work. */
export const SUSPECT_AFTER_MS = 4000;

/**
 * @param leaseMs - a lease as it is granted
 * @returns how long the granting side waits before it counts the lease as lapsed
 */
export const certainLapseMs = (leaseMs: number): number => leaseMs * (1 + CLOCK_DRIFT_SHARE);

/**
 * @param entry - a worker
 * @param nowMs - monotonic time
 * @returns whether it may be given work
 */
export const healthOf = (entry: RosterEntry, nowMs: number): worker.WorkerHealth => {
  if (entry.isQuarantined) return 'quarantined';
  if (!entry.isFenced || nowMs - entry.lastReportMs > SUSPECT_AFTER_MS) return 'unreachable';
  return entry.isLeaving ? 'leaving' : 'ready';
};

/**
 * @param entry - a worker
 * @param nowMs - monotonic time
 * @returns whether none of its tasks can run any more
 */
export const isLapsed = (entry: RosterEntry, nowMs: number): boolean => nowMs > entry.leaseUntilMs;
