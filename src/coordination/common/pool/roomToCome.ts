/**
 * Where a unit would fit once some of what runs has left: at the least loss, for a guarantee that is
 * claimed; soonest, for a wide unit that must not be starved.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as gangPlacement from './gangPlacement.js';
import type * as planTypes from './planTypes.js';

/** What is being stopped is gone in about this time. */
const LEAVING_MS = 400;

/** What it costs that a run leaves; `undefined` where it must not. */
export type CostOf = (holding: planTypes.Holding) => number | undefined;

/** A place for a unit with the runs that have to leave first. */
export interface FuturePlacement {
  readonly placement: planTypes.Placement;
  /** Group keys of the runs that have to leave. */
  readonly leaving: ReadonlySet<string>;
  readonly cost: number;
}

interface Draft {
  readonly free: Map<string, poolJob.Resources>;
  readonly taken: Map<string, number>;
  readonly leaving: Set<string>;
  readonly workers: planTypes.PlanWorker[];
  /** What each worker offers, as long as nothing on it has changed. */
  readonly offers: Map<string, Victims | undefined>;
  cost: number;
}

interface Victims {
  readonly groupKeys: readonly string[];
  readonly cost: number;
}

/** A run with the worker that holds it. */
interface HeldRun {
  readonly worker: planTypes.PlanWorker;
  readonly holding: planTypes.Holding;
}

/** The runs that end together, by their group's key. */
export type RunsByGroup = ReadonlyMap<string, readonly HeldRun[]>;

/**
 * Made once a round: looked for among all runs for each candidate rack, the members of one gang cost a
 * round of 670 workers more than half a minute.
 *
 * @param workers - all workers, since a gang that leaves frees room on each of its workers
 * @returns their runs by group
 */
export const indexRuns = (workers: readonly planTypes.PlanWorker[]): RunsByGroup => {
  const runs = new Map<string, HeldRun[]>();
  for (const worker of workers) {
    for (const holding of worker.holdings) {
      const its = runs.get(holding.groupKey);
      if (its === undefined) runs.set(holding.groupKey, [{ worker, holding }]);
      else its.push({ worker, holding });
    }
  }
  return runs;
};

/** What it costs that a group leaves; infinite where it must not. */
export type CostOfGroup = (groupKey: string) => number;

/**
 * All runs of a gang end together, so the cost of one member is that of all. Made once a round for all
 * units, which ask for the same groups: made for each unit, a round of 670 workers took 104 ms in place of
 * 55 ms.
 *
 * @param runs - all runs by group
 * @param costOf - what it costs that one run leaves
 * @returns the cost of each group
 */
export const createGroupCosts = (runs: RunsByGroup, costOf: CostOf): CostOfGroup => {
  const costs = new Map<string, number>();
  const add = (sum: number, { holding }: HeldRun): number =>
    sum + (holding.isLeaving ? 0 : (costOf(holding) ?? Infinity));
  return (groupKey) => {
    const known = costs.get(groupKey);
    if (known !== undefined) return known;
    const cost = (runs.get(groupKey) ?? []).reduce(add, 0);
    costs.set(groupKey, cost);
    return cost;
  };
};

/**
 * @param runs - all runs by group
 * @param groupKeys - groups of which room is wanted
 * @returns time until the last of them is expected to end by itself, in milliseconds
 */
export const longestWaitMs = (runs: RunsByGroup, groupKeys: ReadonlySet<string>): number =>
  [...groupKeys]
    .flatMap((it) => runs.get(it) ?? [])
    .reduce(
      (longest, { holding }) =>
        Math.max(longest, holding.isLeaving ? LEAVING_MS : holding.remainingMs),
      0,
    );

