/**
 * Which running groups are better begun again elsewhere: those that a worker holds up, and whose callers
 * still gain by it.
 */
import * as estimateBook from './estimateBook.js';
import * as gangPlacement from './gangPlacement.js';
import * as jobBook from './jobBook.js';
import * as jobChain from './jobChain.js';
import * as jobOutcome from './jobOutcome.js';
import * as runPace from './runPace.js';
import * as workerTable from './workerTable.js';

/** A group that is held up. */
export interface HeldUpGroup {
  readonly groupKey: string;
  readonly unit: jobBook.ReadyUnit;
  /** Workers that have it now. */
  readonly workerIds: ReadonlySet<string>;
}

/** To stop a run, store the next start and send it. */
const MOVE_MS = 700;

/** Workers that turn slow or stand still are mostly as before after about as long again. */
const OUTLAST_MS = 5000;

/** Moving must win this much against waiting: what is declared is off by about as much. */
const MIN_GAIN = 1.3;

/** A task is moved for this at most so often; after that its slowness is taken to be its own. */
export const MAX_MOVES = 2;

const estimateLeftMs = ({ step, percent }: workerTable.RunHolding): number =>
  (step.estimatedMs * (100 - percent)) / 100;

/** Time to its end where it is left alone. */
const waitMsOf = (run: workerTable.RunHolding): number => {
  const leftMs = estimateLeftMs(run);
  const outlastedMs = OUTLAST_MS + leftMs;
  const { speed = 1 } = run.pace;
  return speed > 0 ? Math.min(outlastedMs, leftMs / speed) : outlastedMs;
};

/** Time to its end where it is begun again elsewhere. */
const moveMsOf = (run: workerTable.RunHolding): number =>
  MOVE_MS + (run.step.isCheckpointing ? estimateLeftMs(run) : run.step.estimatedMs);

/** Declared work of the job that comes after the step. */
const chainAfterMs = ({ entry, step }: workerTable.RunHolding): number =>
  Math.max(0, jobChain.longestChainMs(entry.job) - step.estimatedMs);

const isWorthMoving = (members: readonly workerTable.RunHolding[], wallMs: number): boolean => {
  const [first] = members;
  if (first === undefined || first.step.isLongRunning) return false;
  const { job } = first.entry;
  const endMs = jobOutcome.countedFromMs(job, first.task.occurrence) + jobChain.objectiveMs(job);
  const slackMs = endMs - wallMs - chainAfterMs(first);
  const waitMs = Math.max(...members.map(waitMsOf));
  const moveMs = Math.max(...members.map(moveMsOf));
  return waitMs > slackMs && moveMs <= slackMs && moveMs * MIN_GAIN < waitMs;
};

/** A sound worker's share of what the same job gets elsewhere; below it the worker is at fault. */
const SIBLING_SHARE = 0.5;

/** A run with the worker that has it. */
interface Placed {
  readonly worker: workerTable.WorkerEntry;
  readonly run: workerTable.RunHolding;
}

/**
 * A job that gets on as slowly on other workers is declared wrong. A gang gets on alike everywhere,
 * whoever holds it up, and says nothing of that.
 */
const isSlowElsewhere = (all: readonly Placed[], { worker, run }: Placed): boolean => {
  if (run.step.isGang) return false;
  const speeds = all
    .filter((it) => it.run.stepKey === run.stepKey && it.worker !== worker)
    .flatMap((it) => it.run.pace.speed ?? []);
  return speeds.length > 0 && (run.pace.speed ?? 0) >= SIBLING_SHARE * Math.max(...speeds);
};

const canBeMoved = (run: workerTable.RunHolding): boolean =>
  run.phase === workerTable.RunPhase.present && run.task.moves < MAX_MOVES;

/**
 * @param workers - workers with their runs
 * @param book - whose declared work can be believed
 * @param wallMs - Unix milliseconds now
 * @returns groups that would be late where they are, and in time elsewhere
 */
export const findHeldUp = (
  workers: readonly workerTable.WorkerEntry[],
  book: estimateBook.EstimateBook,
  wallMs: number,
): HeldUpGroup[] => {
  const all = workers.flatMap((worker) =>
    [...worker.runs.values()].map((run): Placed => ({ worker, run })),
  );
  const slow = all.filter(
    (it) =>
      runPace.isHeldUp(it.run.pace) &&
      estimateBook.isReliable(book, it.run.entry.job.policy.queue) &&
      !isSlowElsewhere(all, it),
  );
  return [...new Set(slow.map(({ run }) => run.groupKey))].flatMap((groupKey) => {
    const members = all.filter(({ run }) => run.groupKey === groupKey);
    const runs = members.map(({ run }) => run);
    const [first] = runs;
    if (first === undefined || !runs.every(canBeMoved)) return [];
    const { entry, step, task } = first;
    const racks = members.map(({ worker }) => worker.info?.rack);
    const tasks = jobBook.groupOf(entry, task);
    const isWhole = tasks.length === runs.length;
    const isAway = gangPlacement.tasksAway(step, racks) > 0;
    if (!isWhole || isAway || !isWorthMoving(runs, wallMs)) return [];
    const unit = { entry, step, stepIndex: task.step, occurrence: task.occurrence, tasks };
    return [{ groupKey, unit, workerIds: new Set(tasks.map((it) => it.workerId)) }];
  });
};
