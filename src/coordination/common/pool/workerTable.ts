/**
 * The leader's in-memory state of the workers and of the runs that occupy capacity on them.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as endTracker from './endTracker.js';
import * as runtimeEstimates from './runtimeEstimates.js';
import type * as jobState from './jobState.js';
import type * as jobChain from './jobChain.js';
import type * as leaseClock from './leaseClock.js';
import * as runPace from './runPace.js';
import * as runTiming from './speed/runTiming.js';
import * as workerSuspicion from './workerSuspicion.js';

/** Where a run is between its start order and its reported end. */
export const RunPhase = {
  /** Its start is being stored or sent. */
  ordering: 'ordering',
  /** The worker has accepted or reported it. */
  present: 'present',
  /** Its stop has been ordered. */
  stopping: 'stopping',
  /**
   * Presumably not on the worker; it counts as gone once the worker has answered under a fence that
   * refuses every earlier order.
   */
  closing: 'closing',
} as const;

/** One of the values of {@link RunPhase}. */
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

/** A run that occupies capacity on a worker. */
export interface ActiveRun {
  readonly name: string;
  readonly run: number;
  readonly entry: jobState.JobEntry;
  readonly task: jobState.TaskEntry;
  readonly step: poolJob.Step;
  readonly room: poolJob.Resources;
  readonly stepKey: string;
  readonly groupKey: string;
  /** Leader's clock when the run was ordered, or first reported. */
  startedAtMs: number;
  /** Expected runtime where it is, from its start; used until its own progress is conclusive. */
  expectedMs: number;
  /** Expected runtime with local data on a worker of mean speed. */
  expectedWorkMs: number;
  /** Factor by which it takes longer than with local data; 0 where unknown. */
  readonly distanceFactor: number;
  /** The first progress that its worker reported, and the leader's clock then; undefined before. */
  firstProgress: { readonly percent: number; readonly atMs: number } | undefined;
  phase: RunPhase;
  /** Fence under which the worker must have answered before the run counts as gone. */
  closeFence: number;
  percent: number;
  /** Leader's clock when its worker last reported it; that of its start before. */
  reportedAtMs: number;
  saved: string;
  /** It resumes from a checkpoint of an earlier run. */
  readonly isResumed: boolean;
  /** Leader's clock when {@link percent} last rose. */
  progressedAtMs: number;
  /** Its speed. */
  readonly pace: runPace.RunPace;
  /** Progress from which the worker's lasting speed is learnt. */
  readonly timing: runTiming.RunTiming;
  /** Leader's clock of the last stop order. */
  stopSentAtMs: number;
}

/** An agent with its worker. */
export interface WorkerEntry {
  readonly agentId: string;
  /** Zones where nothing starts now; always the same set, its content changes. */
  readonly evacuatedZones: ReadonlySet<string>;
  url: string;
  bootId: string;
  info: poolWorker.WorkerInfo | undefined;
  /** Fencing token of the leader's orders to this worker; raised to make it refuse earlier ones. */
  fence: number;
  /** Messages with an unacknowledged start since the fence was raised. */
  openMessages: number;
  /** Ends up to this one are stored. */
  seenUpTo: number;
  /** Ends up to this one are applied to the jobs. */
  appliedUpTo: number;
  /** Ends of the worker's current incarnation, and which of them are stored. */
  endTracker: endTracker.EndTracker;
  /** The worker's clock in the newest report that was applied; older reports are dropped. */
  viewClockMs: number;
  sample: leaseClock.ClockSample | undefined;
  /** Leader's clock by which every lease that it or a previous leader granted here has expired. */
  leasesExpireAtMs: number;
  /** Leader's clock at which a draining worker ends; infinite for a worker that is not draining. */
  drainEndsAtMs: number;
  isReachable: boolean;
  contactedAtMs: number;
  readonly runs: Map<string, ActiveRun>;
  /** Suspicion against the worker's current incarnation. */
  suspicion: workerSuspicion.WorkerSuspicion;
  /** Leader's clock when an incarnation of it crashed last; absent where none has. */
  lastCrashAtMs?: number;
  /** Leader's clock since when the current incarnation has not answered its agent; absent while it answers. */
  silentSinceMs?: number | undefined;
}

/**
 * @param agentId - the agent
 * @param url - URL of the agent
 * @param fence - first fence of the leader's epoch
 * @param nowMs - the leader's clock
 * @param previousLeasesExpireAtMs - time by which every lease that a previous leader granted here has expired
 * @param evacuatedZones - zones where nothing starts now; its content may change
 * @returns an agent whose worker is not known yet
 */
