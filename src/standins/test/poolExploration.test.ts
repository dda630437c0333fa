/**
 * Random faults on a complete pool with the production leader, agents and writer; a seed always gives the same run.
 */
import * as test from 'node:test';

import * as poolExplorationSeeds from './poolExplorationSeeds.js';

test.describe('a pool under random faults', () =>
  poolExplorationSeeds.explore({ losesWatches: false }));
