/**
 * Finds the placement of a gang that causes the least fragmentation.
 *
 * Designed for a cell with many small jobs and few large ones, where a small job on an empty worker
 * can keep a gang waiting for hours. Best fit by worker, then by rack, uses partly occupied workers
 * first; workers that guarantees need completely free come last.
 */
import type * as job from '../../state/common/job.js';

import * as cellCapacity from './cellCapacity.js';

/** Capacity that one search may use. */
export interface FitRules {
  /** Accelerators usable on a worker. */
  readonly open: (worker: number) => number;
  /** Accelerators on each worker that are set aside for unclaimed guarantees. */
  readonly setAside: readonly number[];
  /** Whether `open` includes accelerators that are not free yet. */
  readonly isAhead?: boolean;
}

/** Outweighs every difference in leftovers: a worker has at most 64 accelerators. */
const SET_ASIDE_COST = 1_000_000;
/** One leftover accelerator on the worker outweighs any number free in its rack. */
const LEFTOVER_COST = 1000;

const costOn = (
  capacity: cellCapacity.CellCapacity,
  rules: FitRules,
  worker: number,
  need: number,
  open: number,
): number => {
  const isSetAside = open - need < (rules.setAside[worker] ?? 0);
  const leftover =
    (open - need) * LEFTOVER_COST + (capacity.rackFree[capacity.rackOf[worker] ?? 0] ?? 0);
  return leftover + (isSetAside ? SET_ASIDE_COST : 0);
};

const fitOnWorker = (
  capacity: cellCapacity.CellCapacity,
  rules: FitRules,
  need: number,
): cellCapacity.GangPlan | undefined => {
  let best = -1;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const worker of capacity.all) {
    // Checks the free count first, since on a full cell it rules out almost every worker.
    if (rules.isAhead !== true && (capacity.free[worker] ?? 0) < need) continue;
    const open = rules.open(worker);
    if (open < need) continue;
    const cost = costOn(capacity, rules, worker, need, open);
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best === -1 ? undefined : [{ worker: best, members: 1 }];
};

interface GroupFit {
  readonly plan: cellCapacity.WorkerShare[];
  readonly cost: number;
}

const fitInGroup = (
  capacity: cellCapacity.CellCapacity,
  rules: FitRules,
  group: readonly number[],
  spec: job.JobSpec,
): GroupFit | undefined => {
  const { members, acceleratorsPerMember: per } = spec;
  const open: { readonly worker: number; readonly size: number }[] = [];
  let memberCapacity = 0;
  for (const worker of group) {
    if (rules.isAhead !== true && (capacity.free[worker] ?? 0) < per) continue;
    const size = rules.open(worker);
    if (size < per) continue;
    open.push({ worker, size });
    memberCapacity += Math.floor(size / per);
  }
  if (memberCapacity < members) return undefined;
  const order = open
    .map(({ worker, size }) => {
      const fits = Math.floor(size / per);
      const isSetAside = size - fits * per < (rules.setAside[worker] ?? 0);
      return { worker, fits, size, rank: (isSetAside ? SET_ASIDE_COST : 0) + size };
    })
    .sort((a, b) => a.rank - b.rank || a.worker - b.worker);
  const plan: cellCapacity.WorkerShare[] = [];
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
 * @param capacity - the cell
 * @param spec - the job
 * @param rules - capacity that may be used
 * @returns a placement of all members, or undefined where no group of workers fits them
 */
export const findGangPlan = (
  capacity: cellCapacity.CellCapacity,
  spec: job.JobSpec,
  rules: FitRules,
): cellCapacity.GangPlan | undefined => {
  if (spec.adjacency === 'worker' || spec.members === 1) {
    const plan = fitOnWorker(capacity, rules, spec.members * spec.acceleratorsPerMember);
    return plan?.map((it) => ({ ...it, members: spec.members }));
  }
  let best: GroupFit | undefined;
  for (const group of cellCapacity.groupsFor(capacity, spec)) {
    const fit = fitInGroup(capacity, rules, group, spec);
    if (fit !== undefined && fit.cost < (best?.cost ?? Number.POSITIVE_INFINITY)) best = fit;
  }
  return best?.plan;
};
