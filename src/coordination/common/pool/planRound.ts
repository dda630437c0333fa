/**
 * One planning round: which unit starts where, and what is preempted for a guarantee.
 *
 * Handles more work than capacity, with tasks of one accelerator next to gangs that need entire
 * workers. Claims of guarantees go first and may preempt others; the rest goes by priority and latest
 * start. A wide unit that has waited reserves capacity on the workers that will have it soonest, since
 * small tasks would otherwise fill every gap and starve it.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as claimHeadroom from './claimHeadroom.js';
import * as gangPlacement from './gangPlacement.js';
import * as isolation from './isolation.js';
import * as localityChoice from './localityChoice.js';
import type * as planTypes from './planTypes.js';
import * as futurePlacement from './futurePlacement.js';
import * as speedChoice from './speed/speedChoice.js';

/** Least limit of concurrent reservations; each one takes workers from all units behind it. */
const MIN_RESERVATION_LIMIT = 2;

/**
 * A fleet holds one reservation for this many workers: with two on hundreds of workers, small tasks take the capacity
 * that dozens of waiting gangs need.
 */
const WORKERS_PER_RESERVATION = 4;

/** A unit gets a reservation after this wait; shorter waits mostly end with the next run that ends. */
const RESERVE_AFTER_MS = 1500;

/**
 * Where half of its service's workers is idle, a unit that waits longer for its room does not keep it from units that have
 * no other: callers expect their tasks to run there.
 */
const MAX_IDLE_RESERVATION_MS = 2000;

/** Longest time for which units without value to the caller go last: their callers still want them done. */
const MAX_DEPRIORITIZED_MS = 30_000;

/** Urgent work beyond its guarantee preempts others that lose at most this multiple of its own work. */
const MAX_LOSS_SHARE = 1;

/** Work beyond its guarantee does not preempt a job that has been preempted this often already. */
const MAX_PREEMPTIONS = 2;

/** Time to stop a run, to store the next start and to send it. */
const STOP_AND_START_MS = 700;

/** From its acceptance or due time a claim waits at most this long for runs that end by themselves. */
const MAX_DEFERRED_MS = 1500;

/** An accelerator counts as this many cores in the cost of preempted work. */
const CORES_PER_ACCELERATOR = 8;

/** Inputs of a round. */
export interface RoundInput {
  /** The leader's clock. */
  readonly nowMs: number;
  readonly workers: readonly planTypes.PlanWorker[];
  readonly units: readonly planTypes.PlanUnit[];
  /** Stragglers: running groups that would be late where they are and in time on other workers. */
  readonly stragglerUnits: readonly planTypes.StragglerUnit[];
  readonly guarantees: planTypes.Guarantees;
  /** Factor by which a task takes longer remote from its data or rack. */
  readonly remoteFactor: number;
  /** Tasks that the round may start, besides urgent ones, which may always; no limit by default. */
  readonly maxStarts?: number;
}

/**
 * @param resources - resources of a run
 * @returns their weight in cores
 */
export const weightInCores = (resources: poolJob.Resources): number =>
  resources.cpuMillicores / 1000 + CORES_PER_ACCELERATOR * resources.accelerators;

/**
 * Loss by preempting a run for urgent work of priority 0; undefined where it must not be preempted. The time for which its
 * task is bound to the worker counts like lost work: it can't use the room of other workers.
 */
const lossOf: futurePlacement.CostOf = (allocation) =>
  allocation.priority > 0 && !allocation.isProtected
    ? (1 + allocation.unsavedMs + allocation.boundMs) * weightInCores(allocation.room)
    : undefined;

/** The same for work beyond its guarantee: spares jobs that were preempted too often already. */
const preemptLossOf: futurePlacement.CostOf = (allocation) =>
  allocation.preemptions < MAX_PREEMPTIONS ? lossOf(allocation) : undefined;

/** Infinite for a run without an end: a reservation that waits for it would keep idle capacity from all others. */
const waitCostOf: futurePlacement.CostOf = (allocation) => 1 + allocation.remainingMs;

const acceleratorsOf = (unit: planTypes.PlanUnit): number =>
  unit.room.accelerators * unit.unit.tasks.length;

