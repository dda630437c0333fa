/**
 * What the end of a run means for its job. Pure, like the picture of the job that it changes.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import type * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import * as jobBook from './jobBook.js';

const settleState = (entry: jobBook.JobEntry, wallMs: number): void => {
  if (jobBook.isEnded(entry)) return;
  const tasks = jobBook.tasksOf(entry);
  if (tasks.some((task) => task.phase === progressRecord.TaskPhase.failed)) {
    entry.state = poolJob.PoolJobState.failed;
    entry.endedAtMs = wallMs;
    return;
  }
  const isWhole = entry.occurrences.length === jobBook.occurrencesOf(entry.job);
  if (isWhole && jobBook.isStepDone(tasks)) {
    entry.state = poolJob.PoolJobState.complete;
    entry.endedAtMs = wallMs;
  }
};

const countFailure = (
  entry: jobBook.JobEntry,
  group: readonly jobBook.TaskEntry[],
  run: number,
): void => {
  const isLasting = entry.job.steps[group[0]?.step ?? 0]?.isLongRunning === true;
  for (const task of group) {
    // Several members of a gang may end as failed: that is one failure of the gang.
    if (task.failedRun === run) continue;
    task.failedRun = run;
    task.failures += 1;
    if (!isLasting && task.failures >= entry.job.policy.attempts) {
      task.phase = progressRecord.TaskPhase.failed;
    }
  }
};

/** How a run ended, as the leader learnt it. */
export interface RunOutcome {
  readonly run: number;
  /** `lost` where the worker went away with it. */
  readonly how: poolWorker.EndKind | 'lost';
  readonly saved: string;
}

/**
 * Takes note of the end of a task's run. An end of an earlier run changes nothing: it was given up
 * only when it had certainly ended or could not start any more.
 *
 * @param entry - the job
 * @param task - the task
 * @param outcome - how the run ended
 * @param wallMs - Unix milliseconds now
 * @returns whether the job changed
 */
export const noteEnd = (
  entry: jobBook.JobEntry,
  task: jobBook.TaskEntry,
  outcome: RunOutcome,
  wallMs: number,
): boolean => {
  const isPresent = task.phase === progressRecord.TaskPhase.assigned && task.run === outcome.run;
  if (!isPresent) return false;
  const group = jobBook.groupOf(entry, task);
  if (outcome.saved !== '') for (const member of group) member.saved = outcome.saved;
  const step = entry.job.steps[task.step];
  if (outcome.how === 'done' && step?.isLongRunning !== true) {
    for (const member of group) member.phase = progressRecord.TaskPhase.done;
  } else if (task.earlierDoneRun > 0) {
    for (const member of group) member.phase = progressRecord.TaskPhase.done;
  } else {
    if (outcome.how === 'failed') {
      countFailure(entry, group, outcome.run);
      if (task.workerId !== '' && !task.avoid.includes(task.workerId)) {
        task.avoid.push(task.workerId);
      }
    }
    if (task.phase === progressRecord.TaskPhase.assigned) {
      task.phase = progressRecord.TaskPhase.waiting;
    }
  }
  settleState(entry, wallMs);
  return true;
};

/**
 * Takes note that a run was done which had been given up: its order was carried out late, by a life of the worker
 * that nobody had reached. The task does not begin again; a later run that is at work is of no more use.
 *
 * @param entry - the job
 * @param task - the task
 * @param outcome - how the run ended
 * @param wallMs - Unix milliseconds now
 * @returns whether the job changed
 */
export const noteEarlierDone = (
  entry: jobBook.JobEntry,
  task: jobBook.TaskEntry,
  { run, how }: RunOutcome,
  wallMs: number,
): boolean => {
  const isLongRunning = entry.job.steps[task.step]?.isLongRunning === true;
  const isOpen =
    task.phase === progressRecord.TaskPhase.waiting ||
    (task.phase === progressRecord.TaskPhase.assigned && run < task.run);
  if (how !== 'done' || !isOpen || isLongRunning || task.earlierDoneRun > 0) return false;
  for (const member of jobBook.groupOf(entry, task)) {
    member.earlierDoneRun = run;
    const { waiting, done } = progressRecord.TaskPhase;
    if (member.phase === waiting) member.phase = done;
  }
  settleState(entry, wallMs);
  return true;
};

/**
 * Ends a job that its customer cancelled.
 *
 * @param entry - the job
 * @param wallMs - Unix milliseconds now
 * @returns whether the job changed
 */
export const cancel = (entry: jobBook.JobEntry, wallMs: number): boolean => {
  entry.isCancelled = true;
  if (jobBook.isEnded(entry)) return false;
  entry.state = poolJob.PoolJobState.cancelled;
  entry.endedAtMs = wallMs;
  return true;
};
