/**
 * Learns the speeds of a pool's workers for one term of a leader: records what their runs show, hands what was learnt to
 * the workers' agents for the next leader, and takes over what the previous one had handed to them.
 */
import type * as logging from '../../../../base/common/logging.js';
import type * as metrics from '../../../../base/common/metrics.js';
import type * as clock from '../../../../base/common/clock.js';
import * as poolWorker from '../../../../state/common/pool/poolWorker.js';
import * as speedRecord from '../../../../state/common/pool/speedRecord.js';
import type * as jobState from '../../../common/pool/jobState.js';
import * as workerSpeeds from '../../../common/pool/speed/workerSpeeds.js';
import * as workerSuspicion from '../../../common/pool/workerSuspicion.js';
import * as workerTable from '../../../common/pool/workerTable.js';

/** Dependencies of the recorder. */
export interface SpeedRecorderOptions {
  readonly clock: Pick<clock.Clock, 'monotonicMs'>;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  /** First fence of the leader: tells its own records from those of others. */
  readonly leaderFence: number;
}

/** What the leader knows of its workers' speeds. */
export interface SpeedRecorder {
  /** @returns time of a task on the worker relative to one of mean speed; 1 where no difference is shown */
  readonly factorOf: (worker: workerTable.WorkerEntry) => number;
  /** @returns factor of the slowest of the workers that run these tasks */
  readonly slowestFactorOf: (tasks: readonly jobState.TaskEntry[]) => number;
  /**
   * @param worker - a worker
   * @param timed - its runs whose progress has shown anew how long their tasks take
   * @param done - its runs that are done
   */
  readonly recordRuns: (
    worker: workerTable.WorkerEntry,
    timed: readonly workerTable.ActiveRun[],
    done: readonly workerTable.ActiveRun[],
  ) => void;
  /** Learns from what was recorded: at once from an earlier leader's records, and from runs every few seconds. */
  readonly learn: () => void;
  /** @returns what the worker's agent keeps for the next leader; undefined before anything is known */
  readonly recordOf: (worker: workerTable.WorkerEntry) => string | undefined;
  /** Takes over a record that an agent has kept; one that does not fit is logged once and left out. */
  readonly restore: (worker: workerTable.WorkerEntry, text: string) => void;
}

/** Does nothing: all workers count as equally fast. */
export const EQUAL_SPEEDS: SpeedRecorder = {
  factorOf: () => 1,
  slowestFactorOf: () => 1,
  recordRuns: () => undefined,
  learn: () => undefined,
  recordOf: () => undefined,
  restore: () => undefined,
};

/** A task takes seconds, so that learning more often shows nothing new. */
const MIN_LEARN_PERIOD_MS = 1000;

/** Learning takes a time that grows with the workers: with this, a quarter of a per cent of a core at most. */
const LEARN_PERIOD_PER_WORKER_MS = 5;

/** Shorter times are as much those of the orders as of the tasks. */
const MIN_TIMED_MS = 500;

/** A worker's factor is logged when it has changed by more than this share. */
const LOGGED_CHANGE = 0.2;

/** A worker with a higher factor counts as slow in the metrics: urgent work is late there or nearly so. */
const SLOW_FACTOR = 1.25;

const keyOf = ({ workerId, incarnationMs }: poolWorker.WorkerInfo): string =>
  `${workerId} ${incarnationMs}`;

const roundTo = (value: number, digits: number): number => Number(value.toFixed(digits));

const isTelling = ({ step, distanceFactor }: workerTable.ActiveRun): boolean =>
  !step.isLongRunning && !step.isFiller && distanceFactor > 0;

/** Time of a run that is done, with local data; a gang's end tells of its slowest member only. */
const doneTimeMs = (run: workerTable.ActiveRun, nowMs: number): number =>
  run.step.isGang ? 0 : workerTable.observedWorkMs(run, nowMs);

/**
 * @param options - its dependencies
 * @returns the recorder, which knows nothing yet
 */
