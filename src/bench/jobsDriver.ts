/**
 * Drives a planner with a workload in virtual time, without network, store or agents, so that only the
 * planner's decisions are measured. Placements start immediately; stops take the grace period.
 */
import * as runEstimates from '../coordination/common/runEstimates.js';
import type * as planTypes from '../coordination/common/planTypes.js';
import type * as configuration from '../state/common/configuration.js';
import * as job from '../state/common/job.js';

import type * as jobsBaselines from './jobsBaselines.js';
import * as jobsFigures from './jobsFigures.js';
import type * as jobsWorkloads from './jobsWorkloads.js';

/** Inputs of one simulation. */
export interface DriverOptions {
  readonly document: configuration.ConfigurationDocument;
  readonly cell: string;
  readonly workload: jobsWorkloads.Workload;
  readonly planner: jobsBaselines.Planner;
  readonly figures: jobsFigures.Figures;
  /** Real time in milliseconds, to measure the duration of planning. */
  readonly clockMs: () => number;
}

/** Period of planning rounds without other events, so that expired waits are noticed. */
const TICK_MS = 120_000;
/** Time after which a task fails on a black-hole worker. */
const BLACK_HOLE_MS = 2000;
/** Most work that a checkpointing job loses when its worker is lost. */
const CHECKPOINT_PERIOD_MS = 600_000;
/** Time to restore a checkpoint before work continues. */
const RESTART_MS = 30_000;
/** The simulation ends at this time at the latest. */
const END_MS = 72 * 3_600_000;

type DriverEvent =
  | { readonly type: 'arrive'; readonly arrival: jobsWorkloads.Arrival }
  | { readonly type: 'end'; readonly jobId: string; readonly attempt: number }
  | { readonly type: 'fail'; readonly jobId: string; readonly attempt: number }
  | { readonly type: 'stopped'; readonly jobId: string; readonly attempt: number }
  | { readonly type: 'down'; readonly workerIndex: number }
  | { readonly type: 'up'; readonly workerIndex: number }
  | { readonly type: 'tick' };

interface Timed {
  readonly atMs: number;
  readonly order: number;
  readonly event: DriverEvent;
}

/** Creates a queue of events ordered by time, then by insertion. */
const createEventHeap = () => {
  const heap: Timed[] = [];
  let order = 0;
  const isBefore = (a: Timed | undefined, b: Timed | undefined): boolean =>
    a !== undefined && b !== undefined && (a.atMs - b.atMs || a.order - b.order) < 0;
  const swap = (a: number, b: number): void => {
    const kept = heap[a];
    const other = heap[b];
    if (kept === undefined || other === undefined) return;
    heap[a] = other;
    heap[b] = kept;
  };
  return {
    peek: () => heap[0],
    push: (atMs: number, event: DriverEvent) => {
      order += 1;
      heap.push({ atMs, order, event });
      let at = heap.length - 1;
      for (let up = Math.floor((at - 1) / 2); at > 0 && isBefore(heap[at], heap[up]);) {
        swap(at, up);
        at = up;
        up = Math.floor((at - 1) / 2);
      }
    },
    pop: () => {
      swap(0, heap.length - 1);
      const first = heap.pop();
      for (let at = 0; ;) {
        const left = 2 * at + 1;
        const least = isBefore(heap[left + 1], heap[left]) ? left + 1 : left;
        if (!isBefore(heap[least], heap[at])) break;
        swap(least, at);
        at = least;
      }
      return first;
    },
  };
};

const workersOf = (options: DriverOptions): planTypes.PlanWorker[] => {
  const place = options.document.cells.find((it) => it.cell === options.cell);
  return Array.from({ length: place?.workers ?? 0 }, (_unused, index) => ({
    workerId: `worker-${String(index).padStart(3, '0')}`,
    rack: `rack-${Math.floor(index / (place?.workersPerRack ?? 1))}`,
    accelerators: place?.acceleratorsPerWorker ?? 8,
    health: 'ready' as const,
  }));
};

const withoutPlacement = (record: job.JobRecord): job.JobRecord => {
  const { startedAtMs: _started, ruleId: _rule, stopCause: _cause, ...rest } = record;
  return { ...rest, state: job.JobState.queued, placement: [] };
};

/**
 * @param options - planner, workload and figures
 * @returns nothing; the results are recorded in the figures
 */
