/**
 * Finds where a unit would fit once some running groups have ended: with the least loss, for a claim of
 * a guarantee; soonest, for a wide unit that must not starve.
 */
import * as groupBy from '../../../base/common/groupBy.js';
import * as memoize from '../../../base/common/memoize.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as gangPlacement from './gangPlacement.js';
import * as isolation from './isolation.js';
import type * as planTypes from './planTypes.js';

/** A run that is terminating has ended in about this time. */
const TERMINATION_MS = 400;

/** Cost of ending or awaiting a run; `undefined` or infinite where that must not be done. */
export type CostOf = (allocation: planTypes.Allocation) => number | undefined;

/** A placement of a unit with the groups that have to end first. */
export interface FuturePlacement {
  readonly placement: planTypes.Placement;
  /** Keys of the groups that have to end. */
  readonly leaving: ReadonlySet<string>;
  readonly cost: number;
}

interface PlacementDraft {
  readonly free: Map<string, poolJob.Resources>;
  readonly placedCounts: Map<string, number>;
  readonly leaving: Set<string>;
  /** The worker of each task that is placed. */
  readonly workers: planTypes.PlanWorker[];
  /** Cached victims by worker, as long as nothing on the worker has changed. */
  readonly victimsByWorker: Map<string, Victims | undefined>;
  cost: number;
}

interface Victims {
  readonly groupKeys: readonly string[];
  readonly cost: number;
}

/** A run with its worker. */
interface PlacedRun {
  readonly worker: planTypes.PlanWorker;
  readonly allocation: planTypes.Allocation;
}

/** Runs by the key of their group; all runs of a group end together. */
export type RunsByGroup = ReadonlyMap<string, readonly PlacedRun[]>;

/**
 * Built once per round: with a search through all runs for the members of one gang, repeated for each
 * candidate rack, a round of 670 workers took more than half a minute.
 *
 * @param workers - all workers, since a gang that ends frees capacity on each of its workers
 * @returns their runs by group
 */
export const indexRuns = (workers: readonly planTypes.PlanWorker[]): RunsByGroup => {
  const runs = workers.flatMap((worker) =>
    worker.allocations.map((allocation): PlacedRun => ({ worker, allocation })),
  );
  return groupBy.groupBy(runs, ({ allocation }) => allocation.groupKey);
};

/** A run that may be ended or awaited, with the cost of that for its group. */
interface Candidate {
  readonly allocation: planTypes.Allocation;
  readonly cost: number;
}

/** Costs of ending or awaiting groups. */
export interface GroupCosts {
  /** @returns the cost for a group; infinite where that must not be done */
  readonly of: (groupKey: string) => number;
  /** @returns the runs on a worker for which that may be done, the ones of the lowest cost first */
  readonly candidatesOn: (worker: planTypes.PlanWorker) => readonly Candidate[];
}

/**
 * All runs of a gang end together, so the cost of one member is that of all. Computed once for all units of a round,
 * which ask for the same groups and workers: for each unit anew, a round of 670 workers took several times as long.
 *
 * @param runs - all runs by group
 * @param costOf - cost of one run
 * @returns the costs of the groups
 */
export const createGroupCosts = (runs: RunsByGroup, costOf: CostOf): GroupCosts => {
  const add = (sum: number, { allocation }: PlacedRun): number =>
    sum + (allocation.isLeaving ? 0 : (costOf(allocation) ?? Infinity));
  const of = memoize.memoize((groupKey: string): number =>
    (runs.get(groupKey) ?? []).reduce(add, 0),
  );
  const candidatesOn = memoize.memoize((worker: planTypes.PlanWorker): readonly Candidate[] =>
    worker.allocations
      .map((allocation) => ({ allocation, cost: of(allocation.groupKey) }))
      .filter(({ cost }) => Number.isFinite(cost))
      .sort((a, b) => a.cost - b.cost),
  );
  return { of, candidatesOn };
};

/**
 * @param runs - all runs by group
 * @param groupKeys - groups whose capacity is needed
 * @returns expected time until the last of them has ended by itself, in milliseconds
 */
export const longestWaitMs = (runs: RunsByGroup, groupKeys: ReadonlySet<string>): number =>
  [...groupKeys]
    .flatMap((it) => runs.get(it) ?? [])
    .reduce(
      (longest, { allocation }) =>
        Math.max(longest, allocation.isLeaving ? TERMINATION_MS : allocation.remainingMs),
      0,
    );

/** Groups of other jobs that have to end before an isolated unit may start on a worker, whatever is free. */
const groupsInTheWay = (
  worker: planTypes.PlanWorker,
  unit: planTypes.PlanUnit,
  draft: PlacementDraft,
): ReadonlySet<string> =>
  new Set(
    isolation
      .runsInTheWay(worker, unit)
      .map((it) => it.groupKey)
      .filter((it) => !draft.leaving.has(it)),
  );

