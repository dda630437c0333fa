/**
 * Isolation of units under suspicion of crashing their workers from tasks of other jobs.
 */
import type * as planTypes from './planTypes.js';

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
  unit.isIsolated === true ? worker.allocations.filter(({ jobId }) => jobId !== jobIdOf(unit)) : [];

const hasPlacedOthers = ({ placedSteps }: planTypes.PlanWorker, jobId: string): boolean =>
  [...placedSteps.keys()].some((stepKey) => !stepKey.startsWith(`${jobId}.`));

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
