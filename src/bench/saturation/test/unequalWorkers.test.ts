/**
 * Replays loads on pools whose workers differ in speed. In a file of its own, since it takes long.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as planRound from '../../../coordination/common/pool/planRound.js';
import * as largeFleet from '../largeFleet.js';
import * as mixes from '../mixes.js';
import * as outcomes from '../outcomes.js';
import * as poolReplay from '../poolReplay.js';
import * as workload from '../workload.js';

const SEEDS = [1, 2, 3];

/** A third of the fleet with somewhat less than a third of its load. */
const WORKERS = 55;
const LOAD = 0.8;
const FLEET: mixes.Mix = {
  ...largeFleet.LARGE_FLEET,
  workers: WORKERS,
  rackSize: 4,
  kinds: largeFleet.LARGE_FLEET.kinds.map((kind) => ({
    ...kind,
    jobsPerSecond: (LOAD * kind.jobsPerSecond * WORKERS) / largeFleet.LARGE_FLEET.workers,
  })),
};

const replayAll = (
  mix: mixes.Mix,
  strainName: string,
  learnsSpeeds: boolean,
): poolReplay.ReplayResult[] => {
  const strain = mixes.STRAINS.find((it) => it.name === strainName);
  assert.ok(strain);
  return SEEDS.map((seed) => {
    const arrivals = workload.drawWorkload(mix, strain, seed);
    return poolReplay.replay(mix, strain, arrivals, planRound.planRound, seed, learnsSpeeds);
  });
};

test.describe('callers of a pool with unequal workers', () => {
  // Guards against urgent gangs that are late from their start, since one of their workers takes twice as long.
  for (const strain of ['unequal workers', 'urgent burst on unequal workers']) {
    test.it(`${strain}: urgent gangs gain from learnt speeds, and nobody else loses by it`, () => {
      const learnt = outcomes.outcomeOf(FLEET, replayAll(FLEET, strain, true));
      const equal = outcomes.outcomeOf(FLEET, replayAll(FLEET, strain, false));
      const gain = (kind: string): number =>
        (learnt.byKind.get(kind) ?? 0) - (equal.byKind.get(kind) ?? 0);
      assert.ok(gain('urgent-gang') >= 0.1, `urgent gangs ${gain('urgent-gang')}`);
      assert.ok(gain('wide-gang') >= -0.05, `wide gangs ${gain('wide-gang')}`);
      assert.ok(gain('small-tasks') >= -0.05, `small tasks ${gain('small-tasks')}`);
      assert.ok(learnt.net > equal.net);
    });
  }

  // Guards against a change of what a pool of equal workers does.
  for (const mix of mixes.MIXES) {
    test.it(`${mix.name}: with equal workers each job ends as it does without learning`, () => {
      for (const strain of ['ordinary', 'urgent burst', 'bursts as workers leave']) {
        const [learnt, equal] = [true, false].map((learns) =>
          replayAll(mix, strain, learns).map(({ jobs }) => jobs.map((it) => it.durationMs)),
        );
        assert.deepEqual(learnt, equal, strain);
      }
    });
  }
});
