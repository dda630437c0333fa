/**
 * Where the tasks of one unit go: the tightest room first, so that whole workers stay whole for wide
 * tasks; the members of a gang within one rack where distance slows them down.
 *
 * Load it answers: a mix of tasks of one accelerator and of eight on workers of eight. Spread evenly,
 * the small ones leave no whole worker, and the large wait for the last of them to end.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import type * as jobBook from './jobBook.js';
import type * as planTypes from './planTypes.js';

/** Room left on a worker as a share of its capacity, summed over the kinds of resources. */
const leftoverShare = (worker: planTypes.PlanWorker, room: poolJob.Resources, times: number) => {
  const left = poolJob.addResources(worker.free, room, -times);
  const { capacity } = worker;
  return (
    left.cpuMillicores / Math.max(1, capacity.cpuMillicores) +
    left.memoryMb / Math.max(1, capacity.memoryMb) +
    (2 * left.accelerators) / Math.max(1, capacity.accelerators)
  );
};

const heldOfStep = (worker: planTypes.PlanWorker, stepKey: string): number =>
  worker.holdings.filter((it) => it.stepKey === stepKey).length +
  (worker.placedSteps.get(stepKey) ?? 0);

/**
 * @param worker - a worker
 * @param unit - a unit
 * @returns how many more tasks of the unit's step the spread limit lets the worker take
 */
export const spreadLimit = (worker: planTypes.PlanWorker, unit: planTypes.PlanUnit): number => {
  const { maxPerWorker } = unit.unit.step;
  return maxPerWorker === 0
    ? Number.MAX_SAFE_INTEGER
    : Math.max(0, maxPerWorker - heldOfStep(worker, unit.stepKey));
};

/**
 * @param worker - a worker
 * @param unit - a unit
 * @returns whether the worker may ever run the unit's tasks
 */
export const isSuitable = (worker: planTypes.PlanWorker, unit: planTypes.PlanUnit): boolean => {
  const { step, entry } = unit.unit;
  if (worker.service !== entry.job.policy.service) return false;
  if (step.requiredLabel !== undefined && !worker.labels.includes(step.requiredLabel)) return false;
  if (unit.ticketsByWorker?.has(worker.workerId) === false) return false;
  return poolJob.timesThatFit(worker.capacity, unit.room) > 0;
};

const slotsOn = (worker: planTypes.PlanWorker, unit: planTypes.PlanUnit): number =>
  Math.min(poolJob.timesThatFit(worker.free, unit.room), spreadLimit(worker, unit));

/** Fills the tightest workers first. */
const fill = (
  workers: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
): planTypes.PlanWorker[] | undefined => {
  const wanted = unit.unit.tasks.length;
  const slots = workers
    .map((worker) => ({ worker, count: Math.min(wanted, slotsOn(worker, unit)) }))
    .filter(({ count }) => count > 0);
  if (slots.reduce((sum, { count }) => sum + count, 0) < wanted) return undefined;
  const ranked = slots
    .map((slot) => ({ ...slot, left: leftoverShare(slot.worker, unit.room, slot.count) }))
    .sort((a, b) => a.left - b.left);
  return ranked
    .flatMap(({ worker, count }) => Array<planTypes.PlanWorker>(count).fill(worker))
    .slice(0, wanted);
};

/** Workers to be tried together. */
export type CandidateGroups = readonly (readonly planTypes.PlanWorker[])[];

/** Where a unit may go. */
export interface Candidates {
  /** Near its data, and for a gang that wants it on one rack; all there is where neither is asked for. */
  readonly near: CandidateGroups;
  /** Where it takes several times as long; empty where distance does not matter. */
  readonly far: CandidateGroups;
}

const byRack = (workers: readonly planTypes.PlanWorker[]): Map<string, planTypes.PlanWorker[]> => {
  const racks = new Map<string, planTypes.PlanWorker[]>();
  for (const worker of workers) {
    const rack = racks.get(worker.rack) ?? [];
    rack.push(worker);
    racks.set(worker.rack, rack);
  }
  return racks;
};

