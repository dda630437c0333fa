/**
 * Generated loads for the estimate of workers' speeds: workers of known factors and the times of their tasks.
 */
import * as random from '../base/common/random.js';
import * as statistics from '../base/common/statistics.js';
import * as workerSpeeds from '../coordination/common/pool/speed/workerSpeeds.js';

/** A pool whose workers' factors are known. */
export interface SpeedLoad {
  readonly workers: number;
  /** Factors that the workers have, in equal shares. */
  readonly factors: readonly number[];
  /** Tasks timed on each worker. */
  readonly runsPerWorker: number;
  /** Mean number of tasks of a step. */
  readonly tasksPerStep: number;
  /** Standard deviation of the logarithm of work within a step, and of declared work about the true one. */
  readonly unevenness: number;
  readonly declarationError: number;
  /** Share of the tasks that take several times as long. */
  readonly tailShare: number;
}

const TAIL_FACTOR = 7;
const MEAN_WORK_MS = 6000;

/** How far the learnt factors are from the true ones. */
export interface SpeedError {
  /** Square root of the mean square of the logarithm. */
  readonly logError: number;
  /** The same if all workers are taken for equal. */
  readonly logErrorUnlearnt: number;
  /** Share of the workers that count as equal to the mean. */
  readonly equalShare: number;
}

const rootMeanSquare = (values: readonly number[]): number =>
  Math.sqrt(statistics.mean(values.map((it) => it * it)));

/**
 * @param load - the load
 * @param seed - determines all random choices
 * @returns the error of what is learnt from it
 */
export const measureError = (load: SpeedLoad, seed: number): SpeedError => {
  const next = random.createRandom(seed);
  const factors = Array.from(
    { length: load.workers },
    (_, index) => load.factors[index % load.factors.length] ?? 1,
  );
  const speeds = workerSpeeds.createWorkerSpeeds();
  const runs = load.workers * load.runsPerWorker;
  const ids = new Set(factors.map((_, index) => `worker-${index}`));
  let step = 0;
  let left = 0;
  let workMs = 0;
  let expectedMs = 0;
  for (let run = 0; run < runs; run += 1) {
    if (left === 0) {
      step += 1;
      left = 1 + random.integerBelow(next, 2 * load.tasksPerStep - 1);
      workMs = MEAN_WORK_MS * Math.exp(0.5 * random.normal(next));
      expectedMs = workMs * Math.exp(load.declarationError * random.normal(next));
    }
    left -= 1;
    // Each worker gets the same number of tasks, in an order that mixes workers within a step.
    const worker = (run * 7) % load.workers;
    const tail = next() < load.tailShare ? TAIL_FACTOR : 1;
    const ownMs = workMs * tail * Math.exp(load.unevenness * random.normal(next));
    speeds.recordRun(`worker-${worker}`, {
      runKey: String(run),
      stepKey: String(step),
      timeMs: ownMs * (factors[worker] ?? 1),
      expectedMs,
    });
    if (run % load.workers === load.workers - 1) speeds.learn(ids);
  }
  speeds.learn(ids);
  const learnt = factors.map((_, index) => speeds.speedOf(`worker-${index}`).factor);
  const trueLogs = factors.map(Math.log);
  const meanLog = statistics.mean(trueLogs);
  const errors = learnt.map((it, index) => Math.log(it) - (trueLogs[index] ?? 0) + meanLog);
  return {
    logError: rootMeanSquare(errors),
    logErrorUnlearnt: rootMeanSquare(trueLogs.map((it) => it - meanLog)),
    equalShare: learnt.filter((it) => it === 1).length / learnt.length,
  };
};
