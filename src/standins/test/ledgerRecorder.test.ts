/**
 * The ledger of a cell, on the in-memory store, under leader changes, outages, lost answers and clock jumps.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as clock from '../../base/common/clock.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as memoryStore from '../memoryStore.js';
import type * as job from '../../state/common/job.js';
import * as ledgerEntry from '../../state/common/ledgerEntry.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as ledgerCheck from '../../coordination/common/ledgerCheck.js';
import * as ledgerAllocations from '../../coordination/common/ledgerAllocations.js';
import * as ledgerFixtures from '../../coordination/common/test/ledgerFixtures.js';
import * as ledgerRecorder from '../../coordination/node/ledgerRecorder.js';
import * as ledgerRollup from '../../coordination/node/ledgerRollup.js';

const { HOUR_MS } = ledgerEntry;
const START_MS = 500_000 * HOUR_MS;
const ACCELERATORS = 4;

interface Harness {
  readonly clock: clock.FakeClock;
  readonly store: memoryStore.MemoryStore;
  readonly metrics: metrics.Metrics;
  jobs: job.JobRecord[];
  workers: ledgerAllocations.LedgerWorker[];
  /** Offset of the wall clock from the true time. */
  wallOffsetMs: number;
  readonly deposed: number[];
  readonly lead: () => ledgerRecorder.LedgerRecorder;
  readonly hours: () => Promise<ledgerEntry.LedgerHour[]>;
}

const createHarness = (): Harness => {
  const time = clock.createFakeClock(START_MS);
  const store = memoryStore.createMemoryStore(time);
  let epoch = 0;
  const harness: Harness = {
    clock: time,
    store,
    metrics: metrics.createMetrics(),
    jobs: [],
    workers: [ledgerFixtures.workerOf('w1', ACCELERATORS)],
    wallOffsetMs: 0,
    deposed: [],
    lead: () => {
      epoch += 1;
      const own = epoch;
      return ledgerRecorder.createLedgerRecorder({
        cell: 'zone-a',
        epoch: own,
        store,
        clock: { ...time, wallMs: () => time.wallMs() + harness.wallOffsetMs },
        log: logging.silentLog,
        metrics: harness.metrics,
        allocations: () => ({ workers: harness.workers, jobs: harness.jobs, configVersion: 1 }),
        onLeadershipLost: () => harness.deposed.push(own),
      });
    },
    hours: async () => {
      const { entries } = await store.list(storeKeys.ledgerPrefix('zone-a'));
      return entries.map((it) => JSON.parse(it.value) as ledgerEntry.LedgerHour);
    },
  };
  return harness;
};

const bookedMs = (hours: readonly ledgerEntry.LedgerHour[]): number =>
  hours.reduce((sum, it) => sum + it.bookedUntilMs - it.bookedFromMs, 0);

const timeOf = (hours: readonly ledgerEntry.LedgerHour[], reason: string): number =>
  hours
    .flatMap((it) => it.entries)
    .filter((it) => it.reason === reason)
    .reduce((sum, it) => sum + it.acceleratorMs, 0);

const assertBookedUntil = async (harness: Harness, untilMs: number): Promise<void> => {
  const hours = await harness.hours();
  assert.deepEqual(ledgerCheck.checkHours(hours), []);
  assert.equal(hours.at(-1)?.bookedUntilMs, untilMs);
  assert.equal(bookedMs(hours), untilMs - START_MS);
};

test.test('the time between two leaders is booked once, across an hour boundary', async () => {
  // A leader ends at 10:58 and the next one takes over at 11:03. Guards against 300 s missing from the ledger
  // of the cell, where the new leader reads only the record of its own hour and starts booking at 11:03.
  const harness = createHarness();
  const first = harness.lead();
  await first.load();
  harness.jobs = [ledgerFixtures.jobOf('a', [['w1', [0, 1]]], { startedAtMs: START_MS })];
  await harness.clock.advance(HOUR_MS - 120_000);
  await first.flush();
  await first.dispose();
  await harness.clock.advance(300_000);
  await harness.lead().load();
  await assertBookedUntil(harness, START_MS + HOUR_MS + 180_000);
  const hours = await harness.hours();
  assert.equal(timeOf(hours, 'guarantee'), 2 * (HOUR_MS + 180_000));
  assert.equal(timeOf(hours, 'unreachable'), 2 * 300_000);
});

