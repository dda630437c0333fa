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
  const { call, serve } = storeRelay.createStoreRelay({
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
  return { time, state, call, serve };
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

/** A process among two others, whose exchanges take 100 ms of virtual time or end by their time-out. */
const createSlowSubject = (others: Behaviour) => {
  const time = clock.createFakeClock(1000);
  const state = {
    direct: 'timeout' as Behaviour,
    others,
    directCalls: 0,
    asked: 0,
    isHeard: false,
    askedMs: [] as number[],
  };
  const take = async (behaviour: Behaviour, request: http.HttpRequest): Promise<http.HttpReply> => {
    await clock.sleep(time, behaviour === 'timeout' ? request.timeoutMs : 100);
    return act(behaviour);
  };
  const relay = storeRelay.createStoreRelay({
    clock: time,
    log: logging.silentLog,
    direct: async (request) => {
      state.directCalls += 1;
      if (state.isHeard) time.after(request.timeoutMs - 50, () => request.onArrival?.(200));
      return take(state.direct, request);
    },
    urls: () => ['a', 'b'],
    ask: (_, request) => {
      state.asked += 1;
      state.askedMs.push(request.timeoutMs);
      return take(state.others, request);
    },
  });
  return { time, state, ...relay };
};

interface Burst {
  readonly name: string;
  readonly method: string;
  readonly direct: Behaviour;
  readonly others: Behaviour;
  /** Whether answers to others come in while a call waits. */
  readonly isHeard: boolean;
  /** Offers that a burst of calls makes, and again a second after it. */
  readonly asked: readonly [atOnce: number, later: number];
  /** Calls by the own way of the second burst. */
  readonly triedLater: number;
}

const BURSTS: readonly Burst[] = [
  {
    name: 'nobody has a way: one finds out for all',
    method: 'GET',
    direct: 'timeout',
    others: 'notSent',
    isHeard: false,
    asked: [2, 0],
    triedLater: 1,
  },
  {
    name: 'nobody is served: one finds out for all',
    method: 'POST',
    direct: 503,
    others: 503,
    isHeard: false,
    asked: [2, 0],
    triedLater: 1,
  },
  {
    name: 'others are served: all go by them',
    method: 'POST',
    direct: 503,
    others: 200,
    isHeard: false,
    asked: [20, 20],
    triedLater: 0,
  },
  // Guards against a full line that is filled further by what did not come in time.
  {
    name: 'the line is full: nothing is offered',
    method: 'GET',
    direct: 'timeout',
    others: 200,
    isHeard: true,
    asked: [0, 0],
    triedLater: 20,
  },
];

const CALLS = 20;

test.describe('calls at once', () => {
  for (const { name, method, direct, others, isHeard, asked, triedLater } of BURSTS) {
    test.it(name, async () => {
      const { time, state, call } = createSlowSubject(others);
      Object.assign(state, { direct, isHeard });
      const burst = async (): Promise<void> => {
        const calls = Array.from({ length: CALLS }, () => call(requestOf(method)));
        await Promise.all([Promise.allSettled(calls), time.advance(1200)]);
      };
      await burst();
      assert.equal(state.asked, asked[0]);
      const triedBefore = state.directCalls;
      await burst();
      assert.equal(state.asked - asked[0], asked[1]);
      assert.equal(state.directCalls - triedBefore, triedLater);
    });
  }

  const TIMES: readonly [name: string, others: Behaviour, mostMs: number][] = [
    ['nobody answers', 'timeout', 900],
    ['nobody else has a way', 'notSent', 650],
    ['another is served', 200, 550],
  ];
  for (const [name, others, mostMs] of TIMES) {
    // Guards against a caller that waits for one silent way after the other.
    test.it(`ends in its time over all ways: ${name}`, async () => {
      const { time, state, call } = createSlowSubject(others);
      let endedAtMs = Number.POSITIVE_INFINITY;
      const end = (): void => {
        endedAtMs = time.monotonicMs();
      };
      const ended = call({ ...requestOf('GET'), totalMs: 900 }).then(end, end);
      await time.advance(3000);
      await ended;
      assert.ok(endedAtMs - 1000 <= mostMs);
      assert.ok(state.askedMs.every((it) => it <= 450));
    });
  }

  // Guards against entries that wait for their own time-out on behalf of others.
  test.it('refuses what others ask at once where it has no way itself', async () => {
    const { time, state, call, serve } = createSlowSubject('notSent');
    await Promise.all([Promise.allSettled([call(requestOf('GET'))]), time.advance(900)]);
    const triedBefore = state.directCalls;
    await assert.rejects(serve(requestOf('POST')), { failure: 'notSent' });
    assert.equal(state.directCalls, triedBefore);
  });

  test.it('serves others again once its own way is back', async () => {
    const { time, state, call, serve } = createSlowSubject('notSent');
    await Promise.all([Promise.allSettled([call(requestOf('GET'))]), time.advance(2000)]);
    state.direct = 200;
    await Promise.all([call(requestOf('GET')), time.advance(200)]);
    const [reply] = await Promise.all([serve(requestOf('POST')), time.advance(200)]);
    assert.equal(reply.status, 200);
  });
});