const victimsOn = (
  worker: planTypes.PlanWorker,
  unit: planTypes.PlanUnit,
  draft: PlacementDraft,
  costs: GroupCosts,
): Victims | undefined => {
  const placedCount = draft.placedCounts.get(worker.workerId) ?? 0;
  if (gangPlacement.spreadLimit(worker, unit) <= placedCount) return undefined;
  if (isolation.isKeptForOthers(worker, unit)) return undefined;
  const inTheWay = groupsInTheWay(worker, unit, draft);
  if ([...inTheWay].some((it) => !Number.isFinite(costs.of(it)))) return undefined;
  let free = draft.free.get(worker.workerId) ?? worker.free;
  const groupKeys: string[] = [];
  let cost = 0;
  const isInTheWay = ({ allocation }: Candidate): boolean => inTheWay.has(allocation.groupKey);
  const ranked = costs.candidatesOn(worker);
  const candidates =
    inTheWay.size === 0
      ? ranked
      : [...ranked.filter(isInTheWay), ...ranked.filter((it) => !isInTheWay(it))];
  for (const it of candidates) {
    const { groupKey, stepKey, room } = it.allocation;
    if (!isInTheWay(it) && poolJob.countFittingTasks(free, unit.room) > 0) break;
    if (!draft.leaving.has(groupKey) && stepKey !== unit.stepKey) {
      free = poolJob.addResources(free, room);
      if (!groupKeys.includes(groupKey)) {
        groupKeys.push(groupKey);
        cost += it.cost;
      }
    }
  }
  return poolJob.countFittingTasks(free, unit.room) > 0 ? { groupKeys, cost } : undefined;
};

const releaseGroups = (
  draft: PlacementDraft,
  runs: RunsByGroup,
  groupKeys: readonly string[],
): void => {
  for (const groupKey of groupKeys) {
    for (const { worker, allocation } of runs.get(groupKey) ?? []) {
      const free = draft.free.get(worker.workerId) ?? worker.free;
      draft.free.set(worker.workerId, poolJob.addResources(free, allocation.room));
      draft.victimsByWorker.delete(worker.workerId);
    }
    draft.leaving.add(groupKey);
  }
};

/** Cost per group that has to end, slightly above zero, so that capacity that is free now goes first. */
const COST_PER_GROUP = 0.001;

/**
 * Computed once for each worker and again only where the draft changed it: computed for each member of a
 * gang of 64, a round of 670 workers took 172 ms instead of 104 ms.
 */
const cachedVictimsOn = (
  worker: planTypes.PlanWorker,
  unit: planTypes.PlanUnit,
  draft: PlacementDraft,
  costs: GroupCosts,
): Victims | undefined => {
  if (draft.victimsByWorker.has(worker.workerId)) return draft.victimsByWorker.get(worker.workerId);
  const victims = victimsOn(worker, unit, draft, costs);
  draft.victimsByWorker.set(worker.workerId, victims);
  return victims;
};

/** Places the task of a unit with this index. */
const placeOneTask = (
  draft: PlacementDraft,
  runs: RunsByGroup,
  group: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
  index: number,
  costs: GroupCosts,
): boolean => {
  let best: { worker: planTypes.PlanWorker; victims: Victims; cost: number } | undefined;
  for (const worker of group) {
    const victims = cachedVictimsOn(worker, unit, draft, costs);
    if (victims !== undefined) {
      const cost = victims.cost + victims.groupKeys.length * COST_PER_GROUP;
      if (best === undefined || cost < best.cost) best = { worker, victims, cost };
    }
  }
  if (best === undefined) return false;
  releaseGroups(draft, runs, best.victims.groupKeys);
  const { worker } = best;
  draft.victimsByWorker.delete(worker.workerId);
  const free = draft.free.get(worker.workerId) ?? worker.free;
  draft.free.set(worker.workerId, poolJob.addResources(free, unit.room, -1));
  draft.placedCounts.set(worker.workerId, (draft.placedCounts.get(worker.workerId) ?? 0) + 1);
  draft.workers[index] = worker;
  draft.cost += best.cost;
  return true;
};

/** Indexes of a unit's tasks: bound ones first, before others take their workers. */
const placementOrder = ({ unit, boundWorkerIds }: planTypes.PlanUnit): number[] => {
  const indexes = unit.tasks.map((_, index) => index);
  if (boundWorkerIds === undefined) return indexes;
  const isBound = (index: number): boolean => boundWorkerIds[index] !== undefined;
  return [...indexes.filter(isBound), ...indexes.filter((index) => !isBound(index))];
};

/**
 * @param runs - all runs by group
 * @param groups - groups of workers within which the unit may be placed
 * @param unit - the unit
 * @param costs - cost of each group
 * @returns the placement of the lowest cost, or undefined where there is none
 */
export const findFuturePlacement = (
  runs: RunsByGroup,
  groups: planTypes.CandidateGroups,
  unit: planTypes.PlanUnit,
  costs: GroupCosts,
): FuturePlacement | undefined => {
  let best: FuturePlacement | undefined;
  for (const group of groups) {
    const draft: PlacementDraft = {
      free: new Map(),
      placedCounts: new Map(),
      leaving: new Set(),
      workers: [],
      victimsByWorker: new Map(),
      cost: 0,
    };
    const isPlaced = placementOrder(unit).every((index) => {
      const candidates = gangPlacement.workersOfTask(group, unit, index);
      return placeOneTask(draft, runs, candidates, unit, index, costs);
    });
    if (isPlaced && draft.cost < (best?.cost ?? Infinity)) {
      const placement = { unit, workers: draft.workers };
      best = { placement, leaving: draft.leaving, cost: draft.cost };
    }
  }
  return best;
};