test.test('writing continues after a lost answer', async () => {
  // The write of an hour takes effect and its answer is lost. Guards against a recorder that continues with
  // the previous revision, so that each later write is refused and the hour is never updated.
  const harness = createHarness();
  const recorder = harness.lead();
  await recorder.load();
  harness.store.faults.loseWriteAnswers = 1;
  await harness.clock.advance(1000);
  await recorder.flush();
  await harness.clock.advance(1000);
  await recorder.flush();
  await assertBookedUntil(harness, START_MS + 2000);
});

test.test('writing continues after a lost answer followed by an outage', async () => {
  // The answer is lost because the store goes down. Reading back fails as well, so the recorder finds its
  // own record later, when it has booked more time than the record contains.
  const harness = createHarness();
  const recorder = harness.lead();
  await recorder.load();
  await harness.clock.advance(1000);
  harness.store.faults.loseWriteAnswers = 1;
  const { get } = harness.store;
  let isDown = true;
  Object.assign(harness.store, {
    get: (key: string) => (isDown ? Promise.reject(new Error('down')) : get(key)),
  });
  await assert.rejects(recorder.flush());
  isDown = false;
  await harness.clock.advance(1000);
  await recorder.flush();
  await assertBookedUntil(harness, START_MS + 2000);
});

test.test('a deposed leader writes nothing, even in a new hour', async () => {
  // A leader is paused, another takes over, and the first resumes and books the same time again, so that
  // customers would pay twice. Its first write finds the higher epoch and ends its recording.
  const harness = createHarness();
  const old = harness.lead();
  await old.load();
  await harness.clock.advance(HOUR_MS - 1000);
  await old.flush();
  const next = harness.lead();
  await next.load();
  await harness.clock.advance(2000);
  await assert.rejects(old.flush(), /later keeper/);
  await assert.rejects(old.flush(), /later keeper/);
  await next.flush();
  assert.deepEqual(harness.deposed, [1]);
  await assertBookedUntil(harness, START_MS + HOUR_MS + 1000);
  const hours = await harness.hours();
  assert.deepEqual([...new Set(hours.map((it) => it.epoch))], [2]);
});

test.test('hours of a long store outage are written when the store is back', async () => {
  // The store is down for three hours. The recorder remembers only the revision of the current hour
  // and must not lose the two complete hours in between.
  const harness = createHarness();
  const recorder = harness.lead();
  await recorder.load();
  harness.store.faults.isDown = true;
  await harness.clock.advance(3 * HOUR_MS);
  harness.store.faults.isDown = false;
  await recorder.flush();
  await assertBookedUntil(harness, START_MS + 3 * HOUR_MS);
});

test.test('a clock jump books no time twice and leaves no gap', async () => {
  // The clock jumps forward by ten minutes and later back: the ten minutes are booked once, as unreachable
  // time, and booking pauses until the clock has caught up.
  const harness = createHarness();
  const recorder = harness.lead();
  await recorder.load();
  await harness.clock.advance(60_000);
  harness.wallOffsetMs = 600_000;
  await recorder.flush();
  harness.wallOffsetMs = 0;
  await harness.clock.advance(60_000);
  await recorder.flush();
  await assertBookedUntil(harness, START_MS + 660_000);
  await harness.clock.advance(600_000);
  await recorder.flush();
  await assertBookedUntil(harness, START_MS + 720_000);
  assert.equal(timeOf(await harness.hours(), 'unreachable'), ACCELERATORS * 600_000);
});

