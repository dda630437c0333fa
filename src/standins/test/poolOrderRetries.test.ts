/**
 * End-to-end tests of start orders that get no answer and that their worker then refuses: where the tasks are retried,
 * and that none of them runs twice when the worker crashes and its new incarnation executes a delayed copy.
 */
import * as assert from 'node:assert/strict';

import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolCases from './poolCases.js';
import * as poolHarness from './poolHarness.js';

/** An order's lease is a time on the clock of the incarnation that it addresses; a new incarnation's clock is behind. */
const PREVIOUS_AGE_MS = 20_000;

/** An agent sends an order this many times. */
const COPIES = 3;

const LATE_BY_MS = 5000;

/** Longer than two tasks of a second, less than the delay of the copies. */
const RETRY_MS = 3000;

/** Time in which a start is placed and its order answered or not. */
const ORDER_MS = 20;

/** Tasks of a job by the first letters of its id. */
const workMs = (task: string): number => {
  if (task.startsWith('short')) return 60;
  return task.startsWith('second') ? 1000 : 5000;
};

const taking = (
  accelerators: number,
  step: Partial<poolJob.Step> = {},
): readonly Partial<poolJob.Step>[] => [
  { resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators }, ...step },
];

const siteOf = (pool: poolHarness.Pool, index: number): poolHarness.Site => {
  const site = pool.sites[index];
  assert.ok(site);
  return site;
};

const submit = async (
  pool: poolHarness.Pool,
  ...job: Parameters<typeof fixtures.makeJob>
): Promise<void> => {
  await pool.submit(fixtures.makeJob(...job));
  await pool.clock.advance(ORDER_MS);
};

/** Submits a job while no other worker than this one takes new tasks. */
const submitTo = async (
  pool: poolHarness.Pool,
  target: poolHarness.Site,
  ...job: Parameters<typeof fixtures.makeJob>
): Promise<void> => {
  const others = pool.sites.filter((it) => it !== target);
  for (const site of others) {
    site.worker.drain(60_000);
    site.sendHeartbeat();
  }
  await submit(pool, ...job);
  for (const site of others) {
    site.worker.cancelDrain();
    site.sendHeartbeat();
  }
};

/** Leaves so many start orders to a worker unanswered, each of them with all its copies. */
const leaveUnanswered = ({ worker }: poolHarness.Site, orders: number): void => {
  Object.assign(worker.faults, { delayOrders: orders * COPIES, lateByMs: LATE_BY_MS });
};

/** The worker crashes; its new incarnation sends one heartbeat and answers no calls until the copies have arrived. */
const crashUntilCopiesArrive = async (
  pool: poolHarness.Pool,
  { worker, sendHeartbeat }: poolHarness.Site,
): Promise<void> => {
  worker.crash();
  worker.faults.isSilent = true;
  sendHeartbeat();
  await pool.clock.advance(LATE_BY_MS);
  worker.faults.isSilent = false;
};

/**
 * A job's order to the first worker gets no answer. A moment later a short task ends there, and the job is retried while
 * another one waits for the same room. The other workers have room for the job a second later.
 */
const retryBesideWaitingJob = async (
  pool: poolHarness.Pool,
  step: Partial<poolJob.Step>,
): Promise<void> => {
  await pool.clock.advance(PREVIOUS_AGE_MS);
  const first = siteOf(pool, 0);
  await submitTo(pool, first, taking(1), { jobId: 'short' });
  for (const site of pool.sites.slice(2)) {
    await submitTo(pool, site, taking(8), { jobId: `second-${site.worker.info().workerId}` });
  }
  const [, second] = pool.sites;
  if (step.isGang !== true && second !== undefined) {
    await submitTo(pool, second, taking(8), { jobId: 'second' });
  }
  leaveUnanswered(first, 1);
  await submit(pool, taking(7, step), { jobId: 'a' });
  first.worker.faults.delayOrders = 0;
  await submit(pool, taking(7), { jobId: 'b', priority: 0 });
  await pool.clock.advance(RETRY_MS);
  await crashUntilCopiesArrive(pool, first);
};

const CASES: readonly poolCases.Case[] = [
  {
    // Guards against a retry that finds its room taken, runs elsewhere, and is started again by a delayed copy.
    name: 'no other task takes the room of a retry',
    options: { workers: 2, workMs },
    jobs: [],
    act: (pool) => retryBesideWaitingJob(pool, {}),
    states: { a: 'complete', b: 'complete' },
  },
  {
    // As before, with a gang: its other member has a worker without open orders.
    name: 'no other task takes the room of a retried gang member',
    options: { workers: 3, workMs },
    jobs: [],
    act: (pool) => retryBesideWaitingJob(pool, { count: 2, isGang: true }),
    states: { a: 'complete', b: 'complete' },
  },
  {
    // Guards against a task that runs elsewhere after its second order without an answer.
    name: 'a task stays on its worker after two orders without an answer',
    options: { workers: 2, workMs },
    jobs: [],
    act: async (pool) => {
      await pool.clock.advance(PREVIOUS_AGE_MS);
      const [first, second] = [siteOf(pool, 0), siteOf(pool, 1)];
      // The other worker is the fuller one, and so the better place.
      await submitTo(pool, second, taking(6), { jobId: 'b' });
      leaveUnanswered(first, 2);
      await submitTo(pool, first, taking(1), { jobId: 'a' });
      await pool.clock.advance(RETRY_MS);
      await crashUntilCopiesArrive(pool, first);
    },
    states: { a: 'complete', b: 'complete' },
  },
  {
    // Guards against a worker that leaves all starts unanswered and keeps its tasks forever.
    name: 'a task leaves a worker that answers no start once no copy can arrive any more',
    options: { workers: 2, workMs },
    jobs: [],
    act: async (pool) => {
      await pool.clock.advance(PREVIOUS_AGE_MS);
      const first = siteOf(pool, 0);
      leaveUnanswered(first, 100);
      await submitTo(pool, first, taking(1), { jobId: 'a' });
    },
    states: { a: 'complete' },
    runs: 1,
  },
];

poolCases.describeCases('a pool whose workers refuse unanswered orders', CASES);
