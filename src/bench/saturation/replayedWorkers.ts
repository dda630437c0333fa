/**
 * The workers of a replay, and their lasting factors.
 */
import * as random from '../../base/common/random.js';
import * as workerTable from '../../coordination/common/pool/workerTable.js';
import type * as mixes from './mixes.js';

/**
 * @param mix - the user's load
 * @returns its workers, ready and empty
 */
export const createWorkers = (mix: mixes.Mix): workerTable.WorkerEntry[] =>
  Array.from({ length: mix.workers }, (_, index) => {
    const rack = `rack-${Math.floor(index / mix.rackSize)}`;
    const worker = workerTable.createWorkerEntry(`agent-${index}`, '', 1, 0, 0);
    worker.isReachable = true;
    worker.sample = { incarnationMs: 1, clockMs: 0, atMs: 0 };
    worker.info = {
      workerId: `worker-${index}`,
      incarnationMs: 1,
      service: 'service',
      zone: rack,
      state: 'ready',
      capacity: mix.capacity,
      labels: [rack],
      rack,
    };
    return worker;
  });

/**
 * Draws the workers' lasting factors, independently of what else is drawn.
 *
 * @param workers - the workers
 * @param factors - factors, each with the same probability
 * @param seed - determines the choice
 * @returns the factor of each worker
 */
export const drawFactors = (
  workers: readonly workerTable.WorkerEntry[],
  factors: readonly number[],
  seed: number,
): ReadonlyMap<workerTable.WorkerEntry, number> => {
  const next = random.createRandom(seed + 1_000_003);
  return new Map(
    workers.map((worker) => [worker, factors[random.integerBelow(next, factors.length)] ?? 1]),
  );
};
