/**
 * Random store outages with cancellations around their ends, generated from one seed: no task of a cancelled job
 * starts or runs later than the pool's time limits allow.
 */
import * as assert from 'node:assert/strict';

import * as random from '../../base/common/random.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';
import * as poolPromises from './poolPromises.js';

const WORKERS = 4;
const MIN_JOBS = 6;
const MORE_JOBS = 20;

/** Steps that change faults, followed by steps without faults. */
const FAULT_STEPS = 12;
const CALM_STEPS = 20;
const MAX_PAUSE_MS = 1200;
const MAX_CALM_PAUSE_MS = 600;

/** Time after the last step by which all tasks of cancelled jobs have ended. */
const SETTLE_MS = 12_000;

/** Short first steps end, and the next steps start, while faults are active. */
const SHORT_MS = 1500;
const LONG_MS = 60_000;

/** A pool with its jobs and the cancellations so far. */
interface Scenario {
  readonly pool: poolHarness.Pool;
  readonly next: random.Random;
  readonly jobIds: readonly string[];
  /** Time at which each cancellation was stored, by job id. */
  readonly cancelledAtMs: Map<string, number>;
}

const makeJob = (jobId: string, next: random.Random): poolJob.PoolJob =>
  fixtures.makeJob(
    [
      { count: 1 + random.integerBelow(next, 3), isGang: next() < 0.3 },
      { count: 2, after: [0] },
    ],
    { jobId, attempts: 50 },
  );

const cancelAny = async ({ pool, next, jobIds, cancelledAtMs }: Scenario): Promise<void> => {
  const jobId = random.pick(next, jobIds);
  const { faults } = pool.store;
  const { loseWriteAnswers, delayTransactions } = faults;
  // Lost and delayed answers apply to the leader's writes only.
  Object.assign(faults, { loseWriteAnswers: 0, delayTransactions: 0 });
  try {
    await pool.cancel(jobId);
    if (!cancelledAtMs.has(jobId)) cancelledAtMs.set(jobId, pool.clock.monotonicMs());
  } catch {
    // The store is down, so the cancellation was not acknowledged.
  }
  Object.assign(faults, { loseWriteAnswers, delayTransactions });
};

const crashAny = ({ pool, next }: Scenario): void => random.pick(next, pool.sites).worker.crash();

const FAULTS: readonly ((scenario: Scenario) => void)[] = [
  ({ pool: { store } }) => {
    store.faults.isDown = !store.faults.isDown;
  },
  ({ pool: { store } }) => {
    store.faults.areWatchesLost = !store.faults.areWatchesLost;
  },
  ({ pool: { store } }) => {
    store.faults.loseWriteAnswers += 2;
  },
  ({ pool: { store } }) => {
    store.faults.delayTransactions += 1;
  },
  ({ pool: { store } }) => {
    store.faults.skipNextWatch = true;
  },
  crashAny,
  ({ pool, next }) => {
    const { faults } = random.pick(next, pool.sites).worker;
    faults.failsAll = !faults.failsAll;
  },
];

const makeFaults = async (scenario: Scenario): Promise<void> => {
  const { pool, next } = scenario;
  pool.store.faults.pausesLeases = next() < 0.5;
  for (let step = 0; step < FAULT_STEPS; step += 1) {
    random.pick(next, FAULTS)(scenario);
    if (next() < 0.6) await cancelAny(scenario);
    await pool.clock.advance(next() * MAX_PAUSE_MS);
  }
  // In most outages the watch in flight at the end was sent while the store was down.
  if (next() < 0.7) pool.store.faults.areWatchesLost = true;
  await pool.clock.advance(next() * 2 * MAX_PAUSE_MS);
};

const runWithoutFaults = async (scenario: Scenario): Promise<void> => {
  for (let step = 0; step < CALM_STEPS; step += 1) {
    if (scenario.next() < 0.4) await cancelAny(scenario);
    // The worker's tasks are restarted, unless the leader has received the cancellation of their job.
    if (scenario.next() < 0.15) crashAny(scenario);
    await scenario.pool.clock.advance(scenario.next() * MAX_CALM_PAUSE_MS);
  }
  await scenario.pool.clock.advance(SETTLE_MS);
};

const assertCancelled = ({ pool, cancelledAtMs }: Scenario, healedAtMs: number): void => {
  for (const run of pool.runs().filter((it) => !it.isLate)) {
    const atMs = cancelledAtMs.get(runAssertions.jobIdOf(run)) ?? Infinity;
    const name = `${run.task}#${run.run}`;
    const lastStartMs = Math.max(
      atMs + poolPromises.CANCEL_MS,
      healedAtMs + poolPromises.STABLE_MS,
    );
    assert.ok(
      run.startedAtMs <= lastStartMs,
      `${name} started ${run.startedAtMs - atMs} ms after the cancellation`,
    );
    const endedAtMs = run.endedAtMs ?? pool.clock.monotonicMs();
    const lastEndMs = Math.max(atMs, healedAtMs) + poolPromises.CANCEL_MS + poolPromises.STOP_MS;
    assert.ok(
      endedAtMs <= lastEndMs,
      `${name} ran until ${endedAtMs - atMs} ms after the cancellation`,
    );
  }
};

/**
 * @param seed - seed of the jobs, the faults and the cancellations
 */
export const explore = async (seed: number): Promise<void> => {
  const next = random.createRandom(seed);
  const pool = poolHarness.createPool({
    workers: WORKERS,
    seed,
    workMs: (task) => (task.includes('.0.0.') && next() < 0.5 ? SHORT_MS : LONG_MS),
  });
  await pool.ready;
  pool.addCandidate();
  if (next() < 0.5) pool.addCandidate();
  const count = MIN_JOBS + random.integerBelow(next, MORE_JOBS);
  const jobIds = Array.from({ length: count }, (_, index) => `j${index}`);
  for (const jobId of jobIds) await pool.submit(makeJob(jobId, next));
  const scenario = { pool, next, jobIds, cancelledAtMs: new Map<string, number>() };
  await pool.clock.advance(1000 + next() * 2 * MAX_PAUSE_MS);
  await makeFaults(scenario);
  poolHarness.clearFaults(pool);
  pool.store.faults.skipNextWatch = false;
  const healedAtMs = pool.clock.monotonicMs();
  await runWithoutFaults(scenario);
  assertCancelled(scenario, healedAtMs);
  runAssertions.assertAtMostOnce(pool.runs());
  pool.dispose();
};
