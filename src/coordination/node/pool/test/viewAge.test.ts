/**
 * What an answer of the store proves of the age of a copy.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../../base/common/clock.js';
import * as viewAge from '../viewAge.js';

const entry = { key: 'k', value: '', revision: 2 };

const CASES = [
  {
    name: 'a watch that saw nothing proves the copy up to the end of its wait',
    seen: { entries: [], deletedKeys: [] },
    answeredAfterMs: 1000,
    ageMs: 0,
  },
  {
    name: 'an answer that comes late does not prove more than the wait',
    seen: { entries: [], deletedKeys: [] },
    answeredAfterMs: 1400,
    ageMs: 400,
  },
  {
    name: 'a watch with events may have been answered before others came',
    seen: { entries: [entry], deletedKeys: [] },
    answeredAfterMs: 600,
    ageMs: 600,
  },
  {
    name: 'a removal is an event too',
    seen: { entries: [], deletedKeys: ['k'] },
    answeredAfterMs: 600,
    ageMs: 600,
  },
];

test.describe('age of a copy of records', () => {
  for (const { name, seen, answeredAfterMs, ageMs } of CASES) {
    test.it(name, async () => {
      const time = clock.createFakeClock(1000);
      const age = viewAge.createViewAge(time);
      assert.equal(age.ageMs(), Infinity);
      const sentAt = age.now();
      await time.advance(answeredAfterMs);
      age.proveByWatch(sentAt, 1000, { ...seen, revision: 2, isGap: false });
      assert.equal(age.ageMs(), ageMs);
    });
  }

  test.it('an answer to an earlier call takes nothing back', async () => {
    const time = clock.createFakeClock(1000);
    const age = viewAge.createViewAge(time);
    const before = age.now();
    await time.advance(500);
    age.prove(age.now());
    age.prove(before);
    assert.equal(age.ageMs(), 0);
  });
});