const victimsOn = (
  worker: planTypes.PlanWorker,
  unit: planTypes.PlanUnit,
  draft: Draft,
  costOfGroup: CostOfGroup,
): Victims | undefined => {
  const already = draft.taken.get(worker.workerId) ?? 0;
  if (gangPlacement.spreadLimit(worker, unit) <= already) return undefined;
  let free = draft.free.get(worker.workerId) ?? worker.free;
  const groupKeys: string[] = [];
  let cost = 0;
  const candidates = worker.holdings
    .filter((it) => !draft.leaving.has(it.groupKey) && it.stepKey !== unit.stepKey)
    .map((holding) => ({ holding, cost: costOfGroup(holding.groupKey) }))
    .filter((it) => Number.isFinite(it.cost))
    .sort((a, b) => a.cost - b.cost);
  for (const it of candidates) {
    if (poolJob.timesThatFit(free, unit.room) > 0) break;
    free = poolJob.addResources(free, it.holding.room);
    if (!groupKeys.includes(it.holding.groupKey)) {
      groupKeys.push(it.holding.groupKey);
      cost += it.cost;
    }
  }
  return poolJob.timesThatFit(free, unit.room) > 0 ? { groupKeys, cost } : undefined;
};

const release = (draft: Draft, runs: RunsByGroup, groupKeys: readonly string[]): void => {
  for (const groupKey of groupKeys) {
    for (const { worker, holding } of runs.get(groupKey) ?? []) {
      const free = draft.free.get(worker.workerId) ?? worker.free;
      draft.free.set(worker.workerId, poolJob.addResources(free, holding.room));
      draft.offers.delete(worker.workerId);
    }
    draft.leaving.add(groupKey);
  }
};

/** A little dearer than nothing, so that room that is free now goes first. */
const LEAVING_COST = 0.001;

/**
 * Worked out once for each worker and again only where the draft changed it: for each member of a gang of
 * 64 anew, a round of 670 workers took 172 ms in place of 104 ms.
 */
const offerOf = (
  worker: planTypes.PlanWorker,
  unit: planTypes.PlanUnit,
  draft: Draft,
  costOfGroup: CostOfGroup,
): Victims | undefined => {
  if (draft.offers.has(worker.workerId)) return draft.offers.get(worker.workerId);
  const victims = victimsOn(worker, unit, draft, costOfGroup);
  draft.offers.set(worker.workerId, victims);
  return victims;
};

const addOne = (
  draft: Draft,
  runs: RunsByGroup,
  group: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
  costOfGroup: CostOfGroup,
): boolean => {
  let best: { worker: planTypes.PlanWorker; victims: Victims; cost: number } | undefined;
  for (const worker of group) {
    const victims = offerOf(worker, unit, draft, costOfGroup);
    if (victims !== undefined) {
      const cost = victims.cost + victims.groupKeys.length * LEAVING_COST;
      if (best === undefined || cost < best.cost) best = { worker, victims, cost };
    }
  }
  if (best === undefined) return false;
  release(draft, runs, best.victims.groupKeys);
  const { worker } = best;
  draft.offers.delete(worker.workerId);
  const free = draft.free.get(worker.workerId) ?? worker.free;
  draft.free.set(worker.workerId, poolJob.addResources(free, unit.room, -1));
  draft.taken.set(worker.workerId, (draft.taken.get(worker.workerId) ?? 0) + 1);
  draft.workers.push(worker);
  draft.cost += best.cost;
  return true;
};

/**
 * @param runs - all runs by group
 * @param groups - groups of workers within which the unit may be placed
 * @param unit - the unit
 * @param costOfGroup - what it costs that a group leaves
 * @returns the cheapest place, or undefined where there is none
 */
export const findRoomToCome = (
  runs: RunsByGroup,
  groups: gangPlacement.CandidateGroups,
  unit: planTypes.PlanUnit,
  costOfGroup: CostOfGroup,
): FuturePlacement | undefined => {
  let best: FuturePlacement | undefined;
  for (const group of groups) {
    const draft: Draft = {
      free: new Map(),
      taken: new Map(),
      leaving: new Set(),
      workers: [],
      offers: new Map(),
      cost: 0,
    };
    const isPlaced = unit.unit.tasks.every(() => addOne(draft, runs, group, unit, costOfGroup));
    if (isPlaced && draft.cost < (best?.cost ?? Infinity)) {
      const placement = { unit, workers: draft.workers };
      best = { placement, leaving: draft.leaving, cost: draft.cost };
    }
  }
  return best;
};
