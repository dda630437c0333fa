/**
 * Lasting speeds of a pool's workers, learnt from the times of their tasks.
 *
 * Workers of one pool may differ in speed by a factor of two or more, and nothing that they say of themselves tells so.
 * An urgent job that is owed in one and a half times its work can't be in time on a worker that takes twice as long.
 */
import * as runHistory from './runHistory.js';
import * as speedModel from './speedModel.js';

/** How long one run takes on its worker. */
export interface ObservedRun {
  /** Identifies the run. */
  readonly runKey: string;
  /** Identifies the step of one occurrence. */
  readonly stepKey: string;
  /** Time of the entire task on this worker, converted to local data. */
  readonly timeMs: number;
  /** Time expected on a worker of mean speed. */
  readonly expectedMs: number;
}

/** What is known of a worker's speed. */
export interface WorkerSpeed {
  /** Time of a task here relative to a worker of mean speed; 1 where no difference is shown. */
  readonly factor: number;
  /** Share of the estimate that rests on this worker's own tasks, 0 to 1. */
  readonly trust: number;
  /** Runs that the estimate rests on. */
  readonly observedRuns: number;
}

/** What a leader has learnt of a worker. */
export interface LearntSpeed extends speedModel.SpeedEstimate {
  /** Whether the workers of the pool certainly differ; its factor counts only then. */
  readonly isApplied: boolean;
}

/** The speed of a worker of which nothing is known. */
export const UNKNOWN_SPEED: WorkerSpeed = { factor: 1, trust: 0, observedRuns: 0 };

/** Speeds of workers by an id that no other incarnation has. */
export interface WorkerSpeeds {
  /** Records a run, or replaces what was recorded of it. */
  readonly recordRun: (workerKey: string, run: ObservedRun) => void;
  /** Takes over what a previous leader had learnt of a worker, unless something is known of it already. */
  readonly restore: (workerKey: string, earlier: LearntSpeed) => void;
  /** @returns what to hand to a next leader; undefined where nothing was observed */
  readonly learntOf: (workerKey: string) => LearntSpeed | undefined;
  readonly speedOf: (workerKey: string) => WorkerSpeed;
  /** @returns standard deviation of the logarithms of the factors, as far as is known */
  readonly deviation: () => number;
  /**
   * Learns from what was recorded since the last time.
   *
   * @param workerKeys - the workers that are left; all others are forgotten
   * @returns whether anything was recorded
   */
  readonly learn: (workerKeys: ReadonlySet<string>) => boolean;
}

/** A factor counts as different from 1 if it is beyond this many standard deviations of its estimate. */
const MIN_DEVIATIONS = 1;

/** Smaller differences of a worker decide nothing: declared work is off by more. */
const MIN_LOG_FACTOR = Math.log(1.1);

/**
 * Variance of the factors' logarithms below which a pool's workers count as equal: with a third between fast and slow
 * ones, urgent work that is owed in one and a half times its time can be in time on all of them.
 */
const MIN_POOL_VARIANCE = 0.09;

/** Below this mean number of runs a worker, slow workers can't be told from tasks that take long. */
const MIN_MEAN_RUNS = 1.5;

interface Observations {
  readonly history: runHistory.RunHistory;
  readonly earlier?: speedModel.SpeedEstimate;
}

/** What a previous leader learnt counts like the runs that it takes to learn it. */
const countRuns = ({ history, earlier }: Observations): number => {
  const runs = runHistory.countRuns(history);
  return earlier === undefined ? runs : Math.max(runs, MIN_MEAN_RUNS);
};

/** Whether the pool's workers certainly differ by more than its urgent work can bear. */
const doWorkersDiffer = (
  observed: ReadonlyMap<string, Observations>,
  { ofWorkers }: speedModel.Spread,
): boolean => {
  const runs = [...observed.values()].reduce((sum, it) => sum + countRuns(it), 0);
  return ofWorkers >= MIN_POOL_VARIANCE && runs >= MIN_MEAN_RUNS * observed.size;
};

const factorOf = ({ logFactor, variance }: speedModel.SpeedEstimate): number => {
  const threshold = Math.max(MIN_LOG_FACTOR, MIN_DEVIATIONS * Math.sqrt(variance));
  return Math.abs(logFactor) < threshold ? 1 : Math.exp(logFactor);
};

/**
 * @returns speeds of workers of which nothing is known yet
 */
export const createWorkerSpeeds = (): WorkerSpeeds => {
  const observed = new Map<string, Observations>();
  const speeds = new Map<string, WorkerSpeed>();
  let model = speedModel.UNKNOWN_MODEL;
  let areUnequal = false;
  let hasNews = false;

  const historyOf = (workerKey: string): runHistory.RunHistory => {
    const known = observed.get(workerKey) ?? { history: runHistory.createRunHistory() };
    observed.set(workerKey, known);
    return known.history;
  };

  return {
    recordRun: (workerKey, { runKey, stepKey, timeMs, expectedMs }) => {
      if (!(timeMs > 0 && expectedMs > 0 && Number.isFinite(timeMs))) return;
      const times = { logTime: Math.log(timeMs), logExpected: Math.log(expectedMs) };
      runHistory.recordRun(historyOf(workerKey), runKey, stepKey, times);
      hasNews = true;
    },
    restore: (workerKey, earlier) => {
      if (observed.has(workerKey)) return;
      observed.set(workerKey, { history: runHistory.createRunHistory(), earlier });
      // Counts at once: to learn it anew for each of 670 workers would hold up a take-over for half a second.
      const factor = earlier.isApplied ? factorOf(earlier) : 1;
      speeds.set(workerKey, { ...UNKNOWN_SPEED, factor });
      hasNews = true;
    },
    learntOf: (workerKey) => {
      const estimate = model.estimates.get(workerKey);
      return estimate && { ...estimate, isApplied: areUnequal };
    },
    deviation: () => Math.sqrt(model.spread.ofWorkers),
    speedOf: (workerKey) => speeds.get(workerKey) ?? UNKNOWN_SPEED,
    learn: (workerKeys) => {
      for (const key of observed.keys()) if (!workerKeys.has(key)) observed.delete(key);
      if (!hasNews) return false;
      hasNews = false;
      const workers = new Map(
        [...observed].map(([key, { history, earlier }]) => [
          key,
          { tasks: runHistory.tasksOf(history), earlier },
        ]),
      );
      model = speedModel.solve(workers, model);
      speeds.clear();
      areUnequal = doWorkersDiffer(observed, model.spread);
      for (const [key, estimate] of model.estimates) {
        speeds.set(key, {
          factor: areUnequal ? factorOf(estimate) : 1,
          trust: Math.max(0, 1 - estimate.variance / model.spread.ofWorkers),
          observedRuns: runHistory.countRuns(historyOf(key)),
        });
      }
      return true;
    },
  };
};
