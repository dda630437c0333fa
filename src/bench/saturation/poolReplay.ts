/**
 * Replays a load on a pool in virtual time. The queue, job state, worker table and planning round are
 * the product's own; only the workers, their clocks and the callers are simulated.
 */
import * as poolWorker from '../../state/common/pool/poolWorker.js';
import * as metrics from '../../base/common/metrics.js';
import * as random from '../../base/common/random.js';
import * as runtimeEstimates from '../../coordination/common/pool/runtimeEstimates.js';
import * as gangPlacement from '../../coordination/common/pool/gangPlacement.js';
import * as stragglers from '../../coordination/common/pool/stragglers.js';
import * as jobState from '../../coordination/common/pool/jobState.js';
import * as jobTransitions from '../../coordination/common/pool/jobTransitions.js';
import * as planRound from '../../coordination/common/pool/planRound.js';
import type * as planTypes from '../../coordination/common/pool/planTypes.js';
import * as readyQueue from '../../coordination/common/pool/readyQueue.js';
import * as runProgress from '../../coordination/common/pool/runProgress.js';
import * as speedChoice from '../../coordination/common/pool/speed/speedChoice.js';
import * as workerSuspicion from '../../coordination/common/pool/workerSuspicion.js';
import * as planWorker from '../../coordination/common/pool/planWorker.js';
import * as workerTable from '../../coordination/common/pool/workerTable.js';
import * as speedRecorder from '../../coordination/node/pool/speed/speedRecorder.js';
import * as eventQueue from '../eventQueue.js';
import type * as mixes from './mixes.js';
import * as replayedGroup from './replayedGroup.js';
import * as replayedWorkers from './replayedWorkers.js';
import type * as workload from './workload.js';

/** Plans one round. */
export type Planner = (input: planRound.RoundInput) => planTypes.RoundPlan;

/** Final state of one job. */
export interface ReplayedJob {
  readonly arrival: workload.Arrival;
  readonly state: string;
  /** Time from arrival to end; infinite if the job didn't end. */
  readonly durationMs: number;
}

/** Result of replaying a load. */
export interface ReplayResult {
  readonly jobs: readonly ReplayedJob[];
  /** Core-milliseconds of work lost by failures and stops; an accelerator counts as eight cores. */
  readonly wastedCoreMs: number;
  readonly usedCoreMs: number;
}

/** Delay from a decision to the start on the worker, through the store and the agent. */
const START_MS = 60;

/** Period of progress reports. */
const REPORT_MS = 900;

/** End of a replay. */
const END_MS = 200_000;

/** Intervals in which the affected workers are slow or fail their tasks. */
const SLOW = { fromMs: 10_000, untilMs: 17_000 } as const;
const FAILING = { fromMs: 10_000, untilMs: 16_000 } as const;

const FAILS_AFTER_MS = 900;

/** When the workers that are taken announce their shutdown, and how long before it. */
const TAKEN = { atMs: 12_700, noticeMs: 6500 } as const;

/**
 * @param mix - the user's load
 * @param strain - the scenario applied to it
 * @param arrivals - the jobs of the load
 * @param planner - plans each round
 * @param seed - determines which runs fail and which workers are slow or failing
 * @param learnsSpeeds - whether the leader learns how fast its workers are
 * @returns final states of the jobs, wasted and used work
 */
