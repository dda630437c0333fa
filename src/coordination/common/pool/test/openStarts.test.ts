/**
 * What an agent tells a leader of the start orders that got no answer, and what the leader makes of it.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as delayedOrders from '../delayedOrders.js';
import * as fences from '../fences.js';
import * as openStarts from '../openStarts.js';

const FIRST_LEADER = fences.firstFence(1);
const NEXT_LEADER = fences.firstFence(2);

interface Case {
  readonly name: string;
  /** Whether a copy got no answer; undefined while copies are being sent. */
  readonly hasOpenCopy: boolean | undefined;
  /** Time from the result to the report. */
  readonly afterMs: number;
  readonly reportedTo: number;
  readonly ages: readonly number[];
}

const CASES: readonly Case[] = [
  {
    name: 'an unanswered order is reported to the next leader with its age',
    hasOpenCopy: true,
    afterMs: 4000,
    reportedTo: NEXT_LEADER,
    ages: [4000],
  },
  {
    name: 'an order that is still being sent has no age',
    hasOpenCopy: undefined,
    afterMs: 4000,
    reportedTo: NEXT_LEADER,
    ages: [0],
  },
  {
    name: 'an answered order is not reported',
    hasOpenCopy: false,
    afterMs: 0,
    reportedTo: NEXT_LEADER,
    ages: [],
  },
  {
    name: 'the leader that sent it learns of it by its result, also after raising its fence',
    hasOpenCopy: true,
    afterMs: 0,
    reportedTo: FIRST_LEADER + 80,
    ages: [],
  },
  {
    name: 'an order that can no longer arrive is not reported',
    hasOpenCopy: true,
    afterMs: delayedOrders.MAX_ORDER_DELAY_MS + 1,
    reportedTo: NEXT_LEADER,
    ages: [],
  },
];

test.describe('unanswered start orders of an agent', () => {
  for (const { name, hasOpenCopy, afterMs, reportedTo, ages } of CASES) {
    test.it(name, () => {
      let nowMs = 1000;
      const starts = openStarts.createOpenStarts(() => nowMs);
      const settle = starts.track({ task: 'a.0.0.0', workerId: 'w', fence: FIRST_LEADER });
      if (hasOpenCopy !== undefined) settle(hasOpenCopy);
      nowMs += afterMs;
      const reported = starts.ofEarlierLeaders(reportedTo);
      assert.deepEqual(
        reported.map(({ ageMs }) => ageMs),
        ages,
      );
    });
  }
});

const TARGET = { agentId: 'agent', workerId: 'w' };

const READINGS = { monotonicMs: 50_000, wallMs: 1_000_000 };

test.describe('a reported order', () => {
  test.it('counts from its age', () => {
    const orders = delayedOrders.addOpenOrder([], TARGET, READINGS, 5000);
    assert.equal(delayedOrders.remainingMs(orders, READINGS), 7000);
  });

  for (const [name, ageMs, isKnown] of [
    ['the same report a little later is known', 4900, true],
    ['a later copy is not', 1000, false],
  ] as const) {
    test.it(name, () => {
      const orders = delayedOrders.addOpenOrder([], TARGET, READINGS, 5000);
      assert.equal(delayedOrders.isKnownOrder(orders, TARGET, READINGS, ageMs), isKnown);
    });
  }
});
