/**
 * Faults of workers that each seed draws from generators of its own, so that its other faults don't change: workers
 * that refuse starts, one that has more unacknowledged ends than it lists at a time, one that is lost for good, and a
 * job of thousands of tasks.
 */
import * as clock from '../base/common/clock.js';
import * as random from '../base/common/random.js';
import type * as callers from './callers.js';
import * as soakSite from './soakSite.js';
import * as waitWhile from './waitWhile.js';

/** What the faults act on. */
export interface WorkerFaultContext {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly site: soakSite.SoakSite;
  /** Whether callers still submit jobs. */
  readonly isLoadRunning: () => boolean;
}

/** Longest pause between two times of refusal. */
const MAX_REFUSAL_GAP_MS = 9000;

/** Longer than it takes until a job that waits must be counted as pending. */
const REFUSAL_MS = { least: 3000, most: 8000 } as const;

/** Share of the times of refusal in which all workers refuse, so that jobs wait. */
const ALL_REFUSE_SHARE = 0.5;

/** Jobs of small tasks, enough for more ends than a worker lists. */
const SMALL_JOBS = 11;

/** Runs that the worker must have before their ends are held up. */
const MANY_RUNS = 520;

/** Longest wait for these runs; less than the time after which runs without progress are stopped. */
const MAX_GATHER_MS = 5000;

const OUTAGE_MS = 3500;

/** Longest time from the start of the load until a worker is lost or a large job comes. */
const MAX_DELAY_MS = 12_000;

/** Longest pause from the loss of a worker to the kill of its agent, which restarts. */
const MAX_KILL_DELAY_MS = 3000;

/** With fewer workers left a gang of the soak would fit nowhere. */
const MIN_WORKERS_LEFT = 3;

/** Tasks of a large job. */
const LARGE_JOB = { least: 1000, most: 3000 } as const;

/**
 * Lets workers refuse all starts from time to time while the load is running.
 *
 * @param context - what it acts on
 */
export const refuseStarts = async (context: WorkerFaultContext): Promise<void> => {
  const { clock: time, random: next, site } = context;
  while (context.isLoadRunning()) {
    await clock.sleep(time, next() * MAX_REFUSAL_GAP_MS);
    const refusing = next() < ALL_REFUSE_SHARE ? site.workers : [random.pick(next, site.workers)];
    for (const { faults } of refusing) faults.refusesStarts = true;
    const refusalMs = REFUSAL_MS.least + next() * (REFUSAL_MS.most - REFUSAL_MS.least);
    await waitWhile.waitWhile(time, refusalMs, context.isLoadRunning);
    for (const { faults } of refusing) faults.refusesStarts = false;
  }
};

/**
 * Lets hundreds of runs end on one worker while the store is down, so that no end can be acknowledged.
 *
 * @param context - what it acts on
 * @param soakCallers - submit the jobs
 */
export const endManyAtOnce = async (
  context: WorkerFaultContext,
  soakCallers: callers.Callers,
): Promise<void> => {
  const { clock: time, random: next, site } = context;
  const index = random.integerBelow(next, site.workers.length);
  const worker = site.workers[index];
  if (worker === undefined) return;
  const liveRuns = (): number => worker.runs.filter((it) => it.how === undefined).length;
  worker.faults.isStalled = true;
  await soakCallers.submitSmall(soakSite.labelOf(index), SMALL_JOBS);
  await waitWhile.waitWhile(time, MAX_GATHER_MS, () => liveRuns() < MANY_RUNS);
  site.store.faults.isDown = true;
  worker.faults.isStalled = false;
  await clock.sleep(time, OUTAGE_MS);
  site.store.faults.isDown = false;
};

/**
 * Loses one worker for good and kills its agent.
 *
 * @param context - what it acts on
 * @returns what happened; undefined where too few workers would be left
 */
export const loseWorker = async (context: WorkerFaultContext): Promise<string | undefined> => {
  const { clock: time, random: next, site } = context;
  if (site.workers.length <= MIN_WORKERS_LEFT) return undefined;
  const index = random.integerBelow(next, site.workers.length);
  const [worker, agent] = [site.workers[index], site.agents[index]];
  if (worker === undefined || agent === undefined) return undefined;
  await clock.sleep(time, next() * MAX_DELAY_MS);
  worker.faults.isLost = true;
  await clock.sleep(time, next() * MAX_KILL_DELAY_MS);
  agent.process.kill(0);
  return `worker ${worker.info().workerId} lost for good with its agent`;
};

/**
 * Submits a job of thousands of tasks.
 *
 * @param context - what it acts on
 * @param soakCallers - submit the job
 */
export const submitLargeJob = async (
  context: WorkerFaultContext,
  soakCallers: callers.Callers,
): Promise<void> => {
  const { clock: time, random: next } = context;
  await clock.sleep(time, next() * MAX_DELAY_MS);
  await soakCallers.submitLarge(
    LARGE_JOB.least + random.integerBelow(next, LARGE_JOB.most - LARGE_JOB.least),
  );
};
