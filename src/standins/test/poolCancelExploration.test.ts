/**
 * Cancellations around the ends of outages; a seed always gives the same run. `POOL_SEEDS` runs more seeds.
 */
import * as test from 'node:test';

import * as poolCancelExploration from './poolCancelExploration.js';

const SEEDS = Number(process.env.POOL_SEEDS ?? 40);

const FIRST_SEED = Number(process.env.POOL_FIRST_SEED ?? 1);

test.describe('cancellations around an outage', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    test.it(`seed ${seed}`, () => poolCancelExploration.explore(seed));
  }
});
