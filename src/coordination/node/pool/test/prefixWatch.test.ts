/**
 * Tests of following a prefix and of stopping.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../../base/common/clock.js';
import type * as store from '../../../../state/common/store.js';
import * as prefixWatch from '../prefixWatch.js';
import * as snapshotAge from '../snapshotAge.js';

const seenAt = (revision: number, isGap = false): store.WatchResult => ({
  entries: [],
  deletedKeys: ['k'],
  revision,
  isGap,
});

/** Follows a store that gives these answers; returns the revisions after which it was watched. */
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
            ? Promise.reject(new Error('more watches than expected'))
            : Promise.resolve(answer);
        },
      },
      prefix: 'k',
      waitMs: 800,
      signal: aborter.signal,
      age: snapshotAge.createSnapshotAge(clock.createFakeClock()),
      onDidSee: (seen) => onDidSee(seen, aborter),
    },
    1,
  );
  return asked;
};

test.describe('following a prefix', () => {
  test.it('continues from the last revision seen, until a gap', async () => {
    const asked = await follow([seenAt(4), seenAt(9), seenAt(9, true)], () => undefined);
    assert.deepEqual(asked, [1, 4, 9]);
  });

  // Guards against a crash of the leader's process after its leadership expired in an outage: the watch's answer
  // shows the expiry, and handling it ends the term and aborts the signal. One more watch was then sent, already
  // aborted, and its rejection was not handled.
  test.it('sends no further watch once the callback has aborted the signal', async () => {
    const asked = await follow([seenAt(4)], (_seen, aborter) => aborter.abort());
    assert.deepEqual(asked, [1]);
  });
});
