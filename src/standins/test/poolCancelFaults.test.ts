/**
 * End-to-end tests of a pool whose leader receives requests late: which tasks keep running and which start.
 */
import * as assert from 'node:assert/strict';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import * as poolCases from './poolCases.js';
import * as poolHarness from './poolHarness.js';
import * as poolPromises from './poolPromises.js';

/** After this time, every watch in flight was sent while the fault was active. */
const WATCH_OVER_MS = 5500;

/** Ends between a renewal of the leadership lease and a retried write of the leader. */
const OUTAGE_MS = 4050;

const isSecondStepStored = async (pool: poolHarness.Pool): Promise<boolean> => {
  const progress = await pool.progress('a');
  return progress?.tasks.some((it) => it.step === 1 && it.phase === 'assigned') === true;
};

const loseWatches = async (pool: poolHarness.Pool): Promise<void> => {
  await pool.clock.advance(1000);
  pool.store.faults.areWatchesLost = true;
  await pool.clock.advance(WATCH_OVER_MS);
};

const CASES: readonly poolCases.Case[] = [
  {
    // Guards against restarting tasks of a cancelled job on another worker four seconds after the cancellation
    // was acknowledged. The watch that the leader sent during a store outage was never answered while all other
    // calls were, so the leader planned with stale state: it logged `placed run=2` at 15.67, `watchFailed waited
    // 6000 ms` at 16.85 and `cancelLearnt` at 17.06 for a cancellation at 12.01. Storing a start was conditional
    // on the leadership, but not on the job not being cancelled.
    name: 'a cancelled job is not started again',
    options: { workers: 2, workMs: () => 60_000 },
    jobs: [[[{ count: 2 }], { jobId: 'a' }]],
    act: async (pool) => {
      await loseWatches(pool);
      await pool.cancel('a');
      await pool.clock.advance(poolPromises.CANCEL_MS);
      pool.sites.forEach(({ worker }) => worker.crash());
      await pool.clock.advance(2000);
      pool.store.faults.areWatchesLost = false;
    },
    states: { a: 'cancelled' },
    runs: 2,
  },
  {
    // Guards against tasks that run on for five seconds after a cancellation right after a store outage. The
    // leader's watch, sent during the outage, waited five seconds for a change and one for the answer:
    // `cancelLearnt` was logged at 17.06 for a cancellation at 12.01, with two more of the same age.
    name: 'a cancelled job stops soon after an outage',
    options: { workers: 2, workMs: () => 60_000 },
    jobs: [[[{ count: 2 }], { jobId: 'a' }]],
    act: async (pool) => {
      await loseWatches(pool);
      pool.store.faults.areWatchesLost = false;
      await pool.cancel('a');
      await pool.clock.advance(poolPromises.CANCEL_MS);
      assert.deepEqual(
        pool.runs().map((it) => it.how),
        ['stopped', 'stopped'],
      );
    },
    states: { a: 'cancelled' },
    runs: 2,
  },
  {
    // Guards against an urgent job, submitted right after an outage, that does not start for five seconds.
    name: 'a new job starts soon after an outage',
    options: { workers: 1 },
    jobs: [],
    act: async (pool) => {
      await loseWatches(pool);
      pool.store.faults.areWatchesLost = false;
      await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
      await pool.clock.advance(poolPromises.RECLAIM_MS);
      assert.equal(pool.runs().length, 1);
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // The store is back after an outage during which leases did not run down. The leader stores the start of
    // a second step, but may send it only after renewing its own lease; the caller cancels in between.
    name: 'a start that is held until the leadership is renewed is not sent after a cancellation',
    options: { workers: 1, workMs: () => 2000 },
    jobs: [[[{}, { after: [0] }], { jobId: 'a' }]],
    act: async (pool) => {
      const { faults } = pool.store;
      faults.pausesLeases = true;
      await pool.clock.advance(1000);
      faults.isDown = true;
      await pool.clock.advance(OUTAGE_MS);
      faults.areWatchesLost = true;
      faults.isDown = false;
      for (let ms = 0; ms < 1000 && !(await isSecondStepStored(pool)); ms += 1) {
        await pool.clock.advance(1);
      }
      assert.equal(pool.runs().length, 1);
      await pool.cancel('a');
      await pool.clock.advance(poolPromises.CANCEL_MS);
    },
    states: { a: 'cancelled' },
    runs: 1,
  },
  {
    // Guards against six seconds without a leader, in which no task starts or stops: the leader's process ends
    // right after an outage, and the other candidates' watches, sent during the outage, are never answered.
    name: 'a leader that ends after an outage is soon succeeded',
    options: { workers: 1 },
    jobs: [],
    act: async (pool, first) => {
      pool.addCandidate();
      await loseWatches(pool);
      await pool.clock.advance(WATCH_OVER_MS);
      first.kill();
      await pool.clock.advance(poolHarness.LEADER_LEASE_MS);
      pool.store.faults.areWatchesLost = false;
      await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
      await pool.clock.advance(poolPromises.RECLAIM_MS);
      assert.equal(pool.runs().length, 1);
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // Guards against reporting an empty queue after a job of it was accepted: the leader's watch was lost in an
    // outage. An entry that gets no count from the leader counts the records in the store.
    name: 'a leader with stale state reports no count of waiting jobs',
    options: { workers: 1 },
    jobs: [],
    act: async (pool, first) => {
      await pool.clock.advance(1000);
      assert.deepEqual(first.leader()?.pendingByQueue(), {});
      await loseWatches(pool);
      await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
      const leader = first.leader();
      assert.ok(leader);
      assert.equal(leader.pendingByQueue(), undefined);
      pool.store.faults.areWatchesLost = false;
      await pool.clock.advance(poolPromises.RECLAIM_MS);
      assert.deepEqual(first.leader()?.pendingByQueue(), {});
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // Guards against an unreadable agent record that blocks all later changes: the leader threw on every watch
    // answer that contained it, and repeated the watch from the same revision.
    name: 'an unreadable record does not block later changes',
    options: { workers: 1 },
    jobs: [],
    act: async (pool) => {
      await pool.clock.advance(1000);
      const puts = [{ key: poolKeys.agentKey('other'), value: '{' }];
      await pool.store.transact({ conditions: [], puts, removes: [] });
      await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
      await pool.clock.advance(poolPromises.RECLAIM_MS);
      assert.equal(pool.runs().length, 1);
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // Guards against a job record without steps, as another version may write it, that blocks all later changes and each
    // later leader.
    name: 'a job record of another form does not block later changes',
    options: { workers: 1 },
    jobs: [],
    act: async (pool, first) => {
      await pool.clock.advance(1000);
      const key = poolKeys.jobKey('other', poolKeys.JobPart.spec);
      await pool.store.transact({ conditions: [], puts: [{ key, value: '{}' }], removes: [] });
      await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
      await pool.clock.advance(poolPromises.RECLAIM_MS);
      assert.equal(pool.runs().length, 1);
      first.kill();
      pool.addCandidate();
      await pool.submit(fixtures.makeJob([{}], { jobId: 'b' }));
    },
    states: { a: 'complete', b: 'complete' },
    runs: 2,
  },
  {
    // A store that answers within a quarter of a second is slow, not down: the leader's count is fresh enough.
    name: 'a leader reports how many jobs wait while the store is slow',
    options: { workers: 1 },
    jobs: [],
    act: async (pool, first) => {
      await pool.clock.advance(1000);
      pool.store.faults.delayMs = 250;
      for (let ms = 0; ms < 5000; ms += 10) {
        await pool.clock.advance(10);
        assert.deepEqual(first.leader()?.pendingByQueue(), {});
      }
      pool.store.faults.delayMs = 0;
    },
    states: {},
    runs: 0,
  },
];

poolCases.describeCases('a pool whose leader receives requests late', CASES);
