/**
 * When an exchange gives its answer up.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../base/common/clock.js';
import * as answerTimeout from '../answerTimeout.js';

interface Case {
  readonly name: string;
  readonly limits: { readonly timeoutMs: number; readonly maxTransferMs?: number };
  /** When pieces come. */
  readonly arrivalsMs: readonly number[];
  /** When it is given up, where nobody ends it. */
  readonly expiresAtMs: number;
}

const CASES: readonly Case[] = [
  { name: 'nothing comes', limits: { timeoutMs: 450 }, arrivalsMs: [], expiresAtMs: 450 },
  {
    name: 'nothing comes of what may be long',
    limits: { timeoutMs: 450, maxTransferMs: 5000 },
    arrivalsMs: [],
    expiresAtMs: 450,
  },
  {
    name: 'pieces come of what has to be short',
    limits: { timeoutMs: 450 },
    arrivalsMs: [100, 300],
    expiresAtMs: 450,
  },
  {
    name: 'pieces come for longer than the wait, then none',
    limits: { timeoutMs: 450, maxTransferMs: 5000 },
    arrivalsMs: [300, 700, 1100, 1500],
    expiresAtMs: 1950,
  },
  {
    name: 'pieces never end',
    limits: { timeoutMs: 450, maxTransferMs: 1000 },
    arrivalsMs: [200, 500, 800, 1100],
    expiresAtMs: 1200,
  },
];

// Guards against an answer that is given up while it comes, and against one that never ends.
test.describe('the wait for an answer', () => {
  for (const { name, limits, arrivalsMs, expiresAtMs } of CASES) {
    test.it(`ends at ${expiresAtMs} ms where ${name}`, async () => {
      const time = clock.createFakeClock();
      let expiredAtMs: number | undefined;
      const wait = answerTimeout.startAnswerTimeout(time, limits, () => {
        expiredAtMs = time.monotonicMs();
      });
      for (const atMs of arrivalsMs) {
        await time.advance(atMs - time.monotonicMs());
        wait.noteArrival();
      }
      await time.advance(10_000);
      assert.equal(expiredAtMs, expiresAtMs);
    });
  }

  test.it('does not end once it is disposed', async () => {
    const time = clock.createFakeClock();
    let isExpired = false;
    const limits = { timeoutMs: 450, maxTransferMs: 5000 };
    const wait = answerTimeout.startAnswerTimeout(time, limits, () => {
      isExpired = true;
    });
    wait.noteArrival();
    await wait.dispose();
    await time.advance(10_000);
    assert.equal(isExpired, false);
  });
});
