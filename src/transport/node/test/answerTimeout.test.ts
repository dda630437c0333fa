/**
 * When an exchange gives its answer up.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../base/common/clock.js';
import type * as http from '../../../base/common/http.js';
import * as answerTimeout from '../answerTimeout.js';

interface Case {
  readonly name: string;
  readonly transfer?: http.TransferLimits;
  readonly sentBytes?: number;
  /** When pieces come. */
  readonly arrivalsMs: readonly number[];
  /** When it is given up, where nobody ends it. */
  readonly expiresAtMs: number;
}

const TIMEOUT_MS = 450;
const TRANSFER: http.TransferLimits = { maxMs: 5000, maxPauseMs: 600, minBytesPerS: 100_000 };

const CASES: readonly Case[] = [
  { name: 'nothing comes', arrivalsMs: [], expiresAtMs: 450 },
  {
    name: 'nothing comes of what may be long',
    transfer: TRANSFER,
    arrivalsMs: [],
    expiresAtMs: 450,
  },
  {
    name: 'nothing comes after a long request',
    transfer: TRANSFER,
    sentBytes: 50_000,
    arrivalsMs: [],
    expiresAtMs: 950,
  },
  {
    name: 'nothing comes after a long request that has to be short',
    sentBytes: 50_000,
    arrivalsMs: [],
    expiresAtMs: 450,
  },
  {
    name: 'pieces come of what has to be short',
    arrivalsMs: [100, 300],
    expiresAtMs: 450,
  },
  {
    name: 'pieces come for longer than the wait, then none',
    transfer: TRANSFER,
    arrivalsMs: [300, 700, 1100, 1500],
    expiresAtMs: 2100,
  },
  {
    name: 'pieces never end',
    transfer: { ...TRANSFER, maxMs: 1000 },
    arrivalsMs: [200, 500, 800, 1100],
    expiresAtMs: 1200,
  },
];

// Guards against an answer that is given up while it comes, and against one that never ends.
test.describe('the wait for an answer', () => {
  for (const { name, transfer, sentBytes = 0, arrivalsMs, expiresAtMs } of CASES) {
    test.it(`ends at ${expiresAtMs} ms where ${name}`, async () => {
      const time = clock.createFakeClock();
      let expiredAtMs: number | undefined;
      const body = new Uint8Array(sentBytes);
      const request = {
        timeoutMs: TIMEOUT_MS,
        body,
        ...(transfer === undefined ? {} : { transfer }),
      };
      const wait = answerTimeout.startAnswerTimeout(time, request, () => {
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
    const request = { timeoutMs: TIMEOUT_MS, transfer: TRANSFER, body: new Uint8Array(0) };
    const wait = answerTimeout.startAnswerTimeout(time, request, () => {
      isExpired = true;
    });
    wait.noteArrival();
    await wait.dispose();
    await time.advance(10_000);
    assert.equal(isExpired, false);
  });
});
