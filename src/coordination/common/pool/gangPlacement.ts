/**
 * Places the tasks of one unit: best fit first, so that entire workers stay free for wide tasks; the
 * members of a gang within one rack where a spread over racks slows them down.
 *
 * With tasks of one accelerator and of eight on workers of eight, small tasks that are spread evenly
 * leave no worker entirely free, and the large ones wait for the last of them to end.
 */
import * as groupBy from '../../../base/common/groupBy.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as isolation from './isolation.js';
import type * as jobState from './jobState.js';
import type * as planTypes from './planTypes.js';

/** Capacity left on a worker as a share of its total, summed over the kinds of resources. */
const leftoverShare = (
  worker: planTypes.PlanWorker,
  resources: poolJob.Resources,
  times: number,
) => {
  const left = poolJob.addResources(worker.free, resources, -times);
  const { capacity } = worker;
  return (
    left.cpuMillicores / Math.max(1, capacity.cpuMillicores) +
    left.memoryMb / Math.max(1, capacity.memoryMb) +
    (2 * left.accelerators) / Math.max(1, capacity.accelerators)
  );
};

const countOfStep = (worker: planTypes.PlanWorker, stepKey: string): number =>
  worker.allocations.filter((it) => it.stepKey === stepKey).length +
  (worker.placedSteps.get(stepKey) ?? 0);

/**
 * @param worker - a worker
 * @param unit - a unit
 * @returns how many more tasks of the unit's step its spread limit allows on the worker
 */
export const spreadLimit = (worker: planTypes.PlanWorker, unit: planTypes.PlanUnit): number => {
  const { maxPerWorker } = unit.unit.step;
  return maxPerWorker === 0
    ? Number.MAX_SAFE_INTEGER
    : Math.max(0, maxPerWorker - countOfStep(worker, unit.stepKey));
};

/**
 * @param worker - a worker
 * @param unit - a unit
 * @returns whether the worker may run the unit's tasks at all, whatever is free on it now
 */
export const isSuitable = (worker: planTypes.PlanWorker, unit: planTypes.PlanUnit): boolean => {
  const { step, entry } = unit.unit;
  if (worker.service !== entry.job.policy.service) return false;
  if (step.requiredLabel !== undefined && !worker.labels.includes(step.requiredLabel)) return false;
  if (unit.ticketsByWorker?.has(worker.workerId) === false) return false;
  if (unit.boundWorkerIds?.every((it) => it !== undefined && it !== worker.workerId) === true) {
    return false;
  }
  return poolJob.countFittingTasks(worker.capacity, unit.room) > 0;
};

/**
 * @param workers - workers that may run a unit
 * @param unit - the unit
 * @param index - index of one of its tasks
 * @returns those that may run this task
 */
export const workersOfTask = (
  workers: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
  index: number,
): readonly planTypes.PlanWorker[] => {
  const boundWorkerId = unit.boundWorkerIds?.[index];
  return boundWorkerId === undefined
    ? workers
    : workers.filter(({ workerId }) => workerId === boundWorkerId);
};

/**
 * @param worker - a worker
 * @param unit - a unit
 * @returns how many tasks of the unit it can take now
 */
export const slotsOn = (worker: planTypes.PlanWorker, unit: planTypes.PlanUnit): number =>
  isolation.admits(worker, unit)
    ? Math.min(poolJob.countFittingTasks(worker.free, unit.room), spreadLimit(worker, unit))
    : 0;

const boundCountOn = ({ boundWorkerIds }: planTypes.PlanUnit, workerId: string): number =>
  boundWorkerIds?.filter((it) => it === workerId).length ?? 0;

