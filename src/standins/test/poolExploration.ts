/**
 * Random faults on a complete pool, generated from one seed, and the invariants that must always hold.
 */
import * as assert from 'node:assert/strict';

import * as random from '../../base/common/random.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as poolLeader from '../../coordination/node/pool/poolLeader.js';
import type * as poolJob from '../../state/common/pool/poolJob.js';
import type * as memoryPoolWorker from '../memoryPoolWorker.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';
import * as poolPromises from './poolPromises.js';

const WORKERS = 4;
const JOBS = 10;
const STEPS = 40;
const MAX_PAUSE_MS = 1500;

const ZONES = ['north', 'south'];

/** Share of the steps at which the operators evacuate a zone or take it back. */
const EVACUATION_SHARE = 0.15;

/** Share of the steps at which a worker begins or ceases to refuse starts. */
const REFUSAL_SHARE = 0.3;

/** Longest pause between the loss of a worker and the restart of its agent. */
const MAX_AGENT_PAUSE_MS = 4000;

/** Time without faults within which every job must reach a final state. */
const SETTLE_MS = 90_000;

/** Time at which each job's cancellation was stored, by job id; infinite where it was not acknowledged. */
type Cancellations = Map<string, number>;

type FaultAction = (
  pool: poolHarness.Pool,
  next: random.Random,
  cancelled: Cancellations,
) => Promise<void> | void;

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

const cancelAny: FaultAction = async (pool, next, cancelled) => {
  const jobId = `j${random.integerBelow(next, JOBS)}`;
  const earlierAtMs = cancelled.get(jobId) ?? Infinity;
  cancelled.set(jobId, earlierAtMs);
  try {
    await pool.cancel(jobId);
    cancelled.set(jobId, Math.min(earlierAtMs, pool.clock.monotonicMs()));
  } catch {
    // The cancellation was not acknowledged: the store is down or its answer was lost.
  }
};

/** An evacuation, by the clock of the pool. */
interface Evacuation {
  readonly zone: string;
  readonly storedAtMs: number;
  /** Infinite until it is removed. */
  removedAtMs: number;
}

const takeBack = async (pool: poolHarness.Pool, evacuation: Evacuation): Promise<void> => {
  if (evacuation.removedAtMs !== Infinity) return;
  evacuation.removedAtMs = pool.clock.monotonicMs();
  await pool.takeBack(evacuation.zone);
};

/** Calls of the operators don't get lost: a change that is not acknowledged limits nothing. */
const evacuateOrTakeBack = async (
  pool: poolHarness.Pool,
  next: random.Random,
  evacuations: Evacuation[],
): Promise<void> => {
  const { faults } = pool.store;
  const isLost = faults.loseWriteAnswers > 0 || faults.delayTransactions > 0;
  if (next() > EVACUATION_SHARE || faults.isDown || isLost) return;
  const zone = random.pick(next, ZONES);
  const known = evacuations.find((it) => it.zone === zone && it.removedAtMs === Infinity);
  if (known !== undefined) {
    await takeBack(pool, known);
    return;
  }
  await pool.evacuate(zone);
  evacuations.push({ zone, storedAtMs: pool.clock.monotonicMs(), removedAtMs: Infinity });
};

const FAULT_ACTIONS: readonly FaultAction[] = [
  (pool, next) => random.pick(next, pool.sites).worker.crash(),
  (pool, next) => random.pick(next, pool.sites).worker.crash(`w-${Math.floor(next() * 1e9)}`),
  (pool, next) => random.pick(next, pool.sites).restartAgent(),
  (pool, next) => {
    random.pick(next, pool.sites).isCut = true;
  },
  (pool) => {
    pool.sites.forEach((it) => {
      it.isCut = false;
    });
  },
  (pool, next) => {
    random.pick(next, pool.sites).worker.faults.delayOrders += 1 + random.integerBelow(next, 4);
  },
  (pool, next) => {
    const { faults } = random.pick(next, pool.sites).worker;
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
  cancelAny,
];

/** Adds watches that are never answered, and more cancellations that such watches miss. */
const WATCH_FAULT_ACTIONS: readonly FaultAction[] = [
  ...FAULT_ACTIONS,
  (pool) => {
    pool.store.faults.areWatchesLost = !pool.store.faults.areWatchesLost;
  },
  cancelAny,
];

/** Asserts that the runs of a worker never needed more accelerators than it has. */
const assertWithinCapacity = (pool: poolHarness.Pool, jobs: readonly poolJob.PoolJob[]): void => {
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
      assert.ok(
        used <= 8,
        `${run.task}#${run.run} raises the use of its worker to ${used} accelerators`,
      );
    }
  }
};

