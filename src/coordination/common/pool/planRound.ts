/**
 * One planning round: who starts where, and what has to leave for a guarantee.
 *
 * Load it answers: more work than room, with tasks of one accelerator next to gangs that need whole
 * workers. Claims of guarantees go first and may stop others; the rest goes by priority and by the
 * time until which a start still serves its caller; a wide unit that has waited keeps room free on
 * the workers that will have it soonest, since small tasks would otherwise take each gap for ever.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as claimHeadroom from './claimHeadroom.js';
import * as gangPlacement from './gangPlacement.js';
import * as placeChoice from './placeChoice.js';
import type * as planTypes from './planTypes.js';
import * as roomToCome from './roomToCome.js';

/** Units that keep room free at once; each takes workers from everybody behind it. */
const MAX_RESERVATIONS = 2;

/** A unit keeps room free after this wait; shorter gaps close by themselves with the next end. */
const RESERVE_AFTER_MS = 1500;

/** What serves nobody any more is set back for no longer than this: its caller still wants it done. */
const MAX_SET_BACK_MS = 30_000;

/** Urgent work beyond its guarantee stops others for at most this multiple of its own work. */
const MAX_LOSS_SHARE = 1;

/** A job is stopped this often at most for what could not claim its room. */
const MAX_PREEMPTIONS = 2;

/** To stop a run, to store the next start and to send it. */
const STOP_AND_START_MS = 700;

/** A guarantee that is claimed waits no longer than this for runs that end by themselves. */
const MAX_DEFERRED_MS = 1500;

/** An accelerator weighs as much as so many cores in what is lost by stopping work. */
const CORES_PER_ACCELERATOR = 8;

/** What a round works on. */
export interface RoundInput {
  /** The leader's clock. */
  readonly nowMs: number;
  readonly workers: readonly planTypes.PlanWorker[];
  readonly units: readonly planTypes.PlanUnit[];
  /** Running groups that would be late where they are, and in time elsewhere. */
  readonly heldUp: readonly planTypes.HeldUpUnit[];
  readonly guarantees: planTypes.Guarantees;
  /** How much longer a task takes away from its data or its rack. */
  readonly farFactor: number;
}

/**
 * @param room - what a run takes
 * @returns its weight in cores
 */
export const weightInCores = (room: poolJob.Resources): number =>
  room.cpuMillicores / 1000 + CORES_PER_ACCELERATOR * room.accelerators;

/** What urgent work of priority 0 costs the others by stopping a run. */
const lossOf: roomToCome.CostOf = (holding) =>
  holding.priority > 0 && !holding.isProtected
    ? (1 + holding.unsavedMs) * weightInCores(holding.room)
    : undefined;

/** Cheap victims only: those that were not stopped too often already. */
const preemptLossOf: roomToCome.CostOf = (holding) =>
  holding.preemptions < MAX_PREEMPTIONS ? lossOf(holding) : undefined;

const waitFor: roomToCome.CostOf = (holding) => 1 + holding.remainingMs;

const acceleratorsOf = (unit: planTypes.PlanUnit): number =>
  unit.room.accelerators * unit.unit.tasks.length;

/** Accelerators that each customer's runs of priority 0 hold. */
const claimedNow = (workers: readonly planTypes.PlanWorker[]): Map<string, number> => {
  const claimed = new Map<string, number>();
  for (const { priority, customerId, room } of workers.flatMap((it) => it.holdings)) {
    if (priority === 0) {
      claimed.set(customerId, (claimed.get(customerId) ?? 0) + room.accelerators);
    }
  }
  return claimed;
};

/**
 * Below one for each priority: what can still be in time goes before what is late, and what serves
 * nobody any more goes last of all. In a burst of urgent work the earliest deadline alone would spend
 * the room on what has just missed its own, and make everything behind it late as well.
 */
const LATE_RANK = 0.5;
const USELESS_RANK = 1_000_000;

const rankOf = (unit: planTypes.PlanUnit, nowMs: number): number => {
  if (nowMs > unit.uselessAfterMs && unit.waitedMs < MAX_SET_BACK_MS) {
    return USELESS_RANK + unit.priority;
  }
  return unit.priority + (nowMs > unit.latestStartMs ? LATE_RANK : 0);
};

const splitClaims = (
  input: RoundInput,
): { claims: planTypes.PlanUnit[]; others: planTypes.PlanUnit[] } => {
  const claimed = claimedNow(input.workers);
  const claims: planTypes.PlanUnit[] = [];
  const others: planTypes.PlanUnit[] = [];
  const ranked = [...input.units].sort(
    (a, b) => rankOf(a, input.nowMs) - rankOf(b, input.nowMs) || a.latestStartMs - b.latestStartMs,
  );
  for (const unit of ranked) {
    const used = (claimed.get(unit.customerId) ?? 0) + acceleratorsOf(unit);
    const isClaim = unit.priority === 0 && used <= (input.guarantees.get(unit.customerId) ?? 0);
    if (isClaim) claimed.set(unit.customerId, used);
    (isClaim ? claims : others).push(unit);
  }
  return { claims, others };
};

/**
 * @param input - workers and what is ready; the workers' free room is taken from
 * @returns what to start, what to stop and what waits
 */
