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

const keyOf = ({ info }: workerTable.WorkerEntry): string | undefined =>
  info === undefined ? undefined : `${info.workerId} ${info.incarnationMs}`;

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
  const speeds = workerSpeeds.createWorkerSpeeds();
  const loggedFactors = new Map<string, number>();
  const keptTexts = new Map<string, string>();
  let learntAtMs = -Infinity;
  let hasRestored = false;

  const factorOf = (worker: workerTable.WorkerEntry): number => {
    const key = keyOf(worker);
    return key === undefined ? 1 : speeds.speedOf(key).factor;
  };

  const recordRun = (
    worker: workerTable.WorkerEntry,
    run: workerTable.ActiveRun,
    timeMs: number,
  ): void => {
    const key = keyOf(worker);
    if (key === undefined || timeMs < MIN_TIMED_MS) return;
    speeds.recordRun(key, {
      runKey: poolWorker.runKey(run.name, run.run),
      stepKey: run.stepKey,
      timeMs,
      expectedMs: run.expectedWorkMs,
    });
    metrics.count('auburnlift_timed_runs_total');
  };

  const logChange = (worker: workerTable.WorkerEntry, key: string): void => {
    const { factor, trust, observedRuns } = speeds.speedOf(key);
    const logged = loggedFactors.get(key) ?? 1;
    if (Math.abs(factor / logged - 1) < LOGGED_CHANGE) return;
    loggedFactors.set(key, factor);
    log('info', 'workerSpeed', {
      agent: worker.agentId,
      worker: worker.info?.workerId,
      factor: roundTo(factor, 2),
      trust: roundTo(trust, 2),
      observedRuns,
    });
  };

  const report = (keys: ReadonlyMap<string, workerTable.WorkerEntry>): void => {
    for (const key of loggedFactors.keys()) if (!keys.has(key)) loggedFactors.delete(key);
    let slow = 0;
    for (const [key, worker] of keys) {
      logChange(worker, key);
      if (speeds.speedOf(key).factor > SLOW_FACTOR) slow += 1;
    }
    metrics.gauge('auburnlift_slow_workers', slow);
    metrics.gauge('auburnlift_worker_speed_deviation', roundTo(speeds.deviation(), 3));
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
      const keys = new Map<string, workerTable.WorkerEntry>();
      for (const worker of workers.values()) {
        const key = keyOf(worker);
        if (key !== undefined) keys.set(key, worker);
      }
      if (speeds.learn(new Set(keys.keys()))) report(keys);
    },
    recordOf: (worker) => {
      const key = keyOf(worker);
      const estimate = key === undefined ? undefined : speeds.estimateOf(key);
      if (worker.info === undefined || estimate === undefined) return undefined;
      return speedRecord.encodeSpeed({
        leaderFence: options.leaderFence,
        workerId: worker.info.workerId,
        incarnationMs: worker.info.incarnationMs,
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
      const key = keyOf(worker);
      if (!isOfThisLife || key === undefined) {
        refuse(worker, 'formerIncarnation');
        return;
      }
      speeds.restore(key, { logFactor: Math.log(record.factor), variance: record.variance });
      hasRestored = true;
    },
  };
};
