/**
 * Guards against a planning round that serves callers little better than simple planners do when a
 * pool is overloaded or faulty. Replays the users' loads at their worst.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as planRound from '../../../coordination/common/pool/planRound.js';
import * as mixes from '../mixes.js';
import * as poolReplay from '../poolReplay.js';
import * as workload from '../workload.js';
import * as saturationCases from './saturationCases.js';

test.describe('callers of an overloaded pool', () => {
  saturationCases.describeLoads(saturationCases.Part.others);

  // Guards against starvation of a wide gang in a pool that small tasks keep full: if each free slot goes
  // to the next small task, the gang never starts.
  test.it('a wide gang starts while small tasks keep arriving', () => {
    const [mix] = mixes.MIXES;
    const [kind] = mix?.kinds ?? [];
    const strain = mixes.STRAINS.find((it) => it.name === '1.5 times');
    assert.ok(mix && kind && strain);
    for (const seed of saturationCases.SEEDS) {
      const arrivals = workload.drawWorkload(mix, strain, seed);
      const { jobs } = poolReplay.replay(mix, strain, arrivals, planRound.planRound, seed);
      const open = jobs.filter((it) => it.state === 'queued' || it.state === 'running');
      assert.deepEqual(
        open.map((it) => it.arrival.job.jobId),
        [],
      );
    }
  });
});
