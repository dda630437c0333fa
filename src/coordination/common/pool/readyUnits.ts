/**
 * The units of a job that may start now.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import * as jobState from './jobState.js';

const isWaiting = (task: jobState.TaskEntry): boolean =>
  task.phase === progressRecord.TaskPhase.waiting;

/** Which of the units that are ready are looked at. */
export interface ReadyLimits {
  /** Leader's clock: tasks that back off until later are left out. */
  readonly nowMs: number;
  /** @returns single tasks of a step that are looked at; those with an open order come on top of them */
  readonly maxTasksOf: (occurrence: number, stepIndex: number) => number;
}

const ALL_READY: ReadyLimits = { nowMs: Infinity, maxTasksOf: () => Infinity };

/** The first single tasks of a step that may start: all are alike, but for those with an open order. */
const selectTasks = (
  tasks: readonly jobState.TaskEntry[],
  nowMs: number,
  maxTasks: number,
): readonly jobState.TaskEntry[] => {
  let left = maxTasks;
  return tasks.filter((task) => {
    if (!isWaiting(task) || task.notBeforeMs > nowMs) return false;
    if (task.openOrders.length > 0) return true;
    left -= 1;
    return left >= 0;
  });
};

const readyOfStep = (
  entry: jobState.JobEntry,
  occurrence: number,
  stepIndex: number,
  step: poolJob.Step,
  { nowMs, maxTasksOf }: ReadyLimits,
): jobState.ReadyUnit[] => {
  const tasks = entry.occurrences[occurrence]?.[stepIndex] ?? [];
  const base = { entry, step, stepIndex, occurrence };
  if (step.isGang) {
    const isReady = tasks.every((task) => isWaiting(task) && task.notBeforeMs <= nowMs);
    return isReady ? [{ ...base, tasks }] : [];
  }
  const selected = selectTasks(tasks, nowMs, maxTasksOf(occurrence, stepIndex));
  return selected.map((task) => ({ ...base, tasks: [task] }));
};

/**
 * @param entry - a job
 * @param limits - which units are looked at; all by default, also those that back off
 * @returns its units that may start now, provided there is capacity
 */
export const readyUnits = (
  entry: jobState.JobEntry,
  limits: ReadyLimits = ALL_READY,
): jobState.ReadyUnit[] => {
  if (jobState.isEnded(entry) || entry.isCancelled || entry.isRecordRefused) return [];
  return entry.occurrences.flatMap((steps, occurrence) =>
    entry.job.steps.flatMap((step, stepIndex) => {
      const isReady = step.after.every((before) => jobState.areTasksDone(steps[before] ?? []));
      return isReady ? readyOfStep(entry, occurrence, stepIndex, step, limits) : [];
    }),
  );
};
