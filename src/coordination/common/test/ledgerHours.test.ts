/**
 * Tests of recording, checking and clock handling of the ledger, without I/O.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as job from '../../../state/common/job.js';
import * as ledgerEntry from '../../../state/common/ledgerEntry.js';
import * as store from '../../../state/common/store.js';
import * as ledgerHours from '../ledgerHours.js';
import * as ledgerCheck from '../ledgerCheck.js';
import * as ledgerAllocations from '../ledgerAllocations.js';
import * as ledgerTime from '../ledgerTime.js';

import * as ledgerFixtures from './ledgerFixtures.js';

const { jobOf, workerOf } = ledgerFixtures;
const { HOUR_MS } = ledgerEntry;

interface CountCase {
  readonly name: string;
  readonly workers: readonly ledgerAllocations.LedgerWorker[];
  readonly jobs: readonly job.JobRecord[];
  readonly configuredAccelerators?: number;
  readonly expected: Readonly<Record<string, number>>;
  readonly capacity: number;
  readonly conflicts?: number;
}

const COUNT_CASES: readonly CountCase[] = [
  {
    name: 'a guaranteed job and idle accelerators',
    workers: [workerOf('w1', 4)],
    jobs: [jobOf('a', [['w1', [0, 1]]])],
    expected: { guarantee: 2, idle: 2 },
    capacity: 4,
  },
  {
    name: 'a job on an unreachable worker still holds its accelerators',
    workers: [workerOf('w1', 4, 'unreachable')],
    jobs: [jobOf('a', [['w1', [0, 1]]], { claim: 'spare', ruleId: 'night' })],
    expected: { spare: 2, unreachable: 2 },
    capacity: 4,
  },
  {
    name: 'a lost worker still counts while its capacity is configured',
    workers: [workerOf('w1', 4), workerOf('w2', 4, 'unreachable')],
    jobs: [],
    configuredAccelerators: 8,
    expected: { idle: 4, unreachable: 4 },
    capacity: 8,
  },
  {
    name: 'a lost worker no longer counts when another replaced it',
    workers: [workerOf('w1', 4), workerOf('w2', 4, 'unreachable'), workerOf('w3', 4)],
    jobs: [],
    configuredAccelerators: 8,
    expected: { idle: 8 },
    capacity: 8,
  },
  {
    name: 'a worker that never registered counts as unreachable',
    workers: [workerOf('w1', 4, 'quarantined')],
    jobs: [],
    configuredAccelerators: 8,
    expected: { quarantined: 4, unreachable: 4 },
    capacity: 8,
  },
  {
    name: 'more workers than configured all count',
    workers: [workerOf('w1', 4), workerOf('w2', 4, 'leaving')],
    jobs: [],
    configuredAccelerators: 4,
    expected: { idle: 8 },
    capacity: 8,
  },
  {
    name: 'the second job on one accelerator is a conflict and not counted',
    workers: [workerOf('w1', 4)],
    jobs: [jobOf('a', [['w1', [0, 1]]]), jobOf('b', [['w1', [1, 2]]])],
    expected: { guarantee: 3, idle: 1 },
    capacity: 4,
    conflicts: 1,
  },
  {
    name: 'a job on an unknown worker is still counted',
    workers: [],
    jobs: [jobOf('a', [['gone', [0]]])],
    expected: { guarantee: 1 },
    capacity: 1,
  },
  {
    name: 'the reason of a stopping job follows from its cause',
    workers: [workerOf('w1', 4)],
    jobs: [
      jobOf('a', [['w1', [0]]], { state: 'stopping', stopCause: 'reclaimed' }),
      jobOf('b', [['w1', [1]]], { state: 'stopping', stopCause: 'memberLost' }),
      jobOf('c', [['w1', [2]]], { state: 'stopping', stopCause: 'cancelled' }),
    ],
    expected: { reclaimGrace: 1, lostToFailure: 1, guarantee: 1, idle: 1 },
    capacity: 4,
  },
];

for (const it of COUNT_CASES) {
  test.test(`allocations: ${it.name}`, () => {
    const { workers, jobs, configuredAccelerators } = it;
    const configured = configuredAccelerators === undefined ? {} : { configuredAccelerators };
    const count = ledgerAllocations.countAllocations({
      workers,
      jobs,
      configVersion: 3,
      ...configured,
    });
    const byReason: Record<string, number> = {};
    for (const { heading, accelerators } of count.byHeading.values()) {
      byReason[heading.reason] = (byReason[heading.reason] ?? 0) + accelerators;
      assert.equal(heading.configVersion, 3);
    }
    assert.deepEqual(byReason, it.expected);
    assert.equal(count.capacity, it.capacity);
    assert.equal(count.conflicts, it.conflicts ?? 0);
  });
}

test.test('a span over the hour is split there and both hours balance', () => {
  const fromMs = 10 * HOUR_MS - 1000;
  const book = ledgerHours.recordSpan(new Map(), {
    ...ledgerFixtures.OWNER,
    fromMs,
    toMs: fromMs + 3000,
    workers: [workerOf('w1', 4)],
    jobs: [jobOf('a', [['w1', [0]]])],
    configVersion: 1,
  });
  const hours = [...book.values()].map(ledgerHours.toRecord);
  assert.deepEqual(
    hours.map((it) => [it.hour, it.capacityAcceleratorMs]),
    [
      [9, 4000],
      [10, 8000],
    ],
  );
  assert.deepEqual(ledgerCheck.checkHours(hours), []);
});

test.test('recording a span again changes nothing', () => {
  const span = {
    ...ledgerFixtures.OWNER,
    fromMs: 1000,
    toMs: HOUR_MS + 5000,
    workers: [workerOf('w1', 4)],
    jobs: [],
    configVersion: 1,
  };
  const once = ledgerHours.recordSpan(new Map(), span);
  assert.deepEqual(ledgerHours.recordSpan(once, span), once);
});

test.test('a time without a leader is attributed to the stored jobs from their start', () => {
  const book = ledgerHours.recordUnobserved(new Map(), {
    ...ledgerFixtures.OWNER,
    fromMs: 0,
    toMs: 1000,
    workers: [workerOf('w1', 2)],
    jobs: [jobOf('a', [['w1', [0]]], { startedAtMs: 400 })],
    configVersion: 1,
  });
  const [hour] = [...book.values()].map(ledgerHours.toRecord);
  const times = hour?.entries.map((it) => [it.reason, it.acceleratorMs]);
  assert.deepEqual(times, [
    ['unreachable', 1400],
    ['guarantee', 600],
  ]);
});

test.test('an hour with a burst of jobs stays below the store limit and still balances', () => {
  // A customer submits and cancels thousands of short jobs within an hour. Each has its own
  // heading; unbounded, the record would exceed the store's megabyte and no write would succeed.
  let book: ledgerHours.OpenHours = new Map();
  for (let index = 0; index < 2 * ledgerHours.MAX_ENTRIES; index += 1) {
    const id = `${'j'.repeat(122)}${String(index).padStart(6, '0')}`;
    const spec = { customerId: 'c'.repeat(63), ruleId: 'r'.repeat(63), claim: 'spare' } as const;
    book = ledgerHours.recordSpan(book, {
      ...ledgerFixtures.OWNER,
      fromMs: index * 10,
      toMs: (index + 1) * 10,
      workers: [workerOf('w1', 1)],
      jobs: [jobOf(id, [['w1', [0]]], spec)],
      configVersion: 1,
    });
  }
  const [hour] = [...book.values()].map(ledgerHours.toRecord);
  assert.ok(hour);
  assert.deepEqual(ledgerCheck.checkHour(hour), []);
  assert.ok(JSON.stringify(hour).length < store.MAX_VALUE_BYTES);
  assert.ok(hour.entries.some((it) => it.jobId === ledgerEntry.FOLDED_JOB));
});

const GOOD_HOUR: ledgerEntry.LedgerHour = {
  cell: 'zone-a',
  hour: 5,
  epoch: 1,
  bookedFromMs: 5 * HOUR_MS,
  bookedUntilMs: 5 * HOUR_MS + 10,
  capacities: [{ accelerators: 2, durationMs: 10 }],
  capacityAcceleratorMs: 20,
  conflictingAcceleratorMs: 0,
  entries: [{ ...ledgerFixtures.IDLE, acceleratorMs: 20 }],
};

const NEXT_HOUR: ledgerEntry.LedgerHour = {
  ...GOOD_HOUR,
  hour: 6,
  bookedFromMs: 6 * HOUR_MS,
  bookedUntilMs: 6 * HOUR_MS + 10,
};

const CHECK_CASES: readonly {
  readonly kind: ledgerCheck.LedgerFaultKind;
  readonly hours: readonly ledgerEntry.LedgerHour[];
}[] = [
  {
    kind: 'imbalance',
    hours: [{ ...GOOD_HOUR, entries: [{ ...ledgerFixtures.IDLE, acceleratorMs: 19 }] }],
  },
  {
    kind: 'capacityMismatch',
    hours: [{ ...GOOD_HOUR, capacities: [{ accelerators: 3, durationMs: 10 }] }],
  },
  { kind: 'doubleHeld', hours: [{ ...GOOD_HOUR, conflictingAcceleratorMs: 4 }] },
  { kind: 'outside', hours: [{ ...GOOD_HOUR, bookedUntilMs: 5 * HOUR_MS + 11 }] },
  { kind: 'hole', hours: [GOOD_HOUR, NEXT_HOUR] },
];

for (const { kind, hours } of CHECK_CASES) {
  test.test(`check: finds ${kind}`, () => {
    assert.deepEqual(ledgerCheck.checkHours([GOOD_HOUR]), []);
    assert.deepEqual(
      ledgerCheck.checkHours(hours).map((it) => it.kind),
      [kind],
    );
  });
}

const MAX = ledgerTime.MAX_JUMP_MS;

/** Starting at 1000 recorded and 0 monotonic: wall, monotonic, then the expected result. */
const TIME_CASES: readonly (readonly [string, number, number, number, number, string])[] = [
  ['a normal step', 1500, 500, 1000, 1500, 'none'],
  ['slewing is followed', 1600, 500, 1000, 1600, 'none'],
  ['a small step back waits', 900, 500, 1000, 1000, 'none'],
  ['a large step back waits and is reported', -9000, 500, 1000, 1000, 'back'],
  ['a step forward is recorded as unknown', 101_500, 500, 101_000, 101_500, 'forward'],
  ['an excessive step is ignored', 2000 + MAX + 500, 500, 1000, 1500, 'refused'],
];

for (const [name, wallMs, monotonicMs, unwitnessedUntilMs, untilMs, anomaly] of TIME_CASES) {
  test.test(`time: ${name}`, () => {
    const step = ledgerTime.step({ bookedUntilMs: 1000, monotonicMs: 0 }, wallMs, monotonicMs);
    assert.deepEqual(step, {
      next: { bookedUntilMs: untilMs, monotonicMs },
      unwitnessedUntilMs,
      anomaly,
    });
  });
}
