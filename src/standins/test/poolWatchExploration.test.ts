/**
 * Random faults on a complete pool that loses watches. In a file of its own, since it takes long.
 */
import * as test from 'node:test';

import * as poolExplorationSeeds from './poolExplorationSeeds.js';

test.describe('a pool under random faults that loses watches', () =>
  poolExplorationSeeds.explore({ losesWatches: true }));
