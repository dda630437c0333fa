/**
 * Calls that an entry without a way to the store hands on to another.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as logging from '../../base/common/logging.js';
import * as handOn from '../../coordination/node/pool/handOn.js';

const CALL: handOn.ClientCall = {
  requestId: 'r',
  method: 'POST',
  host: 'h.example',
  path: '/q/5c0e7a21d94b36f8',
  apiKey: 'key',
  deadlineMs: 3000,
  body: Buffer.from('{}'),
};

type Behaviour = number | 'silent' | 'closed';

interface Case {
  readonly name: string;
  /** What each entry does with the call, in the order in which they are known. */
  readonly entries: readonly Behaviour[];
  readonly status: number | undefined;
  readonly isOpen: boolean;
  readonly asked: number;
}

const CASES: readonly Case[] = [
  { name: 'the first serves it', entries: [200, 200], status: 200, isOpen: false, asked: 1 },
  { name: 'a refusal goes to the next', entries: [503, 200], status: 200, isOpen: false, asked: 2 },
  {
    name: 'a closed port was told nothing',
    entries: ['closed'],
    status: undefined,
    isOpen: false,
    asked: 1,
  },
  {
    name: 'a silent one may have stored it',
    entries: ['silent', 503],
    status: undefined,
    isOpen: true,
    asked: 2,
  },
  { name: 'an unknown job is an answer', entries: [410], status: 410, isOpen: false, asked: 1 },
  {
    name: 'no more than two are asked',
    entries: [503, 503, 200],
    status: undefined,
    isOpen: false,
    asked: 2,
  },
];

const createSubject = (entries: readonly Behaviour[]) => {
  const time = clock.createFakeClock(1000);
  const asked: string[] = [];
  const subject = handOn.createHandOn({
    clock: time,
    log: logging.silentLog,
    urls: () => entries.map((_, index) => String(index)),
    ask: (url) => {
      asked.push(url);
      const behaviour = entries[Number(url)];
      if (behaviour === 'closed') throw errors.fail('noUpstream', 'nothing was sent');
      if (behaviour === 'silent') throw errors.fail('peerUnreachable', 'no answer');
      return Promise.resolve({ status: behaviour ?? 0, body: '{}' });
    },
  });
  return { time, asked, subject };
};

test.describe('handOn', () => {
  for (const { name, entries, status, isOpen, asked } of CASES) {
    test.it(name, async () => {
      const it = createSubject(entries);
      const outcome = await it.subject.send(CALL);
      assert.equal(outcome.answer?.status, status);
      assert.equal(outcome.isOpen, isOpen);
      assert.equal(it.asked.length, asked);
    });
  }

  test.it('asks the entry first that served the last call', async () => {
    const it = createSubject([503, 200]);
    await it.subject.send(CALL);
    await it.subject.send(CALL);
    assert.deepEqual(it.asked, ['0', '1', '1']);
  });

  // Guards against callers that are held for the time of two silent lines, one after the other.
  test.it('is not possible for a while after all have failed', async () => {
    const it = createSubject(['silent']);
    assert.equal(it.subject.isPossible(), true);
    await it.subject.send(CALL);
    assert.equal(it.subject.isPossible(), false);
    await it.time.advance(2000);
    assert.equal(it.subject.isPossible(), true);
  });

  test.it('is not possible where no other entry is known', () => {
    assert.equal(createSubject([]).subject.isPossible(), false);
  });
});
