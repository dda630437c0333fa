/**
 * Following a prefix, and its end.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../../base/common/clock.js';
import type * as store from '../../../../state/common/store.js';
import * as prefixWatch from '../prefixWatch.js';
import * as viewAge from '../viewAge.js';

const seenAt = (revision: number, isGap = false): store.WatchResult => ({
  entries: [],
  deletedKeys: ['k'],
  revision,
  isGap,
});

/** Follows what a store answers; gives the revisions that it was asked from. */
const follow = async (
  answers: readonly store.WatchResult[],
  onDidSee: (seen: store.WatchResult, aborter: AbortController) => void,
): Promise<number[]> => {
  const asked: number[] = [];
  const aborter = new AbortController();
  await prefixWatch.followPrefix(
    {
      store: {
        watch: (_prefix, afterRevision) => {
          asked.push(afterRevision);
          const answer = answers[asked.length - 1];
          return answer === undefined
            ? Promise.reject(new Error('asked too often'))
            : Promise.resolve(answer);
        },
      },
      prefix: 'k',
      waitMs: 800,
      signal: aborter.signal,
      age: viewAge.createViewAge(clock.createFakeClock()),
      onDidSee: (seen) => onDidSee(seen, aborter),
    },
    1,
  );
  return asked;
};

test.describe('following a prefix', () => {
  test.it('goes on from what was seen, up to a gap', async () => {
    const asked = await follow([seenAt(4), seenAt(9), seenAt(9, true)], () => undefined);
    assert.deepEqual(asked, [1, 4, 9]);
  });

  // After an outage in which the leadership lapsed, the leader's process ended. Its watch told that nobody leads, and
  // that ended the term, and with it the following, before the answer was dealt with: one more watch was
  // sent, already withdrawn, and failed where nobody listened.
  test.it('sends nothing once what it saw has ended it', async () => {
    const asked = await follow([seenAt(4)], (_seen, aborter) => aborter.abort());
    assert.deepEqual(asked, [1]);
  });
});
