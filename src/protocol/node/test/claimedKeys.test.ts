/**
 * Repeats of a caller's key through another entry.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as faultyLine from './faultyLine.js';

const ANSWER = 'body of r1';

const FAULTS: readonly faultyLine.Fault[] = [
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
      const world = faultyLine.createWorld([...faults]);
      const request = { ...faultyLine.requestOf('r1'), isClaimed };
      const first = world.router.route(request).catch(() => undefined);
      await world.time.advance(delayMs);
      const second = world.other.route(request).catch(() => undefined);
      await world.time.advance(faultyLine.DEADLINE_MS * 2);
      const answers = [await first, await second].filter((it) => it !== undefined);
      assert.ok(world.runs.length <= 1, `${world.runs.length} runs`);
      assert.ok(answers.length === 0 || world.runs.length === 1);
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

const CLAIM_CASES: readonly [string, (world: faultyLine.World) => void, string, number][] = [
  ['the first answer again through another entry', () => {}, ANSWER, 1],
  [
    'an unknown outcome after the agents have restarted',
    (world) => [...world.hosts.keys()].forEach(world.boot),
    'outcomeUnknown',
    1,
  ],
  [
    'a rejection while the store is down',
    (world) => {
      world.claims.isDown = true;
    },
    'storeUnavailable',
    1,
  ],
];

for (const [name, between, word, runs] of CLAIM_CASES) {
  test.test(`a caller that repeats a claimed key gets ${name}`, async () => {
    const world = faultyLine.createWorld([]);
    const request = { ...faultyLine.requestOf('r1'), isClaimed: true };
    assert.equal((await faultyLine.send(world, request)).word, ANSWER);
    between(world);
    const repeated = await faultyLine.send({ ...world, router: world.other }, request);
    assert.deepEqual([repeated.word, world.runs.length], [word, runs]);
  });
}
