/**
 * Crash attribution: distinguishes a task that crashes each worker that starts it from tasks that crash along with it.
 *
 * Load: a full pool in which one task crashes its worker within milliseconds, again and again, and each time ends the
 * work of everybody beside it. Starts without a limit keep a worker down most of the time; giving up every task that was
 * there fails jobs that could have been done. So a task under suspicion starts alone on a worker: nobody else is harmed
 * by the next crash, and that crash proves whose fault it is.
 *
 * Whatever the evidence, starts are limited after the third crash.
 */
import * as progressRecord from '../../../state/common/pool/progressRecord.js';

/** What is known of a task's crashes. */
export interface CrashHistory {
  /** Ordered by run. */
  readonly crashes: readonly progressRecord.WorkerCrash[];
  /** Starts since the crash from which on its starts are limited. */
  readonly limitedStarts: number;
}

/** From this many crashes on the starts of a task are limited. */
export const CRASHES_TO_LIMIT = 3;

/** Starts after that many crashes of which nothing says whose fault they were. */
const MAX_UNCLEAR_STARTS = 2;

/** Starts after that many crashes otherwise: one less, since a crash may have gone unseen. */
const MAX_LIMITED_STARTS = 1;

/** Crashes of workers on which only tasks of its job ran that prove a task's fault. */
const CRASHES_TO_PROVE = 3;

/** The same of three crashes, if each came right after its start. */
const PROMPT_CRASHES_TO_PROVE = 2;

/** A crash this soon after a start is most likely caused by it. */
const PROMPT_MS = 500;

/** Runs that had started this recently may be the cause, although others had started later, unless one just had. */
const RECENT_MS = 3000;

/** Starts within this time are not told apart by their order. */
const SAME_START_MS = 300;

/** A run without others beside it has to last this long, and twice as long as until the crash. */
const MIN_PROBATION_MS = 1000;

/** From this many crashes on a task runs alone to its end. */
const CRASHES_TO_ISOLATE = 2;

/** A run that was interrupted by a crash. */
export interface Interrupted {
  readonly jobId: string;
  readonly ranMs: number;
}

/**
 * @param run - a run that ended with its worker
 * @param all - all runs that ended with it
 * @param isWidespread - whether most workers went down at the same time; that is a common cause, unless a run has just
 *   started: several tasks that crash their workers restart together when these are back
 * @returns what the crash says about the run's task
 */
export const evidenceOf = (
  run: Interrupted,
  all: readonly Interrupted[],
  isWidespread: boolean,
): progressRecord.CrashEvidence => {
  const { alone, lastStarted, bystander, widespread } = progressRecord.CrashEvidence;
  const shortestMs = Math.min(...all.map(({ ranMs }) => ranMs));
  if (isWidespread && shortestMs > PROMPT_MS) return widespread;
  if (all.every(({ jobId }) => jobId === run.jobId)) return alone;
  const recentMs = shortestMs <= PROMPT_MS ? PROMPT_MS : RECENT_MS;
  const isLast = run.ranMs <= Math.max(recentMs, shortestMs + SAME_START_MS);
  return isLast ? lastStarted : bystander;
};

const isSeen = ({ evidence }: progressRecord.WorkerCrash): boolean =>
  evidence !== progressRecord.CrashEvidence.unseen;

/** @returns whether the crash says whose fault it was */
const isClear = (crash: progressRecord.WorkerCrash): boolean =>
  isSeen(crash) && crash.evidence !== progressRecord.CrashEvidence.widespread;

/**
 * @param next - what is known of a crash now
 * @param known - what was known of it before
 * @returns whether it says more
 */
export const isClearer = (
  next: progressRecord.WorkerCrash,
  known: progressRecord.WorkerCrash,
): boolean => !isSeen(known) && isSeen(next);

/**
 * Widespread crashes count as well: tasks that crash their workers and start together take most of a small pool with them
 * each time. Unseen ones do beside others; alone they are most likely losses of power.
 *
 * @returns whether the task runs alone to its end
 */
const isAlwaysIsolated = (task: CrashHistory): boolean =>
  task.crashes.length >= CRASHES_TO_ISOLATE && task.crashes.some(isSeen);

/**
 * @param task - a task
 * @returns whether its next run starts on a worker without tasks of other jobs
 */
export const needsIsolation = (task: CrashHistory): boolean => {
  if (task.crashes.length === 0) return false;
  const { alone, lastStarted } = progressRecord.CrashEvidence;
  return (
    isAlwaysIsolated(task) ||
    task.crashes.some(({ evidence }) => evidence === alone || evidence === lastStarted)
  );
};

/**
 * @param task - a task that runs
 * @param ranMs - for how long
 * @returns whether no task of another job may be started beside it yet
 */
export const isOnProbation = (task: CrashHistory, ranMs: number): boolean => {
  if (!needsIsolation(task)) return false;
  const longestMs = Math.max(...task.crashes.map((it) => it.ranMs));
  return isAlwaysIsolated(task) || ranMs < MIN_PROBATION_MS + 2 * longestMs;
};

/** A long-running task that has run for this long has been cleared; it may see any number of crashes in its life. */
const CLEARED_AFTER_MS = 60_000;

/**
 * @param task - a long-running task
 * @param ranMs - how long it has run
 * @returns whether its crashes are forgotten
 */
export const isCleared = ({ crashes }: CrashHistory, ranMs: number): boolean =>
  crashes.length > 0 && ranMs > CLEARED_AFTER_MS;

/**
 * @param task - a task
 * @returns whether its starts are limited: preempting its run would spend one of them
 */
export const isLimited = ({ crashes }: CrashHistory): boolean => crashes.length >= CRASHES_TO_LIMIT;

/**
 * @param task - a task
 * @returns whether its crashes prove that it is the cause
 */
export const isProvenCause = (task: CrashHistory): boolean => {
  const alone = task.crashes.filter(
    ({ evidence }) => evidence === progressRecord.CrashEvidence.alone,
  );
  const prompt = alone.filter(({ ranMs }) => ranMs <= PROMPT_MS);
  const isPrompt = isLimited(task) && prompt.length >= PROMPT_CRASHES_TO_PROVE;
  return isPrompt || alone.length >= CRASHES_TO_PROVE;
};

const maxStartsOf = (task: CrashHistory): number =>
  task.crashes.some(isClear) ? MAX_LIMITED_STARTS : MAX_UNCLEAR_STARTS;

/**
 * @param task - a task without a current run
 * @returns whether it may not start again
 */
export const mayNotStartAgain = (task: CrashHistory): boolean =>
  isProvenCause(task) || (isLimited(task) && task.limitedStarts >= maxStartsOf(task));