const couldEverHold = (
  workers: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
): boolean => {
  const { maxPerWorker } = unit.unit.step;
  const limit = maxPerWorker === 0 ? Number.MAX_SAFE_INTEGER : maxPerWorker;
  const slots = workers.map((it) => Math.min(limit, poolJob.timesThatFit(it.capacity, unit.room)));
  return slots.reduce((sum, count) => sum + Math.min(count, 1e6), 0) >= unit.unit.tasks.length;
};

/**
 * @param workers - all workers that take tasks
 * @param unit - a unit
 * @returns the groups of workers within which it may be placed
 */
export const candidateGroups = (
  workers: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
): Candidates => {
  const { step, tasks } = unit.unit;
  const suitable = workers.filter((worker) => isSuitable(worker, unit));
  const avoided = new Set(tasks.flatMap((task) => task.avoid));
  const sound = suitable.filter((worker) => !worker.isSuspect);
  const untried = sound.filter((worker) => !avoided.has(worker.workerId));
  // Where it failed everywhere it may go anywhere again: the fault is then its own. Suspects are
  // used only where the others could never hold it.
  const usable = [untried, sound].find((its) => couldEverHold(its, unit)) ?? suitable;
  const needsOneRack = step.isSameRack && step.isGang && tasks.length > 1;
  const racks = [...byRack(usable).entries()];
  const near = racks
    .filter(([rack, its]) => {
      const isPreferred = step.preferredRack === undefined || rack === step.preferredRack;
      return isPreferred && couldEverHold(its, unit);
    })
    .map(([, its]) => its);
  const isPicky = needsOneRack || step.preferredRack !== undefined;
  if (!isPicky) return { near: [usable], far: [] };
  const oneRack = needsOneRack ? racks.map(([, its]) => its) : [];
  return { near, far: [...oneRack, usable] };
};

/**
 * @param groups - groups of workers, the best first
 * @param unit - a unit
 * @returns a worker for each task where there is room for all of them now
 */
export const placeNow = (
  groups: CandidateGroups,
  unit: planTypes.PlanUnit,
): planTypes.Placement | undefined => {
  let best: planTypes.PlanWorker[] | undefined;
  let bestLeft = Infinity;
  for (const group of groups) {
    const workers = fill(group, unit);
    if (workers !== undefined) {
      const left = new Set(workers).size + leftoverOf(group);
      if (left < bestLeft) {
        best = workers;
        bestLeft = left;
      }
    }
  }
  return best === undefined ? undefined : { unit, workers: best };
};

/** Free accelerators of a group as a share: a fuller rack is taken before an empty one. */
const leftoverOf = (group: readonly planTypes.PlanWorker[]): number =>
  group.reduce((sum, it) => sum + it.free.accelerators / Math.max(1, it.capacity.accelerators), 0);

/**
 * Tasks that run there take a multiple of their time.
 *
 * @param step - step of the tasks that start together
 * @param racks - the rack of each of them
 * @returns how many of them are away from their data, or from the rack that their gang wants
 */
export const tasksAway = (step: poolJob.Step, racks: readonly (string | undefined)[]): number => {
  const { preferredRack, isSameRack, isGang } = step;
  if (preferredRack !== undefined) return racks.filter((it) => it !== preferredRack).length;
  return isSameRack && isGang && new Set(racks).size > 1 ? racks.length : 0;
};

/**
 * @param placement - a placement
 * @returns where each task of its unit goes
 */
export const assignmentsOf = ({ unit, workers }: planTypes.Placement): jobBook.Assignment[] =>
  unit.unit.tasks.map((task, index) => {
    const { workerId, incarnationMs, agentId } = workers[index] as planTypes.PlanWorker;
    return { task, workerId, incarnationMs, agentId };
  });

/**
 * Takes the room of a placement.
 *
 * @param placement - a placement
 */
export const takeRoom = (placement: planTypes.Placement): void => {
  const { room, stepKey } = placement.unit;
  for (const worker of placement.workers) {
    worker.free = poolJob.addResources(worker.free, room, -1);
    worker.placedSteps.set(stepKey, (worker.placedSteps.get(stepKey) ?? 0) + 1);
  }
};
