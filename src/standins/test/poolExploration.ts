/**
 * Random faults on a whole pool, from one seed, and what must hold whatever happens.
 */
import * as assert from 'node:assert/strict';

import * as random from '../../base/common/random.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as poolJob from '../../state/common/pool/poolJob.js';
import type * as memoryPoolWorker from '../memoryPoolWorker.js';
import * as poolKit from './poolKit.js';

const WORKERS = 4;
const JOBS = 10;
const STEPS = 40;
const MAX_PAUSE_MS = 1500;

/** Time without faults in which everything has to come to its end. */
const SETTLE_MS = 90_000;

type Act = (pool: poolKit.Pool, next: random.Random) => Promise<void> | void;

const siteOf = (pool: poolKit.Pool, next: random.Random): poolKit.Site =>
  pool.sites[random.integerBelow(next, pool.sites.length)] as poolKit.Site;

const makeSteps = (next: random.Random): Partial<poolJob.Step>[] => {
  const accelerators = [1, 2, 4, 8][random.integerBelow(next, 4)] ?? 1;
  const step = {
    count: 1 + random.integerBelow(next, 3),
    isGang: next() < 0.5,
    isSameRack: next() < 0.5,
    resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators },
  };
  return next() < 0.4 ? [step, { count: 2, after: [0] }] : [step];
};

const makeJob = (index: number, next: random.Random): poolJob.PoolJob =>
  fixtures.makeJob(makeSteps(next), {
    jobId: `j${index}`,
    customerId: next() < 0.5 ? 'owner' : 'other',
    priority: random.integerBelow(next, 3),
    attempts: 3,
  });

const addLeader: Act = (pool) => {
  pool.addCandidate();
};

const ACTS: readonly Act[] = [
  (pool, next) => siteOf(pool, next).worker.crash(),
  (pool, next) => siteOf(pool, next).worker.crash(`w-${Math.floor(next() * 1e9)}`),
  (pool, next) => siteOf(pool, next).restartAgent(),
  (pool, next) => {
    siteOf(pool, next).isCut = true;
  },
  (pool) => {
    pool.sites.forEach((it) => {
      it.isCut = false;
    });
  },
  (pool, next) => {
    siteOf(pool, next).worker.faults.delayOrders += 1 + random.integerBelow(next, 4);
  },
  (pool, next) => {
    const { faults } = siteOf(pool, next).worker;
    faults.isSilent = !faults.isSilent;
  },
  (pool, next) => {
    pool.store.faults.loseWriteAnswers += 1 + random.integerBelow(next, 3);
  },
  (pool) => {
    pool.store.faults.delayTransactions += 1;
  },
  (pool) => {
    pool.store.faults.isDown = !pool.store.faults.isDown;
  },
  (pool) => {
    pool.store.faults.skipNextWatch = true;
  },
  (pool, next) => pool.cancel(`j${random.integerBelow(next, JOBS)}`).catch(() => undefined),
];

const heal = (pool: poolKit.Pool): void => {
  pool.store.faults.isDown = false;
  pool.store.faults.loseWriteAnswers = 0;
  pool.store.faults.delayTransactions = 0;
  for (const site of pool.sites) {
    site.isCut = false;
    site.worker.faults.isSilent = false;
    site.worker.faults.delayOrders = 0;
  }
};

/** No worker ever ran more than it has accelerators for. */
const assertWithinCapacity = (pool: poolKit.Pool, jobs: readonly poolJob.PoolJob[]): void => {
  const neededBy = new Map(jobs.map((it) => [it.jobId, it]));
  const acceleratorsOf = ({ task }: memoryPoolWorker.RecordedRun): number => {
    const [jobId = '', , step] = task.split('.');
    return neededBy.get(jobId)?.steps[Number(step)]?.resources.accelerators ?? 0;
  };
  for (const { worker } of pool.sites) {
    for (const run of worker.runs) {
      const beside = worker.runs.filter(
        (it) => it.startedAtMs <= run.startedAtMs && (it.endedAtMs ?? Infinity) > run.startedAtMs,
      );
      const used = beside.reduce((sum, it) => sum + acceleratorsOf(it), 0);
      assert.ok(used <= 8, `${run.task}#${run.run} brings its worker to ${used} accelerators`);
    }
  }
};

/** What is shown as complete has been done, every task of it. */
const assertDone = (pool: poolKit.Pool, job: poolJob.PoolJob): void => {
  job.steps.forEach((step, stepIndex) => {
    for (let index = 0; index < step.count; index += 1) {
      const task = `${job.jobId}.0.${stepIndex}.${index}`;
      const ends = pool.runs().filter((it) => it.task === task && it.how === 'done');
      assert.ok(ends.length > 0, `${task} was never done`);
    }
  });
};

/**
 * @param seed - decides the jobs, the faults and their order
 */
export const explore = async (seed: number): Promise<void> => {
  const next = random.createRandom(seed);
  const pool = poolKit.createPool({
    workers: WORKERS,
    seed,
    workMs: (task) => 500 + ((task.length * 997 + task.charCodeAt(1) * 331) % 4000),
    guarantees: { owner: 8, other: 8 },
  });
  const jobs = Array.from({ length: JOBS }, (_, index) => makeJob(index, next));
  await pool.ready;
  let leader = pool.addCandidate();
  const submitted: poolJob.PoolJob[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    const job = jobs[submitted.length];
    if (job !== undefined && !pool.store.faults.isDown && next() < 0.4) {
      pool.store.faults.loseWriteAnswers = 0;
      pool.store.faults.delayTransactions = 0;
      await pool.submit(job);
      submitted.push(job);
    }
    if (next() < 0.1) {
      leader.kill();
      leader = pool.addCandidate();
      if (next() < 0.5) await addLeader(pool, next);
    }
    const act = ACTS[random.integerBelow(next, ACTS.length)];
    await act?.(pool, next);
    await pool.clock.advance(next() * MAX_PAUSE_MS);
  }
  heal(pool);
  await pool.clock.advance(SETTLE_MS);
  poolKit.assertAtMostOnce(pool.runs());
  assertWithinCapacity(pool, submitted);
  for (const job of submitted) {
    const state = (await pool.progress(job.jobId))?.state;
    assert.ok(
      state === 'complete' || state === 'cancelled' || state === 'failed',
      `${job.jobId} is ${String(state)}`,
    );
    assert.notEqual(state, 'failed', `${job.jobId} failed without cause`);
    if (state === 'complete') assertDone(pool, job);
  }
  pool.dispose();
};
