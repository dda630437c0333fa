/**
 * A whole pool whose leader does not hear of what callers ask for: what runs on, and what begins anew.
 */
import * as assert from 'node:assert/strict';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import * as poolCases from './poolCases.js';
import * as poolKit from './poolKit.js';
import * as poolPromises from './poolPromises.js';

/** Every watch that is open after this time was sent under the fault. */
const WATCH_OVER_MS = 5500;

/** Ends between a renewal of the leadership and a write that the leader repeats. */
const OUTAGE_MS = 4050;

const isSecondStepStored = async (pool: poolKit.Pool): Promise<boolean> => {
  const progress = await pool.progress('a');
  return progress?.tasks.some((it) => it.step === 1 && it.phase === 'assigned') === true;
};

const loseWatches = async (pool: poolKit.Pool): Promise<void> => {
  await pool.clock.advance(1000);
  pool.store.faults.areWatchesLost = true;
  await pool.clock.advance(WATCH_OVER_MS);
};

const CASES: readonly poolCases.Case[] = [
  {
    // A caller cancels a job, and four seconds after the acknowledgement its tasks are started again on
    // another worker. The store had been away, and the leader's watch that was sent meanwhile is never
    // answered, while everything else is: the leader went on with its picture of before. Its log had
    // `placed run=2` at 15.67, `watchFailed waited 6000 ms` at 16.85 and `cancelLearnt` at 17.06 for a
    // cancellation of 12.01. A start was stored under the condition that the leader still leads, and
    // not under the one that the job is still wanted.
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
    // A caller cancels a job just after an outage of the store, and its tasks run on for five seconds. The
    // leader's watch was sent in the outage and waited five seconds for a change and one for the answer:
    // `cancelLearnt` came at 17.06 for a cancellation of 12.01, with two others that were as old.
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
    // A caller hands in an urgent job just after an outage, and for five seconds nothing of it begins.
    name: 'a new job begins soon after an outage',
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
    // The store has been away and is back, leases stand as before. The leader stores the start of a
    // second step, and may send it only once its own lease is renewed; the caller cancels between the two.
    name: 'a start that waits for the leadership is not sent after a cancellation',
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
    // The leader's process ends for good just after an outage, while the watches of those that could follow it
    // were sent in the outage and are never answered. Six seconds nobody leads, and nothing begins or stops.
    name: 'a leader that ends after an outage is followed soon',
    options: { workers: 1 },
    jobs: [],
    act: async (pool, first) => {
      pool.addCandidate();
      await loseWatches(pool);
      await pool.clock.advance(WATCH_OVER_MS);
      first.kill();
      await pool.clock.advance(poolKit.LEADER_LEASE_MS);
      pool.store.faults.areWatchesLost = false;
      await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
      await pool.clock.advance(poolPromises.RECLAIM_MS);
      assert.equal(pool.runs().length, 1);
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // A caller asks how many jobs of its queue wait, and is told of none, although one was accepted before. The
    // leader's watch was lost in an outage; an entry that gets no figure from the leader counts in the store.
    name: 'a leader with old knowledge does not tell how many jobs wait',
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
    // A record of an agent can't be read. The leader threw at each answer of its watch that had it, asked again
    // from before, and heard of nothing that came after.
    name: 'a record that nobody can read hides nothing else',
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
    // Stores that answer in a quarter of a second are slow, not away: the leader's figure is fresh enough.
    name: 'a leader tells how many jobs wait while the store is slow',
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

poolCases.describeCases('a pool whose leader does not hear of what callers ask for', CASES);
