/**
 * Tests when the timeout of a response expires.
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
  /** Times at which chunks arrive. */
  readonly arrivalsMs: readonly number[];
  /** Expected expiry if the timeout is not disposed. */
  readonly expiresAtMs: number;
}

const TIMEOUT_MS = 450;
const TRANSFER: http.TransferLimits = { maxMs: 5000, maxPauseMs: 600, minBytesPerS: 100_000 };

const CASES: readonly Case[] = [
  { name: 'nothing arrives', arrivalsMs: [], expiresAtMs: 450 },
  {
    name: 'nothing arrives of a response that may be long',
    transfer: TRANSFER,
    arrivalsMs: [],
    expiresAtMs: 450,
  },
  {
    name: 'nothing arrives after a long request with transfer limits',
    transfer: TRANSFER,
    sentBytes: 50_000,
    arrivalsMs: [],
    expiresAtMs: 950,
  },
  {
    name: 'nothing arrives after a long request without transfer limits',
    sentBytes: 50_000,
    arrivalsMs: [],
    expiresAtMs: 450,
  },
  {
    name: 'chunks arrive without transfer limits',
    arrivalsMs: [100, 300],
    expiresAtMs: 450,
  },
  {
    name: 'chunks arrive for longer than the timeout, then stop',
    transfer: TRANSFER,
    arrivalsMs: [300, 700, 1100, 1500],
    expiresAtMs: 2100,
  },
  {
    name: 'chunks never stop arriving',
    transfer: { ...TRANSFER, maxMs: 1000 },
    arrivalsMs: [200, 500, 800, 1100],
    expiresAtMs: 1200,
  },
];

// Guards against abandoning a response that is still arriving, and against waiting forever for one that never ends.
test.describe('response timeout', () => {
  for (const { name, transfer, sentBytes = 0, arrivalsMs, expiresAtMs } of CASES) {
    test.it(`expires at ${expiresAtMs} ms if ${name}`, async () => {
      const time = clock.createFakeClock();
      let expiredAtMs: number | undefined;
      const body = new Uint8Array(sentBytes);
      const request = {
        timeoutMs: TIMEOUT_MS,
        body,
        ...(transfer === undefined ? {} : { transfer }),
      };
      const timeout = answerTimeout.startAnswerTimeout(time, request, () => {
        expiredAtMs = time.monotonicMs();
      });
      for (const atMs of arrivalsMs) {
        await time.advance(atMs - time.monotonicMs());
        timeout.recordArrival();
      }
      await time.advance(10_000);
      assert.equal(expiredAtMs, expiresAtMs);
    });
  }

  test.it('does not expire after it is disposed', async () => {
    const time = clock.createFakeClock();
    let isExpired = false;
    const request = { timeoutMs: TIMEOUT_MS, transfer: TRANSFER, body: new Uint8Array(0) };
    const timeout = answerTimeout.startAnswerTimeout(time, request, () => {
      isExpired = true;
    });
    timeout.recordArrival();
    await timeout.dispose();
    await time.advance(10_000);
    assert.equal(isExpired, false);
  });
});
