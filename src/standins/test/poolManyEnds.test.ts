/**
 * End-to-end tests of workers that have more unacknowledged ends than they list at a time: no task that is done starts
 * again, and each end is taken up once the earlier ones are acknowledged.
 */
import * as assert from 'node:assert/strict';

import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolCases from './poolCases.js';
import type * as poolHarness from './poolHarness.js';

const TASKS = 6;
const WORK_MS = 3000;

/** The first task ends before the others. */
const FIRST_WORK_MS = 2700;

/** Tasks have started and not ended. */
const STARTED_MS = 2000;

/** All tasks have ended; shorter than the lease of the leadership. */
const OUTAGE_MS = 1800;

const OPTIONS: poolHarness.PoolOptions = {
  workers: 1,
  maxListedEnds: 2,
  workMs: (task) => (task === 'a.0.0.0' ? FIRST_WORK_MS : WORK_MS),
  guarantees: { owner: 8 },
};

const SMALL: Partial<poolJob.Step> = {
  count: TASKS,
  resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 1 },
};

const WHOLE_WORKER: Partial<poolJob.Step> = {
  resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 8 },
};

const CLAIM = { jobId: 'claim', customerId: 'owner', priority: 0 };

/** Makes the store silent while all tasks end. */
const endDuringOutage = async (
  pool: poolHarness.Pool,
  meanwhile: () => void = () => undefined,
): Promise<void> => {
  await pool.clock.advance(STARTED_MS);
  pool.store.faults.isDown = true;
  await pool.clock.advance(OUTAGE_MS);
  assert.ok(pool.runs().every(({ how }) => how === 'done'));
  meanwhile();
  pool.store.faults.isDown = false;
};

/** The first start gets no answer at first, so its end is acknowledged late and the ends after it are listed late. */
const delayFirstAcknowledgement = async (pool: poolHarness.Pool): Promise<void> => {
  const [site] = pool.sites;
  assert.ok(site);
  site.worker.faults.delayOrders = 1;
  await pool.clock.advance(WORK_MS + 500);
  assert.equal(pool.runs().filter(({ how }) => how === 'done').length, TASKS);
};

/** A job of tasks that are done once each. */
const SMALL_JOB: Omit<poolCases.Case, 'name' | 'act'> = {
  options: OPTIONS,
  jobs: [[[SMALL], { jobId: 'a' }]],
  states: { a: 'complete' },
  runs: TASKS,
};

const CASES: readonly poolCases.Case[] = [
  {
    ...SMALL_JOB,
    name: 'they end while the store is down',
    act: (pool) => endDuringOutage(pool),
  },
  {
    ...SMALL_JOB,
    name: 'they end while the store is down, and the leader changes',
    act: (pool, first) =>
      endDuringOutage(pool, () => {
        first.kill();
        pool.addCandidate();
      }),
  },
  {
    ...SMALL_JOB,
    name: 'they end while the store is down, and the agent is restarted',
    act: (pool) => endDuringOutage(pool, () => pool.sites[0]?.restartAgent()),
  },
  {
    ...SMALL_JOB,
    name: 'the acknowledgement of the first one is delayed',
    act: delayFirstAcknowledgement,
  },
  {
    ...SMALL_JOB,
    name: 'runs that have ended are stopped for a claim',
    jobs: [[[SMALL], { jobId: 'a', priority: 2 }]],
    act: async (pool) => {
      await delayFirstAcknowledgement(pool);
      await pool.submit(fixtures.makeJob([WHOLE_WORKER], CLAIM));
    },
    states: { a: 'complete', claim: 'complete' },
    runs: TASKS + 1,
  },
];

// Guards against done tasks that run again: a run in neither list was taken for lost while the list of ends was full.
poolCases.describeCases('a worker with more ends than it lists', CASES);
