/**
 * Small pure guards: leases in the worker's time, ends stored without a gap, and failure attribution.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as endTracker from '../endTracker.js';
import * as leaseClock from '../leaseClock.js';
import * as workerSuspicion from '../workerSuspicion.js';

const SAMPLE: leaseClock.ClockSample = { incarnationMs: 1, clockMs: 1000, atMs: 50 };

test.describe('leases in the worker’s time', () => {
  const CASES: readonly [name: string, nowMs: number, leaseMs: number, untilMs: number][] = [
    ['from a reading just taken', 50, 6000, 7000],
    ['from a reading that is a second old', 1050, 6000, 8000],
    ['in whole milliseconds', 50.7, 6000, 7000],
  ];
  for (const [name, nowMs, leaseMs, untilMs] of CASES) {
    test.it(name, () => assert.equal(leaseClock.leaseUntil(SAMPLE, nowMs, leaseMs), untilMs));
  }

  test.it('a lease has expired even on a worker whose clock is 2% slow', () => {
    const byMs = leaseClock.expiredByMs(SAMPLE, 11_000);
    const slowestClockMs = SAMPLE.clockMs + (byMs - SAMPLE.atMs) * 0.98;
    assert.ok(slowestClockMs >= 11_000);
  });
});

test.describe('ends that may be acknowledged', () => {
  // The second end is stored before the first. Acknowledging it would acknowledge the first as well, which
  // would be lost if the leader died.
  const CASES: readonly [name: string, stored: readonly number[], upTo: number][] = [
    ['ends stored in order', [1, 2, 3], 3],
    ['a gap holds back the ends after it', [2, 3], 0],
    ['a gap that is closed', [2, 1], 2],
  ];
  for (const [name, stored, upTo] of CASES) {
    test.it(name, () => {
      const ledger = endTracker.createEndTracker();
      [1, 2, 3].forEach(ledger.add);
      assert.equal(stored.map(ledger.note).at(-1), upTo);
    });
  }
});

test.describe('suspicion against a worker', () => {
  const CASES: readonly [
    name: string,
    ends: readonly (readonly [jobId: string, isDone: boolean])[],
    isSuspect: boolean,
  ][] = [
    ['one failure is not attributed yet', [['a', false]], false],
    [
      'two failures of one job are attributed to the job',
      [
        ['a', false],
        ['a', false],
      ],
      false,
    ],
    [
      'two failures of different jobs are attributed to the worker',
      [
        ['a', false],
        ['b', false],
      ],
      true,
    ],
    [
      'a success between them clears the worker',
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
      const suspicion = workerSuspicion.createWorkerSuspicion();
      for (const [jobId, isDone] of ends) {
        if (isDone) workerSuspicion.recordSuccess(suspicion, 0);
        else workerSuspicion.recordFailure(suspicion, jobId, 0);
      }
      assert.equal(workerSuspicion.isSuspect(suspicion, 1), isSuspect);
    });
  }

  test.it('a lasting fault makes the worker suspect for longer each time, up to a bound', () => {
    const suspicion = workerSuspicion.createWorkerSuspicion();
    const periodsMs: number[] = [];
    let nowMs = 0;
    for (let round = 0; round < 6; round += 1) {
      workerSuspicion.recordFailure(suspicion, `a${round}`, nowMs);
      workerSuspicion.recordFailure(suspicion, `b${round}`, nowMs);
      periodsMs.push(suspicion.suspectUntilMs - nowMs);
      nowMs = suspicion.suspectUntilMs + 1;
    }
    assert.deepEqual(
      [...periodsMs].sort((a, b) => a - b),
      periodsMs,
    );
    assert.equal(periodsMs.at(-1), 16_000);
  });
});
