/**
 * Random outages of the store with cancellations around their ends, from one seed: nothing of a cancelled job
 * is started or works later than callers are promised.
 */
import * as assert from 'node:assert/strict';

import * as random from '../../base/common/random.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as poolKit from './poolKit.js';
import * as poolPromises from './poolPromises.js';

const WORKERS = 4;
const MIN_JOBS = 6;
const MORE_JOBS = 20;

/** Changes of faults, and then moments without any. */
const FAULT_STEPS = 12;
const CALM_STEPS = 20;
const MAX_PAUSE_MS = 1200;
const MAX_CALM_PAUSE_MS = 600;

/** Everything that was cancelled has ended by then. */
const SETTLE_MS = 12_000;

/** Short first steps are followed by others while the faults last. */
const SHORT_MS = 1500;
const LONG_MS = 60_000;

/** A pool with what has happened to it. */
interface Scene {
  readonly pool: poolKit.Pool;
  readonly next: random.Random;
  readonly jobIds: readonly string[];
  /** When each cancellation was stored. */
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

const cancelAny = async ({ pool, next, jobIds, cancelledAtMs }: Scene): Promise<void> => {
  const jobId = random.pick(next, jobIds);
  const { faults } = pool.store;
  const { loseWriteAnswers, delayTransactions } = faults;
  // The faults of answers are for the leader's writes.
  Object.assign(faults, { loseWriteAnswers: 0, delayTransactions: 0 });
  try {
    await pool.cancel(jobId);
    if (!cancelledAtMs.has(jobId)) cancelledAtMs.set(jobId, pool.clock.monotonicMs());
  } catch {
    // The store is down: nobody is told that the job is cancelled.
  }
  Object.assign(faults, { loseWriteAnswers, delayTransactions });
};

const crashAny = ({ pool, next }: Scene): void => random.pick(next, pool.sites).worker.crash();

const FAULTS: readonly ((scene: Scene) => void)[] = [
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

const makeFaults = async (scene: Scene): Promise<void> => {
  const { pool, next } = scene;
  pool.store.faults.pausesLeases = next() < 0.5;
  for (let step = 0; step < FAULT_STEPS; step += 1) {
    random.pick(next, FAULTS)(scene);
    if (next() < 0.6) await cancelAny(scene);
    await pool.clock.advance(next() * MAX_PAUSE_MS);
  }
  // The watch that is open when the store is back was mostly sent while it was away.
  if (next() < 0.7) pool.store.faults.areWatchesLost = true;
  await pool.clock.advance(next() * 2 * MAX_PAUSE_MS);
};

const goOn = async (scene: Scene): Promise<void> => {
  for (let step = 0; step < CALM_STEPS; step += 1) {
    if (scene.next() < 0.4) await cancelAny(scene);
    // Its tasks are due to be started again, unless their job is known to be cancelled.
    if (scene.next() < 0.15) crashAny(scene);
    await scene.pool.clock.advance(scene.next() * MAX_CALM_PAUSE_MS);
  }
  await scene.pool.clock.advance(SETTLE_MS);
};

const assertCancelled = ({ pool, cancelledAtMs }: Scene, healedAtMs: number): void => {
  for (const run of pool.runs().filter((it) => !it.isLate)) {
    const atMs = cancelledAtMs.get(poolKit.jobIdOf(run)) ?? Infinity;
    const name = `${run.task}#${run.run}`;
    const lastStartMs = Math.max(
      atMs + poolPromises.CANCEL_MS,
      healedAtMs + poolPromises.STABLE_MS,
    );
    assert.ok(run.startedAtMs <= lastStartMs, `${name} began ${run.startedAtMs - atMs} ms after`);
    const endedAtMs = run.endedAtMs ?? pool.clock.monotonicMs();
    const lastEndMs = Math.max(atMs, healedAtMs) + poolPromises.CANCEL_MS + poolPromises.STOP_MS;
    assert.ok(endedAtMs <= lastEndMs, `${name} worked until ${endedAtMs - atMs} ms after`);
  }
};

/**
 * @param seed - decides the jobs, the faults and the cancellations
 */
export const explore = async (seed: number): Promise<void> => {
  const next = random.createRandom(seed);
  const pool = poolKit.createPool({
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
  const scene = { pool, next, jobIds, cancelledAtMs: new Map<string, number>() };
  await pool.clock.advance(1000 + next() * 2 * MAX_PAUSE_MS);
  await makeFaults(scene);
  poolKit.heal(pool);
  pool.store.faults.skipNextWatch = false;
  const healedAtMs = pool.clock.monotonicMs();
  await goOn(scene);
  assertCancelled(scene, healedAtMs);
  poolKit.assertAtMostOnce(pool.runs());
  pool.dispose();
};
