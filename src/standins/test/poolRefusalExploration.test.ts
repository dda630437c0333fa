/**
 * Random faults on a complete pool whose workers refuse starts from time to time; a seed always gives the same run.
 */
import * as test from 'node:test';

import * as poolExplorationSeeds from './poolExplorationSeeds.js';

// Guards against jobs that count as begun although none of their starts was accepted.
test.describe('a pool under random faults whose workers refuse starts', () =>
  poolExplorationSeeds.explore({ losesWatches: false, refusesStarts: true }));
