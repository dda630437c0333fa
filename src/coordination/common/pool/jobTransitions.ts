/**
 * State changes of a job when a run ends or the job is cancelled. Pure, like the state that they change.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import type * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import * as crashAttribution from './crashAttribution.js';
import * as jobState from './jobState.js';

const areAllDone = ({ occurrences, job }: jobState.JobEntry): boolean =>
  occurrences.length === jobState.occurrenceCount(job) &&
  occurrences.every((steps) => steps.every(jobState.areTasksDone));

/**
 * Looks at all tasks only as far as the first that is not done: in a job of thousands of tasks it is called for each end.
 *
 * @param task - the task that changed, with its gang
 */
const updateJobState = (
  entry: jobState.JobEntry,
  task: jobState.TaskEntry,
  wallMs: number,
): void => {
  if (jobState.isEnded(entry)) return;
  const { failed } = progressRecord.TaskPhase;
  if (jobState.groupOf(entry, task).some(({ phase }) => phase === failed)) {
    entry.state = poolJob.PoolJobState.failed;
    entry.endedAtMs = wallMs;
  } else if (areAllDone(entry)) {
    entry.state = poolJob.PoolJobState.complete;
    entry.endedAtMs = wallMs;
  }
};

const countFailure = (
  entry: jobState.JobEntry,
  group: readonly jobState.TaskEntry[],
  run: number,
): void => {
  const isLongRunning = entry.job.steps[group[0]?.step ?? 0]?.isLongRunning === true;
  for (const task of group) {
    // Several members of a gang may fail in one run; this counts as one failure of the gang.
    if (task.failedRun === run) continue;
    task.failedRun = run;
    task.failures += 1;
    if (!isLongRunning && task.failures >= entry.job.policy.attempts) {
      task.phase = progressRecord.TaskPhase.failed;
    }
  }
};

/** How a run ended, as far as the leader knows. */
export interface RunOutcome {
  readonly run: number;
  /** `lost` where no worker reported its end and it can't run any more. */
  readonly how: poolWorker.EndKind | 'lost';
  readonly saved: string;
}

/** An end that a worker reports shows that the run had begun, whichever run it is. */
const recordBegunBy = (entry: jobState.JobEntry, { how }: RunOutcome): void => {
  if (how !== 'lost') jobState.recordBegun(entry);
};

/**
 * Records the end of a task's run. The end of an earlier run changes nothing but that the job has begun: that run was
 * declared lost only when it had certainly ended or could not start any more.
 *
 * @param entry - the job
 * @param task - the task
 * @param outcome - how the run ended
 * @param wallMs - Unix milliseconds now
 * @returns whether the job changed
 */
export const recordRunEnd = (
  entry: jobState.JobEntry,
  task: jobState.TaskEntry,
  outcome: RunOutcome,
  wallMs: number,
): boolean => {
  recordBegunBy(entry, outcome);
  const isCurrentRun = task.phase === progressRecord.TaskPhase.assigned && task.run === outcome.run;
  if (!isCurrentRun) return false;
  const group = jobState.groupOf(entry, task);
  if (outcome.saved !== '') for (const member of group) member.saved = outcome.saved;
  const step = entry.job.steps[task.step];
  if (outcome.how === 'done' && step?.isLongRunning !== true) {
    for (const member of group) member.phase = progressRecord.TaskPhase.done;
  } else if (task.earlierDoneRun > 0) {
    for (const member of group) member.phase = progressRecord.TaskPhase.done;
  } else {
    if (outcome.how === 'failed') {
      countFailure(entry, group, outcome.run);
      jobState.avoidWorker(task);
    }
    if (task.phase === progressRecord.TaskPhase.assigned) {
      task.phase = crashAttribution.mayNotStartAgain(task)
        ? progressRecord.TaskPhase.failed
        : progressRecord.TaskPhase.waiting;
    }
  }
  updateJobState(entry, task, wallMs);
  return true;
};

