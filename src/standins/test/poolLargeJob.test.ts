/**
 * End-to-end tests of the largest job that is accepted, and of urgent jobs that come while its tasks start.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as logging from '../../base/common/logging.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolJob from '../../state/common/pool/poolJob.js';
import * as store from '../../state/common/store.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

const TASKS = poolJob.maxTasksPerJob(store.MAX_VALUE_BYTES);

const WORKERS = 11;

/** Latency of the store. */
const STORE_MS = 6;

const URGENT_JOBS = 5;
const URGENT_PERIOD_MS = 1000;
const MAX_URGENT_WAIT_MS = 1000;

/** Starts in one turn of the leader's event loop. */
const MAX_STARTS_AT_ONCE = 300;

const LARGE = fixtures.makeJob(
  [{ count: TASKS, resources: { cpuMillicores: 100, memoryMb: 64, accelerators: 0 } }],
  { jobId: 'large', priority: 2 },
);

interface Case {
  readonly name: string;
  readonly act: (pool: poolHarness.Pool, leader: poolHarness.Candidate) => void;
  /** From an urgent job's acceptance to its start; a change of the leader takes as long as the leases. */
  readonly maxWaitMs: number;
}

const CASES: readonly Case[] = [
  { name: 'under one leader', act: () => undefined, maxWaitMs: MAX_URGENT_WAIT_MS },
  {
    name: 'at a change of the leader while its tasks start',
    act: (pool, leader) => {
      leader.kill();
      pool.addCandidate();
    },
    maxWaitMs: poolHarness.LEADER_LEASE_MS + MAX_URGENT_WAIT_MS,
  },
];

test.describe('the largest job', () => {
  for (const { name, act, maxWaitMs } of CASES) {
    // Guards against a leader that starts all tasks of a large job in one turn, loses its lease and begins anew.
    test.it(`ends and holds up no urgent job ${name}`, async () => {
      const placedAt = new Map<number, number>();
      const log: logging.Log = (_level, event) => {
        if (event !== 'placed') return;
        const nowMs = pool.clock.monotonicMs();
        placedAt.set(nowMs, (placedAt.get(nowMs) ?? 0) + 1);
      };
      const pool: poolHarness.Pool = poolHarness.createPool({
        workers: WORKERS,
        workMs: (task) => (task.startsWith('large') ? 4000 : 500),
        log,
      });
      const leader = pool.addCandidate();
      await pool.clock.advance(2000);
      pool.store.faults.delayMs = STORE_MS;
      void pool.submit(LARGE);
      const acceptedAtMs = new Map<string, number>();
      for (let index = 0; index < URGENT_JOBS; index += 1) {
        const jobId = `urgent${index}`;
        void pool.submit(fixtures.makeJob([{}], { jobId, priority: 0 }));
        acceptedAtMs.set(jobId, pool.clock.monotonicMs() + STORE_MS);
        if (index === 1) act(pool, leader);
        await pool.clock.advance(URGENT_PERIOD_MS);
      }
      await pool.clock.advance(25_000);
      for (const [jobId, atMs] of acceptedAtMs) {
        const run = pool.runs().find((it) => runAssertions.jobIdOf(it) === jobId);
        assert.ok(run !== undefined && run.startedAtMs - atMs <= maxWaitMs, jobId);
      }
      const read = pool.progress('large');
      await pool.clock.advance(STORE_MS);
      assert.equal((await read)?.state, 'complete');
      assert.ok(Math.max(...placedAt.values()) <= MAX_STARTS_AT_ONCE);
      runAssertions.assertAtMostOnce(pool.runs());
      runAssertions.assertNoStartAfterDone(pool.runs());
      pool.dispose();
    });
  }
});