/** Asserts that no task starts long after its cancellation, except by orders that the worker executes late. */
const assertNoneAfterCancel = (pool: poolHarness.Pool, cancelled: Cancellations): void => {
  for (const run of pool.runs().filter((it) => !it.isLate)) {
    const cancelledAtMs = cancelled.get(runAssertions.jobIdOf(run)) ?? Infinity;
    assert.ok(
      run.startedAtMs <= cancelledAtMs + poolPromises.CANCEL_MS,
      `${run.task}#${run.run} started ${run.startedAtMs - cancelledAtMs} ms after the cancellation`,
    );
  }
};

/** A count of pending jobs may be this old. */
const MAX_COUNT_AGE_MS = 2000;

/** A job with the time at which it was stored. */
interface Submission {
  readonly job: poolJob.PoolJob;
  readonly storedAtMs: number;
}

/** Asserts that the leader counts each job as pending of which no task has started. */
const assertPendingCounted = (
  pool: poolHarness.Pool,
  leader: poolLeader.PoolLeader | undefined,
  submissions: readonly Submission[],
  cancelled: Cancellations,
): void => {
  const counts = leader?.pendingByQueue();
  if (counts === undefined) return;
  const storedByMs = pool.clock.monotonicMs() - MAX_COUNT_AGE_MS;
  const begun = new Set(pool.runs().map(runAssertions.jobIdOf));
  const waiting = submissions
    .filter((it) => it.storedAtMs <= storedByMs && !cancelled.has(it.job.jobId))
    .filter((it) => !begun.has(it.job.jobId));
  const pending = Object.values(counts).reduce((sum, it) => sum + it, 0);
  assert.ok(pending >= waiting.length, `${pending} jobs are pending of ${waiting.length}`);
};

/** Workers that have to crash under a task before it may be given up. */
const CRASHES_TO_GIVE_UP = 2;

/** Whether so many workers crashed under one task of the job that it may be given up. */
const hasCrashedWorkers = (pool: poolHarness.Pool, job: poolJob.PoolJob): boolean => {
  const crashed = pool
    .runs()
    .filter((it) => it.how === 'crashed' && runAssertions.jobIdOf(it) === job.jobId);
  return crashed.some(
    ({ task }) => crashed.filter((it) => it.task === task).length >= CRASHES_TO_GIVE_UP,
  );
};

/** Asserts that every task of a complete job was done. */
const assertDone = (pool: poolHarness.Pool, job: poolJob.PoolJob): void => {
  job.steps.forEach((step, stepIndex) => {
    for (let index = 0; index < step.count; index += 1) {
      const task = `${job.jobId}.0.${stepIndex}.${index}`;
      const ends = pool.runs().filter((it) => it.task === task && it.how === 'done');
      assert.ok(ends.length > 0, `${task} was never done`);
    }
  });
};

/** Asserts that nothing starts in an evacuated zone, except by orders that the worker executes late. */
const assertNoneInEvacuatedZone = (
  pool: poolHarness.Pool,
  evacuations: readonly Evacuation[],
): void => {
  for (const { zone, storedAtMs, removedAtMs } of evacuations) {
    for (const { worker } of pool.sites.filter((it) => it.worker.info().zone === zone)) {
      for (const run of worker.runs.filter((it) => !it.isLate)) {
        const isLate = run.startedAtMs > storedAtMs + poolPromises.EVACUATE_MS;
        assert.ok(
          !isLate || run.startedAtMs >= removedAtMs,
          `${run.task}#${run.run} started in ${zone} ${run.startedAtMs - storedAtMs} ms after its evacuation`,
        );
      }
    }
  }
};

/**
 * Loses a worker for good and restarts its agent: at a random step, so that other faults come before and after. What
 * seeds draw later about this worker has no effect.
 */
