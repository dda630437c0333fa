/**
 * The ledger of a cell, on the stand-in of the store, over changes of leader, outages, lost answers and clocks that jump.
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

interface Bench {
  readonly clock: clock.FakeClock;
  readonly store: memoryStore.MemoryStore;
  readonly metrics: metrics.Metrics;
  jobs: job.JobRecord[];
  workers: ledgerAllocations.LedgerWorker[];
  /** Error of the wall clock. */
  wallOffMs: number;
  readonly deposed: number[];
  readonly lead: () => ledgerRecorder.LedgerRecorder;
  readonly hours: () => Promise<ledgerEntry.LedgerHour[]>;
}

const createBench = (): Bench => {
  const time = clock.createFakeClock(START_MS);
  const store = memoryStore.createMemoryStore(time);
  let epoch = 0;
  const bench: Bench = {
    clock: time,
    store,
    metrics: metrics.createMetrics(),
    jobs: [],
    workers: [ledgerFixtures.workerOf('w1', ACCELERATORS)],
    wallOffMs: 0,
    deposed: [],
    lead: () => {
      epoch += 1;
      const own = epoch;
      return ledgerRecorder.createLedgerRecorder({
        cell: 'zone-a',
        epoch: own,
        store,
        clock: { ...time, wallMs: () => time.wallMs() + bench.wallOffMs },
        log: logging.silentLog,
        metrics: bench.metrics,
        allocations: () => ({ workers: bench.workers, jobs: bench.jobs, configVersion: 1 }),
        onLeadershipLost: () => bench.deposed.push(own),
      });
    },
    hours: async () => {
      const { entries } = await store.list(storeKeys.ledgerPrefix('zone-a'));
      return entries.map((it) => JSON.parse(it.value) as ledgerEntry.LedgerHour);
    },
  };
  return bench;
};

const bookedMs = (hours: readonly ledgerEntry.LedgerHour[]): number =>
  hours.reduce((sum, it) => sum + it.bookedUntilMs - it.bookedFromMs, 0);

const timeOf = (hours: readonly ledgerEntry.LedgerHour[], reason: string): number =>
  hours
    .flatMap((it) => it.entries)
    .filter((it) => it.reason === reason)
    .reduce((sum, it) => sum + it.acceleratorMs, 0);

const assertWhole = async (bench: Bench, untilMs: number): Promise<void> => {
  const hours = await bench.hours();
  assert.deepEqual(ledgerCheck.checkHours(hours), []);
  assert.equal(hours.at(-1)?.bookedUntilMs, untilMs);
  assert.equal(bookedMs(hours), untilMs - START_MS);
};

test.test('the time between two leaders is booked once, across the hour', async () => {
  // A leader dies at 10:58 and the next one takes over at 11:03. The creditors see 300 s of that
  // cell missing, as the new leader read only the record of its own hour and began at 11:03.
  const bench = createBench();
  const first = bench.lead();
  await first.load();
  bench.jobs = [ledgerFixtures.jobOf('a', [['w1', [0, 1]]], { startedAtMs: START_MS })];
  await bench.clock.advance(HOUR_MS - 120_000);
  await first.flush();
  await first.dispose();
  await bench.clock.advance(300_000);
  await bench.lead().load();
  await assertWhole(bench, START_MS + HOUR_MS + 180_000);
  const hours = await bench.hours();
  assert.equal(timeOf(hours, 'guarantee'), 2 * (HOUR_MS + 180_000));
  assert.equal(timeOf(hours, 'unreachable'), 2 * 300_000);
});

test.test('a lost answer does not end the writing', async () => {
  // The write of an hour takes effect and its answer is lost. The keeper went on with the revision
  // that it knew before, and each later write was refused: the hour stayed as it was.
  const bench = createBench();
  const keeper = bench.lead();
  await keeper.load();
  bench.store.faults.loseWriteAnswers = 1;
  await bench.clock.advance(1000);
  await keeper.flush();
  await bench.clock.advance(1000);
  await keeper.flush();
  await assertWhole(bench, START_MS + 2000);
});

