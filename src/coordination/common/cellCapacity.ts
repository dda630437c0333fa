/**
 * Capacity of a cell during one planning round: allocated, free, and free or lent accelerators.
 * Built once per round and updated as the round decides, so that the state of the cell is not
 * recomputed for each queued job.
 */
import * as job from '../../state/common/job.js';

import type * as planTypes from './planTypes.js';
import * as workLoss from './workLoss.js';

/** How many members of a gang go to one worker. */
export interface WorkerShare {
  /** Index into {@link CellCapacity.workers}. */
  readonly worker: number;
  readonly members: number;
}

/** Placement of a complete gang. */
export type GangPlan = readonly WorkerShare[];

/** A job on borrowed accelerators with its allocation by worker index. */
export interface Borrower {
  readonly record: job.JobRecord;
  readonly held: ReadonlyMap<number, number>;
  /** Accelerator-milliseconds of work that stopping it loses. */
  readonly lossMs: number;
  /** It is being stopped, since before or by a decision of this round. */
  isLeaving: boolean;
}

/** Capacity of the cell, updated by the round. Arrays are indexed by worker. */
export interface CellCapacity {
  readonly workers: readonly planTypes.PlanWorker[];
  readonly indexOf: ReadonlyMap<string, number>;
  /** Worker indexes of each rack. */
  readonly racks: readonly (readonly number[])[];
  readonly rackOf: readonly number[];
  readonly all: readonly number[];
  /** Unallocated accelerators; 0 on workers that are not ready. */
  readonly free: number[];
  /** Sum of `free` by rack. */
  readonly rackFree: number[];
  /** Free accelerators that this round holds back for a claim or a reservation. */
  readonly kept: number[];
  /** Free or lent accelerators, which guarantees may use. */
  readonly claimable: number[];
  /** Borrowers on each worker, the smallest loss first. */
  readonly borrowers: readonly (readonly Borrower[])[];
  readonly isUsed: readonly (readonly boolean[])[];
  readonly use: (worker: number, accelerators: readonly number[]) => void;
}

const bySmallestLoss = (a: Borrower, b: Borrower): number =>
  a.lossMs - b.lossMs || (a.record.spec.jobId < b.record.spec.jobId ? -1 : 1);

const isBorrowing = (record: job.JobRecord): boolean => record.spec.claim === job.Claim.spare;

const heldByWorker = (
  record: job.JobRecord,
  indexOf: ReadonlyMap<string, number>,
): Map<number, number> => {
  const held = new Map<number, number>();
  for (const place of record.placement) {
    const worker = indexOf.get(place.workerId);
    if (worker === undefined) continue;
    held.set(worker, (held.get(worker) ?? 0) + place.accelerators.length);
  }
  return held;
};

const groupByRack = (workers: readonly planTypes.PlanWorker[]): Map<string, number[]> => {
  const racks = new Map<string, number[]>();
  workers.forEach(({ rack }, index) => {
    const members = racks.get(rack) ?? [];
    members.push(index);
    racks.set(rack, members);
  });
  return racks;
};

/**
 * @param view - the current state of the cell
 * @param placed - its jobs with an allocation
 * @returns its capacity at the start of a round
 */
export const createCellCapacity = (
  view: planTypes.PlanView,
  placed: readonly job.JobRecord[],
): CellCapacity => {
  const { workers } = view;
  const indexOf = new Map(workers.map((it, index) => [it.workerId, index]));
  const byRack = groupByRack(workers);
  const rackNumber = new Map([...byRack.keys()].map((rack, index) => [rack, index]));
  const isUsed = workers.map((it) => Array.from({ length: it.accelerators }, () => false));
  const claimable = workers.map((it) => (it.health === 'ready' ? it.accelerators : 0));
  const borrowers: Borrower[][] = workers.map(() => []);
  for (const record of placed) {
    for (const { workerId, accelerators } of record.placement) {
      const used = isUsed[indexOf.get(workerId) ?? -1];
      if (used === undefined) continue;
      for (const index of accelerators) used[index] = true;
    }
    const held = heldByWorker(record, indexOf);
    if (isBorrowing(record)) {
      const isLeaving = record.state === job.JobState.stopping;
      const lossMs = isLeaving ? 0 : workLoss.lossOf(record, view.nowMs);
      const borrower = { record, held, isLeaving, lossMs };
      for (const worker of held.keys()) borrowers[worker]?.push(borrower);
    } else {
      for (const [worker, count] of held) {
        claimable[worker] = Math.max(0, (claimable[worker] ?? 0) - count);
      }
    }
  }
  for (const it of borrowers) it.sort(bySmallestLoss);
  const free = workers.map((it, index) =>
    it.health === 'ready' ? (isUsed[index] ?? []).filter((used) => !used).length : 0,
  );
  const rackOf = workers.map((it) => rackNumber.get(it.rack) ?? 0);
  const racks = [...byRack.values()];
  const rackFree = racks.map((rack) => rack.reduce((sum, it) => sum + (free[it] ?? 0), 0));
  return {
    workers,
    indexOf,
    racks,
    rackOf,
    all: workers.map((_it, index) => index),
    free,
    rackFree,
    kept: workers.map(() => 0),
    claimable,
    borrowers,
    isUsed,
    use: (worker, accelerators) => {
      const used = isUsed[worker] ?? [];
      for (const index of accelerators) used[index] = true;
      free[worker] = Math.max(0, (free[worker] ?? 0) - accelerators.length);
      const rack = rackOf[worker] ?? 0;
      rackFree[rack] = Math.max(0, (rackFree[rack] ?? 0) - accelerators.length);
    },
  };
};

/**
 * @param capacity - the cell
 * @param worker - index of a worker
 * @returns free accelerators there that are not held back
 */
export const availableOn = (capacity: CellCapacity, worker: number): number =>
  Math.max(0, (capacity.free[worker] ?? 0) - (capacity.kept[worker] ?? 0));

/**
 * Allocates free accelerators to a gang.
 *
 * @param capacity - the cell; changed
 * @param plan - number of members per worker
 * @param perMember - accelerators of each member
 * @returns the members' placements; every index was free, so none is allocated twice
 */
export const allocateGang = (
  capacity: CellCapacity,
  plan: GangPlan,
  perMember: number,
): job.MemberPlacement[] => {
  const placement: job.MemberPlacement[] = [];
  for (const { worker, members } of plan) {
    const workerId = capacity.workers[worker]?.workerId ?? '';
    const used = capacity.isUsed[worker] ?? [];
    const open = used.flatMap((isTaken, index) => (isTaken ? [] : [index]));
    const accelerators = open.slice(0, members * perMember);
    capacity.use(worker, accelerators);
    for (let at = 0; at < members; at += 1) {
      placement.push({
        member: placement.length,
        workerId,
        accelerators: accelerators.slice(at * perMember, (at + 1) * perMember),
      });
    }
  }
  return placement;
};

/**
 * @param capacity - the cell
 * @param spec - a job
 * @returns the groups of workers that satisfy its adjacency
 */
export const groupsFor = (
  capacity: CellCapacity,
  spec: job.JobSpec,
): readonly (readonly number[])[] => {
  if (spec.adjacency === 'rack') return capacity.racks;
  return spec.adjacency === 'zone' ? [capacity.all] : capacity.all.map((it) => [it]);
};