/** Fills the workers first that are left with the least free capacity; bound tasks go to their workers. */
const fill = (
  workers: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
): planTypes.PlanWorker[] | undefined => {
  const { tasks } = unit.unit;
  const slots = workers
    .map((worker) => ({ worker, count: Math.min(tasks.length, slotsOn(worker, unit)) }))
    .filter(({ count }) => count > 0);
  if (slots.reduce((sum, { count }) => sum + count, 0) < tasks.length) return undefined;
  const ranked = slots
    .map((slot) => ({ ...slot, left: leftoverShare(slot.worker, unit.room, slot.count) }))
    .sort((a, b) => a.left - b.left);
  const ofBound = new Map<string | undefined, planTypes.PlanWorker>();
  const ofOthers: planTypes.PlanWorker[] = [];
  for (const { worker, count } of ranked) {
    const boundCount = boundCountOn(unit, worker.workerId);
    if (boundCount > count) return undefined;
    ofBound.set(worker.workerId, worker);
    for (let left = count - boundCount; left > 0; left -= 1) ofOthers.push(worker);
  }
  const chosen = tasks.map((_, index) => {
    const boundWorkerId = unit.boundWorkerIds?.[index];
    return boundWorkerId === undefined ? ofOthers.shift() : ofBound.get(boundWorkerId);
  });
  return chosen.every((it) => it !== undefined) ? chosen : undefined;
};

/** Where a unit may be placed. */
export interface Candidates {
  /** Local: single racks, where a rack is preferred or a gang asks for one; otherwise all usable workers. */
  readonly localGroups: planTypes.CandidateGroups;
  /** Remote: where it takes several times as long; empty where locality does not matter. */
  readonly remoteGroups: planTypes.CandidateGroups;
}

const couldEverFit = (
  workers: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
): boolean => {
  const { maxPerWorker } = unit.unit.step;
  const limit = maxPerWorker === 0 ? Number.MAX_SAFE_INTEGER : maxPerWorker;
  const slots = workers.map((it) =>
    Math.min(limit, poolJob.countFittingTasks(it.capacity, unit.room)),
  );
  return slots.reduce((sum, count) => sum + Math.min(count, 1e6), 0) >= unit.unit.tasks.length;
};

/**
 * @param workers - all workers that accept tasks
 * @param unit - a unit
 * @returns the groups of workers within which it may be placed
 */
export const candidateGroups = (
  workers: readonly planTypes.PlanWorker[],
  unit: planTypes.PlanUnit,
): Candidates => {
  const { step, tasks } = unit.unit;
  const suitable = workers.filter((worker) => isSuitable(worker, unit));
  const avoided = new Set(tasks.flatMap((task) => task.avoidedWorkerIds));
  const healthy = suitable.filter((worker) => !worker.isSuspect);
  const untried = healthy.filter((worker) => !avoided.has(worker.workerId));
  // A unit that failed on every worker may use them all again, since the fault is then its own.
  // Suspect workers are used only where the others could never hold it.
  const usable = [untried, healthy].find((its) => couldEverFit(its, unit)) ?? suitable;
  const needsOneRack = step.isSameRack && step.isGang && tasks.length > 1;
  const racks = [...groupBy.groupBy(usable, ({ rack }) => rack)];
  const localGroups = racks
    .filter(([rack, its]) => {
      const isPreferred = step.preferredRack === undefined || rack === step.preferredRack;
      return isPreferred && couldEverFit(its, unit);
    })
    .map(([, its]) => its);
  const hasLocalityPreference = needsOneRack || step.preferredRack !== undefined;
  if (!hasLocalityPreference) return { localGroups: [usable], remoteGroups: [] };
  const oneRack = needsOneRack ? racks.map(([, its]) => its) : [];
  return { localGroups, remoteGroups: [...oneRack, usable] };
};

const placeIn = (
  groups: planTypes.CandidateGroups,
  unit: planTypes.PlanUnit,
): planTypes.Placement | undefined => {
  let best: planTypes.PlanWorker[] | undefined;
  let bestLeft = Infinity;
  for (const group of groups) {
    const workers = fill(group, unit);
    if (workers !== undefined) {
      const left = new Set(workers).size + freeShareOf(group);
      if (left < bestLeft) {
        best = workers;
        bestLeft = left;
      }
    }
  }
  return best === undefined ? undefined : { unit, workers: best };
};

/**
 * What a unit prefers, in this order. A faulty worker fails what it starts at once; a gang over many workers meets one
 * after the other until its attempts are used up, unless it keeps to those that have shown that they work.
 */
