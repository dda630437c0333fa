/**
 * Runs planning rounds and executes their results: stores each start, sends it once it is stored, and stops runs
 * that are preempted or relocated.
 */
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as poolConfiguration from '../../../state/common/pool/poolConfiguration.js';
import type * as evacuations from '../../common/pool/evacuations.js';
import type * as runtimeEstimates from '../../common/pool/runtimeEstimates.js';
import * as gangPlacement from '../../common/pool/gangPlacement.js';
import * as stragglers from '../../common/pool/stragglers.js';
import * as jobState from '../../common/pool/jobState.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';
import * as planRound from '../../common/pool/planRound.js';
import type * as planTypes from '../../common/pool/planTypes.js';
import * as readyQueue from '../../common/pool/readyQueue.js';
import * as runProgress from '../../common/pool/runProgress.js';
import * as speedChoice from '../../common/pool/speed/speedChoice.js';
import * as startPlaces from '../../common/pool/startPlaces.js';
import * as planWorker from '../../common/pool/planWorker.js';
import * as workerTable from '../../common/pool/workerTable.js';

import * as ticketCache from './ticketCache.js';
import type * as orderSender from './orderSender.js';
import type * as poolLeadership from './poolLeadership.js';
import type * as runControl from './runControl.js';
import type * as speedRecorder from './speed/speedRecorder.js';

/** Dependencies of the driver. */
export interface PlanDriverOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly term: poolLeadership.Term;
  readonly registry: jobRegistry.JobRegistry;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  /** Runtime estimates, and which declared work is reliable. */
  readonly estimates: runtimeEstimates.RuntimeEstimates;
  readonly speeds: speedRecorder.SpeedRecorder;
  /** Factor by which a task takes longer away from its data or its rack. */
  readonly remoteFactor: number;
  /** Time that a task takes to resume from a checkpoint. */
  readonly restoreMs: number;
  readonly control: () => runControl.RunControl;
  readonly orderSender: () => orderSender.OrderSender;
  /** Stores a job's progress; settled once it is stored. */
  readonly save: (jobId: string) => Promise<void>;
  readonly configuration: () => poolConfiguration.PoolConfiguration | undefined;
  readonly askAdvice: ticketCache.TicketCacheOptions['ask'];
  /** Age of the leader's state: all jobs and cancellations stored before then have certainly been received. */
  readonly recordsAgeMs: () => number;
  readonly evacuations: evacuations.Evacuations;
  /** Whether all jobs are loaded and the term has not ended. */
  readonly isReady: () => boolean;
}

/** Runs planning rounds. */
export interface PlanDriver {
  /** Requests a round; changes within a short time share one round. */
  readonly schedule: () => void;
}

/** Changes within this time are planned in the same round. */
const BATCH_MS = 1;

/**
 * A round begins no sooner after the last one than that one took, so that the leader's lease, the workers' reports and the
 * callers' counts get at least half of the time; but this long after it at the latest, since urgent work waits for a round.
 */
const MAX_ROUND_PAUSE_MS = 100;

/** Starts that are on their way to one worker on the mean; it serves them one after the other. */
const MAX_OPEN_STARTS_PER_WORKER = 64;

/** A pool of few workers has this many starts on their way all the same: a wide step begins in one round. */
const MIN_OPEN_STARTS = 512;

/** Polling interval of a start that waits until the leadership is certain. */
const RECHECK_MS = 50;

/**
 * @param options - its dependencies
 * @returns the driver, which plans on request
 */
