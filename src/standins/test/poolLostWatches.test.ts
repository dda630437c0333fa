/**
 * Lost watches of any age: changes reach the leader in time, whenever an outage ends.
 *
 * In a store outage each process sent a watch that is never answered. How long it stays in flight after the
 * outage depends on when it was sent, so each bound is checked for many end times of the outage.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';
import * as poolPromises from './poolPromises.js';

/** End times of the outage, spanning more than the longest time that a lost watch is in flight. */
const ENDS_MS = Array.from({ length: 35 }, (_, index) => 6500 + index * 170);

const loseWatchesFor = async (pool: poolHarness.Pool, durationMs: number): Promise<void> => {
  pool.store.faults.areWatchesLost = true;
  await pool.clock.advance(durationMs);
};

const runsOf = (pool: poolHarness.Pool, jobId: string) =>
  pool.runs().filter((it) => runAssertions.jobIdOf(it) === jobId);

const checkUpdates = async (endMs: number): Promise<void> => {
  const pool = poolHarness.createPool({ workers: 2, workMs: () => 60_000 });
  await pool.submit(fixtures.makeJob([{ count: 2 }], { jobId: 'a' }));
  pool.addCandidate();
  await pool.clock.advance(1000);
  await loseWatchesFor(pool, endMs);
  pool.store.faults.areWatchesLost = false;
  await pool.cancel('a');
  await pool.submit(fixtures.makeJob([{}], { jobId: 'b' }));
  await pool.clock.advance(poolPromises.RECLAIM_MS);
  assert.equal(
    runsOf(pool, 'b').length,
    1,
    `the new job has not started, outage ended at ${endMs}`,
  );
  await pool.clock.advance(poolPromises.CANCEL_MS + poolPromises.STOP_MS - poolPromises.RECLAIM_MS);
  const ends = runsOf(pool, 'a').map((it) => it.how);
  assert.deepEqual(
    ends,
    ['stopped', 'stopped'],
    `the cancelled job is still running, outage ended at ${endMs}`,
  );
  pool.dispose();
};

const checkTakeover = async (endMs: number): Promise<void> => {
  const pool = poolHarness.createPool({ workers: 1 });
  await pool.ready;
  const first = pool.addCandidate();
  pool.addCandidate();
  await pool.clock.advance(1000);
  await loseWatchesFor(pool, endMs - poolHarness.LEADER_LEASE_MS);
  first.kill();
  await pool.clock.advance(poolHarness.LEADER_LEASE_MS);
  pool.store.faults.areWatchesLost = false;
  await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
  await pool.clock.advance(poolPromises.RECLAIM_MS);
  assert.equal(pool.runs().length, 1, `there is no leader, outage ended at ${endMs}`);
  pool.dispose();
};

/** Guards against a watch that reports no changes while all other calls are answered. */
const checkNotified = async (): Promise<void> => {
  const pool = poolHarness.createPool({ workers: 2, workMs: () => 60_000 });
  await pool.ready;
  const candidate = pool.addCandidate();
  await pool.clock.advance(1000);
  pool.store.faults.areWatchesLost = true;
  await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
  void candidate.leader()?.handleStoredRecord('a', 'spec');
  await pool.clock.advance(200);
  assert.equal(pool.runs().length, 1, 'the job has not started');
  await pool.cancel('a');
  void candidate.leader()?.handleStoredRecord('a', 'cancel');
  await pool.clock.advance(200 + poolPromises.STOP_MS);
  assert.equal(pool.runs()[0]?.how, 'stopped');
  pool.dispose();
};

test.test(
  'jobs and cancellations reported by an entry take effect without the watch',
  checkNotified,
);

const CASES = [
  { name: 'a cancelled job stops and a new one starts', check: checkUpdates },
  { name: 'a leader that has ended is succeeded', check: checkTakeover },
];

test.describe('in time after an outage, whenever it ends', () => {
  for (const { name, check } of CASES) {
    test.it(name, async () => {
      for (const endMs of ENDS_MS) await check(endMs);
    });
  }
});
