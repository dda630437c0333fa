/**
 * Which running groups are better begun again elsewhere: those that a worker holds up, and whose callers
 * still gain by it.
 */
import * as estimateBook from './estimateBook.js';
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

/**
 * Whose speeds can be believed: those of queues that declare what their tasks take, and where the job has
 * runs on other workers, those that get on much worse than they.
 */
interface Belief {
  readonly book: estimateBook.EstimateBook;
  /** Speeds of the runs of each step, with their workers. */
  readonly speeds: ReadonlyMap<string, readonly SpeedAt[]>;
}

interface SpeedAt {
  readonly worker: workerTable.WorkerEntry;
  readonly speed: number;
}

const collectSpeeds = (
  workers: Iterable<workerTable.WorkerEntry>,
): ReadonlyMap<string, readonly SpeedAt[]> => {
  const speeds = new Map<string, SpeedAt[]>();
  for (const worker of workers) {
    for (const { stepKey, pace } of worker.runs.values()) {
      if (pace.speed !== undefined) {
        speeds.set(stepKey, [...(speeds.get(stepKey) ?? []), { worker, speed: pace.speed }]);
      }
    }
  }
  return speeds;
};

const isBelieved = (
  belief: Belief,
  worker: workerTable.WorkerEntry,
  { entry, pace, step, stepKey }: workerTable.RunHolding,
): boolean => {
  if (!estimateBook.isReliable(belief.book, entry.job.policy.queue)) return false;
  // A gang gets on alike everywhere, whoever holds it up.
  if (step.isGang) return true;
  const elsewhere = (belief.speeds.get(stepKey) ?? []).filter((it) => it.worker !== worker);
  const best = Math.max(...elsewhere.map((it) => it.speed));
  return elsewhere.length === 0 || (pace.speed ?? 0) < SIBLING_SHARE * best;
};

/** Away from its data a run takes a multiple of its time wherever it is not held up. */
const isAway = (worker: workerTable.WorkerEntry, { step }: workerTable.RunHolding): boolean =>
  step.preferredRack !== undefined && step.preferredRack !== worker.info?.rack;

const canBeMoved = (run: workerTable.RunHolding): boolean =>
  run.phase === workerTable.RunPhase.present && run.task.moves < MAX_MOVES;

/** Members of one group with the workers that have them. */
interface Placed {
  readonly worker: workerTable.WorkerEntry;
  readonly run: workerTable.RunHolding;
}

/** A gang that spans racks though it should not takes a multiple of its time as well. */
const isSpread = (members: readonly Placed[]): boolean =>
  members.some(({ run }) => run.step.isSameRack) &&
  new Set(members.map(({ worker }) => worker.info?.rack)).size > 1;

const isHeldUp = (members: readonly Placed[], belief: Belief): boolean =>
  members.some(
    ({ worker, run }) => runPace.isHeldUp(run.pace) && isBelieved(belief, worker, run),
  ) &&
  !members.some(({ worker, run }) => isAway(worker, run)) &&
  !isSpread(members);

const groupRuns = (workers: Iterable<workerTable.WorkerEntry>): Map<string, Placed[]> => {
  const groups = new Map<string, Placed[]>();
  for (const worker of workers) {
    for (const run of worker.runs.values()) {
      const members = groups.get(run.groupKey);
      if (members === undefined) groups.set(run.groupKey, [{ worker, run }]);
      else members.push({ worker, run });
    }
  }
  return groups;
};

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
  const belief = { book, speeds: collectSpeeds(workers) };
  return [...groupRuns(workers)].flatMap(([groupKey, members]) => {
    const runs = members.map(({ run }) => run);
    const [first] = runs;
    if (first === undefined || !isHeldUp(members, belief) || !runs.every(canBeMoved)) return [];
    const { entry, step, task } = first;
    const tasks = jobBook.groupOf(entry, task);
    if (tasks.length !== runs.length || !isWorthMoving(runs, wallMs)) return [];
    const unit = { entry, step, stepIndex: task.step, occurrence: task.occurrence, tasks };
    return [{ groupKey, unit, workerIds: new Set(tasks.map((it) => it.workerId)) }];
  });
};