export const createWorkerEntry = (
  agentId: string,
  url: string,
  fence: number,
  nowMs: number,
  previousLeasesExpireAtMs: number,
  evacuatedZones: ReadonlySet<string> = new Set(),
): WorkerEntry => ({
  agentId,
  evacuatedZones,
  url,
  bootId: '',
  info: undefined,
  fence,
  openMessages: 0,
  seenUpTo: 0,
  appliedUpTo: 0,
  endTracker: endTracker.createEndTracker(),
  viewClockMs: 0,
  sample: undefined,
  leasesExpireAtMs: previousLeasesExpireAtMs,
  drainEndsAtMs: Infinity,
  isReachable: false,
  contactedAtMs: nowMs,
  runs: new Map(),
  suspicion: workerSuspicion.createWorkerSuspicion(),
});

/**
 * @param jobId - a job
 * @param occurrence - one of its occurrences
 * @param stepIndex - index of one of its steps
 * @returns key of the step of this occurrence
 */
export const stepKeyOf = (jobId: string, occurrence: number, stepIndex: number): string =>
  `${jobId}.${occurrence}.${stepIndex}`;

/**
 * @param entry - the job
 * @param task - its task
 * @returns keys of the task, its step and the group that it runs and ends with
 */
export const keysOf = (
  entry: jobState.JobEntry,
  task: jobState.TaskEntry,
): { readonly name: string; readonly stepKey: string; readonly groupKey: string } => {
  const { jobId, steps } = entry.job;
  const name = poolWorker.formatTaskName({ jobId, ...task });
  const stepKey = stepKeyOf(jobId, task.occurrence, task.step);
  return { name, stepKey, groupKey: steps[task.step]?.isGang === true ? stepKey : name };
};

/**
 * @param entry - the job
 * @param task - its task, assigned to a worker
 * @param phase - where the run is
 * @param nowMs - the leader's clock
 * @returns the run as it occupies capacity on its worker
 */
export const createActiveRun = (
  entry: jobState.JobEntry,
  task: jobState.TaskEntry,
  phase: RunPhase,
  nowMs: number,
): ActiveRun => {
  const step = entry.job.steps[task.step] as poolJob.Step;
  return {
    ...keysOf(entry, task),
    run: task.run,
    entry,
    task,
    step,
    room: poolJob.consumedResources(step),
    startedAtMs: nowMs,
    expectedMs: step.estimatedMs,
    expectedWorkMs: step.estimatedMs,
    distanceFactor: task.distanceFactor,
    firstProgress: undefined,
    phase,
    closeFence: 0,
    percent: 0,
    reportedAtMs: nowMs,
    saved: task.saved,
    isResumed: task.saved !== '',
    progressedAtMs: nowMs,
    pace: runPace.createRunPace(),
    timing: runTiming.createRunTiming(),
    stopSentAtMs: 0,
  };
};

/** Above this percentage the rest is not conclusive for the entire task. */
const MAX_CONCLUSIVE_PERCENT = 90;

/**
 * @param run - a run
 * @param workMs - expected runtime of its task with local data on a worker of mean speed
 * @param speedFactor - factor of its worker, or of its gang's slowest one
 */
export const setExpectedWork = (run: ActiveRun, workMs: number, speedFactor = 1): void => {
  run.expectedWorkMs = workMs;
  run.expectedMs = workMs * speedFactor * Math.max(1, run.distanceFactor);
};

/**
 * Counts a run of a previous leader from its start. Counted from the takeover, preempting it would seem
 * to lose nothing, and a claim would choose runs that are nearly done.
 *
 * @param run - a run that another leader started
 * @param estimates - runtime estimates of tasks
 * @param now - the leader's clock and Unix milliseconds
 * @param speedFactor - factor of its worker
 */
export const restoreStartTime = (
  run: ActiveRun,
  estimates: runtimeEstimates.RuntimeEstimates,
  now: { readonly nowMs: number; readonly wallMs: number },
  speedFactor = 1,
): void => {
  const { task, entry, step } = run;
  const heldMs = task.startedAtWallMs === 0 ? 0 : Math.max(0, now.wallMs - task.startedAtWallMs);
  run.startedAtMs = now.nowMs - heldMs;
  const { queue } = entry.job.policy;
  const workMs = runtimeEstimates.expectedWorkMs(estimates, queue, step.estimatedMs);
  setExpectedWork(run, workMs, speedFactor);
};

