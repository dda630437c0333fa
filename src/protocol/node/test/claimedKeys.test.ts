/**
 * Repeats of a caller's key through another entry.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as faultyNetwork from './faultyNetwork.js';

const ANSWER = 'body of r1';

const FAULTS: readonly faultyNetwork.Fault[] = [
  'sound',
  'silentBefore',
  'silentAfter',
  'cutAfter',
  'refusedConnection',
  'restart',
  'swapped',
];

const runsAtMostOnce = (isClaimed: boolean) =>
  fastCheck.asyncProperty(
    fastCheck.array(fastCheck.constantFrom(...FAULTS), { maxLength: 8 }),
    fastCheck.integer({ min: 0, max: 4000 }),
    async (faults, delayMs) => {
      const harness = faultyNetwork.createHarness([...faults]);
      const request = { ...faultyNetwork.requestOf('r1'), isClaimed };
      const first = harness.router.route(request).catch(() => undefined);
      await harness.time.advance(delayMs);
      const second = harness.otherRouter.route(request).catch(() => undefined);
      await harness.time.advance(faultyNetwork.DEADLINE_MS * 2);
      const answers = [await first, await second].filter((it) => it !== undefined);
      assert.ok(harness.runs.length <= 1, `${harness.runs.length} runs`);
      assert.ok(answers.length === 0 || harness.runs.length === 1);
    },
  );

test.test(
  'a claimed key runs at most once through two entries, whatever the network does',
  async () => {
    // Guards against a double run: a caller's connection to one entry breaks, and it repeats the
    // request through another entry while the first entry is still processing it.
    await fastCheck.assert(runsAtMostOnce(true), { seed: 11, numRuns: 400 });
  },
);

test.test('the same search finds a double run of a key that is not claimed', async () => {
  const found = await fastCheck.check(runsAtMostOnce(false), { seed: 11, numRuns: 400 });
  assert.ok(found.failed);
});

const CLAIM_CASES: readonly [string, (harness: faultyNetwork.Harness) => void, string, number][] = [
  ['the first answer again through another entry', () => {}, ANSWER, 1],
  [
    'an unknown outcome after the agents have restarted',
    (harness) => [...harness.hosts.keys()].forEach(harness.boot),
    'outcomeUnknown',
    1,
  ],
  [
    'a rejection while the store is down',
    (harness) => {
      harness.claims.isDown = true;
    },
    'storeUnavailable',
    1,
  ],
];

for (const [name, beforeRepeat, outcome, runs] of CLAIM_CASES) {
  test.test(`a caller that repeats a claimed key gets ${name}`, async () => {
    const harness = faultyNetwork.createHarness([]);
    const request = { ...faultyNetwork.requestOf('r1'), isClaimed: true };
    assert.equal((await faultyNetwork.send(harness, request)).outcome, ANSWER);
    beforeRepeat(harness);
    const repeated = await faultyNetwork.send({ ...harness, router: harness.otherRouter }, request);
    assert.deepEqual([repeated.outcome, harness.runs.length], [outcome, runs]);
  });
}
