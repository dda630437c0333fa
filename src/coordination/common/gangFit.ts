/**
 * Finds the place for a gang that leaves the least fragmentation.
 *
 * Made for a cell shared by many small jobs and few large ones: a small job on an empty worker can
 * keep a gang waiting for hours. Best fit by worker, then by rack, fills what is already broken
 * open; workers that the guarantees need whole come last.
 */
import type * as job from '../../state/common/job.js';

import * as cellSpace from './cellSpace.js';

/** What one search may use. */
export interface FitRules {
  /** Accelerators usable on a worker. */
  readonly open: (worker: number) => number;
  /** Accelerators that unclaimed guarantees would take on each worker. */
  readonly setAside: readonly number[];
  /** Whether `open` counts accelerators that are not free yet. */
  readonly isAhead?: boolean;
}

/** Outweighs every difference in leftovers: a worker holds at most 64 accelerators. */
const SET_ASIDE_COST = 1_000_000;
/** A leftover on the worker weighs more than any number free in its rack. */
const LEFTOVER_COST = 1000;

const costOn = (
  space: cellSpace.CellSpace,
  rules: FitRules,
  worker: number,
  need: number,
  open: number,
): number => {
  const isSetAside = open - need < (rules.setAside[worker] ?? 0);
  const leftover = (open - need) * LEFTOVER_COST + (space.rackFree[space.rackOf[worker] ?? 0] ?? 0);
  return leftover + (isSetAside ? SET_ASIDE_COST : 0);
};

const fitOnWorker = (
  space: cellSpace.CellSpace,
  rules: FitRules,
  need: number,
): cellSpace.GangPlan | undefined => {
  let best = -1;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const worker of space.all) {
    // The free count comes first, since on a full cell it rules out almost every worker.
    if (rules.isAhead !== true && (space.free[worker] ?? 0) < need) continue;
    const open = rules.open(worker);
    if (open < need) continue;
    const cost = costOn(space, rules, worker, need, open);
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best === -1 ? undefined : [{ worker: best, members: 1 }];
};

interface GroupFit {
  readonly plan: cellSpace.WorkerShare[];
  readonly cost: number;
}

const fitInGroup = (
  space: cellSpace.CellSpace,
  rules: FitRules,
  group: readonly number[],
  spec: job.JobSpec,
): GroupFit | undefined => {
  const { members, acceleratorsPerMember: per } = spec;
  const open: { readonly worker: number; readonly size: number }[] = [];
  let room = 0;
  for (const worker of group) {
    if (rules.isAhead !== true && (space.free[worker] ?? 0) < per) continue;
    const size = rules.open(worker);
    if (size < per) continue;
    open.push({ worker, size });
    room += Math.floor(size / per);
  }
  if (room < members) return undefined;
  const order = open
    .map(({ worker, size }) => {
      const fits = Math.floor(size / per);
      const isSetAside = size - fits * per < (rules.setAside[worker] ?? 0);
      return { worker, fits, size, rank: (isSetAside ? SET_ASIDE_COST : 0) + size };
    })
    .sort((a, b) => a.rank - b.rank || a.worker - b.worker);
  const plan: cellSpace.WorkerShare[] = [];
  let left = members;
  let cost = 0;
  for (const it of order) {
    if (left === 0) break;
    const share = Math.min(left, it.fits);
    plan.push({ worker: it.worker, members: share });
    left -= share;
    cost += it.rank >= SET_ASIDE_COST ? SET_ASIDE_COST : 0;
  }
  const sizes = order.reduce((sum, it) => sum + it.size, 0);
  return { plan, cost: cost + sizes - members * per };
};

/**
 * @param space - the cell
 * @param spec - the job
 * @param rules - what may be used
 * @returns a place for every member, or undefined where no group of workers holds them all
 */
export const findGang = (
  space: cellSpace.CellSpace,
  spec: job.JobSpec,
  rules: FitRules,
): cellSpace.GangPlan | undefined => {
  if (spec.adjacency === 'worker' || spec.members === 1) {
    const plan = fitOnWorker(space, rules, spec.members * spec.acceleratorsPerMember);
    return plan?.map((it) => ({ ...it, members: spec.members }));
  }
  let best: GroupFit | undefined;
  for (const group of cellSpace.groupsFor(space, spec)) {
    const fit = fitInGroup(space, rules, group, spec);
    if (fit !== undefined && fit.cost < (best?.cost ?? Number.POSITIVE_INFINITY)) best = fit;
  }
  return best?.plan;
};
