/**
 * Tests of time limits on connections, and of which connection gives way.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clientLimits from '../../../state/common/clientLimits.js';
import * as connectionState from '../connectionState.js';

const { Phase, LimitName } = connectionState;

const LIMITS = clientLimits.deriveClientLimits(
  { heapBytes: 1e8 },
  { headTimeoutMs: 100, bodyTimeoutMs: 200, idleTimeoutMs: 400 },
);

interface Named extends connectionState.ConnectionState {
  readonly name: string;
}

const connection = (
  name: string,
  phase: connectionState.Phase,
  sinceMs: number,
  unread?: { readonly sinceMs: number; readonly untilMs: number },
): Named => ({
  name,
  phase,
  sinceMs,
  bodyTimeoutMs: LIMITS.bodyTimeoutMs,
  unreadSinceMs: unread?.sinceMs ?? 0,
  unreadUntilMs: unread?.untilMs,
  heldBytes: 0,
});

const TIME_CASES: readonly [string, Named, connectionState.LimitName | undefined][] = [
  ['a head in its time', connection('', Phase.head, 901), undefined],
  ['a head that takes too long', connection('', Phase.head, 900), LimitName.headTime],
  ['a body in its time', connection('', Phase.body, 801), undefined],
  ['a body that takes too long', connection('', Phase.body, 800), LimitName.bodyTime],
  ['an idle connection', connection('', Phase.idle, 601), undefined],
  ['a connection that is idle for long', connection('', Phase.idle, 600), LimitName.idleTime],
  ['work, however long it takes', connection('', Phase.handling, 0), undefined],
  [
    'an answer that is not read',
    connection('', Phase.handling, 0, { sinceMs: 0, untilMs: 1000 }),
    LimitName.answerTime,
  ],
];

test.describe('passedLimit', () => {
  for (const [name, state, expected] of TIME_CASES) {
    test.it(`of ${name} is ${String(expected)}`, () => {
      assert.equal(connectionState.passedLimit(state, LIMITS, 1000), expected);
    });
  }
});

const GIVE_WAY_CASES: readonly [string, readonly Named[], string | undefined][] = [
  ['nothing if all are worked on', [connection('a', Phase.handling, 0)], undefined],
  [
    'the body that began first',
    [connection('a', Phase.body, 300), connection('b', Phase.body, 200)],
    'b',
  ],
  [
    'a head that stalls before an idle connection',
    [connection('a', Phase.idle, 0), connection('b', Phase.head, 3000)],
    'b',
  ],
  [
    'an idle connection before a body that began just now',
    [connection('a', Phase.body, 4500), connection('b', Phase.idle, 4000)],
    'b',
  ],
  [
    'an answer that is not read before an idle connection',
    [
      connection('a', Phase.idle, 0),
      connection('b', Phase.handling, 4900, { sinceMs: 2000, untilMs: 9000 }),
    ],
    'b',
  ],
  [
    'what is closing before all else',
    [connection('a', Phase.head, 0), connection('b', Phase.closing, 4900)],
    'b',
  ],
];

test.describe('what gives way is', () => {
  for (const [name, states, expected] of GIVE_WAY_CASES) {
    test.it(name, () => {
      assert.equal(connectionState.chooseToGiveWay(states, 5000)?.name, expected);
    });
  }
});
