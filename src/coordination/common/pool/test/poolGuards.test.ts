/**
 * The small pure guards: leases in the worker's time, ends without a gap, and blame.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as endLedger from '../endLedger.js';
import * as leaseClock from '../leaseClock.js';
import * as workerBlame from '../workerBlame.js';

const SAMPLE: leaseClock.ClockSample = { incarnationMs: 1, clockMs: 1000, atMs: 50 };

test.describe('leaseClock', () => {
  const CASES: readonly [name: string, nowMs: number, leaseMs: number, untilMs: number][] = [
    ['at once', 50, 6000, 7000],
    ['from a reading that is a second old', 1050, 6000, 8000],
    ['in whole milliseconds', 50.7, 6000, 7000],
  ];
  for (const [name, nowMs, leaseMs, untilMs] of CASES) {
    test.it(name, () => assert.equal(leaseClock.leaseUntil(SAMPLE, nowMs, leaseMs), untilMs));
  }

  test.it('a lease has run out even on a worker whose clock is 2% slow', () => {
    const byMs = leaseClock.lapsedBy(SAMPLE, 11_000);
    const slowestClockMs = SAMPLE.clockMs + (byMs - SAMPLE.atMs) * 0.98;
    assert.ok(slowestClockMs >= 11_000);
  });
});

test.describe('endLedger', () => {
  // The second end is stored before the first. Acknowledged, it would take the first with it, and
  // nobody would know of that after the leader has died.
  const CASES: readonly [name: string, noted: readonly number[], upTo: number][] = [
    ['in their order', [1, 2, 3], 3],
    ['a gap holds back what comes after', [2, 3], 0],
    ['a gap that closes', [2, 1], 2],
  ];
  for (const [name, noted, upTo] of CASES) {
    test.it(name, () => {
      const ledger = endLedger.createEndLedger();
      [1, 2, 3].forEach(ledger.add);
      assert.equal(noted.map(ledger.note).at(-1), upTo);
    });
  }
});

test.describe('workerBlame', () => {
  const CASES: readonly [
    name: string,
    ends: readonly (readonly [jobId: string, isDone: boolean])[],
    isSuspect: boolean,
  ][] = [
    ['one failure is nobody’s fault yet', [['a', false]], false],
    [
      'two failures of one job are the job’s',
      [
        ['a', false],
        ['a', false],
      ],
      false,
    ],
    [
      'two failures of different jobs are the worker’s',
      [
        ['a', false],
        ['b', false],
      ],
      true,
    ],
    [
      'a success between them clears it',
      [
        ['a', false],
        ['c', true],
        ['b', false],
      ],
      false,
    ],
  ];
  for (const [name, ends, isSuspect] of CASES) {
    test.it(name, () => {
      const blame = workerBlame.createWorkerBlame();
      for (const [jobId, isDone] of ends) {
        if (isDone) workerBlame.noteSuccess(blame);
        else workerBlame.noteFailure(blame, jobId, 0);
      }
      assert.equal(workerBlame.isSuspect(blame, 1), isSuspect);
    });
  }

  test.it('a fault that lasts keeps the worker out longer each time, up to a bound', () => {
    const blame = workerBlame.createWorkerBlame();
    const outMs: number[] = [];
    let nowMs = 0;
    for (let round = 0; round < 6; round += 1) {
      workerBlame.noteFailure(blame, `a${round}`, nowMs);
      workerBlame.noteFailure(blame, `b${round}`, nowMs);
      outMs.push(blame.suspectUntilMs - nowMs);
      nowMs = blame.suspectUntilMs + 1;
    }
    assert.deepEqual(
      [...outMs].sort((a, b) => a - b),
      outMs,
    );
    assert.equal(outMs.at(-1), 16_000);
  });
});