export const simulateJobs = (options: DriverOptions): void => {
  const { workload, document, figures } = options;
  const policy = document.placement;
  const eventHeap = createEventHeap();
  const workers = workersOf(options);
  const records = new Map<string, job.JobRecord>();
  const arrivalsById = new Map<string, jobsWorkloads.Arrival>();
  const endedWithFailures: job.JobRecord[] = [];
  const downUntil = new Map<number, number>();
  let estimates = runEstimates.NO_ESTIMATES;
  let nowMs = 0;
  let openJobs = workload.arrivals.length;
  workload.arrivals.forEach((arrival) => eventHeap.push(arrival.atMs, { type: 'arrive', arrival }));
  workload.losses.forEach(({ workerIndex, downAtMs, upAtMs }) => {
    eventHeap.push(downAtMs, { type: 'down', workerIndex });
    eventHeap.push(upAtMs, { type: 'up', workerIndex });
  });
  eventHeap.push(0, { type: 'tick' });

  const blackHoleId = workers[workload.blackHole ?? -1]?.workerId;
  const accelerators = (record: job.JobRecord): number => job.acceleratorsOf(record);
  const workedMs = (record: job.JobRecord): number =>
    Math.max(0, nowMs - (record.startedAtMs ?? nowMs) - (record.checkpointMs > 0 ? RESTART_MS : 0));
  const finish = (record: job.JobRecord, state: job.JobState): void => {
    records.delete(record.spec.jobId);
    openJobs -= 1;
    const ended = { ...record, state, endedAtMs: nowMs, placement: [] };
    if (record.failures.length > 0) endedWithFailures.push(ended);
    estimates = runEstimates.addFinishedRun(estimates, ended);
    figures.ended(ended, nowMs);
  };
  const requeue = (record: job.JobRecord, keptMs: number): void => {
    const ranMs = Math.max(0, nowMs - (record.startedAtMs ?? nowMs));
    const gainedMs = keptMs - record.checkpointMs;
    figures.lost(Math.max(0, ranMs - gainedMs) * accelerators(record));
    records.set(record.spec.jobId, { ...withoutPlacement(record), checkpointMs: keptMs });
  };
  const start = (planned: planTypes.PlannedPlacement): void => {
    const record = records.get(planned.jobId);
    const jobArrival = arrivalsById.get(planned.jobId);
    if (record?.state !== job.JobState.queued || jobArrival === undefined) {
      figures.faults.push(`placed ${planned.jobId}, which is not queued`);
      return;
    }
    const attempt = record.attempt + 1;
    records.set(planned.jobId, {
      ...record,
      state: job.JobState.running,
      attempt,
      placement: [...planned.placement],
      startedAtMs: nowMs,
      ...(planned.ruleId === undefined ? {} : { ruleId: planned.ruleId }),
    });
    figures.started(record, nowMs);
    const restartMs = record.checkpointMs > 0 ? RESTART_MS : 0;
    const leftMs = restartMs + jobArrival.trueRunMs - record.checkpointMs;
    const isOnBlackHole = planned.placement.some((it) => it.workerId === blackHoleId);
    const failMs = isOnBlackHole ? BLACK_HOLE_MS : jobArrival.failsAfterMs;
    const { jobId } = planned;
    if (failMs === undefined) eventHeap.push(nowMs + leftMs, { type: 'end', jobId, attempt });
    else eventHeap.push(nowMs + failMs, { type: 'fail', jobId, attempt });
  };
  const stop = (planned: planTypes.PlannedStop): void => {
    const record = records.get(planned.jobId);
    if (record?.state !== job.JobState.running) return;
    const { jobId, attempt } = { jobId: planned.jobId, attempt: record.attempt };
    records.set(jobId, { ...record, state: job.JobState.stopping, stopCause: planned.cause });
    figures.stopped();
    const graceMs = record.spec.isCheckpointable ? policy.reclaimGraceMs : 0;
    eventHeap.push(nowMs + graceMs, { type: 'stopped', jobId, attempt });
  };
  const fail = (record: job.JobRecord): void => {
    const blackHoleMember = record.placement.find((it) => it.workerId === blackHoleId);
    // A faulty worker fails only its own member; a faulty job fails all members concurrently.
    const at = blackHoleMember === undefined ? record.placement : [blackHoleMember];
    const now = at.map(({ workerId }) => ({ atMs: nowMs, workerId, reason: 'exit 1' }));
    const failures = [...record.failures, ...now];
    const failed = { ...record, failures };
    if (new Set(failures.map((it) => it.workerId)).size >= policy.unrunnableFailures) {
      finish(failed, job.JobState.unrunnable);
    } else requeue(failed, record.checkpointMs);
  };
  const loseWorker = (workerIndex: number): void => {
    const workerId = workers[workerIndex]?.workerId;
    for (const record of [...records.values()]) {
      if (!record.placement.some((it) => it.workerId === workerId)) continue;
      const periodMs = CHECKPOINT_PERIOD_MS;
      const kept = Math.floor(workedMs(record) / periodMs) * periodMs;
      requeue(record, record.checkpointMs + (record.spec.isCheckpointable ? kept : 0));
    }
  };
  const handle = (event: DriverEvent): void => {
    if (event.type === 'arrive') {
      const { spec } = event.arrival;
      arrivalsById.set(spec.jobId, event.arrival);
      records.set(spec.jobId, {
        spec,
        state: job.JobState.queued,
        submittedAtMs: nowMs,
        attempt: 0,
        epoch: 1,
        placement: [],
        checkpointMs: 0,
        failures: [],
        decisions: [],
      });
    } else if (event.type === 'down' || event.type === 'up') {
      const worker = workers[event.workerIndex];
      if (worker === undefined) return;
      const isDown = event.type === 'down';
      const until = workload.losses
        .filter((it) => it.workerIndex === event.workerIndex && it.downAtMs <= nowMs)
        .reduce((last, it) => Math.max(last, it.upAtMs), 0);
      downUntil.set(event.workerIndex, until);
      const health = until > nowMs ? 'unreachable' : 'ready';
      workers[event.workerIndex] = { ...worker, health };
      if (isDown) loseWorker(event.workerIndex);
    } else if (event.type === 'tick') {
      if (openJobs > 0) eventHeap.push(nowMs + TICK_MS, { type: 'tick' });
    } else {
      const record = records.get(event.jobId);
      if (record === undefined || record.attempt !== event.attempt) return;
      if (record.placement.length === 0) return;
      if (event.type === 'stopped') {
        const kept = record.spec.isCheckpointable ? workedMs(record) : 0;
        requeue(record, record.checkpointMs + kept);
      } else if (event.type === 'fail') fail(record);
      else if (record.state === job.JobState.running) finish(record, job.JobState.done);
    }
  };
  const setHealth = (planned: planTypes.PlannedHealthChange, isBad: boolean): void => {
    const index = workers.findIndex((it) => it.workerId === planned.workerId);
    const worker = workers[index];
    if (worker === undefined) return;
    const { autoQuarantinedSinceMs: _since, ...rest } = worker;
    workers[index] = isBad
      ? { ...rest, health: 'quarantined', autoQuarantinedSinceMs: nowMs }
      : { ...rest, health: 'ready', ignoreFailuresUntilMs: nowMs };
    figures.quarantined(planned.workerId, isBad);
  };
  const planNow = (): void => {
    const view: planTypes.PlanView = {
      nowMs,
      cell: options.cell,
      configVersion: 1,
      document,
      workers,
      jobs: [...records.values()].sort((a, b) => a.submittedAtMs - b.submittedAtMs),
      endedFailedJobs: endedWithFailures,
      estimates,
    };
    figures.beforePlan(view);
    const startedMs = options.clockMs();
    const plan = options.planner(view);
    figures.planTook(options.clockMs() - startedMs);
    figures.checkPlan(view, plan);
    plan.quarantines.forEach((it) => setHealth(it, true));
    plan.releases.forEach((it) => setHealth(it, false));
    plan.stops.forEach(stop);
    plan.placements.forEach(start);
    figures.afterPlan(nowMs, workers, [...records.values()]);
  };
  while (openJobs > 0) {
    const first = eventHeap.peek();
    if (first === undefined || first.atMs > END_MS) break;
    figures.advance(nowMs, first.atMs);
    nowMs = first.atMs;
    while (eventHeap.peek()?.atMs === nowMs) {
      const timed = eventHeap.pop();
      if (timed !== undefined) handle(timed.event);
    }
    planNow();
  }
  for (const record of records.values()) figures.unfinished(record);
};