export const replay = (
  mix: mixes.Mix,
  strain: mixes.Strain,
  arrivals: readonly workload.Arrival[],
  planner: Planner,
  seed: number,
  learnsSpeeds = true,
): ReplayResult => {
  const next = random.createRandom(seed);
  const events = eventQueue.createEventQueue();
  const entries = new Map<string, jobState.JobEntry>();
  const arrivalOf = new Map(arrivals.map((it) => [it.job.jobId, it]));
  const groups = new Set<replayedGroup.Group>();
  const savedMs = new Map<string, number>();
  const estimates = runtimeEstimates.createRuntimeEstimates();
  const queue = readyQueue.createReadyQueue(estimates);
  const guarantees: planTypes.Guarantees = new Map(
    Array.from({ length: mix.customers }, (_, index) => [
      `customer-${index}`,
      Math.floor((mix.guaranteedShare * mix.workers * mix.capacity.accelerators) / mix.customers),
    ]),
  );
  let wastedCoreMs = 0;
  let usedCoreMs = 0;
  let isDue = false;

  const workers = replayedWorkers.createWorkers(mix);
  const drawWorkers = (share: number): ReadonlySet<workerTable.WorkerEntry> =>
    new Set(workers.filter(() => next() < share));
  const slow = drawWorkers(strain.slowShare);
  const failing = drawWorkers(strain.failingShare);
  const taken = drawWorkers(strain.takenShare ?? 0);
  const lastingFactors = replayedWorkers.drawFactors(workers, strain.lastingFactors ?? [1], seed);
  const speeds = learnsSpeeds
    ? speedRecorder.createSpeedRecorder({
        clock: { monotonicMs: events.nowMs },
        log: () => undefined,
        metrics: metrics.createMetrics(),
        workers: new Map(workers.map((it) => [it.agentId, it])),
      })
    : speedRecorder.EQUAL_SPEEDS;
  const workerAt = (agentId: string): workerTable.WorkerEntry =>
    workers[Number(agentId.slice('agent-'.length))] as workerTable.WorkerEntry;

  const isSlowNow = (worker: workerTable.WorkerEntry): boolean =>
    slow.has(worker) && events.nowMs() >= SLOW.fromMs && events.nowMs() < SLOW.untilMs;
  const isFailingNow = (worker: workerTable.WorkerEntry): boolean =>
    failing.has(worker) && events.nowMs() >= FAILING.fromMs && events.nowMs() < FAILING.untilMs;

  const schedule = (): void => {
    if (isDue) return;
    isDue = true;
    events.at(events.nowMs() + 1, plan);
  };

  const slownessOf = (worker: workerTable.WorkerEntry): number =>
    (lastingFactors.get(worker) ?? 1) * (isSlowNow(worker) ? strain.slowFactor : 1);
  const advance = (group: replayedGroup.Group): void =>
    replayedGroup.advance(group, events.nowMs(), slownessOf);

  /** Updates the leader's state with the group's progress. */
  const reportProgress = (group: replayedGroup.Group): void => {
    advance(group);
    for (const timed of replayedGroup.report(group, events.nowMs())) {
      speeds.recordRuns(workerAt(timed.run.task.agentId), [timed], []);
    }
  };

  const endRun = (
    replayedRun: replayedGroup.ReplayedRun,
    how: 'done' | 'failed' | 'stopped',
    isLost: boolean,
  ): void => {
    const { run, worker, group } = replayedRun;
    worker.runs.delete(poolWorker.runKey(run.name, run.run));
    const heldMs = events.nowMs() - replayedRun.startedAtMs;
    usedCoreMs += heldMs * planRound.weightInCores(run.step.resources);
    if (isLost) {
      const lostMs = planWorker.workLostByStopMs(run.step, heldMs, mix.restoreMs);
      wastedCoreMs += lostMs * planRound.weightInCores(run.step.resources);
    }
    const isSaved = how === 'stopped' && run.step.isCheckpointing;
    if (isSaved) savedMs.set(run.name, group.savedMs + replayedGroup.doneMsOf(group));
    const { jobId } = run.entry.job;
    if (how === 'done') speeds.recordRuns(worker, [], [run]);
    if (how === 'done' && !workerSuspicion.isSuspect(worker.suspicion, events.nowMs())) {
      const factor = speeds.slowestFactorOf(jobState.groupOf(run.entry, run.task));
      const workMs = workerTable.observedWorkMs(run, events.nowMs()) / factor;
      runtimeEstimates.recordTask(estimates, run.entry.job, run.step, workMs);
    }
    if (how === 'done') workerSuspicion.recordSuccess(worker.suspicion, events.nowMs());
    if (how === 'failed') workerSuspicion.recordFailure(worker.suspicion, jobId, events.nowMs());
    const wallMs = events.nowMs();
    jobTransitions.recordRunEnd(
      run.entry,
      run.task,
      { run: run.run, how, saved: isSaved ? 'saved' : '' },
      wallMs,
    );
  };

  const endGroup = (
    group: replayedGroup.Group,
    how: 'done' | 'failed' | 'stopped',
    isLost: boolean,
  ): void => {
    if (group.isEnded) return;
    advance(group);
    group.isEnded = true;
    groups.delete(group);
    group.members.forEach((replayedRun, index) => {
      // Only the first member fails; the others are stopped as a consequence.
      endRun(replayedRun, how === 'failed' && index > 0 ? 'stopped' : how, isLost);
    });
    const [first] = group.members;
    if (first !== undefined) stopEndedJob(first.run.entry);
    schedule();
  };

  const stopGroup = (group: replayedGroup.Group): void => {
    if (group.members.some(({ run }) => run.phase === workerTable.RunPhase.stopping)) return;
    for (const { run } of group.members) run.phase = workerTable.RunPhase.stopping;
    events.at(events.nowMs() + START_MS + mix.stopMs, () => endGroup(group, 'stopped', true));
  };

  const stopEndedJob = (entry: jobState.JobEntry): void => {
    if (!jobState.isEnded(entry)) return;
    for (const group of groups) {
      if (group.members[0]?.run.entry === entry) stopGroup(group);
    }
  };

  const watchGroup = (group: replayedGroup.Group): void => {
    if (group.isEnded) return;
    advance(group);
    const leftMs = group.workMs - replayedGroup.doneMsOf(group);
    if (leftMs <= 0.5) {
      const [first] = group.members;
      const arrival = arrivalOf.get(first?.run.entry.job.jobId ?? '');
      const fails = arrival?.isPoison === true || next() < (arrival?.kind.failShare ?? 0);
      endGroup(group, fails ? 'failed' : 'done', fails);
      return;
    }
    if (group.members.some(({ worker }) => isFailingNow(worker)) && leftMs < group.workMs) {
      endGroup(group, 'failed', true);
      return;
    }
    const stepMs = Math.min(REPORT_MS, Math.max(1, leftMs * group.factor));
    events.at(events.nowMs() + stepMs, () => watchGroup(group));
  };

  const startUnit = (placement: planTypes.Placement): void => {
    const { unit } = placement.unit;
    const { entry, tasks, step } = unit;
    const arrival = arrivalOf.get(entry.job.jobId);
    const racks = placement.workers.map((it) => it.rack);
    const [firstTask] = tasks;
    const totalWorkMs = arrival?.workMs[unit.stepIndex]?.[firstTask?.index ?? 0] ?? 0;
    const names = tasks.map((task) => workerTable.keysOf(entry, task).name);
    const saved = Math.max(0, ...names.map((name) => savedMs.get(name) ?? 0));
    const nowMs = events.nowMs();
    const distanceFactor = gangPlacement.countRemoteTasks(step, racks) > 0 ? mix.remoteFactor : 1;
    const startTime = { wallMs: nowMs, distanceFactor };
    jobState.assign(gangPlacement.assignmentsOf(placement), startTime);
    const speedFactor = speedChoice.slowestFactor(placement);
    const group: replayedGroup.Group = {
      members: [],
      workMs: Math.max(1, totalWorkMs - saved),
      savedMs: saved,
      factor: distanceFactor,
      advancedAtMs: nowMs + START_MS,
      isEnded: false,
    };
    for (const task of tasks) {
      const worker = workerAt(task.agentId);
      const run = workerTable.createActiveRun(entry, task, workerTable.RunPhase.present, nowMs);
      workerTable.setExpectedWork(run, placement.unit.expectedMs, speedFactor);
      worker.runs.set(poolWorker.runKey(run.name, run.run), run);
      group.members.push({ worker, run, group, startedAtMs: nowMs, doneMs: 0 });
    }
    groups.add(group);
    const isFailing = group.members.some(({ worker }) => isFailingNow(worker));
    const firstLookMs = isFailing ? FAILS_AFTER_MS : START_MS;
    events.at(nowMs + firstLookMs, () => watchGroup(group));
  };

  const stopByKey = (groupKey: string): void => {
    for (const group of groups) {
      if (group.members[0]?.run.groupKey === groupKey) stopGroup(group);
    }
  };

  const preempt = (groupKey: string): void => {
    const preempted = entries.get(groupKey.split('.')[0] ?? '');
    if (preempted !== undefined) preempted.preemptions += 1;
    stopByKey(groupKey);
  };

  const relocate = ({ unit, groupKey }: planTypes.PlanUnit): void => {
    jobState.recordRelocation(unit.tasks);
    stopByKey(groupKey);
  };

  const shutDown = (worker: workerTable.WorkerEntry): void => {
    for (const group of [...groups]) {
      if (group.members.some((it) => it.worker === worker)) endGroup(group, 'stopped', true);
    }
    schedule();
  };

  const announceShutdowns = (): void => {
    for (const worker of taken) {
      if (worker.info !== undefined) worker.info = { ...worker.info, state: 'draining' };
      events.at(events.nowMs() + TAKEN.noticeMs, () => shutDown(worker));
    }
  };

  const isInGap = (nowMs: number): boolean =>
    strain.gaps.some((it) => nowMs >= it.fromMs && nowMs < it.untilMs);

  /** A new leader restores start times from the store and receives progress with later reports. */
  const restoreRuns = (): void => {
    const nowMs = events.nowMs();
    for (const { run } of [...groups].flatMap((it) => it.members)) {
      run.startedAtMs = nowMs;
      workerTable.restoreStartTime(run, estimates, { nowMs, wallMs: nowMs });
    }
  };

  const plan = (): void => {
    isDue = false;
    const nowMs = events.nowMs();
    if (isInGap(nowMs)) return;
    speeds.learn();
    const units = queue.units(
      entries.values(),
      nowMs,
      nowMs,
      workerTable.createSlotCounter(workers),
    );
    const stragglerRuns = stragglers.findStragglers(workers, estimates, nowMs, speeds.factorOf);
    if (units.length === 0 && stragglerRuns.length === 0) return;
    const { cautiousRemainingMsOf } = runProgress.createGroupProgress(workers, nowMs);
    const times = {
      nowMs,
      boundMsOf: () => 0,
      remainingMsOf: cautiousRemainingMsOf,
      speedFactorOf: speeds.factorOf,
      restoreMs: mix.restoreMs,
    };
    const planWorkers = workers
      .map((it) => planWorker.toPlanWorker(it, times))
      .filter((it) => it !== undefined);
    const round = planner({
      nowMs,
      workers: planWorkers,
      units,
      stragglerUnits: queue.stragglerUnits(stragglerRuns, nowMs, nowMs),
      guarantees,
      remoteFactor: mix.remoteFactor,
    });
    round.starts.forEach(startUnit);
    for (const groupKey of round.preemptions.keys()) preempt(groupKey);
    round.relocations.forEach(relocate);
  };

  for (const arrival of arrivals) {
    events.at(arrival.atMs, () => {
      entries.set(arrival.job.jobId, jobState.createJobEntry(arrival.job, arrival.atMs));
      schedule();
    });
    if (Number.isFinite(arrival.cancelAtMs)) {
      events.at(arrival.cancelAtMs, () => {
        const entry = entries.get(arrival.job.jobId);
        if (entry === undefined || !jobTransitions.cancel(entry, events.nowMs())) return;
        stopEndedJob(entry);
        schedule();
      });
    }
  }
  for (const { untilMs, isTakeOver } of strain.gaps) {
    events.at(untilMs, () => {
      if (isTakeOver) restoreRuns();
      schedule();
    });
  }
  events.at(TAKEN.atMs, announceShutdowns);
  const tick = (): void => {
    for (const group of groups) reportProgress(group);
    schedule();
    if (events.nowMs() < END_MS) events.at(events.nowMs() + REPORT_MS, tick);
  };
  tick();
  events.runUntil(END_MS);

  const jobs = arrivals.map((arrival): ReplayedJob => {
    const entry = entries.get(arrival.job.jobId);
    const isOver = entry !== undefined && entry.endedAtMs > 0;
    return {
      arrival,
      state: entry?.state ?? 'queued',
      durationMs: isOver ? entry.endedAtMs - arrival.atMs : Infinity,
    };
  });
  return { jobs, wastedCoreMs, usedCoreMs };
};
