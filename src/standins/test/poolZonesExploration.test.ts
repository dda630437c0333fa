/**
 * Random faults on a complete pool whose zones are evacuated. In a file of its own, since it takes long.
 */
import * as test from 'node:test';

import * as poolExplorationSeeds from './poolExplorationSeeds.js';

test.describe('a pool under random faults whose zones are evacuated', () =>
  poolExplorationSeeds.explore({ losesWatches: true, evacuates: true }));
