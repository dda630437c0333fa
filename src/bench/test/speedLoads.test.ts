/**
 * Guards against learnt speeds that are no better than to take all workers for equal, or that find differences where
 * there are none.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as statistics from '../../base/common/statistics.js';
import * as speedLoads from '../speedLoads.js';

const BASE = { tasksPerStep: 6, unevenness: 0.3, declarationError: 0.2, tailShare: 0.03 } as const;
const SEEDS = [1, 2, 3, 4, 5];

interface Case {
  readonly workers: number;
  readonly runsPerWorker: number;
  readonly factors: readonly number[];
  /** Most of the error of taking all workers for equal that is left, on the mean over the seeds. */
  readonly leftShare: number;
}

/** A tenth of error lets urgent work that is owed in one and a half times its time choose between 0.7 and 1.7. */
const CASES: readonly Case[] = [10, 55, 670].flatMap((workers) => [
  { workers, runsPerWorker: 3, factors: [0.7, 0.7, 1.7], leftShare: 0.6 },
  { workers, runsPerWorker: 10, factors: [0.7, 0.7, 1.7], leftShare: 0.35 },
  { workers, runsPerWorker: 10, factors: [0.5, 1.1, 2.2], leftShare: 0.25 },
  { workers, runsPerWorker: 10, factors: [1, 1, 1, 5], leftShare: 0.25 },
]);

test.describe('speeds learnt from generated loads', () => {
  for (const { leftShare, ...load } of CASES) {
    const { workers, runsPerWorker, factors } = load;
    test.it(`${workers} workers, ${runsPerWorker} runs each, factors ${factors.join(' ')}`, () => {
      const shares = SEEDS.map((seed) => {
        const { logError, logErrorUnlearnt } = speedLoads.measureError({ ...BASE, ...load }, seed);
        return logError / logErrorUnlearnt;
      });
      const left = statistics.mean(shares);
      assert.ok(left <= leftShare, `${left} of the error is left`);
    });
  }

  for (const workers of [10, 55, 670]) {
    for (const runsPerWorker of [1, 3, 10]) {
      test.it(`${workers} equal workers, ${runsPerWorker} runs each, are found to be equal`, () => {
        for (const seed of SEEDS) {
          const load = { ...BASE, workers, runsPerWorker, factors: [1] };
          assert.equal(speedLoads.measureError(load, seed).equalShare, 1, `seed ${seed}`);
        }
      });
    }
  }
});
