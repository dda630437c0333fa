/**
 * Store calls relayed through another process, and which calls must never be executed twice.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as http from '../../base/common/http.js';
import * as logging from '../../base/common/logging.js';
import * as storeRelay from '../../coordination/node/pool/storeRelay.js';

/** A status, or the failure of an exchange. */
type Behaviour = number | http.HttpFailure;

const respond = (behaviour: Behaviour): Promise<http.HttpReply> =>
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
  /** Behaviour of the other processes, in the order of their addresses. */
  readonly others: readonly Behaviour[];
  readonly result: Behaviour;
  /** Number of relay requests to other processes. */
  readonly asked: number;
}

const CASES: readonly Case[] = [
  { name: 'direct call', method: 'POST', direct: 200, others: [200], result: 200, asked: 0 },
  {
    name: 'a refused condition',
    method: 'POST',
    direct: 412,
    others: [200],
    result: 412,
    asked: 0,
  },
  {
    name: 'unavailable store',
    method: 'POST',
    direct: 503,
    others: [200],
    result: 200,
    asked: 1,
  },
  {
    name: 'rate limit of the store',
    method: 'POST',
    direct: 429,
    others: [200],
    result: 200,
    asked: 1,
  },
  {
    name: 'store unavailable to all processes',
    method: 'POST',
    direct: 503,
    others: [503, 503],
    result: 503,
    asked: 2,
  },
  {
    name: 'direct request not sent',
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
  // Guards against a write that is executed twice, the first time with a delay.
  {
    name: 'a write without an answer',
    method: 'POST',
    direct: 'timeout',
    others: [200],
    result: 'timeout',
    asked: 0,
  },
  {
    name: 'a write without an answer at another process',
    method: 'POST',
    direct: 503,
    others: ['lost', 200],
    result: 'lost',
    asked: 1,
  },
  {
    name: 'a write that another process did not send',
    method: 'POST',
    direct: 503,
    others: ['notSent', 200],
    result: 200,
    asked: 2,
  },
  {
    name: 'a read without an answer at another process',
    method: 'GET',
    direct: 503,
    others: ['lost', 200],
    result: 200,
    asked: 2,
  },
  {
    name: 'call aborted by its caller',
    method: 'GET',
    direct: 'aborted',
    others: [200],
    result: 'aborted',
    asked: 0,
  },
  {
    name: 'no other process known',
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
      return respond(state.direct);
    },
    urls: () => others.map((_, index) => String(index)),
    ask: (url) => {
      state.asked += 1;
      return respond(others[Number(url)] ?? 'notSent');
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
    'relays immediately after a direct failure, and returns to direct calls after a successful read',
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

  test.it('stops relaying for a while after all other processes have failed', async () => {
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

/** A process with two others, whose exchanges take 100 ms of fake time or end with a timeout. */
const createSlowSubject = (others: Behaviour) => {
  const time = clock.createFakeClock(1000);
  const state = {
    direct: 'timeout' as Behaviour,
    others,
    directCalls: 0,
    asked: 0,
    isLinkBusy: false,
    relayTimeoutsMs: [] as number[],
  };
  const take = async (behaviour: Behaviour, request: http.HttpRequest): Promise<http.HttpReply> => {
    await clock.sleep(time, behaviour === 'timeout' ? request.timeoutMs : 100);
    return respond(behaviour);
  };
  const relay = storeRelay.createStoreRelay({
    clock: time,
    log: logging.silentLog,
    direct: async (request) => {
      state.directCalls += 1;
      if (state.isLinkBusy) time.after(request.timeoutMs - 50, () => request.onArrival?.(200));
      return take(state.direct, request);
    },
    urls: () => ['a', 'b'],
    ask: (_, request) => {
      state.asked += 1;
      state.relayTimeoutsMs.push(request.timeoutMs);
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
  /** Whether other answers are arriving over the link while a call waits. */
  readonly isLinkBusy: boolean;
  /** Relay requests of a burst of calls, and of a second burst after it. */
  readonly asked: readonly [first: number, later: number];
  /** Direct calls of the second burst. */
  readonly directLater: number;
}

const BURSTS: readonly Burst[] = [
  {
    name: 'no process reaches the store: one call probes for all',
    method: 'GET',
    direct: 'timeout',
    others: 'notSent',
    isLinkBusy: false,
    asked: [2, 0],
    directLater: 1,
  },
  {
    name: 'the store is unavailable to all processes: one call probes for all',
    method: 'POST',
    direct: 503,
    others: 503,
    isLinkBusy: false,
    asked: [2, 0],
    directLater: 1,
  },
  {
    name: 'other processes are served: all calls are relayed',
    method: 'POST',
    direct: 503,
    others: 200,
    isLinkBusy: false,
    asked: [20, 20],
    directLater: 0,
  },
  // Guards against relaying timed-out calls over a link that is already saturated.
  {
    name: 'the link is saturated: no call is relayed',
    method: 'GET',
    direct: 'timeout',
    others: 200,
    isLinkBusy: true,
    asked: [0, 0],
    directLater: 20,
  },
];

const CALLS = 20;

test.describe('concurrent calls', () => {
  for (const { name, method, direct, others, isLinkBusy, asked, directLater } of BURSTS) {
    test.it(name, async () => {
      const { time, state, call } = createSlowSubject(others);
      Object.assign(state, { direct, isLinkBusy });
      const burst = async (): Promise<void> => {
        const calls = Array.from({ length: CALLS }, () => call(requestOf(method)));
        await Promise.all([Promise.allSettled(calls), time.advance(1200)]);
      };
      await burst();
      assert.equal(state.asked, asked[0]);
      const directBefore = state.directCalls;
      await burst();
      assert.equal(state.asked - asked[0], asked[1]);
      assert.equal(state.directCalls - directBefore, directLater);
    });
  }

  const TIMES: readonly [name: string, others: Behaviour, maxMs: number][] = [
    ['no process answers', 'timeout', 900],
    ['no other process reaches the store', 'notSent', 650],
    ['another process is served', 200, 550],
  ];
  for (const [name, others, maxMs] of TIMES) {
    // Guards against a caller that waits for one unresponsive process after the other.
    test.it(`ends within its total time over all attempts: ${name}`, async () => {
      const { time, state, call } = createSlowSubject(others);
      let endedAtMs = Number.POSITIVE_INFINITY;
      const end = (): void => {
        endedAtMs = time.monotonicMs();
      };
      const ended = call({ ...requestOf('GET'), totalMs: 900 }).then(end, end);
      await time.advance(3000);
      await ended;
      assert.ok(endedAtMs - 1000 <= maxMs);
      assert.ok(state.relayTimeoutsMs.every((it) => it <= 450));
    });
  }

  // Guards against entries that wait for their own timeout on behalf of other processes.
  test.it('refuses relayed calls immediately while it can not reach the store itself', async () => {
    const { time, state, call, serve } = createSlowSubject('notSent');
    await Promise.all([Promise.allSettled([call(requestOf('GET'))]), time.advance(900)]);
    const directBefore = state.directCalls;
    await assert.rejects(serve(requestOf('POST')), { failure: 'notSent' });
    assert.equal(state.directCalls, directBefore);
  });

  test.it('serves relayed calls again once its direct calls succeed', async () => {
    const { time, state, call, serve } = createSlowSubject('notSent');
    await Promise.all([Promise.allSettled([call(requestOf('GET'))]), time.advance(2000)]);
    state.direct = 200;
    await Promise.all([call(requestOf('GET')), time.advance(200)]);
    const [reply] = await Promise.all([serve(requestOf('POST')), time.advance(200)]);
    assert.equal(reply.status, 200);
  });
});