export const createSpeedRecorder = (options: SpeedRecorderOptions): SpeedRecorder => {
  const { log, metrics, workers } = options;
  /** Workers of one service run the same work and are compared with each other only. */
  const speedsByService = new Map<string, workerSpeeds.WorkerSpeeds>();
  const loggedFactors = new Map<string, number>();
  const keptTexts = new Map<string, string>();
  let learntAtMs = -Infinity;
  let hasRestored = false;

  const speedsOf = (service: string): workerSpeeds.WorkerSpeeds => {
    const known = speedsByService.get(service) ?? workerSpeeds.createWorkerSpeeds();
    speedsByService.set(service, known);
    return known;
  };

  const factorOf = (worker: workerTable.WorkerEntry): number => {
    const { info } = worker;
    return info === undefined ? 1 : speedsOf(info.service).speedOf(keyOf(info)).factor;
  };

  const recordRun = (
    worker: workerTable.WorkerEntry,
    run: workerTable.ActiveRun,
    timeMs: number,
  ): void => {
    const { info } = worker;
    if (info === undefined || timeMs < MIN_TIMED_MS) return;
    speedsOf(info.service).recordRun(keyOf(info), {
      runKey: poolWorker.runKey(run.name, run.run),
      stepKey: run.stepKey,
      timeMs,
      expectedMs: run.expectedWorkMs,
    });
    metrics.count('auburnlift_timed_runs_total');
  };

  const logChange = (
    { agentId, info }: workerTable.WorkerEntry,
    key: string,
    { factor, trust, observedRuns }: workerSpeeds.WorkerSpeed,
  ): void => {
    const logged = loggedFactors.get(key) ?? 1;
    if (Math.abs(factor / logged - 1) < LOGGED_CHANGE) return;
    loggedFactors.set(key, factor);
    log('info', 'workerSpeed', {
      agent: agentId,
      worker: info?.workerId,
      factor: roundTo(factor, 2),
      trust: roundTo(trust, 2),
      observedRuns,
    });
  };

  const report = (
    service: string,
    speeds: workerSpeeds.WorkerSpeeds,
    its: ReadonlyMap<string, workerTable.WorkerEntry>,
  ): void => {
    let slow = 0;
    for (const [key, worker] of its) {
      const speed = speeds.speedOf(key);
      logChange(worker, key, speed);
      if (speed.factor > SLOW_FACTOR) slow += 1;
    }
    metrics.gauge('auburnlift_slow_workers', slow, { service });
    metrics.gauge('auburnlift_worker_speed_deviation', roundTo(speeds.deviation(), 3), { service });
  };

  const workersByKey = (service: string): ReadonlyMap<string, workerTable.WorkerEntry> =>
    new Map(
      [...workers.values()].flatMap((worker): [string, workerTable.WorkerEntry][] =>
        worker.info?.service === service ? [[keyOf(worker.info), worker]] : [],
      ),
    );

  const forgetLogged = (): void => {
    const keys = new Set([...workers.values()].flatMap(({ info }) => (info ? [keyOf(info)] : [])));
    for (const key of loggedFactors.keys()) if (!keys.has(key)) loggedFactors.delete(key);
  };

  const refuse = (worker: workerTable.WorkerEntry, reason: string): void => {
    metrics.count('auburnlift_speed_records_refused_total', { reason });
    log('warn', 'speedRecordRefused', { agent: worker.agentId, reason });
  };

  return {
    factorOf,
    slowestFactorOf: (tasks) => {
      const its = new Set(tasks.map(({ agentId }) => workers.get(agentId)));
      const factors = [...its].flatMap((it) => (it === undefined ? [] : [factorOf(it)]));
      return factors.length === 0 ? 1 : Math.max(...factors);
    },
    recordRuns: (worker, timed, done) => {
      // What a suspect worker takes says more of its trouble, which passes, than of its speed.
      if (workerSuspicion.isSuspect(worker.suspicion, options.clock.monotonicMs())) return;
      for (const run of timed.filter(isTelling)) {
        recordRun(worker, run, (run.timedMs ?? 0) / run.distanceFactor);
      }
      const nowMs = options.clock.monotonicMs();
      for (const run of done.filter(isTelling)) recordRun(worker, run, doneTimeMs(run, nowMs));
    },
    learn: () => {
      const nowMs = options.clock.monotonicMs();
      const periodMs = Math.max(MIN_LEARN_PERIOD_MS, LEARN_PERIOD_PER_WORKER_MS * workers.size);
      if (!hasRestored && nowMs - learntAtMs < periodMs) return;
      hasRestored = false;
      learntAtMs = nowMs;
      forgetLogged();
      for (const [service, speeds] of speedsByService) {
        const its = workersByKey(service);
        if (speeds.learn(new Set(its.keys()))) report(service, speeds, its);
      }
    },
    recordOf: (worker) => {
      const { info } = worker;
      if (info === undefined) return undefined;
      const estimate = speedsOf(info.service).estimateOf(keyOf(info));
      if (estimate === undefined) return undefined;
      return speedRecord.encodeSpeed({
        leaderFence: options.leaderFence,
        workerId: info.workerId,
        incarnationMs: info.incarnationMs,
        factor: roundTo(Math.exp(estimate.logFactor), 2),
        variance: roundTo(estimate.variance, 3),
      });
    },
    restore: (worker, text) => {
      if (keptTexts.get(worker.agentId) === text) return;
      keptTexts.set(worker.agentId, text);
      const record = speedRecord.decodeSpeed(text);
      if (record === undefined) {
        refuse(worker, 'unreadable');
        return;
      }
      if (record.leaderFence === options.leaderFence) return;
      const { info } = worker;
      const isOfThisLife =
        info?.workerId === record.workerId && info.incarnationMs === record.incarnationMs;
      if (info === undefined || !isOfThisLife) {
        refuse(worker, 'formerIncarnation');
        return;
      }
      speedsOf(info.service).restore(keyOf(info), {
        logFactor: Math.log(record.factor),
        variance: record.variance,
      });
      hasRestored = true;
    },
  };
};
