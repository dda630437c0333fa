/**
 * The workers of a cell as known to its leader, the time until which their tasks may still run, and
 * whether the leader may still grant leases.
 *
 * Guards against running a job twice. An unreachable worker counts as running its tasks until every
 * lease that any leader may have granted it has certainly expired. A previous leader that still
 * reaches the worker, while no other process does, would keep granting. So a leader grants only
 * while the store's lease on the leadership is certainly valid or a majority of the cell's agents
 * has confirmed its epoch within one term. A new leader that has fenced a majority knows that the
 * previous one can't get a majority any more, and when its last confirmation expires.
 */
import type * as worker from '../../state/common/worker.js';

/** A worker with its state as known to the leader. */
export interface RegisteredWorker {
  readonly info: worker.WorkerInfo;
  readonly bootId: string;
  readonly lastReportMs: number;
  /** Monotonic time after which no lease that this leader granted or found can be valid. */
  readonly leaseUntilMs: number;
  readonly isQuarantined: boolean;
  readonly isLeaving: boolean;
  readonly healthReason: string;
  /** Command messages that the agent has answered since its boot. */
  readonly commandCount: number;
  /** Whether the agent has accepted this leader's epoch. */
  readonly isFenced: boolean;
  /** Lower bound of the time of the agent's last confirmation, on this leader's monotonic clock. */
  readonly confirmedAtMs: number;
}

/** All workers of the cell by id. */
export type WorkerRegistry = ReadonlyMap<string, RegisteredWorker>;

/** Input, besides the workers, to the decision whether the leader may grant. */
export interface Authority {
  /** Whether the store's lease on the leadership is certainly valid. */
  readonly isStoreLeaseHeld: boolean;
  /**
   * Every set of workers that the store may contain as the cell's inventory. A majority is required
   * in each, since it is unknown which of them the next leader reads.
   */
  readonly voterSets: readonly ReadonlySet<string>[];
}

/** Maximum relative drift between two monotonic clocks. */
export const CLOCK_DRIFT_SHARE = 0.01;

/** Periods without a report after which a worker gets no new work; tolerates one lost report. */
export const SUSPECT_AFTER_PERIODS = 2.5;

/** Shortest report period; it matters only for small cells. */
export const MIN_REPORT_MS = 1000;

/** Report periods per lease, so that the loss of one or two reports stops no task. */
const REPORTS_PER_LEASE = 3;

/** Processor time of one report at the leader, including its tasks. */
const REPORT_COST_MS = 1;

/** Share of a core that a cell's reports may take: half of the control budget of a node. */
const REPORT_BUDGET_SHARE = 0.0085;

/**
 * The leader of a cell of 112 workers may use 1.7% of a core in total. Reports become less frequent
 * as the cell grows; urgent events (the end of a task, an unreachable agent) don't wait for them.
 * The lease bounds the period, so a cell too large for its lease costs more.
 *
 * @param workers - workers of the cell
 * @param leaseMs - the task lease
 * @returns the report period of each agent while there are no events
 */
export const reportPeriodMs = (workers: number, leaseMs: number): number => {
  const affordableMs = (workers * REPORT_COST_MS) / REPORT_BUDGET_SHARE;
  const wantedMs = Math.max(MIN_REPORT_MS, affordableMs);
  return Math.floor(Math.min(wantedMs, leaseMs / REPORTS_PER_LEASE));
};

/**
 * Maximum time in flight of a call from an agent to the worker on its VM. The worker counts a lease
 * from the arrival of the call, so its lease may end this much later than the agent's.
 */
export const WORKER_CALL_MS = 2000;

/**
 * @param leaseMs - a granted lease
 * @returns how long the grantor waits before it counts the lease as expired
 */
export const certainExpiryMs = (leaseMs: number): number =>
  leaseMs * (1 + CLOCK_DRIFT_SHARE) + WORKER_CALL_MS;

/**
 * @param leaseMs - the task lease, which is also the validity of a confirmation
 * @returns how long a leader may grant after one confirmation, on its own clock
 */
export const confirmationTermMs = (leaseMs: number): number => leaseMs * (1 - CLOCK_DRIFT_SHARE);

/**
 * A restarted agent has lost its accepted epoch and might confirm an epoch that it had refused
 * before. It has no vote until a leader that lost its majority to that refusal has seen all the
 * leases expire that it had granted.
 *
 * @param leaseMs - the task lease
 * @returns minimum uptime of an agent before its confirmation counts
 */
export const votingDelayMs = (leaseMs: number): number =>
  leaseMs * (1 + CLOCK_DRIFT_SHARE) + certainExpiryMs(leaseMs);

const isMajority = (voters: ReadonlySet<string>, isCounted: (id: string) => boolean): boolean =>
  [...voters].filter(isCounted).length > voters.size / 2;

/**
 * @param roster - the workers
 * @param authority - further input to the decision
 * @param nowMs - monotonic time
 * @param leaseMs - the task lease
 * @returns whether the leader may grant leases now
 */
export const mayGrant = (
  roster: WorkerRegistry,
  authority: Authority,
  nowMs: number,
  leaseMs: number,
): boolean => {
  if (authority.isStoreLeaseHeld) return true;
  const sinceMs = nowMs - confirmationTermMs(leaseMs);
  const isConfirmed = (workerId: string): boolean =>
    (roster.get(workerId)?.confirmedAtMs ?? Number.NEGATIVE_INFINITY) > sinceMs;
  return authority.voterSets.every((voters) => isMajority(voters, isConfirmed));
};

/**
 * @param roster - the workers
 * @param authority - further input to the decision
 * @returns whether a majority of the agents has accepted this leader's epoch
 */
export const hasFencedMajority = (roster: WorkerRegistry, authority: Authority): boolean =>
  authority.voterSets.every((voters) =>
    isMajority(voters, (workerId) => roster.get(workerId)?.isFenced === true),
  );

/**
 * @param majorityFencedAtMs - when a majority was known to be fenced; undefined if it is not
 * @param leaseMs - the task lease
 * @returns the monotonic time after which no lease of a previous leader can be valid
 */
export const previousLeasesEndMs = (
  majorityFencedAtMs: number | undefined,
  leaseMs: number,
): number =>
  majorityFencedAtMs === undefined
    ? Number.POSITIVE_INFINITY
    : majorityFencedAtMs + leaseMs * (1 + CLOCK_DRIFT_SHARE) + certainExpiryMs(leaseMs);

/**
 * @param entry - a worker
 * @param nowMs - monotonic time
 * @param reportMs - report period
 * @returns its health, which decides whether it may get work
 */
export const healthOf = (
  entry: RegisteredWorker,
  nowMs: number,
  reportMs: number,
): worker.WorkerHealth => {
  if (entry.isQuarantined) return 'quarantined';
  const isOverdue = nowMs - entry.lastReportMs > reportMs * SUSPECT_AFTER_PERIODS;
  if (!entry.isFenced || isOverdue) return 'unreachable';
  return entry.isLeaving ? 'leaving' : 'ready';
};

/**
 * A fenced agent may have restarted and been reached by a previous leader first, so the end of the
 * previous leaders' leases applies to every worker.
 *
 * @param entry - a worker
 * @param previousEndMs - see {@link previousLeasesEndMs}
 * @param nowMs - monotonic time
 * @returns whether none of its tasks can still be running
 */
export const areLeasesExpired = (
  entry: RegisteredWorker,
  previousEndMs: number,
  nowMs: number,
): boolean => nowMs > entry.leaseUntilMs && nowMs > previousEndMs;
