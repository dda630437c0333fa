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
import type * as reportReconciliation from '../../../common/pool/reportReconciliation.js';
import * as workerSpeeds from '../../../common/pool/speed/workerSpeeds.js';
import * as workerSuspicion from '../../../common/pool/workerSuspicion.js';
import * as workerTable from '../../../common/pool/workerTable.js';

/** Dependencies of the recorder. */
export interface SpeedRecorderOptions {
  readonly clock: Pick<clock.Clock, 'monotonicMs'>;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
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
    timed: readonly reportReconciliation.TimedRun[],
    done: readonly workerTable.ActiveRun[],
  ) => void;
  /** Learns from what was recorded, every few seconds. */
  readonly learn: () => void;
  /** @returns what the worker's agent keeps for the next leader; undefined before anything is known */
  readonly recordOf: (worker: workerTable.WorkerEntry) => string | undefined;
  /** Takes over the record that a worker's agent has kept; one that does not fit is logged and left out. */
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

/** Least variance handed on: a later leader has to be able to learn otherwise, and the record holds three digits. */
const MIN_KEPT_VARIANCE = 0.001;

/** A worker's factor is logged when it has changed by more than this share. */
const LOGGED_CHANGE = 0.2;

/** A worker with a higher factor counts as slow in the metrics: urgent work is late there or nearly so. */
const SLOW_FACTOR = 1.25;

const keyOf = ({ workerId, incarnationMs }: poolWorker.WorkerInfo): string =>
  `${workerId} ${incarnationMs}`;

const roundTo = (value: number, digits: number): number => Number(value.toFixed(digits));

const isTelling = ({ step, distanceFactor }: workerTable.ActiveRun): boolean =>
  !step.isLongRunning && !step.isFiller && distanceFactor > 0;

/** Time of a task that is done, with local data; a gang's end tells of its slowest member only. */
const doneTimeMs = (run: workerTable.ActiveRun, nowMs: number): number =>
  run.step.isGang ? 0 : workerTable.observedWorkMs(run, nowMs);

/** What is known of one service's workers; they run the same work and are compared with each other only. */
interface ServiceSpeeds {
  readonly speeds: workerSpeeds.WorkerSpeeds;
  /** Factors as logged last, by the workers' keys. */
  loggedFactors: ReadonlyMap<string, number>;
}

/**
 * @param options - its dependencies
 * @returns the recorder, which knows nothing yet
 */
export const createSpeedRecorder = (options: SpeedRecorderOptions): SpeedRecorder => {
  const { log, metrics, workers } = options;
  const services = new Map<string, ServiceSpeeds>();
  let learntAtMs = -Infinity;

  const speedsOf = ({ service }: poolWorker.WorkerInfo): workerSpeeds.WorkerSpeeds => {
    const known = services.get(service);
    if (known !== undefined) return known.speeds;
    const speeds = workerSpeeds.createWorkerSpeeds();
    services.set(service, { speeds, loggedFactors: new Map() });
    return speeds;
  };

  const factorOf = ({ info }: workerTable.WorkerEntry): number =>
    info === undefined ? 1 : speedsOf(info).speedOf(keyOf(info)).factor;

  const recordRun = (
    info: poolWorker.WorkerInfo,
    run: workerTable.ActiveRun,
    timeMs: number,
  ): void => {
    if (!isTelling(run) || timeMs < MIN_TIMED_MS) return;
    speedsOf(info).recordRun(keyOf(info), {
      runKey: poolWorker.runKey(run.name, run.run),
      stepKey: run.stepKey,
      timeMs,
      expectedMs: run.expectedWorkMs,
    });
    metrics.count('auburnlift_timed_runs_total');
  };

  /** @returns the factor as logged last */
  const logChange = (
    { agentId, info }: workerTable.WorkerEntry,
    { factor, trust, observedRuns }: workerSpeeds.WorkerSpeed,
    loggedFactor = 1,
  ): number => {
    if (Math.abs(factor / loggedFactor - 1) < LOGGED_CHANGE) return loggedFactor;
    log('info', 'workerSpeed', {
      agent: agentId,
      worker: info?.workerId,
      factor: roundTo(factor, 2),
      trust: roundTo(trust, 2),
      observedRuns,
    });
    return factor;
  };

  const learnService = (service: string, known: ServiceSpeeds): void => {
    const { speeds, loggedFactors } = known;
    const its = new Map<string, workerTable.WorkerEntry>();
    for (const worker of workers.values()) {
      if (worker.info?.service === service) its.set(keyOf(worker.info), worker);
    }
    if (!speeds.learn(new Set(its.keys()))) return;
    const logged = new Map<string, number>();
    let slow = 0;
    for (const [key, worker] of its) {
      const speed = speeds.speedOf(key);
      logged.set(key, logChange(worker, speed, loggedFactors.get(key)));
      if (speed.factor > SLOW_FACTOR) slow += 1;
    }
    known.loggedFactors = logged;
    metrics.gauge('auburnlift_slow_workers', slow, { service });
    metrics.gauge('auburnlift_worker_speed_deviation', roundTo(speeds.deviation(), 3), { service });
  };

  const refuse = (worker: workerTable.WorkerEntry, reason: string): void => {
    metrics.count('auburnlift_speed_records_refused_total', { reason });
    log('warn', 'speedRecordRefused', { agent: worker.agentId, reason });
  };

  return {
    factorOf,
    slowestFactorOf: (tasks) => {
      const factors = tasks.flatMap(({ agentId }) => {
        const worker = workers.get(agentId);
        return worker === undefined ? [] : [factorOf(worker)];
      });
      return factors.length === 0 ? 1 : Math.max(...factors);
    },
    recordRuns: ({ info, suspicion }, timed, done) => {
      const nowMs = options.clock.monotonicMs();
      // What a suspect worker takes says more of its trouble, which passes, than of its speed.
      if (info === undefined || workerSuspicion.isSuspect(suspicion, nowMs)) return;
      for (const { run, taskMs } of timed) recordRun(info, run, taskMs / run.distanceFactor);
      for (const run of done) recordRun(info, run, doneTimeMs(run, nowMs));
    },
    learn: () => {
      const nowMs = options.clock.monotonicMs();
      const periodMs = Math.max(MIN_LEARN_PERIOD_MS, LEARN_PERIOD_PER_WORKER_MS * workers.size);
      if (nowMs - learntAtMs < periodMs) return;
      learntAtMs = nowMs;
      for (const [service, known] of services) learnService(service, known);
    },
    recordOf: ({ info }) => {
      if (info === undefined) return undefined;
      const { workerId, incarnationMs } = info;
      const learnt = speedsOf(info).learntOf(keyOf(info));
      if (learnt === undefined) return undefined;
      return speedRecord.encodeSpeed({
        workerId,
        incarnationMs,
        factor: roundTo(Math.exp(learnt.logFactor), 2),
        variance: roundTo(Math.max(MIN_KEPT_VARIANCE, learnt.variance), 3),
        isApplied: learnt.isApplied,
      });
    },
    restore: (worker, text) => {
      const { info } = worker;
      const record = speedRecord.decodeSpeed(text);
      if (record === undefined) {
        refuse(worker, 'unreadable');
        return;
      }
      if (info?.workerId !== record.workerId || info.incarnationMs !== record.incarnationMs) {
        refuse(worker, 'formerIncarnation');
        return;
      }
      const { factor, variance, isApplied } = record;
      const learnt = { logFactor: Math.log(factor), variance, isApplied };
      speedsOf(info).restore(keyOf(info), learnt);
    },
  };
};