/** Starts after the crash that limits them; the crash may be learnt of after later ones. */
const countLimitedStarts = ({ crashes, run }: jobState.TaskEntry): number => {
  const limiting = crashes[crashAttribution.CRASHES_TO_LIMIT - 1];
  return limiting === undefined ? 0 : Math.max(0, run - limiting.run);
};

/**
 * Records that a worker crashed under a task. The task fails at once if it is proven to be the cause, or if it waits and
 * may not start again.
 *
 * @param entry - the job
 * @param task - the task
 * @param crash - the crash; of one that is known already only clearer evidence changes anything
 * @param wallMs - Unix milliseconds now
 * @returns whether the job changed
 */
export const recordCrash = (
  entry: jobState.JobEntry,
  task: jobState.TaskEntry,
  crash: progressRecord.WorkerCrash,
  wallMs: number,
): boolean => {
  const known = task.crashes.find(({ run }) => run === crash.run);
  if (known !== undefined && !crashAttribution.isClearer(crash, known)) return false;
  if (jobState.isEnded(entry) || jobState.isTaskEnded(task)) return false;
  const wasLimited = crashAttribution.isLimited(task);
  const others = task.crashes.filter((it) => it !== known);
  task.crashes = [...others, crash].sort((a, b) => a.run - b.run);
  if (!wasLimited) task.limitedStarts = countLimitedStarts(task);
  const isWaiting = task.phase === progressRecord.TaskPhase.waiting;
  const isGivenUp =
    crashAttribution.isProvenCause(task) || (isWaiting && crashAttribution.mayNotStartAgain(task));
  if (isGivenUp) task.phase = progressRecord.TaskPhase.failed;
  updateJobState(entry, task, wallMs);
  return true;
};

/**
 * Records that a run which was declared lost is done: an incarnation that the leader had not reached carried
 * its start order out late. The task is not started again; a later run of it in progress is no longer needed.
 *
 * @param entry - the job
 * @param task - the task
 * @param outcome - how the run ended
 * @param wallMs - Unix milliseconds now
 * @returns whether the job changed
 */
export const recordEarlierRunDone = (
  entry: jobState.JobEntry,
  task: jobState.TaskEntry,
  outcome: RunOutcome,
  wallMs: number,
): boolean => {
  recordBegunBy(entry, outcome);
  const { run, how } = outcome;
  const isLongRunning = entry.job.steps[task.step]?.isLongRunning === true;
  const isUnfinished =
    task.phase === progressRecord.TaskPhase.waiting ||
    (task.phase === progressRecord.TaskPhase.assigned && run < task.run);
  if (how !== 'done' || !isUnfinished || isLongRunning || task.earlierDoneRun > 0) return false;
  for (const member of jobState.groupOf(entry, task)) {
    member.earlierDoneRun = run;
    const { waiting, done } = progressRecord.TaskPhase;
    if (member.phase === waiting) member.phase = done;
  }
  updateJobState(entry, task, wallMs);
  return true;
};

/**
 * Takes back that a worker crashed under a task: it has answered again.
 *
 * @param entry - the job
 * @param task - the task
 * @param run - the run during which the worker did not answer
 * @returns whether the job changed
 */
export const withdrawCrash = (
  entry: jobState.JobEntry,
  task: jobState.TaskEntry,
  run: number,
): boolean => {
  const { unseen } = progressRecord.CrashEvidence;
  const kept = task.crashes.filter((it) => it.run !== run || it.evidence !== unseen);
  if (kept.length === task.crashes.length || jobState.isEnded(entry)) return false;
  task.crashes = kept;
  task.limitedStarts = countLimitedStarts(task);
  return true;
};

/**
 * Ends a job that its customer cancelled.
 *
 * @param entry - the job
 * @param wallMs - Unix milliseconds now
 * @returns whether the job changed
 */
export const cancel = (entry: jobState.JobEntry, wallMs: number): boolean => {
  entry.isCancelled = true;
  if (jobState.isEnded(entry)) return false;
  entry.state = poolJob.PoolJobState.cancelled;
  entry.endedAtMs = wallMs;
  return true;
};
