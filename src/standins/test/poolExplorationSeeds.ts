/**
 * The seeds of random explorations, and a test of each.
 */
import * as test from 'node:test';

import * as poolExploration from './poolExploration.js';

/** Enough seeds for every pair of fault kinds to occur together; CONTRIBUTING.md says how to run more. */
const SEEDS = Number(process.env.POOL_SEEDS ?? 25);

const FIRST_SEED = Number(process.env.POOL_FIRST_SEED ?? 1);

/**
 * @param faults - what fails beside the faults that each seed draws
 */
export const explore = (faults: Omit<poolExploration.Exploration, 'seed'>): void => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    test.it(`seed ${seed}`, () => poolExploration.explore({ seed, ...faults }));
  }
};
