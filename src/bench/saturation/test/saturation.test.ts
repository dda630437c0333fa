/**
 * Loads at their worst, replayed on the planning round: what callers get of them, beside plain ways of
 * placing the same jobs.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as planRound from '../../../coordination/common/pool/planRound.js';
import * as baselines from '../baselines.js';
import * as mixes from '../mixes.js';
import * as outcomes from '../outcomes.js';
import * as poolReplay from '../poolReplay.js';
import * as workload from '../workload.js';

const SEEDS = [1, 2, 3, 4];

const replayAll = (
  mix: mixes.Mix,
  strain: mixes.Strain,
  planner: poolReplay.Planner,
): outcomes.Outcome =>
  outcomes.outcomeOf(
    mix,
    SEEDS.map((seed) =>
      poolReplay.replay(mix, strain, workload.drawWorkload(mix, strain, seed), planner, seed),
    ),
  );

/** Shares of worth that ours has to serve beyond the better of the plain ways. */
const CASES: readonly [strain: string, aheadBy: number][] = [
  ['urgent burst', 0.05],
  ['1.5 times', 0.05],
  ['failing workers', 0.05],
  ['workers standing still', 0.05],
  ['leader changes', 0.05],
  ['store away', 0.05],
];

test.describe('callers at a pool that is full', () => {
  for (const mix of mixes.MIXES) {
    for (const [name, aheadBy] of CASES) {
      const strain = mixes.STRAINS.find((it) => it.name === name);
      test.it(`${mix.name}, ${name}: are served better than by plain placement`, () => {
        assert.ok(strain);
        const ours = replayAll(mix, strain, planRound.planRound);
        const plain = Math.max(
          replayAll(mix, strain, baselines.priorityBestFit).served,
          replayAll(mix, strain, baselines.firstFitFifo).served,
        );
        assert.ok(ours.served >= plain + aheadBy, `ours ${ours.served}, plain ${plain}`);
        assert.ok(ours.worstCustomer > 0.3, `the worst served customer has ${ours.worstCustomer}`);
      });
    }
  }

  // A wide gang comes to a pool that small tasks keep full. Each gap is taken by the next small task, and
  // its caller never sees it start.
  test.it('a wide gang starts while small tasks go on coming', () => {
    const [mix] = mixes.MIXES;
    const [kind] = mix?.kinds ?? [];
    const strain = mixes.STRAINS.find((it) => it.name === '1.5 times');
    assert.ok(mix && kind && strain);
    for (const seed of SEEDS) {
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
