/**
 * Claims on callers' idempotency keys, on the in-memory store with its faults.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as requestClaims from '../../coordination/node/requestClaims.js';
import * as memoryStore from '../memoryStore.js';

const claimOf = (attemptId: string): requestClaims.Claim => ({
  agentUrl: 'http://a:1',
  bootId: 'boot-1',
  attemptId,
  startBeforeMs: 1000,
});

const create = () => {
  const time = clock.createFakeClock();
  const store = memoryStore.createMemoryStore(time);
  return { time, store, claims: requestClaims.createRequestClaims(store, time) };
};

test.test('a key is claimed once, and claimed again only from the current revision', async () => {
  const { claims } = create();
  const first = await claims.take('festivals/r1', 0, claimOf('x'));
  assert.equal(first.type, 'taken');
  const second = await claims.take('festivals/r1', 0, claimOf('y'));
  assert.deepEqual(second, { type: 'held', revision: first.revision, claim: claimOf('x') });
  assert.equal((await claims.take('festivals/r1', first.revision, claimOf('y'))).type, 'taken');
  const late = await claims.take('festivals/r1', first.revision, claimOf('z'));
  assert.equal(late.type === 'held' && late.claim.attemptId, 'y');
});

test.test('a claim whose answer was lost is recognized and not made twice', async () => {
  const { store, claims } = create();
  await claims.take('festivals/r0', 0, claimOf('w'));
  store.faults.loseWriteAnswers = 1;
  assert.equal((await claims.take('festivals/r1', 0, claimOf('x'))).type, 'taken');
  assert.equal((await claims.take('festivals/r1', 0, claimOf('y'))).type, 'held');
});

test.test('no key is claimed during a store outage, and claims work again afterwards', async () => {
  const { store, claims } = create();
  store.faults.isDown = true;
  await assert.rejects(claims.take('festivals/r1', 0, claimOf('x')), { kind: 'storeUnavailable' });
  store.faults.isDown = false;
  assert.equal((await claims.take('festivals/r1', 0, claimOf('x'))).type, 'taken');
});
