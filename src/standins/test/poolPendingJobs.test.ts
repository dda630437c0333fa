/**
 * End-to-end tests of the pending jobs of a queue while starts do not begin: as the leader counts them, and as an entry
 * counts them from the store where no leader answers.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logging from '../../base/common/logging.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as pendingCounts from '../../coordination/node/pool/pendingCounts.js';
import * as poolHarness from './poolHarness.js';

const JOB = 'waiting';
const QUEUE = 'queue';
const WORK_MS = 20_000;

/** Longer than the leases of the worker. */
const FAILS_FOR_MS = 8000;

/** A count may be this old when it is answered. */
const MAX_COUNT_AGE_MS = 2000;

interface Case {
  readonly name: string;
  /** Makes starts at the only worker fail to begin. */
  readonly fail: (site: poolHarness.Site) => void;
  /** Whether the leader is killed meanwhile. */
  readonly losesLeader?: boolean;
}

const refuse = ({ worker }: poolHarness.Site): void => {
  worker.faults.refusesStarts = true;
};

const CASES: readonly Case[] = [
  { name: 'its starts are refused', fail: refuse },
  {
    name: 'its starts are refused, and the leader changes',
    fail: refuse,
    losesLeader: true,
  },
  {
    name: 'its start gets no answer and is never carried out',
    fail: ({ worker }) => {
      worker.faults.isSilent = true;
    },
  },
  {
    name: 'its start does not reach the agent',
    fail: (site) => {
      site.isCut = true;
    },
  },
  {
    name: 'its start does not reach the agent, and the leader changes',
    fail: (site) => {
      site.isCut = true;
    },
    losesLeader: true,
  },
];

/** Counts as an entry does while no leader answers. */
const countFromStore = async (pool: poolHarness.Pool): Promise<number> =>
  pendingCounts
    .createPendingCounts({
      store: pool.store,
      clock: pool.clock,
      log: logging.silentLog,
      askLeader: () => Promise.reject(new Error('no leader answers')),
    })
    .ofQueue(QUEUE);

/** Every count that can be given now; a leader that has not loaded the jobs yet gives none. */
const countAll = async (
  pool: poolHarness.Pool,
  candidate: poolHarness.Candidate,
): Promise<number[]> => {
  const byLeader = candidate.leader()?.pendingByQueue();
  const counts = byLeader === undefined ? [] : [byLeader[QUEUE] ?? 0];
  return [...counts, await countFromStore(pool)];
};

// Guards against a job that counts as begun once it is assigned: callers saw no pending job while one waited.
test.describe('a job is pending until a task of it has started', () => {
  for (const { name, fail, losesLeader = false } of CASES) {
    test.it(name, async () => {
      const pool = poolHarness.createPool({ workers: 1, workMs: () => WORK_MS });
      const [site] = pool.sites;
      assert.ok(site);
      let candidate = pool.addCandidate();
      await pool.clock.advance(3000);
      fail(site);
      await pool.submit(fixtures.makeJob([{}], { jobId: JOB }));
      for (let passedMs = 0; passedMs < FAILS_FOR_MS; passedMs += 500) {
        await pool.clock.advance(500);
        if (losesLeader && passedMs === 1000) {
          candidate.kill();
          candidate = pool.addCandidate();
        }
        const counts = await countAll(pool, candidate);
        assert.ok(
          counts.every((count) => count === 1),
          `${passedMs} ms: ${counts.join(', ')}`,
        );
        assert.equal((await pool.progress(JOB))?.state ?? 'queued', 'queued', `${passedMs} ms`);
      }
      assert.equal(pool.runs().length, 0);
      poolHarness.clearFaults(pool);
      while (pool.runs().length === 0) await pool.clock.advance(100);
      await pool.clock.advance(MAX_COUNT_AGE_MS);
      assert.deepEqual(await countAll(pool, candidate), [0, 0]);
      assert.equal((await pool.progress(JOB))?.state, 'running');
      pool.dispose();
    });
  }
});

// Guards against a running job that stays pending: its former leader ended before it had stored that the job has begun.
test.it('a job has begun for the next leader once a worker reports a run of it', async () => {
  const pool = poolHarness.createPool({ workers: 1, workMs: () => WORK_MS });
  const first = pool.addCandidate();
  await pool.clock.advance(3000);
  await pool.submit(fixtures.makeJob([{}], { jobId: JOB }));
  while (pool.runs().length === 0) await pool.clock.advance(10);
  first.kill();
  assert.equal((await pool.progress(JOB))?.state, 'queued');
  const next = pool.addCandidate();
  await pool.clock.advance(poolHarness.LEADER_LEASE_MS + 1000);
  assert.deepEqual(next.leader()?.pendingByQueue(), {});
  await pool.clock.advance(MAX_COUNT_AGE_MS);
  assert.equal((await pool.progress(JOB))?.state, 'running');
  assert.equal(pool.runs().length, 1);
  pool.dispose();
});