test.test('a lost answer followed by an outage does not end the writing either', async () => {
  // The answer is lost because the store goes away: reading back fails as well, so that the keeper
  // meets its own record later, with more time in its books than the record has.
  const bench = createBench();
  const keeper = bench.lead();
  await keeper.load();
  await bench.clock.advance(1000);
  bench.store.faults.loseWriteAnswers = 1;
  const { get } = bench.store;
  let isDown = true;
  Object.assign(bench.store, {
    get: (key: string) => (isDown ? Promise.reject(new Error('down')) : get(key)),
  });
  await assert.rejects(keeper.flush());
  isDown = false;
  await bench.clock.advance(1000);
  await keeper.flush();
  await assertWhole(bench, START_MS + 2000);
});

test.test('a deposed leader writes nothing more, also in a new hour', async () => {
  // A leader is paused, another takes the cell, and the first wakes up and books the same time
  // again: its customers would pay twice. Its first write meets the higher epoch and ends it.
  const bench = createBench();
  const old = bench.lead();
  await old.load();
  await bench.clock.advance(HOUR_MS - 1000);
  await old.flush();
  const next = bench.lead();
  await next.load();
  await bench.clock.advance(2000);
  await assert.rejects(old.flush(), /later keeper/);
  await assert.rejects(old.flush(), /later keeper/);
  await next.flush();
  assert.deepEqual(bench.deposed, [1]);
  await assertWhole(bench, START_MS + HOUR_MS + 1000);
  const hours = await bench.hours();
  assert.deepEqual([...new Set(hours.map((it) => it.epoch))], [2]);
});

test.test('hours of a long store outage are written when the store is back', async () => {
  // The store is down for three hours. The keeper kept only the current hour's revision in mind
  // and must not lose the two whole hours in between.
  const bench = createBench();
  const keeper = bench.lead();
  await keeper.load();
  bench.store.faults.isDown = true;
  await bench.clock.advance(3 * HOUR_MS);
  bench.store.faults.isDown = false;
  await keeper.flush();
  await assertWhole(bench, START_MS + 3 * HOUR_MS);
});

