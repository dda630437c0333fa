/**
 * Plans the borrowing jobs of a round: which customer borrows next, by which rule, and where.
 *
 * Designed for bursts of a thousand small jobs beside long ones of other customers: one customer's
 * burst must not take all spare capacity, nor short jobs wait behind long ones. The customer with
 * the least allocation for its weight goes next. Of its jobs the one with the least expected work
 * does, with a discount that grows with the wait so that none starves.
 */
import * as job from '../../state/common/job.js';

import * as cellCapacity from './cellCapacity.js';
import * as gangFit from './gangFit.js';
import * as planningRound from './planningRound.js';
import * as reservations from './reservations.js';
import * as runEstimates from './runEstimates.js';
import * as spareShares from './spareShares.js';

/**
 * Failed searches after which a round leaves the rest of the queue waiting. Sizes known not to fit
 * are not searched again, so this counts distinct sizes. It bounds the round's time; the rest is
 * planned a few milliseconds later when the cell changes.
 */
export const BACKFILL_DEPTH = 64;

interface SpareStep {
  readonly round: planningRound.PlanningRound;
  readonly borrowing: spareShares.Borrowing;
  /** Sizes for which a search failed; free capacity only shrinks within the step. */
  readonly failedSizes: Set<number>;
  readonly quotas: ReadonlyMap<string, number>;
  failedSearches: number;
  /**
   * Customers whose large job waits for their rules' allowance. Where enough is being returned
   * (true), none of their smaller jobs may use it up again; before that, those that yield still
   * may.
   */
  readonly waitingForAllowance: Map<string, boolean>;
}

/**
 * A job that would pin workers avoids the place kept clearable for large jobs until it has waited
 * for its expected run time: otherwise a place that may never be needed would starve it.
 */
const mustAvoidClearable = (round: planningRound.PlanningRound, record: job.JobRecord): boolean => {
  if (!reservations.isPinning(round, record)) return false;
  const { nowMs } = round.view;
  const runMs = runEstimates.runMsOf(round.estimates, record.spec, runEstimates.ORDER_QUANTILE);
  return nowMs - record.submittedAtMs < runMs;
};

/**
 * Where the weight favors low fragmentation, a job waits for a share of its run time before it uses
 * accelerators set aside for a shape. That bounds its loss in proportion to its run time.
 */
const mustAvoidSetAside = (round: planningRound.PlanningRound, record: job.JobRecord): boolean => {
  const { completionWeight } = round.view.document.placement;
  if (completionWeight >= 0.5) return false;
  const { nowMs } = round.view;
  const runMs = runEstimates.runMsOf(round.estimates, record.spec, runEstimates.ORDER_QUANTILE);
  return nowMs - record.submittedAtMs < (0.5 - completionWeight) * runMs;
};

const endOf = (round: planningRound.PlanningRound, record: job.JobRecord): number => {
  const { nowMs } = round.view;
  const quantile = runEstimates.SAFE_QUANTILE;
  return nowMs + runEstimates.remainingMs(round.estimates, record, nowMs, quantile);
};

const openFor = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
): ((worker: number) => number) => {
  const { capacity } = round;
  const failed = planningRound.excludedWorkers(round, record);
  const avoidsSetAside = mustAvoidSetAside(round, record);
  const yields = reservations.canYield(record);
  const endMs = endOf(round, record);
  const avoidsClearable = mustAvoidClearable(round, record);
  return (worker) => {
    if (failed.has(worker)) return 0;
    if (avoidsClearable && (round.clearable[worker] ?? 0) > 0) return 0;
    if (!yields && endMs > (round.backfillUntilMs[worker] ?? 0)) return 0;
    const open = cellCapacity.availableOn(capacity, worker);
    return avoidsSetAside ? Math.max(0, open - (round.setAside[worker] ?? 0)) : open;
  };
};

