/**
 * Tests of the age of a copy that answers of the store confirm.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../../base/common/clock.js';
import * as snapshotAge from '../snapshotAge.js';

const entry = { key: 'k', value: '', revision: 2 };

const CASES = [
  {
    name: 'an empty answer to a watch confirms the copy up to the end of its wait',
    seen: { entries: [], deletedKeys: [] },
    answeredAfterMs: 1000,
    ageMs: 0,
  },
  {
    name: 'a delayed answer does not confirm more than the wait',
    seen: { entries: [], deletedKeys: [] },
    answeredAfterMs: 1400,
    ageMs: 400,
  },
  {
    name: 'an answer with changes may have been sent before later changes',
    seen: { entries: [entry], deletedKeys: [] },
    answeredAfterMs: 600,
    ageMs: 600,
  },
  {
    name: 'a removal counts as a change',
    seen: { entries: [], deletedKeys: ['k'] },
    answeredAfterMs: 600,
    ageMs: 600,
  },
];

test.describe('age of a copy of records', () => {
  for (const { name, seen, answeredAfterMs, ageMs } of CASES) {
    test.it(name, async () => {
      const time = clock.createFakeClock(1000);
      const age = snapshotAge.createSnapshotAge(time);
      assert.equal(age.ageMs(), Infinity);
      const sentAt = age.now();
      await time.advance(answeredAfterMs);
      age.confirmByWatch(sentAt, 1000, { ...seen, revision: 2, isGap: false });
      assert.equal(age.ageMs(), ageMs);
    });
  }

  test.it('an answer to an earlier call does not reduce what was confirmed', async () => {
    const time = clock.createFakeClock(1000);
    const age = snapshotAge.createSnapshotAge(time);
    const before = age.now();
    await time.advance(500);
    age.confirm(age.now());
    age.confirm(before);
    assert.equal(age.ageMs(), 0);
  });
});
