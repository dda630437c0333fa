/**
 * Random jobs of which some crash their workers, beside random faults, generated from one seed: how often the crashing
 * tasks start, and that all other jobs are done.
 */
import * as assert from 'node:assert/strict';

import * as random from '../../base/common/random.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as poolJob from '../../state/common/pool/poolJob.js';
import type * as memoryPoolWorker from '../memoryPoolWorker.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

const WORKERS = 5;
const JOBS = 16;
const STEPS = 30;
const MAX_PAUSE_MS = 1500;

/** Time without faults within which every job must reach a final state. */
const SETTLE_MS = 90_000;

/** Crashes under a task after which its starts are limited. */
const CRASHES = 3;

/** Starts of a task after that many crashes. */
const MAX_STARTS_AFTER_CRASHES = 2;

/**
 * Asserts that tasks that crash their workers start within their budget.
 *
 * @param runs - all runs on all workers
 * @param crashes - whether a task crashes its workers
 */
export const assertWithinBudget = (
  runs: readonly memoryPoolWorker.RecordedRun[],
  crashes: (task: string) => boolean,
): void => {
  const own = runs.filter(({ task, isLate }) => crashes(task) && !isLate);
  for (const task of new Set(own.map((it) => it.task))) {
    const its = own.filter((it) => it.task === task);
    const endsMs = its
      .filter(({ how }) => how === 'crashed')
      .map(({ endedAtMs }) => endedAtMs ?? Infinity)
      .sort((a, b) => a - b);
    const limitFromMs = endsMs[CRASHES - 1] ?? Infinity;
    const later = its.filter(({ startedAtMs }) => startedAtMs > limitFromMs);
    assert.ok(
      later.length <= MAX_STARTS_AFTER_CRASHES,
      `${task} started ${later.length} times after the third crash under it`,
    );
  }
};

/**
 * A job may be given up although its workers crashed by themselves, after three crashes under it of which at least two came
 * while no other job was there: nothing tells it from one that crashes its workers.
 */
const CRASHES_TO_GIVE_UP = 3;
const CRASHES_ALONE_TO_GIVE_UP = 2;

/** Crashes of workers under a job: all, and those of workers on which no other job ran. */
const countCrashes = (
  pool: poolHarness.Pool,
  jobId: string,
): { readonly all: number; readonly alone: number } => {
  const crashes = pool.sites.flatMap(({ worker }) => {
    const crashed = worker.runs.filter(({ how }) => how === 'crashed');
    const own = crashed.filter((it) => runAssertions.jobIdOf(it) === jobId);
    return [...new Set(own.map(({ endedAtMs }) => endedAtMs))].map((atMs) =>
      crashed.every((it) => it.endedAtMs !== atMs || runAssertions.jobIdOf(it) === jobId),
    );
  });
  return { all: crashes.length, alone: crashes.filter((isAlone) => isAlone).length };
};

const assertState = async (pool: poolHarness.Pool, jobId: string): Promise<void> => {
  const state = (await pool.progress(jobId))?.state;
  if (jobId.startsWith('bad')) assert.equal(state, 'failed', jobId);
  else if (state === 'failed') {
    const { all, alone } = countCrashes(pool, jobId);
    assert.ok(
      all >= CRASHES_TO_GIVE_UP && alone >= CRASHES_ALONE_TO_GIVE_UP,
      `${jobId} was given up after ${all} crashes under it, ${alone} of them alone`,
    );
  } else assert.equal(state, 'complete', jobId);
};

const makeJob = (index: number, next: random.Random): poolJob.PoolJob => {
  const accelerators = random.pick(next, [1, 1, 2, 4, 8]);
  const isBad = next() < 0.25;
  return fixtures.makeJob(
    [
      {
        count: 1 + random.integerBelow(next, 3),
        isGang: next() < 0.3,
        estimatedMs: 3000,
        resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators },
      },
    ],
    {
      jobId: `${isBad ? 'bad' : 'good'}${index}`,
      priority: random.integerBelow(next, 3),
      customerId: next() < 0.5 ? 'owner' : 'other',
      attempts: 3,
    },
  );
};

interface Scenario {
  readonly pool: poolHarness.Pool;
  readonly next: random.Random;
  leader: poolHarness.Candidate;
}

const FAULTS: readonly ((scenario: Scenario) => void)[] = [
  ({ pool, next }) => random.pick(next, pool.sites).worker.crash(`w-${Math.floor(next() * 1e9)}`),
  ({ pool, next }) => random.pick(next, pool.sites).restartAgent(),
  ({ pool, next }) => {
    random.pick(next, pool.sites).isCut = true;
  },
  ({ pool }) => {
    pool.sites.forEach((it) => {
      it.isCut = false;
    });
  },
  ({ pool, next }) => {
    random.pick(next, pool.sites).worker.faults.delayOrders += 1;
  },
  ({ pool }) => {
    pool.store.faults.loseWriteAnswers += 1;
  },
  (scenario) => {
    scenario.leader.kill();
    scenario.leader = scenario.pool.addCandidate();
  },
  () => undefined,
];

const isBadTask = (task: string): boolean => /^bad\d+\.0\.0\.0$/.test(task);

const makeCrashes = (pool: poolHarness.Pool, next: random.Random): void => {
  const afterMs = random.pick(next, [0, 10, 10, 300, 1000, 2500]);
  const backAfterMs = random.pick(next, [0, 1000, 3000, 3000, 8000]);
  const keepsId = next() < 0.3;
  for (const { worker } of pool.sites) {
    worker.faults.crashOf = (task) =>
      isBadTask(task) ? { afterMs, backAfterMs, keepsId } : undefined;
  }
};

/**
 * @param seed - seed of the jobs, their crashes and the faults
 */
export const explore = async (seed: number): Promise<void> => {
  const next = random.createRandom(seed);
  const pool = poolHarness.createPool({
    workers: WORKERS,
    seed,
    workMs: () => 3000,
    guarantees: { owner: 8 },
  });
  await pool.ready;
  makeCrashes(pool, next);
  const jobs = Array.from({ length: JOBS }, (_, index) => makeJob(index, next));
  const hasFaults = next() < 0.7;
  const scenario: Scenario = { pool, next, leader: pool.addCandidate() };
  for (let step = 0; step < STEPS; step += 1) {
    const job = jobs[Math.floor(step / 2)];
    if (job !== undefined && step % 2 === 0) {
      pool.store.faults.loseWriteAnswers = 0;
      await pool.submit(job);
    }
    if (hasFaults) random.pick(next, FAULTS)(scenario);
    await pool.clock.advance(next() * MAX_PAUSE_MS);
  }
  pool.sites.forEach((site) => {
    site.isCut = false;
    site.worker.faults.delayOrders = 0;
  });
  await pool.clock.advance(SETTLE_MS);
  assertWithinBudget(pool.runs(), isBadTask);
  runAssertions.assertAtMostOnce(pool.runs());
  runAssertions.assertNoStartAfterDone(pool.runs());
  for (const { jobId } of jobs.slice(0, STEPS / 2)) {
    await assertState(pool, jobId);
  }
  pool.dispose();
};
