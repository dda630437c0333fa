/**
 * Whether a run is still needed by its job.
 */
import * as jobState from './jobState.js';
import type * as workerTable from './workerTable.js';

/**
 * @param run - a run
 * @returns whether its job counts it as done already; its worker will still report the end
 */
export const isDone = (run: workerTable.ActiveRun): boolean =>
  run.task.phase === 'done' && run.task.run === run.run;

/**
 * @param run - a run
 * @returns whether its job goes on and all of its group are assigned under the same run number
 */
export const isWanted = (run: workerTable.ActiveRun): boolean => {
  const { entry, task } = run;
  if (entry.isCancelled || jobState.isEnded(entry)) return false;
  return jobState
    .groupOf(entry, task)
    .every((it) => it.phase === 'assigned' && it.run === run.run && it.earlierDoneRun === 0);
};
