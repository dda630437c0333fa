/**
 * The workers of a cell as its leader knows them, until when their tasks may still run, and whether
 * the leader may still grant leases.
 *
 * Guards against running a job twice. A worker that is not heard of counts as running its tasks
 * until every lease that any leader may have granted it has certainly lapsed. A former leader that
 * still reaches the worker, while nobody else reaches it, would go on granting; so a leader grants
 * only while the store's lease on the leadership certainly stands or a majority of the cell's agents
 * has confirmed its epoch within one term. A new leader that has fenced a majority knows that the
 * former one can't find a majority any more, and when its last confirmation has run out.
 */
import type * as worker from '../../state/common/worker.js';

/** A worker with what the leader knows of it. */
export interface RosterEntry {
  readonly info: worker.WorkerInfo;
  readonly bootId: string;
  readonly lastReportMs: number;
  /** Monotonic moment after which no lease that this leader granted or found can stand. */
  readonly leaseUntilMs: number;
  readonly isQuarantined: boolean;
  readonly isLeaving: boolean;
  readonly healthReason: string;
  /** Command messages that the agent has answered since its boot. */
  readonly commandCount: number;
  /** Whether the agent has accepted this leader's epoch. */
  readonly isFenced: boolean;
  /** Monotonic moment of this leader before which the agent's last confirmation was not written. */
  readonly confirmedAtMs: number;
}

/** All workers of the cell by id. */
export type Roster = ReadonlyMap<string, RosterEntry>;

/** What decides on the right to grant, besides the roster. */
export interface Authority {
  /** Whether the store's lease on the leadership certainly stands. */
  readonly isStoreLeaseHeld: boolean;
  /**
   * Every set of workers that the store may hold as the cell's inventory. A majority has to be one
   * in each of them, since nobody can say which of them the next leader reads.
   */
  readonly voterSets: readonly ReadonlySet<string>[];
}

/** Largest difference in speed between two monotonic clocks. */
export const CLOCK_DRIFT_SHARE = 0.01;

/** Periods without a report after which a worker gets no new work: one report may be lost. */
export const SUSPECT_AFTER_PERIODS = 2.5;

/** Shortest period of reports; it is only a bound for small cells. */
export const MIN_REPORT_MS = 1000;

/** Reports that a lease outlives, so that the loss of one or two stops no task. */
const REPORTS_PER_LEASE = 3;

/** Processor time of one report at the leader, tasks included, measured by the capacity bench. */
const REPORT_COST_MS = 1;

/** Share of a core that a cell's reports may take: half of what control may cost a node. */
const REPORT_BUDGET_SHARE = 0.0085;

/**
 * Made for a cell of 112 workers, whose leader may spend 1.7% of a core in all. Reports slow down
 * as the cell grows; what must be known at once (the end of a task, a silent agent) does not wait
 * for them. The lease bounds the period, so a cell that is too large for its lease costs more.
 *
 * @param workers - workers of the cell
 * @param leaseMs - the task lease
 * @returns the period at which each agent reports while nothing happens
 */
export const reportPeriodMs = (workers: number, leaseMs: number): number => {
  const affordableMs = (workers * REPORT_COST_MS) / REPORT_BUDGET_SHARE;
  const wantedMs = Math.max(MIN_REPORT_MS, affordableMs);
  return Math.floor(Math.min(wantedMs, leaseMs / REPORTS_PER_LEASE));
};

/**
 * Time that a call from an agent to the worker on its VM may be under way. The worker counts a lease
 * from the arrival of the call, so its term may end this much later than the agent's.
 */
export const WORKER_CALL_MS = 2000;

/**
 * @param leaseMs - a lease as it is granted
 * @returns how long the granting side waits before it counts the lease as lapsed
 */
export const certainLapseMs = (leaseMs: number): number =>
  leaseMs * (1 + CLOCK_DRIFT_SHARE) + WORKER_CALL_MS;

/**
 * @param leaseMs - the task lease; a confirmation counts for as long
 * @returns how long one confirmation lets a leader grant, as the leader counts it
 */
export const confirmationTermMs = (leaseMs: number): number => leaseMs * (1 - CLOCK_DRIFT_SHARE);

/**
 * An agent that restarted has forgotten which epoch it had accepted, and might confirm an epoch that
 * it had refused before. It has no vote until a leader that lost its majority by that epoch has seen
 * all the leases lapse that it had granted.
 *
 * @param leaseMs - the task lease
 * @returns how long an agent must have been up before its confirmation counts
 */
export const votingDelayMs = (leaseMs: number): number =>
  leaseMs * (1 + CLOCK_DRIFT_SHARE) + certainLapseMs(leaseMs);

const isMajority = (voters: ReadonlySet<string>, isCounted: (id: string) => boolean): boolean =>
  [...voters].filter(isCounted).length > voters.size / 2;

/**
 * @param roster - the workers
 * @param authority - what else decides
 * @param nowMs - monotonic time
 * @param leaseMs - the task lease
 * @returns whether the leader may grant leases now
 */
export const mayGrant = (
  roster: Roster,
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
 * @param authority - what else decides
 * @returns whether a majority of the agents has accepted this leader's epoch
 */
export const hasFencedMajority = (roster: Roster, authority: Authority): boolean =>
  authority.voterSets.every((voters) =>
    isMajority(voters, (workerId) => roster.get(workerId)?.isFenced === true),
  );

/**
 * @param majorityFencedAtMs - when a majority was known to be fenced; undefined where it is not
 * @param leaseMs - the task lease
 * @returns the monotonic moment after which no lease that a former leader granted can stand
 */
export const formerLeasesEndMs = (
  majorityFencedAtMs: number | undefined,
  leaseMs: number,
): number =>
  majorityFencedAtMs === undefined
    ? Number.POSITIVE_INFINITY
    : majorityFencedAtMs + leaseMs * (1 + CLOCK_DRIFT_SHARE) + certainLapseMs(leaseMs);

/**
 * @param entry - a worker
 * @param nowMs - monotonic time
 * @param reportMs - period of reports
 * @returns whether it may be given work
 */
export const healthOf = (
  entry: RosterEntry,
  nowMs: number,
  reportMs: number,
): worker.WorkerHealth => {
  if (entry.isQuarantined) return 'quarantined';
  const isSilent = nowMs - entry.lastReportMs > reportMs * SUSPECT_AFTER_PERIODS;
  if (!entry.isFenced || isSilent) return 'unreachable';
  return entry.isLeaving ? 'leaving' : 'ready';
};

/**
 * A fenced agent may have restarted and been found by a former leader first, so the end of the
 * former leaders' leases counts for every worker.
 *
 * @param entry - a worker
 * @param formerEndMs - see {@link formerLeasesEndMs}
 * @param nowMs - monotonic time
 * @returns whether none of its tasks can run any more
 */
export const isLapsed = (entry: RosterEntry, formerEndMs: number, nowMs: number): boolean =>
  nowMs > entry.leaseUntilMs && nowMs > formerEndMs;
