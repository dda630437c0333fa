/**
 * Calls of the store through another process, and which are never made twice.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as http from '../../base/common/http.js';
import * as logging from '../../base/common/logging.js';
import * as storeRelay from '../../coordination/node/pool/storeRelay.js';

/** A status, or how an exchange fails. */
type Behaviour = number | http.HttpFailure;

const act = (behaviour: Behaviour): Promise<http.HttpReply> =>
  typeof behaviour === 'number'
    ? Promise.resolve({ status: behaviour, headers: {}, body: Buffer.alloc(0) })
    : Promise.reject(new http.HttpCallError(behaviour, 'made to fail'));

const requestOf = (method: string): http.HttpRequest => ({
  address: { host: 'store', port: 1 },
  method,
  path: '/',
  headers: {},
  body: Buffer.alloc(0),
  timeoutMs: 450,
});

interface Case {
  readonly name: string;
  readonly method: string;
  readonly direct: Behaviour;
  /** What others do, in the order in which they are known. */
  readonly others: readonly Behaviour[];
  readonly result: Behaviour;
  /** Others that were asked. */
  readonly asked: number;
}

const CASES: readonly Case[] = [
  { name: 'its own way', method: 'POST', direct: 200, others: [200], result: 200, asked: 0 },
  {
    name: 'a refused condition',
    method: 'POST',
    direct: 412,
    others: [200],
    result: 412,
    asked: 0,
  },
  { name: 'turned away', method: 'POST', direct: 503, others: [200], result: 200, asked: 1 },
  {
    name: 'too often, it seems',
    method: 'POST',
    direct: 429,
    others: [200],
    result: 200,
    asked: 1,
  },
  {
    name: 'all are turned away',
    method: 'POST',
    direct: 503,
    others: [503, 503],
    result: 503,
    asked: 2,
  },
  {
    name: 'nothing was sent',
    method: 'POST',
    direct: 'notSent',
    others: [200],
    result: 200,
    asked: 1,
  },
  {
    name: 'a read without an answer',
    method: 'GET',
    direct: 'timeout',
    others: [200],
    result: 200,
    asked: 1,
  },
  // Guards against a write that is executed twice, once late.
  {
    name: 'a write without an answer',
    method: 'POST',
    direct: 'timeout',
    others: [200],
    result: 'timeout',
    asked: 0,
  },
  {
    name: 'a write that another left open',
    method: 'POST',
    direct: 503,
    others: ['lost', 200],
    result: 'lost',
    asked: 1,
  },
  {
    name: 'a write that another never sent',
    method: 'POST',
    direct: 503,
    others: ['notSent', 200],
    result: 200,
    asked: 2,
  },
  {
    name: 'a read that another left open',
    method: 'GET',
    direct: 503,
    others: ['lost', 200],
    result: 200,
    asked: 2,
  },
  {
    name: 'given up by its caller',
    method: 'GET',
    direct: 'aborted',
    others: [200],
    result: 'aborted',
    asked: 0,
  },
  {
    name: 'nobody else is known',
    method: 'GET',
    direct: 'lost',
    others: [],
    result: 'lost',
    asked: 0,
  },
];

const createSubject = (others: readonly Behaviour[]) => {
  const time = clock.createFakeClock(1000);
  const state = { direct: 200 as Behaviour, directCalls: 0, asked: 0 };
  const call = storeRelay.createStoreRelay({
    clock: time,
    log: logging.silentLog,
    direct: () => {
      state.directCalls += 1;
      return act(state.direct);
    },
    urls: () => others.map((_, index) => String(index)),
    ask: (url) => {
      state.asked += 1;
      return act(others[Number(url)] ?? 'notSent');
    },
  });
  return { time, state, call };
};

test.describe('storeRelay', () => {
  for (const { name, method, direct, others, result, asked } of CASES) {
    test.it(name, async () => {
      const { state, call } = createSubject(others);
      state.direct = direct;
      const answer = call(requestOf(method));
      if (typeof result === 'number') assert.equal((await answer).status, result);
      else await assert.rejects(answer, { failure: result });
      assert.equal(state.asked, asked);
    });
  }

  test.it(
    'goes by others at once while its own way has just failed, and back to it by a read',
    async () => {
      const { time, state, call } = createSubject([200]);
      state.direct = 'timeout';
      await assert.rejects(call(requestOf('POST')));
      assert.equal((await call(requestOf('POST'))).status, 200);
      assert.deepEqual([state.directCalls, state.asked], [1, 1]);
      await time.advance(1100);
      assert.equal((await call(requestOf('POST'))).status, 200);
      assert.equal(state.directCalls, 1);
      state.direct = 200;
      await call(requestOf('GET'));
      await call(requestOf('POST'));
      assert.deepEqual([state.directCalls, state.asked], [3, 2]);
    },
  );

  test.it('asks nobody for a while after all others have failed', async () => {
    const { time, state, call } = createSubject(['notSent']);
    state.direct = 503;
    await call(requestOf('GET'));
    await call(requestOf('GET'));
    assert.equal(state.asked, 1);
    await time.advance(1600);
    await call(requestOf('GET'));
    assert.equal(state.asked, 2);
  });
});