/** Accelerators that each customer's runs of priority 0 occupy. */
const claimedByCustomer = (workers: readonly planTypes.PlanWorker[]): Map<string, number> => {
  const claimed = new Map<string, number>();
  for (const { priority, customerId, room } of workers.flatMap((it) => it.allocations)) {
    if (priority === 0) {
      claimed.set(customerId, (claimed.get(customerId) ?? 0) + room.accelerators);
    }
  }
  return claimed;
};

/**
 * Within a priority, units that can still be in time go before late ones (hence below 1); units that have no
 * value to the caller any more go last of all. In a burst of urgent work, ordering by earliest deadline alone
 * would spend the capacity on units that have just missed theirs and make all behind them late as well.
 */
const LATE_RANK = 0.5;
const NO_VALUE_RANK = 1_000_000;

const rankOf = (unit: planTypes.PlanUnit, nowMs: number): number => {
  if (nowMs > unit.latestUsefulStartMs && unit.waitedMs < MAX_DEPRIORITIZED_MS) {
    return NO_VALUE_RANK + unit.priority;
  }
  return unit.priority + (nowMs > unit.latestStartMs ? LATE_RANK : 0);
};

/** Whether a start of the unit was not accepted by the worker that it is bound to. */
const isRetry = ({ unit, boundWorkerIds }: planTypes.PlanUnit): boolean =>
  boundWorkerIds !== undefined && unit.tasks.some(({ refusals }) => refusals > 0);

const splitClaims = (
  input: RoundInput,
): { claims: planTypes.PlanUnit[]; others: planTypes.PlanUnit[] } => {
  const claimed = claimedByCustomer(input.workers);
  const claims: planTypes.PlanUnit[] = [];
  const others: planTypes.PlanUnit[] = [];
  const units = isolation.limitWaits(input.units, input.workers);
  const ranked = [...units].sort(
    (a, b) => rankOf(a, input.nowMs) - rankOf(b, input.nowMs) || a.latestStartMs - b.latestStartMs,
  );
  for (const unit of ranked) {
    const used = (claimed.get(unit.customerId) ?? 0) + acceleratorsOf(unit);
    // An isolated unit waits for a worker to itself: a claim of it would preempt everybody on one.
    const mayClaim = unit.priority === 0 && unit.isIsolated !== true;
    const isClaim = mayClaim && used <= (input.guarantees.get(unit.customerId) ?? 0);
    if (isClaim) claimed.set(unit.customerId, used);
    (isClaim ? claims : others).push(unit);
  }
  return { claims, others };
};

/**
 * @param input - workers and ready units; the workers' free capacity is reduced by what is placed
 * @returns what to start, preempt and relocate, and what waits
 */
