/**
 * Lost watches of any age: news reach the leader in time whenever an outage ends.
 *
 * In an outage of the store each process sent a watch that is never answered. How long it is still open when the
 * store is back depends on when it was sent, so each bound is checked at many moments of that.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolKit from './poolKit.js';
import * as poolPromises from './poolPromises.js';

/** Ends of the outage, over more than the longest time that a lost watch may be open. */
const ENDS_MS = Array.from({ length: 35 }, (_, index) => 6500 + index * 170);

const loseWatchesFor = async (pool: poolKit.Pool, durationMs: number): Promise<void> => {
  pool.store.faults.areWatchesLost = true;
  await pool.clock.advance(durationMs);
};

const runsOf = (pool: poolKit.Pool, jobId: string) =>
  pool.runs().filter((it) => poolKit.jobIdOf(it) === jobId);

const checkNews = async (endMs: number): Promise<void> => {
  const pool = poolKit.createPool({ workers: 2, workMs: () => 60_000 });
  await pool.submit(fixtures.makeJob([{ count: 2 }], { jobId: 'a' }));
  pool.addCandidate();
  await pool.clock.advance(1000);
  await loseWatchesFor(pool, endMs);
  pool.store.faults.areWatchesLost = false;
  await pool.cancel('a');
  await pool.submit(fixtures.makeJob([{}], { jobId: 'b' }));
  await pool.clock.advance(poolPromises.RECLAIM_MS);
  assert.equal(runsOf(pool, 'b').length, 1, `the new job has not begun, end ${endMs}`);
  await pool.clock.advance(poolPromises.CANCEL_MS + poolPromises.STOP_MS - poolPromises.RECLAIM_MS);
  const ends = runsOf(pool, 'a').map((it) => it.how);
  assert.deepEqual(ends, ['stopped', 'stopped'], `the cancelled job works on, end ${endMs}`);
  pool.dispose();
};

const checkVacancy = async (endMs: number): Promise<void> => {
  const pool = poolKit.createPool({ workers: 1 });
  await pool.ready;
  const first = pool.addCandidate();
  pool.addCandidate();
  await pool.clock.advance(1000);
  await loseWatchesFor(pool, endMs - poolKit.LEADER_LEASE_MS);
  first.kill();
  await pool.clock.advance(poolKit.LEADER_LEASE_MS);
  pool.store.faults.areWatchesLost = false;
  await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
  await pool.clock.advance(poolPromises.RECLAIM_MS);
  assert.equal(pool.runs().length, 1, `nobody leads, end ${endMs}`);
  pool.dispose();
};

/** Guards against a watch that hears nothing while all other calls are answered. */
const checkTold = async (): Promise<void> => {
  const pool = poolKit.createPool({ workers: 2, workMs: () => 60_000 });
  await pool.ready;
  const candidate = pool.addCandidate();
  await pool.clock.advance(1000);
  pool.store.faults.areWatchesLost = true;
  await pool.submit(fixtures.makeJob([{}], { jobId: 'a' }));
  void candidate.leader()?.handleStoredRecord('a', 'spec');
  await pool.clock.advance(200);
  assert.equal(pool.runs().length, 1, 'the job has not begun');
  await pool.cancel('a');
  void candidate.leader()?.handleStoredRecord('a', 'cancel');
  await pool.clock.advance(200 + poolPromises.STOP_MS);
  assert.equal(pool.runs()[0]?.how, 'stopped');
  pool.dispose();
};

test.test('what an entry has stored begins, and stops, without the watch', checkTold);

const CASES = [
  { name: 'a cancelled job stops and a new one begins', check: checkNews },
  { name: 'a leader that has ended is followed', check: checkVacancy },
];

test.describe('in time after an outage, whenever it ends', () => {
  for (const { name, check } of CASES) {
    test.it(name, async () => {
      for (const endMs of ENDS_MS) await check(endMs);
    });
  }
});