/** Reservations the job may not run under; jobs with equal counts may use the same workers. */
const excludingReservations = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
): number => {
  if (round.reservationStartsMs.length === 0 || reservations.canYield(record)) return 0;
  const endMs = endOf(round, record);
  return round.reservationStartsMs.filter((it) => endMs > it).length;
};

const ADJACENCY_INDEX = { worker: 0, rack: 1, zone: 2 } as const;
/** Exceeds the largest value of each part of a size key. */
const KEY_BASE = 65;

/** Key of jobs with equal needs; a number, since it is computed for each job of a full queue. */
const sizeKey = (round: planningRound.PlanningRound, record: job.JobRecord): number => {
  const { members, acceleratorsPerMember, adjacency } = record.spec;
  const place = members * KEY_BASE + acceleratorsPerMember;
  const restriction =
    Number(mustAvoidSetAside(round, record)) + 2 * Number(mustAvoidClearable(round, record));
  const kind = excludingReservations(round, record) * 4 + restriction;
  return (place * KEY_BASE + ADJACENCY_INDEX[adjacency]) * KEY_BASE + kind;
};

const refusalOf = (step: SpareStep, record: job.JobRecord): string | undefined => {
  const { round } = step;
  const { customerId, isCheckpointable } = record.spec;
  const held = round.allocatedByCustomer.get(customerId) ?? 0;
  if (held + job.acceleratorsOf(record) > (step.quotas.get(customerId) ?? 0)) {
    return "the customer's quota is used up";
  }
  if (round.unplaced.length > 0 && !isCheckpointable) {
    return 'guarantees do not fit now; only jobs that can checkpoint may borrow';
  }
  return undefined;
};

const NO_ALLOWANCE = 'no spare rule allows it more accelerators now';
const NO_CAPACITY = 'not enough adjacent accelerators are free';

const tryBorrow = (
  step: SpareStep,
  lane: spareShares.Lane,
  record: job.JobRecord,
): string | undefined => {
  const { round } = step;
  const refusal = refusalOf(step, record);
  if (refusal !== undefined) return refusal;
  const rule = spareShares.ruleFor(lane, step.borrowing, job.acceleratorsOf(record));
  if (rule === undefined) return NO_ALLOWANCE;
  const isAllowanceReturned = step.waitingForAllowance.get(lane.customerId);
  if (
    isAllowanceReturned === true ||
    (isAllowanceReturned === false && !reservations.canYield(record))
  ) {
    return 'a large job of the customer goes first';
  }
  const key = sizeKey(round, record);
  if (step.failedSizes.has(key)) return NO_CAPACITY;
  if (step.failedSearches >= BACKFILL_DEPTH) return 'search limit of the round reached';
  const open = openFor(round, record);
  const plan = gangFit.findGangPlan(round.capacity, record.spec, {
    open,
    setAside: round.setAside,
  });
  if (plan === undefined) {
    step.failedSearches += 1;
    // A job with failures may use fewer workers than others of its size.
    if (record.failures.length === 0) step.failedSizes.add(key);
    return NO_CAPACITY;
  }
  planningRound.recordPlacement(round, record, plan, rule.ruleId, `borrows by rule ${rule.ruleId}`);
  spareShares.note(step.borrowing, record, rule.ruleId);
  return undefined;
};

/** Tries a customer's jobs until one borrows: until then its share remains the lowest. */
const borrowNext = (step: SpareStep, lane: spareShares.Lane): void => {
  while (lane.next < lane.queue.length) {
    const record = lane.queue[lane.next];
    lane.next += 1;
    if (record === undefined) return;
    const why = tryBorrow(step, lane, record);
    if (why === undefined) return;
    planningRound.recordWait(step.round, record, why);
  }
};

/** Whether some rule of the customer allows the job once others have returned theirs. */
const couldBorrow = (lane: spareShares.Lane, record: job.JobRecord): boolean =>
  lane.rules.some((it) => it.maxAccelerators >= job.acceleratorsOf(record));

