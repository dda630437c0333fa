/**
 * Jobs, workers and units for the tests of pools.
 */
import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as poolWorker from '../../../../state/common/pool/poolWorker.js';
import * as runtimeEstimates from '../runtimeEstimates.js';
import * as jobState from '../jobState.js';
import type * as planTypes from '../planTypes.js';
import * as readyQueue from '../readyQueue.js';
import * as workerTable from '../workerTable.js';

/** A step with defaults for all that is not in `changes`. */
export const makeStep = (changes: Partial<poolJob.Step> = {}): poolJob.Step => ({
  count: 1,
  resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 1 },
  estimatedMs: 1000,
  after: [],
  isCheckpointing: false,
  isGang: false,
  isSameRack: false,
  maxPerWorker: 0,
  isSpeculative: false,
  isLongRunning: false,
  targetLatencyMs: 0,
  isFiller: false,
  ...changes,
});

/** Properties of a job that a test may set. */
export interface JobChanges {
  readonly jobId?: string;
  readonly customerId?: string;
  readonly priority?: number;
  readonly attempts?: number;
  readonly acceptedAtMs?: number;
  readonly schedule?: poolJob.Schedule;
  readonly needsAdvice?: boolean;
}

/** A job of the given steps. */
export const makeJob = (
  steps: readonly Partial<poolJob.Step>[],
  changes: JobChanges = {},
): poolJob.PoolJob => ({
  jobId: changes.jobId ?? 'job',
  customerId: changes.customerId ?? 'customer',
  payload: '',
  steps: steps.map(makeStep),
  ...(changes.schedule === undefined ? {} : { schedule: changes.schedule }),
  acceptedAtMs: changes.acceptedAtMs ?? 0,
  policy: {
    queue: 'queue',
    service: 'service',
    priority: changes.priority ?? 1,
    attempts: changes.attempts ?? 2,
    stretch: 3,
    objectiveMs: 1000,
    needsAdvice: changes.needsAdvice ?? false,
  },
});

/** A worker of eight accelerators, less what its runs occupy. */
export const makeWorker = (
  workerId: string,
  changes: Partial<planTypes.PlanWorker> = {},
): planTypes.PlanWorker => {
  const capacity = { cpuMillicores: 64_000, memoryMb: 256_000, accelerators: 8 };
  const worker: planTypes.PlanWorker = {
    workerId,
    agentId: `agent-${workerId}`,
    incarnationMs: 1,
    service: 'service',
    rack: 'r1',
    labels: [],
    capacity,
    free: capacity,
    allocations: [],
    isSuspect: false,
    isDoubtful: false,
    isProven: false,
    speedFactor: 1,
    placedSteps: new Map(),
    placedJobIds: new Set(),
    ...changes,
  };
  for (const { room } of worker.allocations) {
    worker.free = {
      cpuMillicores: worker.free.cpuMillicores - room.cpuMillicores,
      memoryMb: worker.free.memoryMb - room.memoryMb,
      accelerators: worker.free.accelerators - room.accelerators,
    };
  }
  return worker;
};

/** What a ready worker tells of itself. */
export const makeWorkerInfo = (
  workerId: string,
  changes: Partial<poolWorker.WorkerInfo> = {},
): poolWorker.WorkerInfo => ({
  workerId,
  incarnationMs: 1,
  service: 'service',
  zone: 'z',
  state: 'ready',
  capacity: { cpuMillicores: 8000, memoryMb: 8000, accelerators: 8 },
  labels: [],
  ...changes,
});

/** Adds the run of a task to a worker, as the leader registers it. */
export const addRun = (
  worker: workerTable.WorkerEntry,
  step: Partial<poolJob.Step> = {},
  phase: workerTable.RunPhase = workerTable.RunPhase.present,
  nowMs = 0,
): workerTable.ActiveRun => {
  const entry = jobState.createJobEntry(makeJob([step]), nowMs);
  const [task] = jobState.tasksOf(entry);
  if (task === undefined) throw new Error('the step has no task');
  const run = workerTable.createActiveRun(entry, task, phase, nowMs);
  worker.runs.set(poolWorker.runKey(run.name, run.run), run);
  return run;
};

/** A run that occupies capacity. */
export const makeAllocation = (
  task: string,
  accelerators: number,
  changes: Partial<planTypes.Allocation> = {},
): planTypes.Allocation => ({
  jobId: task,
  task,
  run: 1,
  room: { cpuMillicores: 1000, memoryMb: 1000, accelerators },
  stepKey: `${task}.step`,
  groupKey: task,
  priority: 2,
  customerId: 'other',
  isLeaving: false,
  isProtected: false,
  preemptions: 0,
  isCheckpointing: false,
  unsavedMs: 1000,
  boundMs: 0,
  remainingMs: 1000,
  ...changes,
});

/** The units of the jobs that are ready, after a wait. */
export const makeUnits = (jobs: readonly poolJob.PoolJob[], waitedMs = 0): planTypes.PlanUnit[] => {
  const queue = readyQueue.createReadyQueue(runtimeEstimates.createRuntimeEstimates());
  const entries = jobs.map((job) => jobState.createJobEntry(job, 0));
  queue.units(entries, 0, 0);
  return queue.units(entries, waitedMs, waitedMs);
};