export const createPlanDriver = (options: PlanDriverOptions): PlanDriver => {
  const { clock: time, log, metrics, registry, workers } = options;
  const queue = readyQueue.createReadyQueue(options.estimates);
  const waitReasons = new Map<string, string>();
  let isDue = false;
  let lastRoundMs = 0;

  const nowMs = (): number => time.monotonicMs();

  const schedule = (): void => {
    if (isDue) return;
    isDue = true;
    time.after(Math.max(BATCH_MS, Math.min(MAX_ROUND_PAUSE_MS, lastRoundMs)), plan);
  };

  const tickets = ticketCache.createTicketCache({
    clock: time,
    log,
    metrics,
    ask: options.askAdvice,
    onDidAdvise: schedule,
  });

  /** The leadership is certain, and so is which zones are evacuated. */
  const isCertain = (): boolean =>
    options.term.isLeaseValid() && nowMs() < options.evacuations.startsUntilMs();

  /**
   * Stores starts and waits until nothing is in doubt. A cancellation during that wait may not be received
   * while the store is unavailable, so the job is stored once more afterwards, which reveals a cancellation.
   */
  const storeUntilCertain = async (jobId: string): Promise<void> => {
    for (;;) {
      await options.save(jobId);
      if (!options.isReady() || isCertain()) return;
      while (options.isReady() && !isCertain()) await clock.sleep(time, RECHECK_MS);
    }
  };

  /** Sends a stored start. */
  const sendStart = (
    worker: workerTable.WorkerEntry,
    run: workerTable.ActiveRun,
    ticket: string | undefined,
  ): void => {
    if (!options.isReady() || run.phase !== workerTable.RunPhase.ordering) return;
    if (!options.control().isWanted(run) || workerTable.isInEvacuatedZone(worker)) {
      worker.runs.delete(poolWorker.runKey(run.name, run.run));
      jobState.recordNotBegun(run.task, run.run);
      options.control().markLost(run, 'notSent');
      schedule();
      return;
    }
    // Storing the start may have taken long: counted from its placement, a healthy run would count as stalled.
    run.startedAtMs = nowMs();
    run.progressedAtMs = nowMs();
    run.task.orderedRun = run.run;
    options.orderSender().start(worker, { run, ticket });
  };

  const startUnit = (placement: planTypes.Placement): void => {
    const { unit } = placement;
    const { entry, tasks } = unit.unit;
    const racks = placement.workers.map((it) => it.rack);
    const away = gangPlacement.countRemoteTasks(unit.unit.step, racks);
    const distanceFactor = away > 0 ? options.remoteFactor : 1;
    const speedFactor = speedChoice.slowestFactor(placement);
    const assignment = { wallMs: time.wallMs(), distanceFactor };
    jobState.assign(gangPlacement.assignmentsOf(placement), assignment);
    const runs = tasks.flatMap((task) => {
      const worker = workers.get(task.agentId);
      if (worker === undefined) return [];
      const run = workerTable.createActiveRun(entry, task, workerTable.RunPhase.ordering, nowMs());
      workerTable.setExpectedWork(run, unit.expectedMs, speedFactor);
      worker.runs.set(poolWorker.runKey(run.name, run.run), run);
      return [{ worker, run }];
    });
    waitReasons.delete(unit.groupKey);
    const recordsAgeMs = options.recordsAgeMs();
    metrics.time('auburnlift_records_age_ms', recordsAgeMs);
    metrics.time('auburnlift_ready_to_start_ms', unit.waitedMs);
    log('info', 'placed', {
      job: entry.job.jobId,
      group: unit.groupKey,
      run: tasks[0]?.run,
      workers: tasks.map((it) => it.workerId).join(','),
      waitedMs: Math.round(unit.waitedMs),
      away,
      expectedMs: Math.round(unit.expectedMs * speedFactor * distanceFactor),
      speedFactor: Number(speedFactor.toFixed(2)),
      configVersion: options.configuration()?.version,
      recordsAgeMs: Math.round(recordsAgeMs),
    });
    void storeUntilCertain(entry.job.jobId).then(() =>
      runs.forEach(({ worker, run }) => {
        sendStart(worker, run, unit.ticketsByWorker?.get(run.task.workerId));
      }),
    );
  };

  const preempt = (groupKey: string, beneficiary: planTypes.PlanUnit): void => {
    const victim = registry.get(groupKey.split('.')[0] ?? '');
    if (victim !== undefined) victim.preemptions += 1;
    options.control().stopGroup(groupKey, `reclaimedFor ${beneficiary.groupKey}`);
  };

  const relocate = ({ unit, groupKey }: planTypes.PlanUnit): void => {
    jobState.recordRelocation(unit.tasks);
    options.control().stopGroup(groupKey, 'heldUp');
  };

  const logWait = ({ unit, reason }: planTypes.Wait): void => {
    const evacuatedZones = [...options.evacuations.zones].sort().join(',');
    const cause = `${reason} ${evacuatedZones}`;
    if (waitReasons.get(unit.groupKey) === cause) return;
    waitReasons.set(unit.groupKey, cause);
    log('info', 'waits', {
      job: unit.unit.entry.job.jobId,
      group: unit.groupKey,
      reason,
      ...(evacuatedZones === '' ? {} : { evacuatedZones }),
    });
  };

  const guarantees = (): planTypes.Guarantees =>
    new Map(
      (options.configuration()?.customers ?? []).map((it) => [
        it.customerId,
        it.guaranteedAccelerators,
      ]),
    );

  /** Leaves out units that need a ticket of the policy service and have none yet. */
  const withTickets = (
    units: readonly planTypes.PlanUnit[],
    planWorkers: readonly planTypes.PlanWorker[],
  ): planTypes.PlanUnit[] => {
    tickets.retainOnly(new Set(units.map((it) => it.stepKey)));
    return units.flatMap((unit) => {
      if (!unit.unit.entry.job.policy.needsAdvice) return [unit];
      const suitable = planWorkers.filter((it) => gangPlacement.isSuitable(it, unit));
      const ids = suitable.map((it) => it.workerId);
      const ticketsByWorker = tickets.ticketsFor(unit.stepKey, ids);
      if (ticketsByWorker !== undefined) return [{ ...unit, ticketsByWorker }];
      logWait({ unit, reason: 'waiting for the policy service' });
      return [];
    });
  };

  /** Binds units to the workers of their open orders; leaves out those that may start nowhere now. */
  const withStartPlaces = (
    units: readonly planTypes.PlanUnit[],
    now: clock.ClockReadings,
  ): planTypes.PlanUnit[] =>
    units.flatMap((unit) => {
      const bound = startPlaces.bindUnit(workers, unit, now);
      if (bound === undefined) logWait({ unit, reason: 'a delayed order may start it' });
      return bound ?? [];
    });

  /** Running groups that are worth relocating; bound ones would have to start again where they are. */
  const findStragglers = (now: clock.ClockReadings): stragglers.StragglerGroup[] =>
    stragglers
      .findStragglers([...workers.values()], options.estimates, now.wallMs, options.speeds.factorOf)
      .filter(({ unit }) => !startPlaces.isBound(workers, unit.tasks, now));

  const addDueOccurrences = (wallMs: number): void => {
    for (const entry of registry.all()) {
      if (entry.job.schedule !== undefined && !jobState.isEnded(entry)) {
        jobState.addDueOccurrences(entry, wallMs);
      }
    }
  };

  const plan = (): void => {
    isDue = false;
    if (!options.isReady()) return;
    const startedAtMs = nowMs();
    try {
      runRound();
    } catch (thrown) {
      setAsideCulprits(thrown);
    }
    lastRoundMs = nowMs() - startedAtMs;
  };

  /** Times of the runs as of now. */
  const allocationTimes = (now: clock.ClockReadings): planWorker.AllocationTimes => ({
    nowMs: now.monotonicMs,
    boundMsOf: (task) => startPlaces.boundMs(workers, task, now),
    remainingMsOf: runProgress.createGroupProgress(workers.values(), now.monotonicMs)
      .cautiousRemainingMsOf,
    speedFactorOf: options.speeds.factorOf,
    restoreMs: options.restoreMs,
  });

  const createPlanWorkers = (now: clock.ClockReadings): planTypes.PlanWorker[] => {
    const times = allocationTimes(now);
    return [...workers.values()]
      .map((it) => planWorker.toPlanWorker(it, times))
      .filter((it) => it !== undefined);
  };

  /** Plans one job alone, without effect. */
  const tryJob = (entry: jobState.JobEntry, now: clock.ClockReadings): void => {
    const trial = readyQueue.createReadyQueue(options.estimates);
    planRound.planRound({
      nowMs: now.monotonicMs,
      workers: createPlanWorkers(now),
      units: trial.units([entry], now.monotonicMs, now.wallMs),
      stragglerUnits: [],
      guarantees: guarantees(),
      remoteFactor: options.remoteFactor,
    });
  };

  /** @returns why planning the job fails; undefined where it does not */
  const planningFailureOf = (
    entry: jobState.JobEntry,
    now: clock.ClockReadings,
  ): string | undefined => {
    try {
      tryJob(entry, now);
      return undefined;
    } catch (thrown) {
      return errors.normalize(thrown).message;
    }
  };

  /**
   * Guards against a job on which planning fails at each leader: without it, nothing of any job would start. A failure of
   * no single job ends the process, and another leader begins with a state of its own.
   */
  const setAsideCulprits = (failure: unknown): void => {
    const now = clock.readClocks(time);
    const reasons = [...registry.all()].flatMap((entry) => {
      const reason = planningFailureOf(entry, now);
      return reason === undefined ? [] : [{ jobId: entry.job.jobId, reason }];
    });
    const { message } = errors.normalize(failure);
    metrics.count('auburnlift_rounds_failed_total');
    log('error', 'roundFailed', { reason: message, jobs: reasons.length });
    if (reasons.length === 0) throw failure;
    reasons.forEach(({ jobId, reason }) => registry.setAside(jobId, reason));
    schedule();
  };

  const runRound = (): void => {
    const now = clock.readClocks(time);
    const { monotonicMs: startedAtMs, wallMs } = now;
    options.speeds.learn();
    addDueOccurrences(wallMs);
    const openStarts = workerTable.countOpenStarts(workers.values());
    const openCount = [...openStarts.values()].reduce((sum, it) => sum + it, 0);
    const waiting = queue.units(
      registry.all(),
      startedAtMs,
      wallMs,
      workerTable.createSlotCounter(workers.values()),
      (stepKey) => openStarts.get(stepKey) ?? 0,
    );
    const units = withStartPlaces(waiting, now);
    const stragglerGroups = findStragglers(now);
    if (units.length === 0 && stragglerGroups.length === 0) return;
    const planWorkers = createPlanWorkers(now);
    const entries = registry.all();
    startPlaces.holdRetryRooms({ workers, entries, planWorkers, units, now });
    const round = planRound.planRound({
      nowMs: startedAtMs,
      workers: planWorkers,
      units: withTickets(units, planWorkers),
      stragglerUnits: queue.stragglerUnits(stragglerGroups, startedAtMs, wallMs),
      guarantees: guarantees(),
      remoteFactor: options.remoteFactor,
      maxStarts:
        Math.max(MIN_OPEN_STARTS, MAX_OPEN_STARTS_PER_WORKER * planWorkers.length) - openCount,
    });
    metrics.time('auburnlift_plan_round_ms', nowMs() - startedAtMs);
    round.starts.forEach(startUnit);
    round.preemptions.forEach((unit, groupKey) => preempt(groupKey, unit));
    round.relocations.forEach(relocate);
    round.waits.forEach(logWait);
  };

  return { schedule };
};