const preferencesOf = ({
  unit,
  boundWorkerIds,
}: planTypes.PlanUnit): readonly planTypes.Preference[] => {
  if (boundWorkerIds !== undefined) return [];
  const isSound: planTypes.Preference = ({ isDoubtful }) => !isDoubtful;
  const hasFailed = unit.tasks.some(({ failures }) => failures > 0);
  return hasFailed ? [(worker) => worker.isProven && isSound(worker), isSound] : [isSound];
};

/** Speed counts before soundness within what is sound at all. */
const combine = (
  tiers: readonly planTypes.Preference[],
  preferences: readonly planTypes.Preference[],
): planTypes.Preference[] => [
  ...tiers.flatMap((isInTier) =>
    preferences.map(
      (isPreferred): planTypes.Preference =>
        (worker) =>
          isInTier(worker) && isPreferred(worker),
    ),
  ),
  ...preferences,
];

/**
 * @param groups - groups of workers; of equally good ones the first is used
 * @param unit - a unit
 * @param tiers - workers preferred for their speed, most preferred ones first
 * @returns a worker for each task, preferred ones where they have the capacity, or undefined where no group has
 *   capacity for all of them now
 */
export const placeNow = (
  groups: planTypes.CandidateGroups,
  unit: planTypes.PlanUnit,
  tiers: readonly planTypes.Preference[] = [],
): planTypes.Placement | undefined => {
  for (const isPreferred of combine(tiers, preferencesOf(unit))) {
    if (!groups.flat().every(isPreferred)) {
      const placement = placeIn(
        groups.map((its) => its.filter(isPreferred)),
        unit,
      );
      if (placement !== undefined) return placement;
    }
  }
  return placeIn(groups, unit);
};

/** Free accelerators of a group, as a share of each worker: a fuller rack is preferred to an empty one. */
const freeShareOf = (group: readonly planTypes.PlanWorker[]): number =>
  group.reduce((sum, it) => sum + it.free.accelerators / Math.max(1, it.capacity.accelerators), 0);

/**
 * Counts remote tasks, which take a multiple of their time.
 *
 * @param step - step of the tasks that start together
 * @param racks - the rack of each of them
 * @returns how many are remote from their data, or in a gang that should use one rack and does not
 */
export const countRemoteTasks = (
  step: poolJob.Step,
  racks: readonly (string | undefined)[],
): number => {
  const { preferredRack, isSameRack, isGang } = step;
  if (preferredRack !== undefined) return racks.filter((it) => it !== preferredRack).length;
  return isSameRack && isGang && new Set(racks).size > 1 ? racks.length : 0;
};

/**
 * @param placement - a placement
 * @returns the worker of each task of its unit
 */
export const assignmentsOf = ({ unit, workers }: planTypes.Placement): jobState.Assignment[] =>
  unit.unit.tasks.map((task, index) => {
    const { workerId, incarnationMs, agentId } = workers[index] as planTypes.PlanWorker;
    return { task, workerId, incarnationMs, agentId };
  });

/**
 * Gives back the capacity of a placement that {@link reserveCapacity} took.
 *
 * @param placement - a placement of a unit that is not isolated
 */
export const releaseCapacity = (placement: planTypes.Placement): void => {
  const { room, stepKey } = placement.unit;
  for (const worker of placement.workers) {
    worker.free = poolJob.addResources(worker.free, room);
    worker.placedSteps.set(stepKey, (worker.placedSteps.get(stepKey) ?? 0) - 1);
  }
};

/**
 * Takes the capacity of a placement for the rest of the round.
 *
 * @param placement - a placement
 */
export const reserveCapacity = (placement: planTypes.Placement): void => {
  const { room, stepKey } = placement.unit;
  for (const worker of placement.workers) {
    isolation.keepFor(worker, placement.unit);
    worker.free = poolJob.addResources(worker.free, room, -1);
    worker.placedSteps.set(stepKey, (worker.placedSteps.get(stepKey) ?? 0) + 1);
    worker.placedJobIds.add(placement.unit.unit.entry.job.jobId);
  }
};