/**
 * @param run - a run that is done
 * @param nowMs - the leader's clock
 * @returns its runtime converted to that with local data; 0 where its start or locality is unknown
 */
export const observedWorkMs = (run: ActiveRun, nowMs: number): number => {
  const { distanceFactor, firstProgress: first } = run;
  if (distanceFactor === 0) return 0;
  if (!run.isResumed) return (nowMs - run.startedAtMs) / distanceFactor;
  if (first === undefined || first.percent > MAX_CONCLUSIVE_PERCENT) return 0;
  return ((nowMs - first.atMs) * 100) / (100 - first.percent) / distanceFactor;
};

/**
 * @param workers - agents with their workers
 * @returns number of starts by the key of their step that no worker has answered yet
 */
export const countOpenStarts = (workers: Iterable<WorkerEntry>): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const { runs } of workers) {
    for (const { phase, stepKey } of runs.values()) {
      if (phase === RunPhase.ordering) counts.set(stepKey, (counts.get(stepKey) ?? 0) + 1);
    }
  }
  return counts;
};

/**
 * @param worker - an agent with its worker
 * @returns capacity that no run occupies
 */
export const freeCapacity = (worker: WorkerEntry): poolJob.Resources => {
  let free = worker.info?.capacity ?? poolJob.NO_RESOURCES;
  for (const run of worker.runs.values()) free = poolJob.addResources(free, run.room, -1);
  return free;
};

/**
 * @param worker - an agent with its worker
 * @returns whether the worker has announced that it shuts down
 */
export const isDraining = ({ drainEndsAtMs }: WorkerEntry): boolean => drainEndsAtMs !== Infinity;

/**
 * @param worker - an agent with its worker
 * @returns whether the worker is in a zone that the operators evacuate
 */
export const isInEvacuatedZone = ({ info, evacuatedZones }: WorkerEntry): boolean =>
  info !== undefined && evacuatedZones.has(info.zone);

/** With an older report a worker counts as unreachable and receives no new tasks. */
const MAX_REPORT_AGE_MS = 2500;

/**
 * A report that its agent does not have can't be younger than the last one that the leader received: a restarted agent
 * of a lost worker has none.
 *
 * @param worker - an agent with its worker
 * @param nowMs - the leader's clock
 * @returns age of the last report of the worker's current incarnation; infinite where there is none
 */
export const reportAgeMs = ({ info, sample }: WorkerEntry, nowMs: number): number =>
  sample === undefined || sample.incarnationMs !== info?.incarnationMs
    ? Infinity
    : nowMs - sample.atMs;

/**
 * @param worker - an agent with its worker
 * @param nowMs - the leader's clock
 * @returns whether the worker's current incarnation has reported recently
 */
export const hasReportedRecently = (worker: WorkerEntry, nowMs: number): boolean =>
  reportAgeMs(worker, nowMs) <= MAX_REPORT_AGE_MS;

/**
 * @param worker - an agent with its worker
 * @returns whether the worker may get new tasks
 */
export const acceptsTasks = (worker: WorkerEntry): boolean =>
  worker.isReachable &&
  worker.info?.state === poolWorker.WorkerState.ready &&
  worker.sample?.incarnationMs === worker.info.incarnationMs &&
  !isInEvacuatedZone(worker);

/**
 * @param workers - agents with their workers
 * @returns counts how many tasks of a step all of them hold; counted once for each kind of task
 */
export const createSlotCounter = (workers: Iterable<WorkerEntry>): jobChain.SlotsOf => {
  const infos = [...workers].flatMap(({ info }) => info ?? []);
  const counts = new Map<string, number>();
  return (service, step) => {
    const room = poolJob.consumedResources(step);
    const key = `${service} ${room.cpuMillicores} ${room.memoryMb} ${room.accelerators}`;
    const known = counts.get(key);
    if (known !== undefined) return known;
    const its = infos.filter((it) => it.service === service);
    const count = its.reduce((sum, it) => sum + poolJob.countFittingTasks(it.capacity, room), 0);
    counts.set(key, count);
    return count;
  };
};

/**
 * Guards against a task that runs twice: an unreachable worker keeps running its tasks until their leases
 * have expired, including those that a previous leader granted.
 *
 * @param worker - an agent with its worker
 * @param nowMs - the leader's clock
 * @returns whether every run that may have been there has ended
 */
export const haveRunsExpired = (worker: WorkerEntry, nowMs: number): boolean =>
  !worker.isReachable && nowMs > worker.leasesExpireAtMs;
