/**
 * Tests of admission control for one upstream under simulated loads, without sockets.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as admission from '../admission.js';

const SHARES: Readonly<Record<string, admission.CustomerShare>> = {
  heavy: { weight: 4, guaranteedSlots: 0 },
  light: { weight: 1, guaranteedSlots: 0 },
  holder: { weight: 1, guaranteedSlots: 2 },
};

const limitsOf = (maxQueued: number, order: admission.QueueOrder): admission.AdmissionLimits => ({
  maxQueued,
  order,
  shareOf: (customerId) => SHARES[customerId] ?? admission.DEFAULT_SHARE,
});

const FIFO = limitsOf(8, 'fifo');
const LATE_DEADLINE_MS = 1_000_000;

const ticket = (requestId: string, deadlineAtMs = LATE_DEADLINE_MS): admission.Ticket => ({
  requestId,
  customerId: requestId.split('-')[0] ?? '',
  deadlineAtMs,
});

const offerAll = (
  state: admission.AdmissionState,
  ids: readonly string[],
  limits = FIFO,
): admission.AdmissionState =>
  ids.reduce((now, id) => admission.offer(now, limits, ticket(id), 0).next, state);

const names = (customer: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `${customer}-${index}`);

/** Repeatedly ends the oldest running request and returns the requests in order of their start. */
const drain = (from: admission.AdmissionState, limits = FIFO): readonly string[] => {
  const order: string[] = [];
  for (let state = from; state.running.length > 0;) {
    const step = admission.release(state, limits, state.running[0]?.requestId ?? '', 0, 50);
    order.push(...step.started.map((it) => it.requestId));
    state = step.next;
  }
  return order;
};

const ORDER_CASES = [
  { order: 'fifo', expected: ['x-1', 'x-2', 'x-3'] },
  { order: 'lifo', expected: ['x-3', 'x-2', 'x-1'] },
  { order: 'deadline', expected: ['x-2', 'x-3', 'x-1'] },
] as const;

for (const { order, expected } of ORDER_CASES) {
  test.test(`requests of one customer are served in the order ${order}`, () => {
    const limits = limitsOf(8, order);
    const deadlines = [LATE_DEADLINE_MS, 9000, 5000, 7000];
    const state = deadlines.reduce(
      (now, at, index) => admission.offer(now, limits, ticket(`x-${index}`, at), 0).next,
      admission.idle(1),
    );
    assert.deepEqual(drain(state, limits), expected);
  });
}

test.test('skewed demand: customers get slots by weight, and none is starved', () => {
  const state = offerAll(admission.idle(1), [
    'other-0',
    ...names('heavy', 5).slice(1),
    ...names('light', 5).slice(1),
  ]);
  const firstFive = drain(state).slice(0, 5);
  assert.equal(firstFive.filter((it) => it.startsWith('light')).length, 1);
});

test.test('a customer below its guaranteed slots goes before all others', () => {
  // A customer with two guaranteed slots sends requests while others fill the upstream and its
  // queue. It must not wait behind them, since it pays for slots that it can use at any time.
  const state = offerAll(admission.idle(2), [...names('heavy', 6), 'holder-0', 'holder-1']);
  assert.deepEqual(drain(state).slice(0, 2), ['holder-0', 'holder-1']);
});

test.test('a full queue displaces a request only for a customer below its share', () => {
  const full = offerAll(admission.idle(1), names('light', 9));
  const heavy = admission.offer(full, FIFO, ticket('heavy-0'), 0);
  assert.equal(heavy.decision.type, 'queue');
  assert.equal(
    heavy.decision.type === 'queue' && heavy.decision.displaced?.requestId,
    'light-8',
    'the newest request of the customer above its share is displaced',
  );
  const light = admission.offer(full, FIFO, ticket('light-9'), 0);
  assert.equal(light.decision.type === 'refuse' && light.decision.kind, 'overloaded');
});

const REFUSALS = [
  { name: 'a deadline that waiting alone exceeds', deadlineAtMs: 200, kind: 'deadlineUnmeetable' },
  { name: 'a deadline that can be met', deadlineAtMs: 300, kind: undefined },
] as const;

for (const { name, deadlineAtMs, kind } of REFUSALS) {
  test.test(`early refusal with a retry time: ${name}`, () => {
    const state = offerAll(admission.idle(1), names('light', 4));
    const { decision } = admission.offer(state, FIFO, ticket('light-9', deadlineAtMs), 0);
    assert.equal(decision.type === 'refuse' ? decision.kind : undefined, kind);
    if (decision.type === 'refuse') assert.ok(decision.retryAfterMs > 0);
  });
}

test.test('a request that can no longer be in time is abandoned before it takes a slot', () => {
  const waiting = [ticket('x-1', 200), ticket('x-2', 500)];
  const state = waiting.reduce(
    (now, it) => admission.offer(now, FIFO, it, 0).next,
    offerAll(admission.idle(1), ['x-0']),
  );
  const step = admission.release(state, FIFO, 'x-0', 160, 50);
  assert.deepEqual([step.expired[0]?.requestId, step.started[0]?.requestId], ['x-1', 'x-2']);
});

test.test('full saturation: slots bound the running requests, the limit the queued ones', () => {
  const state = offerAll(admission.idle(4), names('light', 100));
  assert.equal(state.running.length, 4);
  assert.equal(state.queue.length, 8);
});