for (const [bytes, delayMs] of [
  [0, 5000],
  [10_000, 5000],
  [50_000, 25_000],
  [800_000, 120_000],
] as const) {
  test.test(`a record of ${bytes} bytes is written every ${delayMs} ms`, () => {
    assert.equal(ledgerRecorder.writeDelayMs(bytes), delayMs);
  });
}

test.test('two jobs on one accelerator are counted as a ledger fault', async () => {
  const harness = createHarness();
  const recorder = harness.lead();
  await recorder.load();
  harness.jobs = ['a', 'b'].map((id) => ledgerFixtures.jobOf(id, [['w1', [0]]]));
  await harness.clock.advance(1000);
  await recorder.flush();
  const labels = { cell: 'zone-a', kind: 'doubleHeld' };
  assert.equal(harness.metrics.read('auburnlift_ledger_faults_total', labels), 1);
});

test.test('old hours are rolled up into days once, even when a rollup is interrupted', async () => {
  // The process that rolls up a day ends after writing the day, before deleting its hours. The next
  // rollup must neither add the hours a second time nor leave them stored forever.
  const harness = createHarness();
  const recorder = harness.lead();
  await recorder.load();
  await recorder.dispose();
  for (let hour = 0; hour < 30; hour += 1) {
    await harness.clock.advance(HOUR_MS);
    await recorder.flush();
  }
  const before = await harness.hours();
  const nowMs = START_MS + 240 * HOUR_MS;
  const options = { store: harness.store, cell: 'zone-a', epoch: 1, nowMs };
  const { compareAndSwap } = harness.store;
  Object.assign(harness.store, {
    compareAndSwap: (swap: Parameters<typeof compareAndSwap>[0]) =>
      swap.value === null ? Promise.reject(new Error('died')) : compareAndSwap(swap),
  });
  await assert.rejects(ledgerRollup.rollUp(options));
  Object.assign(harness.store, { compareAndSwap });
  await ledgerRollup.rollUp(options);
  const { entries } = await harness.store.list(storeKeys.ledgerDaysPrefix('zone-a'));
  const days = entries.map((it) => JSON.parse(it.value) as ledgerEntry.LedgerDay);
  const left = await harness.hours();
  const sum = (list: readonly ledgerEntry.LedgerEntry[]): number =>
    list.reduce((total, it) => total + it.acceleratorMs, 0);
  const rolled = sum(days.flatMap((it) => it.entries));
  assert.ok(days.length > 0);
  assert.equal(rolled + sum(left.flatMap((it) => it.entries)), ACCELERATORS * bookedMs(before));
  assert.equal(days.flatMap((it) => it.hours).length + left.length, before.length);
});

/** One event in a cell. */
type CellEvent =
  | { readonly type: 'start'; readonly accelerators: number }
  | { readonly type: 'stop'; readonly cause: job.StopCause }
  | { readonly type: 'end' }
  | { readonly type: 'health'; readonly health: 'ready' | 'unreachable' | 'quarantined' }
  | { readonly type: 'worker'; readonly count: number }
  | { readonly type: 'changeLeader' }
  | { readonly type: 'outage'; readonly isDown: boolean }
  | { readonly type: 'loseAnswers'; readonly count: number }
  | { readonly type: 'clock'; readonly offMs: number }
  | { readonly type: 'wait'; readonly durationMs: number };

const cellEvent: fc.Arbitrary<CellEvent> = fc.oneof(
  fc.record({ type: fc.constant('start' as const), accelerators: fc.integer({ min: 1, max: 4 }) }),
  fc.record({
    type: fc.constant('stop' as const),
    cause: fc.constantFrom('cancelled', 'reclaimed', 'memberLost', 'memberFailed', 'compacted'),
  }),
  fc.record({ type: fc.constant('end' as const) }),
  fc.record({
    type: fc.constant('health' as const),
    health: fc.constantFrom('ready', 'unreachable', 'quarantined'),
  }),
  fc.record({ type: fc.constant('worker' as const), count: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ type: fc.constant('changeLeader' as const) }),
  fc.record({ type: fc.constant('outage' as const), isDown: fc.boolean() }),
  fc.record({ type: fc.constant('loseAnswers' as const), count: fc.integer({ min: 1, max: 3 }) }),
  fc.record({
    type: fc.constant('clock' as const),
    offMs: fc.integer({ min: -900_000, max: 900_000 }),
  }),
  fc.record({
    type: fc.constant('wait' as const),
    durationMs: fc.integer({ min: 1, max: 2_000_000 }),
  }),
);