const createLoss = (pool: poolHarness.Pool, next: random.Random) => {
  const lostAtStep = random.integerBelow(next, STEPS);
  const restartAfterMs = next() * MAX_AGENT_PAUSE_MS;
  const site = random.pick(next, pool.sites);
  let isLost = false;
  const keepLost = (): void => {
    if (isLost) site.worker.faults.isSilent = true;
  };
  return {
    keepLost,
    reach: (step: number): void => {
      if (step === lostAtStep) {
        isLost = true;
        pool.clock.after(restartAfterMs, site.restartAgent);
      }
      keepLost();
    },
  };
};

/** Options of an exploration. */
export interface Exploration {
  /** Seed of the jobs, the faults and their order. */
  readonly seed: number;
  /** Whether the operators evacuate zones meanwhile. */
  readonly evacuates?: boolean;
  /** Whether watches of the store can be lost as well. */
  readonly losesWatches: boolean;
  /** Whether workers refuse all starts from time to time. */
  readonly refusesStarts?: boolean;
  /** Whether one worker is lost for good and its agent is restarted. */
  readonly losesWorker?: boolean;
  /** Ends that a worker lists at a time. */
  readonly maxListedEnds?: number;
}

/**
 * @param exploration - the seed and the kinds of faults
 */
export const explore = async (exploration: Exploration): Promise<void> => {
  const { seed, losesWatches, evacuates = false, refusesStarts = false } = exploration;
  const { maxListedEnds, losesWorker = false } = exploration;
  const actions = losesWatches ? WATCH_FAULT_ACTIONS : FAULT_ACTIONS;
  const next = random.createRandom(seed);
  // From separate generators, so that the faults of a seed don't change.
  const nextZone = random.createRandom(seed);
  const nextRefusal = random.createRandom(seed);
  const nextLoss = random.createRandom(seed);
  const pool = poolHarness.createPool({
    workers: WORKERS,
    seed,
    workMs: (task) => 500 + ((task.length * 997 + task.charCodeAt(1) * 331) % 4000),
    guarantees: { owner: 8, other: 8 },
    ...(evacuates ? { zones: ZONES } : {}),
    ...(maxListedEnds === undefined ? {} : { maxListedEnds }),
  });
  const jobs = Array.from({ length: JOBS }, (_, index) => makeJob(index, next));
  await pool.ready;
  const loss = losesWorker ? createLoss(pool, nextLoss) : undefined;
  let leader = pool.addCandidate();
  const submitted: Submission[] = [];
  const cancelled: Cancellations = new Map();
  const evacuations: Evacuation[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    const job = jobs[submitted.length];
    if (job !== undefined && !pool.store.faults.isDown && next() < 0.4) {
      pool.store.faults.loseWriteAnswers = 0;
      pool.store.faults.delayTransactions = 0;
      await pool.submit(job);
      submitted.push({ job, storedAtMs: pool.clock.monotonicMs() });
    }
    if (next() < 0.1) {
      leader.kill();
      leader = pool.addCandidate();
      if (next() < 0.5) pool.addCandidate();
    }
    const action = random.pick(next, actions);
    await action(pool, next, cancelled);
    if (evacuates) await evacuateOrTakeBack(pool, nextZone, evacuations);
    if (refusesStarts && nextRefusal() < REFUSAL_SHARE) {
      const { faults } = random.pick(nextRefusal, pool.sites).worker;
      faults.refusesStarts = !faults.refusesStarts;
    }
    loss?.reach(step);
    await pool.clock.advance(next() * MAX_PAUSE_MS);
    assertPendingCounted(pool, leader.leader(), submitted, cancelled);
  }
  poolHarness.clearFaults(pool);
  loss?.keepLost();
  for (const it of evacuations) await takeBack(pool, it);
  await pool.clock.advance(SETTLE_MS);
  assertNoneInEvacuatedZone(pool, evacuations);
  runAssertions.assertAtMostOnce(pool.runs());
  runAssertions.assertNoStartAfterDone(pool.runs());
  assertWithinCapacity(
    pool,
    submitted.map((it) => it.job),
  );
  assertNoneAfterCancel(pool, cancelled);
  for (const { job } of submitted) {
    const state = (await pool.progress(job.jobId))?.state;
    assert.ok(
      state === 'complete' || state === 'cancelled' || state === 'failed',
      `${job.jobId} is ${String(state)}`,
    );
    assert.ok(
      state !== 'failed' || hasCrashedWorkers(pool, job),
      `${job.jobId} failed without cause`,
    );
    if (state === 'complete') assertDone(pool, job);
  }
  pool.dispose();
};
