/**
 * Finds the stragglers that are worth relocating: running groups that are slow because of a worker, and
 * in time only if they are restarted on another one.
 */
import * as groupBy from '../../../base/common/groupBy.js';
import * as memoize from '../../../base/common/memoize.js';
import * as crashAttribution from './crashAttribution.js';
import * as runtimeEstimates from './runtimeEstimates.js';
import * as gangPlacement from './gangPlacement.js';
import * as jobState from './jobState.js';
import * as jobChain from './jobChain.js';
import * as jobOutcome from './jobOutcome.js';
import * as runPace from './runPace.js';
import * as workerTable from './workerTable.js';

/** A straggler: a running group that is slow because of a worker. */
export interface StragglerGroup {
  readonly groupKey: string;
  readonly unit: jobState.ReadyUnit;
  /** Workers that run it now. */
  readonly workerIds: ReadonlySet<string>;
}

/** Time to stop a run, store its next start and send it. */
const RELOCATION_MS = 700;

/** Workers that turn slow or stall have mostly recovered after about this time. */
const RECOVERY_MS = 5000;

/** Waiting must take longer by this factor than relocation: declarations are off by about as much. */
const MIN_GAIN = 1.3;

/** Relocations of a task as a straggler; after these its slowness is attributed to the task itself. */
export const MAX_RELOCATIONS = 2;

const estimateLeftMs = ({ step, percent }: workerTable.ActiveRun): number =>
  (step.estimatedMs * (100 - percent)) / 100;

/** Time to its end on its present worker. */
const remainingIfKeptMs = (run: workerTable.ActiveRun): number => {
  const leftMs = estimateLeftMs(run);
  if (leftMs === 0) return 0;
  const afterRecoveryMs = RECOVERY_MS + leftMs;
  const { speed = 1 } = run.pace;
  return speed > 0 ? Math.min(afterRecoveryMs, leftMs / speed) : afterRecoveryMs;
};

/** Time to its end if it is restarted on another worker. */
const remainingIfRelocatedMs = (run: workerTable.ActiveRun): number =>
  RELOCATION_MS + (run.step.isCheckpointing ? estimateLeftMs(run) : run.step.estimatedMs);

/** Declared work on the job's longest chain of steps, less that of this step. */
const otherChainMs = ({ entry, step }: workerTable.ActiveRun): number =>
  Math.max(0, jobChain.longestChainMs(entry.job) - step.estimatedMs);

const isWorthRelocating = (members: readonly workerTable.ActiveRun[], wallMs: number): boolean => {
  const [first] = members;
  if (first === undefined || first.step.isLongRunning) return false;
  const { job } = first.entry;
  const endMs = jobOutcome.releaseTimeMs(job, first.task.occurrence) + jobChain.objectiveMs(job);
  const slackMs = endMs - wallMs - otherChainMs(first);
  const keptMs = Math.max(...members.map(remainingIfKeptMs));
  const relocatedMs = Math.max(...members.map(remainingIfRelocatedMs));
  return keptMs > slackMs && relocatedMs <= slackMs && relocatedMs * MIN_GAIN < keptMs;
};

/** The worker is at fault where a run is below this share of its fastest sibling's speed. */
const SIBLING_SHARE = 0.5;

/** A run with its worker. */
interface PlacedRun {
  readonly worker: workerTable.WorkerEntry;
  readonly run: workerTable.ActiveRun;
}

/** Speed of the fastest run of a step on another worker than the given one; undefined where none is known. */
type FastestElsewhere = (worker: workerTable.WorkerEntry) => number | undefined;

/**
 * Looks at the runs of a step once: compared with each other, those of a step of thousands of tasks, all of them slower than
 * declared, kept the leader for minutes.
 */
const findFastest = (stepRuns: readonly PlacedRun[]): FastestElsewhere => {
  const speeds = new Map<workerTable.WorkerEntry, number>();
  for (const { worker, run } of stepRuns) {
    const { speed } = run.pace;
    if (speed !== undefined) speeds.set(worker, Math.max(speed, speeds.get(worker) ?? -Infinity));
  }
  const [first, second] = [...speeds].sort((a, b) => b[1] - a[1]);
  return (worker) => (first?.[0] === worker ? second?.[1] : first?.[1]);
};

/**
 * Where other workers run the same step as slowly, the declaration is wrong. Members of a gang all
 * progress at one speed, whichever worker slows them down, and can't be compared.
 */
const isSlowElsewhere = (
  { worker, run }: PlacedRun,
  fastestElsewhere: FastestElsewhere,
): boolean => {
  if (run.step.isGang) return false;
  const fastest = fastestElsewhere(worker);
  return fastest !== undefined && (run.pace.speed ?? 0) >= SIBLING_SHARE * fastest;
};

const canBeRelocated = (run: workerTable.ActiveRun): boolean =>
  run.phase === workerTable.RunPhase.present &&
  run.task.relocations < MAX_RELOCATIONS &&
  !crashAttribution.isLimited(run.task);

/**
 * @param workers - workers with their runs
 * @param estimates - tells whose declared work is reliable
 * @param wallMs - Unix milliseconds now
 * @param speedFactorOf - lasting factor of a worker
 * @returns groups that would be late where they are and in time on other workers
 */
export const findStragglers = (
  workers: readonly workerTable.WorkerEntry[],
  estimates: runtimeEstimates.RuntimeEstimates,
  wallMs: number,
  speedFactorOf: (worker: workerTable.WorkerEntry) => number = () => 1,
): StragglerGroup[] => {
  const all = workers.flatMap((worker) =>
    [...worker.runs.values()].map((run): PlacedRun => ({ worker, run })),
  );
  const candidates = all.filter(({ worker, run }) =>
    runPace.isStraggler(run.pace, speedFactorOf(worker)),
  );
  if (candidates.length === 0) return [];
  const queues = new Set(candidates.map(({ run }) => run.entry.job.policy.queue));
  const reliableQueues = new Set(
    [...queues].filter((it) => runtimeEstimates.areDeclarationsReliable(estimates, it)),
  );
  // Grouped once: with a search through all runs for the siblings of each slow one, the time grew with the square of
  // the runs, and exceeded that of placement on a large fleet.
  const runsByStep = groupBy.groupBy(all, ({ run }) => run.stepKey);
  const fastestOf = memoize.memoize((stepKey: string) =>
    findFastest(runsByStep.get(stepKey) ?? []),
  );
  const slow = candidates.filter(
    (it) =>
      reliableQueues.has(it.run.entry.job.policy.queue) &&
      !isSlowElsewhere(it, fastestOf(it.run.stepKey)),
  );
  const runsByGroup = groupBy.groupBy(all, ({ run }) => run.groupKey);
  return [...new Set(slow.map(({ run }) => run.groupKey))].flatMap((groupKey) => {
    const members = runsByGroup.get(groupKey) ?? [];
    const runs = members.map(({ run }) => run);
    const [first] = runs;
    if (first === undefined || !runs.every(canBeRelocated)) return [];
    const { entry, step, task } = first;
    const racks = members.map(({ worker }) => worker.info?.rack);
    const tasks = jobState.groupOf(entry, task);
    const isComplete = tasks.length === runs.length;
    const isRemote = gangPlacement.countRemoteTasks(step, racks) > 0;
    if (!isComplete || isRemote || !isWorthRelocating(runs, wallMs)) return [];
    const unit = { entry, step, stepIndex: task.step, occurrence: task.occurrence, tasks };
    return [{ groupKey, unit, workerIds: new Set(tasks.map((it) => it.workerId)) }];
  });
};
