/**
 * Where a unit would fit once some of what runs has left: at the least loss, for a guarantee that is
 * claimed; soonest, for a wide unit that must not be starved.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as gangPlacement from './gangPlacement.js';
import type * as planTypes from './planTypes.js';

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
  cost: number;
}

interface Victims {
  readonly groupKeys: readonly string[];
  readonly cost: number;
}

/** All runs of a gang end together, so the cost of one member is that of all. */
const groupCosts = (
  workers: readonly planTypes.PlanWorker[],
  costOf: CostOf,
): Map<string, number> => {
  const costs = new Map<string, number>();
  for (const holding of workers.flatMap((it) => it.holdings)) {
    const cost = holding.isLeaving ? 0 : (costOf(holding) ?? Infinity);
    costs.set(holding.groupKey, (costs.get(holding.groupKey) ?? 0) + cost);
  }
  return costs;
};

const victimsOn = (
  worker: planTypes.PlanWorker,
  unit: planTypes.PlanUnit,
  draft: Draft,
  costs: ReadonlyMap<string, number>,
): Victims | undefined => {
  const already = draft.taken.get(worker.workerId) ?? 0;
  if (gangPlacement.spreadLimit(worker, unit) <= already) return undefined;
  let free = draft.free.get(worker.workerId) ?? worker.free;
  const groupKeys: string[] = [];
  let cost = 0;
  const candidates = worker.holdings
    .filter((it) => !draft.leaving.has(it.groupKey) && it.stepKey !== unit.stepKey)
    .map((holding) => ({ holding, cost: costs.get(holding.groupKey) ?? Infinity }))
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

const release = (
  draft: Draft,
  workers: readonly planTypes.PlanWorker[],
  groupKeys: readonly string[],
): void => {
  for (const worker of workers) {
    for (const holding of worker.holdings) {
      if (groupKeys.includes(holding.groupKey) && !draft.leaving.has(holding.groupKey)) {
        const free = draft.free.get(worker.workerId) ?? worker.free;
        draft.free.set(worker.workerId, poolJob.addResources(free, holding.room));
      }
    }
  }
  groupKeys.forEach((key) => draft.leaving.add(key));
};

/** A little dearer than nothing, so that room that is free now goes first. */
const LEAVING_COST = 0.001;

const addOne = (
  draft: Draft,
  all: readonly planTypes.PlanWorker[],
  group: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
  costs: ReadonlyMap<string, number>,
): boolean => {
  let best: { worker: planTypes.PlanWorker; victims: Victims; cost: number } | undefined;
  for (const worker of group) {
    const victims = victimsOn(worker, unit, draft, costs);
    if (victims !== undefined) {
      const cost = victims.cost + victims.groupKeys.length * LEAVING_COST;
      if (best === undefined || cost < best.cost) best = { worker, victims, cost };
    }
  }
  if (best === undefined) return false;
  release(draft, all, best.victims.groupKeys);
  const { worker } = best;
  const free = draft.free.get(worker.workerId) ?? worker.free;
  draft.free.set(worker.workerId, poolJob.addResources(free, unit.room, -1));
  draft.taken.set(worker.workerId, (draft.taken.get(worker.workerId) ?? 0) + 1);
  draft.workers.push(worker);
  draft.cost += best.cost;
  return true;
};

/**
 * @param all - all workers, since a gang that leaves frees room on each of its workers
 * @param groups - groups of workers within which the unit may be placed
 * @param unit - the unit
 * @param costOf - what it costs that a run leaves
 * @returns the cheapest place, or undefined where there is none
 */
export const findRoomToCome = (
  all: readonly planTypes.PlanWorker[],
  groups: readonly (readonly planTypes.PlanWorker[])[],
  unit: planTypes.PlanUnit,
  costOf: CostOf,
): FuturePlacement | undefined => {
  const costs = groupCosts(all, costOf);
  let best: FuturePlacement | undefined;
  for (const group of groups) {
    const draft: Draft = {
      free: new Map(),
      taken: new Map(),
      leaving: new Set(),
      workers: [],
      cost: 0,
    };
    const isPlaced = unit.unit.tasks.every(() => addOne(draft, all, group, unit, costs));
    if (isPlaced && draft.cost < (best?.cost ?? Infinity)) {
      const placement = { unit, workers: draft.workers };
      best = { placement, leaving: draft.leaving, cost: draft.cost };
    }
  }
  return best;
};
