/**
 * End-to-end tests of a job whose progress record the store refuses.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as logging from '../../base/common/logging.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

const WORKERS = 2;
const ACCELERATORS = 8;

/** Rows of a few tasks fit, and those of the large job don't. */
const MAX_VALUE_BYTES = 1200;

/** A job of more tasks than its record may hold, which could occupy each accelerator. */
const LARGE = fixtures.makeJob([{ count: 60 }], { jobId: 'large' });

const WIDE_STEP = { resources: { cpuMillicores: 1, memoryMb: 1, accelerators: ACCELERATORS } };

interface Case {
  readonly name: string;
  readonly act: (pool: poolHarness.Pool, leader: poolHarness.Candidate) => Promise<void>;
}

const CASES: readonly Case[] = [
  { name: 'under one leader', act: () => Promise.resolve() },
  {
    name: 'at a change of the leader',
    act: async (pool, leader) => {
      leader.kill();
      pool.addCandidate();
      await pool.clock.advance(3000);
    },
  },
  {
    name: 'after an outage of the store',
    act: async (pool) => {
      pool.store.faults.isDown = true;
      await pool.clock.advance(3000);
      pool.store.faults.isDown = false;
    },
  },
];

/** A write that is refused again and again is repeated this often at most in the time of a test. */
const MAX_REFUSALS = 12;

test.describe('a job whose record the store refuses', () => {
  for (const { name, act } of CASES) {
    // Guards against a leader that repeats a refused write before all others, so that nothing of any job starts.
    test.it(`holds up no other job ${name}`, async () => {
      let refusals = 0;
      const log: logging.Log = (_level, event) => {
        if (event === 'recordRefused') refusals += 1;
      };
      const pool = poolHarness.createPool({ workers: WORKERS, log });
      pool.store.faults.maxValueBytes = MAX_VALUE_BYTES;
      const leader = pool.addCandidate();
      await pool.submit(LARGE);
      await pool.clock.advance(2000);
      await act(pool, leader);
      const others = ['a', 'b', 'c', 'd'];
      for (const jobId of others) await pool.submit(fixtures.makeJob([WIDE_STEP], { jobId }));
      await pool.clock.advance(8000);
      for (const jobId of others) {
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      assert.ok(refusals > 0 && refusals <= MAX_REFUSALS, `${refusals} refused writes`);
      pool.dispose();
    });
  }

  // Guards against a job that is given up for good although its record has become small enough.
  test.it('goes on once the store takes its record', async () => {
    const pool = poolHarness.createPool({ workers: WORKERS });
    pool.store.faults.maxValueBytes = MAX_VALUE_BYTES;
    pool.addCandidate();
    await pool.submit(LARGE);
    await pool.clock.advance(5000);
    pool.store.faults.maxValueBytes = 10 * MAX_VALUE_BYTES;
    await pool.clock.advance(30_000);
    assert.equal((await pool.progress('large'))?.state, 'complete');
    runAssertions.assertAtMostOnce(pool.runs());
    pool.dispose();
  });
});