test.test('a wall clock that jumps books no time twice and leaves no hole', async () => {
  // The clock steps forward by ten minutes and later back: the ten minutes are booked once, as
  // time of which nobody can say, and booking waits until the clock has caught up.
  const bench = createBench();
  const keeper = bench.lead();
  await keeper.load();
  await bench.clock.advance(60_000);
  bench.wallOffMs = 600_000;
  await keeper.flush();
  bench.wallOffMs = 0;
  await bench.clock.advance(60_000);
  await keeper.flush();
  await assertWhole(bench, START_MS + 660_000);
  await bench.clock.advance(600_000);
  await keeper.flush();
  await assertWhole(bench, START_MS + 720_000);
  assert.equal(timeOf(await bench.hours(), 'unreachable'), ACCELERATORS * 600_000);
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

test.test('two jobs on one accelerator are reported loudly', async () => {
  const bench = createBench();
  const keeper = bench.lead();
  await keeper.load();
  bench.jobs = ['a', 'b'].map((id) => ledgerFixtures.jobOf(id, [['w1', [0]]]));
  await bench.clock.advance(1000);
  await keeper.flush();
  const labels = { cell: 'zone-a', kind: 'doubleHeld' };
  assert.equal(bench.metrics.read('auburnlift_ledger_faults_total', labels), 1);
});

test.test('old hours become days once, also when rolling up is cut off halfway', async () => {
  // The process that rolls a day up dies after writing the day, before deleting its hours. The
  // next one must neither add the hours a second time nor leave them for ever.
  const bench = createBench();
  const keeper = bench.lead();
  await keeper.load();
  await keeper.dispose();
  for (let hour = 0; hour < 30; hour += 1) {
    await bench.clock.advance(HOUR_MS);
    await keeper.flush();
  }
  const before = await bench.hours();
  const nowMs = START_MS + 240 * HOUR_MS;
  const options = { store: bench.store, cell: 'zone-a', epoch: 1, nowMs };
  const { compareAndSwap } = bench.store;
  Object.assign(bench.store, {
    compareAndSwap: (swap: Parameters<typeof compareAndSwap>[0]) =>
      swap.value === null ? Promise.reject(new Error('died')) : compareAndSwap(swap),
  });
  await assert.rejects(ledgerRollup.rollUp(options));
  Object.assign(bench.store, { compareAndSwap });
  await ledgerRollup.rollUp(options);
  const { entries } = await bench.store.list(storeKeys.ledgerDaysPrefix('zone-a'));
  const days = entries.map((it) => JSON.parse(it.value) as ledgerEntry.LedgerDay);
  const left = await bench.hours();
  const sum = (list: readonly ledgerEntry.LedgerEntry[]): number =>
    list.reduce((total, it) => total + it.acceleratorMs, 0);
  const rolled = sum(days.flatMap((it) => it.entries));
  assert.ok(days.length > 0);
  assert.equal(rolled + sum(left.flatMap((it) => it.entries)), ACCELERATORS * bookedMs(before));
  assert.equal(days.flatMap((it) => it.hours).length + left.length, before.length);
});

/** One thing that happens to a cell. */
type Happening =
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

const happening: fc.Arbitrary<Happening> = fc.oneof(
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

const startJob = (bench: Bench, accelerators: number, index: number): void => {
  const used = new Set(
    bench.jobs.flatMap((it) =>
      it.placement.flatMap((place) => place.accelerators.map((at) => `${place.workerId}/${at}`)),
    ),
  );
  const free = bench.workers.flatMap(({ workerId }) =>
    Array.from({ length: ACCELERATORS }, (_unused, at) => ({ workerId, at })).filter(
      (it) => !used.has(`${it.workerId}/${it.at}`),
    ),
  );
  if (free.length < accelerators) return;
  const places = free.slice(0, accelerators).map((it) => [it.workerId, [it.at]] as const);
  const startedAtMs = bench.clock.wallMs() + bench.wallOffMs;
  bench.jobs.push(ledgerFixtures.jobOf(`job-${index}`, places, { startedAtMs }));
};

const happen = async (
  bench: Bench,
  keepers: ledgerRecorder.LedgerRecorder[],
  it: Happening,
  index: number,
): Promise<void> => {
  keepers.at(-1)?.settle();
  const [last, ...others] = [...bench.jobs].reverse();
  if (it.type === 'start') startJob(bench, it.accelerators, index);
  if (it.type === 'end') bench.jobs = others.reverse();
  if (it.type === 'stop' && last !== undefined) {
    bench.jobs = [...others.reverse(), { ...last, state: 'stopping', stopCause: it.cause }];
  }
  if (it.type === 'health') {
    bench.workers = bench.workers.map((worker) => ({ ...worker, health: it.health }));
  }
  if (it.type === 'worker') {
    bench.workers = Array.from({ length: it.count }, (_unused, at) =>
      ledgerFixtures.workerOf(`w${at}`, ACCELERATORS),
    );
  }
  if (it.type === 'outage') bench.store.faults.isDown = it.isDown;
  if (it.type === 'loseAnswers') bench.store.faults.loseWriteAnswers = it.count;
  if (it.type === 'clock') bench.wallOffMs = it.offMs;
  if (it.type === 'wait') await bench.clock.advance(it.durationMs);
  if (it.type === 'changeLeader') {
    const next = bench.lead();
    // A leader that cannot read or fence gives the cell up; the old one stays until it is fenced.
    await next.load().then(
      () => keepers.push(next),
      () => next.dispose(),
    );
  }
};

test.test('the books balance over random histories', async () => {
  const history = fc.array(happening, { minLength: 1, maxLength: 40 });
  const property = fc.asyncProperty(history, async (happenings) => {
    const bench = createBench();
    const keepers = [bench.lead()];
    await keepers[0]?.load();
    for (const [index, it] of happenings.entries()) await happen(bench, keepers, it, index);
    bench.store.faults.isDown = false;
    bench.store.faults.loseWriteAnswers = 0;
    // Deposed keepers wake up first and must do no harm.
    const current = keepers.at(-1);
    for (const it of keepers) if (it !== current) await it.flush().catch(() => undefined);
    await current?.flush();
    const hours = await bench.hours();
    assert.deepEqual(ledgerCheck.checkHours(hours), []);
    const untilMs = hours.at(-1)?.bookedUntilMs ?? 0;
    assert.equal(bookedMs(hours), untilMs - START_MS);
    assert.ok(untilMs >= bench.clock.wallMs() + bench.wallOffMs);
    for (const it of keepers) await it.dispose();
  });
  await fc.assert(property, { numRuns: 150, seed: 6 });
});