export const planRound = (input: RoundInput): planTypes.RoundPlan => {
  const { workers, farFactor, nowMs } = input;
  const starts: planTypes.Placement[] = [];
  const evictions = new Map<string, planTypes.PlanUnit>();
  const waits: planTypes.Wait[] = [];
  const { claims, others } = splitClaims(input);
  const runs = roomToCome.indexRuns(workers);
  const claimCosts = roomToCome.createGroupCosts(runs, lossOf);
  const preemptCosts = roomToCome.createGroupCosts(runs, preemptLossOf);
  const waitCosts = roomToCome.createGroupCosts(runs, waitFor);
  const leaving = new Set(
    workers.flatMap((it) =>
      it.holdings.filter((holding) => holding.isLeaving).map((holding) => holding.groupKey),
    ),
  );

  const places = placeChoice.createPlaceChoice({ workers, runs, waitCosts, farFactor });
  const headroom = claimHeadroom.createClaimHeadroom(workers, nowMs);

  const startNow = (unit: planTypes.PlanUnit): boolean => {
    const found = places.findNow(unit);
    const placement = found === undefined ? undefined : headroom.spare(found, places.nearOf(unit));
    if (placement === undefined) return false;
    headroom.noteStart(placement);
    gangPlacement.takeRoom(placement);
    starts.push(placement);
    return true;
  };

  /** Keeps room that becomes free by itself soon enough: stopping a run for it would be a waste. */
  const waitForRoom = (unit: planTypes.PlanUnit): boolean => {
    const untilMs = Math.min(
      unit.latestStartMs - STOP_AND_START_MS,
      unit.countedFromMs + MAX_DEFERRED_MS,
    );
    if (nowMs >= untilMs) return false;
    const future = roomToCome.findRoomToCome(runs, places.groupsOf(unit), unit, waitCosts);
    if (future === undefined) return false;
    const remainingMs = roomToCome.longestWaitMs(runs, future.leaving);
    if (nowMs + remainingMs > untilMs) return false;
    gangPlacement.takeRoom(future.placement);
    waits.push({ unit, reason: 'room for it becomes free in time' });
    return true;
  };

  /** Keeps the room, and stops what is not leaving it already. */
  const stopFor = (unit: planTypes.PlanUnit, future: roomToCome.FuturePlacement): void => {
    gangPlacement.takeRoom(future.placement);
    for (const key of future.leaving) if (!leaving.has(key)) evictions.set(key, unit);
    waits.push({ unit, reason: `waits for ${future.leaving.size} groups to leave` });
  };

  const claim = (unit: planTypes.PlanUnit): void => {
    if (waitForRoom(unit)) return;
    const groups = places.groupsOf(unit);
    const anywhere = workers.filter((it) => gangPlacement.isSuitable(it, unit));
    const future =
      roomToCome.findRoomToCome(runs, groups, unit, claimCosts) ??
      roomToCome.findRoomToCome(runs, [anywhere], unit, claimCosts);
    if (future === undefined) {
      waits.push({ unit, reason: 'no room even after stopping what may be stopped' });
      return;
    }
    if (future.leaving.size > 0) {
      stopFor(unit, future);
      return;
    }
    gangPlacement.takeRoom(future.placement);
    starts.push(future.placement);
  };

  for (const unit of claims) if (!startNow(unit)) claim(unit);

  /** Urgent work that can still be in time may stop what loses less than itself by it. */
  const preempt = (unit: planTypes.PlanUnit): boolean => {
    if (unit.priority !== 0 || nowMs > unit.latestStartMs) return false;
    if (waitForRoom(unit)) return true;
    const future = roomToCome.findRoomToCome(runs, places.groupsOf(unit), unit, preemptCosts);
    const ownWork = unit.expectedMs * weightInCores(unit.room) * unit.unit.tasks.length;
    if (future === undefined || future.cost > MAX_LOSS_SHARE * ownWork) return false;
    stopFor(unit, future);
    return true;
  };

  const fullSteps = new Set<string>();
  let reservations = 0;
  for (const unit of others) {
    // Tasks of one step are alike: where one found no room the next finds none either.
    const isTried = unit.unit.tasks.length === 1 && fullSteps.has(unit.stepKey);
    if (!isTried && !startNow(unit) && !preempt(unit)) {
      fullSteps.add(unit.stepKey);
      const isReserving = reservations < MAX_RESERVATIONS && unit.waitedMs >= RESERVE_AFTER_MS;
      const future = isReserving
        ? roomToCome.findRoomToCome(runs, places.groupsOf(unit), unit, waitCosts)
        : undefined;
      if (future !== undefined) {
        gangPlacement.takeRoom(future.placement);
        reservations += 1;
      }
      waits.push({ unit, reason: future === undefined ? 'no room' : 'room is kept for it' });
    }
  }
  // After everything that waits: a move costs what its run has done, so it takes only room to spare.
  const moves: planTypes.PlanUnit[] = [];
  for (const { unit, workerIds } of input.heldUp) {
    const elsewhere = workers.filter((it) => !workerIds.has(it.workerId));
    const { near } = gangPlacement.candidateGroups(elsewhere, unit);
    const placement = gangPlacement.placeNow(near, unit);
    const isSound = placement?.workers.every((it) => !it.isSuspect) === true;
    if (placement !== undefined && isSound) {
      gangPlacement.takeRoom(placement);
      moves.push(unit);
    }
  }
  return { starts, evictions, waits, moves };
};