const startJob = (harness: Harness, accelerators: number, index: number): void => {
  const used = new Set(
    harness.jobs.flatMap((it) =>
      it.placement.flatMap((place) => place.accelerators.map((at) => `${place.workerId}/${at}`)),
    ),
  );
  const free = harness.workers.flatMap(({ workerId }) =>
    Array.from({ length: ACCELERATORS }, (_unused, at) => ({ workerId, at })).filter(
      (it) => !used.has(`${it.workerId}/${it.at}`),
    ),
  );
  if (free.length < accelerators) return;
  const places = free.slice(0, accelerators).map((it) => [it.workerId, [it.at]] as const);
  const startedAtMs = harness.clock.wallMs() + harness.wallOffsetMs;
  harness.jobs.push(ledgerFixtures.jobOf(`job-${index}`, places, { startedAtMs }));
};

const applyEvent = async (
  harness: Harness,
  recorders: ledgerRecorder.LedgerRecorder[],
  it: CellEvent,
  index: number,
): Promise<void> => {
  recorders.at(-1)?.settle();
  const [last, ...others] = [...harness.jobs].reverse();
  if (it.type === 'start') startJob(harness, it.accelerators, index);
  if (it.type === 'end') harness.jobs = others.reverse();
  if (it.type === 'stop' && last !== undefined) {
    harness.jobs = [...others.reverse(), { ...last, state: 'stopping', stopCause: it.cause }];
  }
  if (it.type === 'health') {
    harness.workers = harness.workers.map((worker) => ({ ...worker, health: it.health }));
  }
  if (it.type === 'worker') {
    harness.workers = Array.from({ length: it.count }, (_unused, at) =>
      ledgerFixtures.workerOf(`w${at}`, ACCELERATORS),
    );
  }
  if (it.type === 'outage') harness.store.faults.isDown = it.isDown;
  if (it.type === 'loseAnswers') harness.store.faults.loseWriteAnswers = it.count;
  if (it.type === 'clock') harness.wallOffsetMs = it.offMs;
  if (it.type === 'wait') await harness.clock.advance(it.durationMs);
  if (it.type === 'changeLeader') {
    const next = harness.lead();
    // A leader that can not read or fence abandons the cell; the old one stays until it is fenced.
    await next.load().then(
      () => recorders.push(next),
      () => next.dispose(),
    );
  }
};

test.test('the ledger balances over random histories', async () => {
  const history = fc.array(cellEvent, { minLength: 1, maxLength: 40 });
  const property = fc.asyncProperty(history, async (events) => {
    const harness = createHarness();
    const recorders = [harness.lead()];
    await recorders[0]?.load();
    for (const [index, it] of events.entries()) await applyEvent(harness, recorders, it, index);
    harness.store.faults.isDown = false;
    harness.store.faults.loseWriteAnswers = 0;
    // Deposed recorders flush first and must not change the ledger.
    const current = recorders.at(-1);
    for (const it of recorders) if (it !== current) await it.flush().catch(() => undefined);
    await current?.flush();
    const hours = await harness.hours();
    assert.deepEqual(ledgerCheck.checkHours(hours), []);
    const untilMs = hours.at(-1)?.bookedUntilMs ?? 0;
    assert.equal(bookedMs(hours), untilMs - START_MS);
    assert.ok(untilMs >= harness.clock.wallMs() + harness.wallOffsetMs);
    for (const it of recorders) await it.dispose();
  });
  await fc.assert(property, { numRuns: 150, seed: 6 });
});
