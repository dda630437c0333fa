/**
 * Random faults on a complete pool whose workers list one end at a time; a seed always gives the same run.
 */
import * as test from 'node:test';

import * as poolExplorationSeeds from './poolExplorationSeeds.js';

// Guards against done runs that are started again since a full list of ends leaves out theirs.
test.describe('a pool under random faults whose workers list few ends', () =>
  poolExplorationSeeds.explore({ losesWatches: false, maxListedEnds: 1 }));
