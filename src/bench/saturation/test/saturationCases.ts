/**
 * Replays the users' loads at their worst, and compares the planning round with simple planners.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as planRound from '../../../coordination/common/pool/planRound.js';
import * as baselines from '../baselines.js';
import * as bound from '../bound.js';
import * as mixes from '../mixes.js';
import * as outcomes from '../outcomes.js';
import * as poolReplay from '../poolReplay.js';
import * as workload from '../workload.js';

/** Seeds of each load. */
export const SEEDS = [1, 2, 3, 4];

const outcomeOfSeeds = (
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

/** Share of worth by which the planning round must exceed the better of the simple planners. */
const CASES: readonly [strain: string, aheadBy: number][] = [
  ['urgent burst', 0.05],
  ['1.5 times', 0.05],
  ['failing workers', 0.05],
  ['workers standing still', 0.05],
  ['leader changes', 0.05],
  ['store away', 0.05],
];

/** The load whose replays take about as long as those of all others together. */
const LONGEST = 'vanua-paws';

/** Which loads a file replays: together they would come near the runner's limit for one file. */
export const Part = { longest: 'longest', others: 'others' } as const;

/** One of the values of {@link Part}. */
export type Part = (typeof Part)[keyof typeof Part];

/**
 * @param part - the loads to replay
 */
export const describeLoads = (part: Part): void => {
  const loads = mixes.MIXES.filter(({ name }) => (name === LONGEST) === (part === Part.longest));
  test.it('there are loads to replay', () => assert.ok(loads.length > 0));
  for (const mix of loads) {
    for (const [name, aheadBy] of CASES) {
      const strain = mixes.STRAINS.find((it) => it.name === name);
      test.it(`${mix.name}, ${name}: serves callers better than simple planners`, () => {
        assert.ok(strain);
        const ours = outcomeOfSeeds(mix, strain, planRound.planRound);
        const plain = Math.max(
          outcomeOfSeeds(mix, strain, baselines.priorityBestFit).served,
          outcomeOfSeeds(mix, strain, baselines.firstFitFifo).served,
        );
        assert.ok(ours.served >= plain + aheadBy, `ours ${ours.served}, plain ${plain}`);
        assert.ok(ours.worstCustomer > 0.3, `the worst served customer got ${ours.worstCustomer}`);
      });
    }
    test.it(`${mix.name}: the bound of capacity is above what the planning round reaches`, () => {
      const strain = mixes.STRAINS.find((it) => it.name === 'urgent burst');
      assert.ok(strain);
      const results = SEEDS.map((seed) =>
        bound.greedyBound(mix, workload.drawWorkload(mix, strain, seed)),
      );
      const reached = outcomeOfSeeds(mix, strain, planRound.planRound);
      assert.ok(outcomes.outcomeOf(mix, results).served >= reached.served);
    });
  }
};