export const planRound = (input: RoundInput): planTypes.RoundPlan => {
  const { workers, remoteFactor, nowMs, maxStarts = Infinity } = input;
  const starts: planTypes.Placement[] = [];
  const preemptions = new Map<string, planTypes.PlanUnit>();
  const waits: planTypes.Wait[] = [];
  const { claims, others } = splitClaims(input);
  const runs = futurePlacement.indexRuns(workers);
  const claimCosts = futurePlacement.createGroupCosts(runs, lossOf);
  const preemptCosts = futurePlacement.createGroupCosts(runs, preemptLossOf);
  const waitCosts = futurePlacement.createGroupCosts(runs, waitCostOf);
  const leaving = new Set(
    workers.flatMap((it) =>
      it.allocations
        .filter((allocation) => allocation.isLeaving)
        .map((allocation) => allocation.groupKey),
    ),
  );

  const speeds = speedChoice.createSpeedChoice(workers, nowMs);
  const places = localityChoice.createLocalityChoice({
    nowMs,
    workers,
    runs,
    waitCosts,
    remoteFactor,
    speeds,
  });
  const headroom = claimHeadroom.createClaimHeadroom(workers, nowMs, speeds);

  const start = (placement: planTypes.Placement | undefined): boolean => {
    if (placement === undefined) return false;
    headroom.recordStart(placement);
    gangPlacement.reserveCapacity(placement);
    starts.push(placement);
    return true;
  };

  // A retry takes back the room that its run has just left, before other units are placed there.
  const retried = new Set(
    [...claims, ...others].filter((unit) => isRetry(unit) && start(places.findNow(unit))),
  );
  const isWaiting = (unit: planTypes.PlanUnit): boolean => !retried.has(unit);

  /** Reserves capacity that becomes free by itself soon enough; preempting a run would waste its work. */
  const waitForFreeCapacity = (
    unit: planTypes.PlanUnit,
    groups: planTypes.CandidateGroups,
  ): boolean => {
    const untilMs = (latestStartMs: number): number =>
      Math.min(latestStartMs - STOP_AND_START_MS, unit.releaseTimeMs + MAX_DEFERRED_MS);
    if (nowMs >= untilMs(speeds.latestStartAnywhereMs(unit))) return false;
    const future = futurePlacement.findFuturePlacement(runs, groups, unit, waitCosts);
    if (future === undefined) return false;
    const remainingMs = futurePlacement.longestWaitMs(runs, future.leaving);
    if (nowMs + remainingMs > untilMs(speeds.latestStartMs(future.placement))) return false;
    gangPlacement.reserveCapacity(future.placement);
    waits.push({ unit, reason: 'room for it becomes free in time' });
    return true;
  };

  /** Reserves the capacity, and preempts what is not terminating already. */
  const preemptFor = (unit: planTypes.PlanUnit, future: futurePlacement.FuturePlacement): void => {
    gangPlacement.reserveCapacity(future.placement);
    for (const key of future.leaving) if (!leaving.has(key)) preemptions.set(key, unit);
    waits.push({ unit, reason: `waits for ${future.leaving.size} groups to leave` });
  };

  /** Preempts what loses no more than the unit's own work. */
  const preemptWithin = (
    unit: planTypes.PlanUnit,
    groups: planTypes.CandidateGroups,
    costs: futurePlacement.GroupCosts,
  ): boolean => {
    const future = futurePlacement.findFuturePlacement(runs, groups, unit, costs);
    const ownWork = unit.expectedMs * weightInCores(unit.room) * unit.unit.tasks.length;
    if (future === undefined || future.cost > MAX_LOSS_SHARE * ownWork) return false;
    preemptFor(unit, future);
    return true;
  };

  /** Takes or awaits capacity on the workers on which urgent work is in time, where others are too slow for it. */
  const waitForFasterWorkers = (
    unit: planTypes.PlanUnit,
    costs: futurePlacement.GroupCosts,
  ): boolean => {
    if (unit.priority !== 0 || unit.isIsolated === true) return false;
    const groups = speeds.inTimeGroups(unit, places.localGroupsOf(unit));
    if (groups === undefined || groups.length === 0) return false;
    return waitForFreeCapacity(unit, groups) || preemptWithin(unit, groups, costs);
  };

  const startAt = (unit: planTypes.PlanUnit, found: planTypes.Placement | undefined): boolean =>
    start(found && headroom.spare(found, places.localGroupsOf(unit)));

  const startNow = (unit: planTypes.PlanUnit, costs: futurePlacement.GroupCosts): boolean => {
    const found = places.findNow(unit);
    const isLate = found !== undefined && !speeds.isInTime(found);
    if (isLate && waitForFasterWorkers(unit, costs)) return true;
    return startAt(unit, found);
  };

  const claim = (unit: planTypes.PlanUnit): void => {
    if (waitForFasterWorkers(unit, claimCosts)) return;
    const groups = places.groupsOf(unit);
    if (waitForFreeCapacity(unit, groups)) return;
    const anywhere = workers.filter((it) => gangPlacement.isSuitable(it, unit));
    const future =
      futurePlacement.findFuturePlacement(runs, groups, unit, claimCosts) ??
      futurePlacement.findFuturePlacement(runs, [anywhere], unit, claimCosts);
    if (future === undefined) {
      waits.push({ unit, reason: 'no room even after stopping what may be stopped' });
      return;
    }
    if (future.leaving.size > 0) {
      preemptFor(unit, future);
      return;
    }
    gangPlacement.reserveCapacity(future.placement);
    starts.push(future.placement);
  };

  for (const unit of claims.filter(isWaiting)) if (!startNow(unit, claimCosts)) claim(unit);

  /** Urgent work that can still be in time may preempt what loses no more than its own work. */
  const preempt = (unit: planTypes.PlanUnit): boolean => {
    if (unit.priority !== 0 || unit.isIsolated === true) return false;
    if (waitForFasterWorkers(unit, preemptCosts)) return true;
    if (nowMs > unit.latestStartMs) return false;
    const groups = places.groupsOf(unit);
    return waitForFreeCapacity(unit, groups) || preemptWithin(unit, groups, preemptCosts);
  };

  /** Starts units without other room in the room that others keep although half of their service's workers is idle. */
  const startInIdleReservations = (
    units: readonly planTypes.PlanUnit[],
    reserved: readonly planTypes.Placement[],
  ): void => {
    if (units.length > 0) reserved.forEach(gangPlacement.releaseCapacity);
    const full = new Set<string>();
    for (const unit of units) {
      const mayFit = reserved.length > 0 && !full.has(unit.stepKey);
      if (!mayFit || !startAt(unit, places.findNow(unit))) {
        full.add(unit.stepKey);
        waits.push({ unit, reason: 'no room' });
      }
    }
  };

  const fullSteps = new Set<string>();
  const reservationLimit = Math.max(
    MIN_RESERVATION_LIMIT,
    Math.floor(workers.length / WORKERS_PER_RESERVATION),
  );
  let reservations = 0;
  const idleServices = isolation.halfIdleServices(workers);
  const idleReservations: planTypes.Placement[] = [];
  const withoutRoom: planTypes.PlanUnit[] = [];
  let startsLeft = maxStarts;
  for (const unit of others.filter(isWaiting)) {
    if (unit.priority > 0 && startsLeft <= 0) continue;
    // Tasks of one step are alike, but for bound and isolated ones: where one found no capacity the next finds none either.
    const isSpecial = unit.boundWorkerIds !== undefined || unit.isIsolated === true;
    const isKnownNotToFit =
      unit.unit.tasks.length === 1 && !isSpecial && fullSteps.has(unit.stepKey);
    if (!isKnownNotToFit && startNow(unit, preemptCosts)) {
      if (unit.priority > 0) startsLeft -= unit.unit.tasks.length;
    } else if (!isKnownNotToFit && !preempt(unit)) {
      if (!isSpecial) fullSteps.add(unit.stepKey);
      const isReserving = reservations < reservationLimit && unit.waitedMs >= RESERVE_AFTER_MS;
      const future = isReserving
        ? futurePlacement.findFuturePlacement(runs, places.groupsOf(unit), unit, waitCosts)
        : undefined;
      if (future === undefined) {
        withoutRoom.push(unit);
      } else {
        gangPlacement.reserveCapacity(future.placement);
        reservations += 1;
        const waitMs = futurePlacement.longestWaitMs(runs, future.leaving);
        const isLong = waitMs > MAX_IDLE_RESERVATION_MS && unit.isIsolated !== true;
        const isIdle = idleServices.has(unit.unit.entry.job.policy.service);
        if (isLong && isIdle) idleReservations.push(future.placement);
        waits.push({ unit, reason: 'room is kept for it' });
      }
    }
  }
  startInIdleReservations(withoutRoom, idleReservations);
  // After all waiting units: a relocated run loses its progress, so it only uses spare capacity.
  const relocations: planTypes.PlanUnit[] = [];
  for (const { unit, workerIds } of input.stragglerUnits) {
    const elsewhere = workers.filter((it) => !workerIds.has(it.workerId));
    const { localGroups } = gangPlacement.candidateGroups(elsewhere, unit);
    const placement = gangPlacement.placeNow(localGroups, unit, speeds.tiersOf(unit));
    const isHealthy = placement?.workers.every((it) => !it.isSuspect) === true;
    if (placement !== undefined && isHealthy) {
      gangPlacement.reserveCapacity(placement);
      relocations.push(unit);
    }
  }
  return { starts, preemptions, waits, relocations };
};
