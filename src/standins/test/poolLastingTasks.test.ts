/**
 * End-to-end tests of a gang that needs the workers of lasting tasks.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from './poolHarness.js';

const WORKERS = 3;

const isLasting = (task: string): boolean => task.startsWith('lasting');

/** One task on each worker. */
const LASTING = fixtures.makeJob([{ count: WORKERS, maxPerWorker: 1, isLongRunning: true }], {
  jobId: 'lasting',
});

const GANG = fixtures.makeJob(
  [
    {
      count: WORKERS,
      isGang: true,
      resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 8 },
    },
  ],
  { jobId: 'gang' },
);

interface Case {
  readonly name: string;
  readonly act: (pool: poolHarness.Pool, leader: poolHarness.Candidate) => Promise<void>;
  /** State of the gang at the end. */
  readonly gang: string | undefined;
}

const CASES: readonly Case[] = [
  { name: 'under one leader', act: () => Promise.resolve(), gang: undefined },
  {
    name: 'at a change of the leader',
    act: async (pool, leader) => {
      leader.kill();
      pool.addCandidate();
      await pool.clock.advance(6000);
    },
    gang: undefined,
  },
  {
    name: 'until it can start',
    act: (pool) => pool.cancel('lasting'),
    gang: 'complete',
  },
];

test.describe('a gang that waits for lasting tasks', () => {
  for (const { name, act, gang } of CASES) {
    // Guards against a gang that keeps an idle pool from all behind it for as long as the tasks in its way last.
    test.it(`holds up no job behind it ${name}`, async () => {
      const pool = poolHarness.createPool({
        workers: WORKERS,
        workMs: (task) => (isLasting(task) ? Infinity : 1000),
      });
      const leader = pool.addCandidate();
      await pool.submit(LASTING);
      await pool.clock.advance(2000);
      assert.equal(pool.runs().filter(({ task }) => isLasting(task)).length, WORKERS);
      await pool.submit(GANG);
      await pool.clock.advance(3000);
      await act(pool, leader);
      const behind = ['a', 'b', 'c', 'd'];
      for (const jobId of behind) {
        await pool.submit(fixtures.makeJob([{}], { jobId, priority: 2 }));
      }
      await pool.clock.advance(6000);
      for (const jobId of behind) {
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      assert.equal((await pool.progress('gang'))?.state, gang);
      pool.dispose();
    });
  }
});
