/**
 * Workers and their runs as input of a planning round.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import * as crashAttribution from './crashAttribution.js';
import type * as jobState from './jobState.js';
import type * as planTypes from './planTypes.js';
import * as workerSuspicion from './workerSuspicion.js';
import * as workerTable from './workerTable.js';

/**
 * A checkpointing task saves a checkpoint by a stop and loses the time to resume from it. Counted from its last
 * checkpoint instead, its loss looked as high as that of a task that loses everything.
 *
 * @param step - step of a run
 * @param heldMs - how long it has run
 * @param restoreMs - time to resume from a checkpoint
 * @returns work that a stop loses
 */
export const workLostByStopMs = (step: poolJob.Step, heldMs: number, restoreMs: number): number =>
  step.isCheckpointing ? Math.min(restoreMs, heldMs) : heldMs;

/** Times that a planning round considers for runs. */
export interface AllocationTimes {
  /** The leader's clock. */
  readonly nowMs: number;
  /** For how much longer a task may start only on the worker where it runs. */
  readonly boundMsOf: (task: jobState.TaskEntry) => number;
  /** Expected time to the end of a run. */
  readonly remainingMsOf: (run: workerTable.ActiveRun) => number;
  /** Time of a task on a worker relative to one of mean speed. */
  readonly speedFactorOf: (worker: workerTable.WorkerEntry) => number;
  /** Time to resume from a checkpoint. */
  readonly restoreMs: number;
}

const toAllocation = (
  run: workerTable.ActiveRun,
  { nowMs, boundMsOf, remainingMsOf, restoreMs }: AllocationTimes,
): planTypes.Allocation => ({
  jobId: run.entry.job.jobId,
  task: run.name,
  run: run.run,
  room: run.room,
  stepKey: run.stepKey,
  groupKey: run.groupKey,
  priority: run.entry.job.policy.priority,
  customerId: run.entry.job.customerId,
  isLeaving:
    run.phase === workerTable.RunPhase.stopping || run.phase === workerTable.RunPhase.closing,
  isProtected: run.step.maxUnavailable !== undefined || crashAttribution.isLimited(run.task),
  preemptions: run.entry.preemptions,
  isCheckpointing: run.step.isCheckpointing,
  unsavedMs: workLostByStopMs(run.step, nowMs - run.startedAtMs, restoreMs),
  boundMs: boundMsOf(run.task),
  remainingMs: remainingMsOf(run),
});

/** Job of the runs on probation here, beside which no other job's tasks may start. */
const exclusiveJobOf = (worker: workerTable.WorkerEntry, nowMs: number): string | undefined =>
  [...worker.runs.values()].find(({ task, startedAtMs }) =>
    crashAttribution.isOnProbation(task, nowMs - startedAtMs),
  )?.entry.job.jobId;

/** A run that has lasted this long shows that its worker works: a faulty one fails what it starts at once. */
const PROVING_RUN_MS = 1000;

const lastGoodStartMs = ({ suspicion, runs }: workerTable.WorkerEntry, nowMs: number): number => {
  let lastMs = suspicion.provenStartAtMs;
  for (const { phase, startedAtMs } of runs.values()) {
    const hasLasted = nowMs - startedAtMs >= PROVING_RUN_MS;
    if (startedAtMs > lastMs && hasLasted && phase === workerTable.RunPhase.present) {
      lastMs = startedAtMs;
    }
  }
  return lastMs;
};

/**
 * @param worker - an agent with its worker
 * @param times - the leader's clock and times of the worker's runs
 * @returns the worker as input of a planning round, or undefined where it accepts no tasks
 */
export const toPlanWorker = (
  worker: workerTable.WorkerEntry,
  times: AllocationTimes,
): planTypes.PlanWorker | undefined => {
  const { info } = worker;
  if (info === undefined || !workerTable.acceptsTasks(worker)) return undefined;
  return {
    workerId: info.workerId,
    agentId: worker.agentId,
    incarnationMs: info.incarnationMs,
    service: info.service,
    rack: info.rack ?? '',
    labels: info.labels,
    capacity: info.capacity,
    free: workerTable.freeCapacity(worker),
    allocations: [...worker.runs.values()].map((run) => toAllocation(run, times)),
    isSuspect: workerSuspicion.isSuspect(worker.suspicion, times.nowMs),
    isDoubtful: workerSuspicion.isDoubtful(worker.suspicion, times.nowMs),
    isProven: workerSuspicion.isProven(
      worker.suspicion,
      lastGoodStartMs(worker, times.nowMs),
      times.nowMs,
    ),
    speedFactor: times.speedFactorOf(worker),
    placedSteps: new Map(),
    placedJobIds: new Set(),
    exclusiveJobId: exclusiveJobOf(worker, times.nowMs),
  };
};