/** Accelerators that the customer must return before one of its rules allows the job. */
const missingAllowance = (
  step: SpareStep,
  lane: spareShares.Lane,
  record: job.JobRecord,
): number => {
  const need = job.acceleratorsOf(record);
  const missing = lane.rules
    .filter((it) => it.maxAccelerators >= need)
    .map((it) => {
      const key = spareShares.ruleKey(it.ruleId, lane.customerId);
      return (step.borrowing.byRule.get(key) ?? 0) + need - it.maxAccelerators;
    });
  return Math.max(0, Math.min(...missing));
};

const borrowOrReserve = (step: SpareStep, lane: spareShares.Lane, record: job.JobRecord): void => {
  const why = tryBorrow(step, lane, record);
  if (why === NO_CAPACITY) reservations.reserve(step.round, record);
  else if (why === NO_ALLOWANCE && couldBorrow(lane, record)) {
    const missing = missingAllowance(step, lane, record);
    const isReturned = reservations.reclaimAllowance(step.round, record, missing);
    step.waitingForAllowance.set(lane.customerId, isReturned);
  } else if (why !== undefined) planningRound.recordWait(step.round, record, why);
};

/** Places one small job on each worker that is due for a probe. */
const probe = (
  step: SpareStep,
  queued: readonly job.JobRecord[],
  probeWorkerIds: ReadonlySet<string>,
): ReadonlySet<string> => {
  const { round } = step;
  const probing = new Set<string>();
  for (const workerId of probeWorkerIds) {
    const worker = round.capacity.indexOf.get(workerId) ?? -1;
    const used = round.capacity.isUsed[worker] ?? [];
    const size = used.length;
    if (size === 0 || used.some((it) => it)) continue;
    const record = queued.find(
      (it) =>
        it.failures.length === 0 &&
        it.spec.members === 1 &&
        it.spec.acceleratorsPerMember <= size &&
        !probing.has(it.spec.jobId) &&
        !reservations.isDue(round, it) &&
        refusalOf(step, it) === undefined,
    );
    if (record === undefined) continue;
    const [lane] = spareShares.lanesOf(round, [record]);
    const rule = lane && spareShares.ruleFor(lane, step.borrowing, job.acceleratorsOf(record));
    if (rule === undefined) continue;
    const why = `probes quarantined worker ${workerId}`;
    planningRound.recordPlacement(round, record, [{ worker, members: 1 }], rule.ruleId, why);
    spareShares.note(step.borrowing, record, rule.ruleId);
    probing.add(record.spec.jobId);
  }
  return probing;
};

/**
 * @param round - the round; changed
 * @param probeWorkerIds - quarantined workers on which one probe job may be placed
 */
export const planSpare = (
  round: planningRound.PlanningRound,
  probeWorkerIds: ReadonlySet<string>,
): void => {
  const { view, placed, queuedSpare: queued } = round;
  const step: SpareStep = {
    round,
    borrowing: spareShares.borrowingOf(placed),
    failedSizes: new Set(),
    quotas: new Map(view.document.customers.map((it) => [it.customerId, it.quotaAccelerators])),
    failedSearches: 0,
    waitingForAllowance: new Map(),
  };
  reservations.keepClearable(round);
  const probing = probe(step, queued, probeWorkerIds);
  const due = queued
    .filter((it) => !probing.has(it.spec.jobId) && reservations.isDue(round, it))
    .slice(0, reservations.MAX_RESERVATIONS);
  const dueIds = new Set(due.map((it) => it.spec.jobId));
  const isLeft = (it: job.JobRecord): boolean =>
    !dueIds.has(it.spec.jobId) && !probing.has(it.spec.jobId);
  const rest = dueIds.size + probing.size === 0 ? queued : queued.filter(isLeft);
  const lanes = spareShares.lanesOf(round, rest);
  for (const record of due) {
    const [lane] = spareShares.lanesOf(round, [record]);
    if (lane !== undefined) borrowOrReserve(step, lane, record);
  }
  for (;;) {
    const lane = spareShares.nextLane(lanes, step.borrowing);
    if (lane === undefined) return;
    borrowNext(step, lane);
  }
};
