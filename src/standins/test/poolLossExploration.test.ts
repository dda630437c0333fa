/**
 * Random faults on a complete pool that loses a worker for good, whose agent is restarted; a seed always gives the same run.
 */
import * as test from 'node:test';

import * as poolExplorationSeeds from './poolExplorationSeeds.js';

// Guards against tasks that stay on a lost worker since its agent has no report of it.
test.describe('a pool under random faults that loses a worker for good', () =>
  poolExplorationSeeds.explore({ losesWatches: false, losesWorker: true }));
