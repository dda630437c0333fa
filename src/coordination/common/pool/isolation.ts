/**
 * Isolation of units under suspicion of crashing their workers from tasks of other jobs.
 */
import * as groupBy from '../../../base/common/groupBy.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';
import type * as planTypes from './planTypes.js';

/** Longest wait for a worker without other tasks in a busy pool: there one is empty when its runs have ended. */
const MAX_WAIT_MS = 15_000;

/** The same for a long-running task, and where half of the pool is idle: callers expect their tasks to run there. */
const MAX_IDLE_WAIT_MS = 2000;

/** Share of the pool's capacity below which it counts as half idle. */
const HALF = 0.5;

const jobIdOf = ({ unit }: planTypes.PlanUnit): string => unit.entry.job.jobId;

/**
 * @param worker - a worker
 * @param unit - a unit
 * @returns whether the worker is kept for another job
 */
export const isKeptForOthers = (
  { exclusiveJobId }: planTypes.PlanWorker,
  unit: planTypes.PlanUnit,
): boolean => exclusiveJobId !== undefined && exclusiveJobId !== jobIdOf(unit);

/**
 * @param worker - a worker
 * @param unit - a unit
 * @returns runs on the worker that have to end before the unit may start there, whatever is free
 */
export const runsInTheWay = (
  worker: planTypes.PlanWorker,
  unit: planTypes.PlanUnit,
): readonly planTypes.Allocation[] =>
  unit.isIsolated === true && unit.mayShareWorker !== true
    ? worker.allocations.filter(({ jobId }) => jobId !== jobIdOf(unit))
    : [];

const hasPlacedOthers = ({ placedJobIds }: planTypes.PlanWorker, jobId: string): boolean =>
  [...placedJobIds].some((it) => it !== jobId);

/**
 * @param worker - a worker
 * @param unit - a unit
 * @returns whether the unit may start there now beside what runs there and what the round has placed there
 */
export const admits = (worker: planTypes.PlanWorker, unit: planTypes.PlanUnit): boolean =>
  !isKeptForOthers(worker, unit) &&
  (unit.isIsolated !== true ||
    (runsInTheWay(worker, unit).length === 0 && !hasPlacedOthers(worker, jobIdOf(unit))));

/**
 * Keeps a worker for an isolated unit for the rest of the round.
 *
 * @param worker - the worker
 * @param unit - a unit that is placed there
 */
export const keepFor = (worker: planTypes.PlanWorker, unit: planTypes.PlanUnit): void => {
  if (unit.isIsolated === true) worker.exclusiveJobId = jobIdOf(unit);
};

/**
 * Workers that are kept for a suspect count as in use: many suspects would end each other's isolation.
 */
const isHalfIdle = (workers: readonly planTypes.PlanWorker[]): boolean => {
  const sum = (resources: readonly poolJob.Resources[]): poolJob.Resources =>
    resources.reduce((total, it) => poolJob.addResources(total, it), poolJob.NO_RESOURCES);
  const unkept = workers.filter(({ exclusiveJobId }) => exclusiveJobId === undefined);
  const free = sum(unkept.map((it) => it.free));
  const capacity = sum(workers.map((it) => it.capacity));
  return (
    free.cpuMillicores >= HALF * capacity.cpuMillicores &&
    free.accelerators >= HALF * capacity.accelerators
  );
};

/**
 * @param workers - all workers
 * @returns services of whose workers at least half of the cores and of the accelerators is free
 */
export const halfIdleServices = (workers: readonly planTypes.PlanWorker[]): ReadonlySet<string> => {
  const byService = groupBy.groupBy(workers, ({ service }) => service);
  return new Set([...byService].flatMap(([service, its]) => (isHalfIdle(its) ? [service] : [])));
};

/**
 * Lets units that have waited too long for an empty worker start beside tasks that run already, but beside no other suspect.
 * Without it they would wait forever where long-running tasks are on each worker; how often they start is limited anyway.
 *
 * @param units - the units of a round
 * @param workers - the workers of the round
 * @returns the units, those that have waited too long with leave to share a worker
 */
export const limitWaits = (
  units: readonly planTypes.PlanUnit[],
  workers: readonly planTypes.PlanWorker[],
): readonly planTypes.PlanUnit[] => {
  if (!units.some(({ isIsolated }) => isIsolated === true)) return units;
  const isIdle = isHalfIdle(workers);
  return units.map((unit) => {
    const isUrgent = isIdle || unit.unit.step.isLongRunning;
    const maxWaitMs = isUrgent ? MAX_IDLE_WAIT_MS : MAX_WAIT_MS;
    return unit.isIsolated === true && unit.waitedMs >= maxWaitMs
      ? { ...unit, mayShareWorker: true }
      : unit;
  });
};
