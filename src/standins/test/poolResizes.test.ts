/**
 * End-to-end tests of workers whose capacity shrinks and grows while they run tasks.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from './poolHarness.js';
import * as poolPromises from './poolPromises.js';

const FULL = 8;
const SHRUNK = 3;
const TEST_MS = 60_000;

/** A heartbeat that tells of the change is at most this old. */
const HEARTBEAT_MS = 500;

/** Time within which a waiting task starts once there is room for it. */
const START_MS = 1500;

type JobArguments = Parameters<typeof fixtures.makeJob>;

const job = (
  jobId: string,
  accelerators: number,
  step: Partial<poolJob.Step> = {},
  changes: fixtures.JobChanges = {},
): JobArguments => [
  [{ resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators }, ...step }],
  { jobId, ...changes },
];

/** Capacity of each worker by time: the changes that a test made. */
type Sizes = Map<string, { readonly atMs: number; readonly accelerators: number }[]>;

interface Scene {
  readonly pool: poolHarness.Pool;
  readonly resize: (index: number, accelerators: number) => void;
  /** Ends the leader and starts another one. */
  readonly replaceLeader: () => void;
  readonly submit: (...its: JobArguments[]) => Promise<void>;
}

interface Case {
  readonly name: string;
  readonly workers: number;
  readonly guarantees?: Readonly<Record<string, number>>;
  readonly workMs?: number;
  readonly act: (scene: Scene) => Promise<void>;
}

const CASES: readonly Case[] = [
  {
    name: 'shrinks while it is full, with more work waiting',
    workers: 1,
    act: async ({ pool, resize, submit }) => {
      await submit(...Array.from({ length: 24 }, (_, index) => job(`j${index}`, 1)));
      await pool.clock.advance(1500);
      resize(0, SHRUNK);
    },
  },
  {
    name: 'shrinks and grows again',
    workers: 2,
    act: async ({ pool, resize, submit }) => {
      await submit(...Array.from({ length: 40 }, (_, index) => job(`j${index}`, 1)));
      for (let round = 0; round < 4; round += 1) {
        await pool.clock.advance(1300);
        resize(round % 2, SHRUNK);
        await pool.clock.advance(5000);
        resize(round % 2, FULL);
      }
    },
  },
  {
    name: 'shrinks while runs are stopped for a claim',
    workers: 1,
    guarantees: { owner: 3 },
    workMs: 8000,
    act: async ({ pool, resize, submit }) => {
      await submit(...Array.from({ length: 8 }, (_, index) => job(`j${index}`, 1)));
      await pool.clock.advance(1000);
      resize(0, SHRUNK);
      await pool.clock.advance(5000);
      await submit(job('claim', 3, {}, { customerId: 'owner', priority: 0 }));
    },
  },
  {
    name: 'shrinks below a gang that waits for it',
    workers: 2,
    act: async ({ pool, resize, submit }) => {
      await submit(...Array.from({ length: 16 }, (_, index) => job(`j${index}`, 1)));
      await pool.clock.advance(500);
      await submit(job('gang', FULL, { count: 2, isGang: true }));
      resize(0, SHRUNK);
      await pool.clock.advance(8000);
      assert.equal((await pool.progress('gang'))?.tasks.length ?? 0, 0);
      resize(0, FULL);
    },
  },
  {
    name: 'shrinks below a task that waits for it alone',
    workers: 1,
    act: async ({ pool, resize, submit }) => {
      await submit(job('first', 1));
      await pool.clock.advance(500);
      resize(0, SHRUNK);
      await submit(job('wide', FULL), job('small', 1));
      await pool.clock.advance(8000);
      assert.equal((await pool.progress('small'))?.state, 'complete');
      resize(0, FULL);
    },
  },
  {
    name: 'shrinks while no leader is there',
    workers: 1,
    act: async ({ pool, resize, submit, replaceLeader }) => {
      await submit(...Array.from({ length: 16 }, (_, index) => job(`j${index}`, 1)));
      await pool.clock.advance(500);
      resize(0, SHRUNK);
      replaceLeader();
    },
  },
];

const acceleratorsOf = (jobs: readonly JobArguments[], task: string): number => {
  const [jobId] = task.split('.');
  const found = jobs.find(([, changes]) => changes?.jobId === jobId);
  return found?.[0][0]?.resources?.accelerators ?? 0;
};

/** A start may exceed a capacity that shrank only as long as nobody can have acted on it. */
const assertWithinCapacity = (
  pool: poolHarness.Pool,
  jobs: readonly JobArguments[],
  sizes: Sizes,
): void => {
  for (const { worker } of pool.sites) {
    const changes = sizes.get(worker.info().workerId) ?? [];
    for (const run of worker.runs) {
      const recentMs = run.startedAtMs - poolPromises.STABLE_MS - HEARTBEAT_MS;
      const before = changes.filter(({ atMs }) => atMs <= recentMs).at(-1)?.accelerators ?? FULL;
      const since = changes
        .filter(({ atMs }) => atMs > recentMs && atMs <= run.startedAtMs)
        .map(({ accelerators }) => accelerators);
      const beside = worker.runs.filter(
        (it) => it.startedAtMs <= run.startedAtMs && (it.endedAtMs ?? Infinity) > run.startedAtMs,
      );
      const used = beside.reduce((sum, it) => sum + acceleratorsOf(jobs, it.task), 0);
      assert.ok(used <= Math.max(before, ...since), `${run.task} raises the use to ${used}`);
    }
  }
};

test.describe('no start exceeds the capacity of a worker that', () => {
  for (const it of CASES) {
    test.it(it.name, async () => {
      const pool = poolHarness.createPool({
        workers: it.workers,
        workMs: () => it.workMs ?? 2000,
        ...(it.guarantees === undefined ? {} : { guarantees: it.guarantees }),
      });
      const jobs: JobArguments[] = [];
      const sizes: Sizes = new Map();
      let leader = pool.addCandidate();
      await it.act({
        pool,
        resize: (index, accelerators) => {
          const { worker } = pool.sites[index] ?? {};
          assert.ok(worker);
          worker.resize(accelerators);
          const { workerId } = worker.info();
          const atMs = pool.clock.monotonicMs();
          sizes.set(workerId, [...(sizes.get(workerId) ?? []), { atMs, accelerators }]);
        },
        replaceLeader: () => {
          leader.kill();
          leader = pool.addCandidate();
        },
        submit: async (...its) => {
          for (const one of its) {
            jobs.push(one);
            await pool.submit(fixtures.makeJob(...one));
          }
        },
      });
      await pool.clock.advance(TEST_MS);
      assertWithinCapacity(pool, jobs, sizes);
      for (const [, changes] of jobs) {
        const jobId = changes?.jobId ?? '';
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      pool.dispose();
    });
  }
});

// Guards against room that stays unused until the leader happens to plan again.
test.test('a task that waits starts soon after its worker has grown', async () => {
  const pool = poolHarness.createPool({ workers: 1, workMs: () => 2000 });
  pool.addCandidate();
  await pool.clock.advance(500);
  pool.sites[0]?.worker.resize(SHRUNK);
  await pool.clock.advance(2000);
  await pool.submit(fixtures.makeJob(...job('wide', FULL)));
  await pool.clock.advance(10_000);
  assert.deepEqual(pool.runs(), []);
  pool.sites[0]?.worker.resize(FULL);
  await pool.clock.advance(START_MS);
  assert.equal(pool.runs().length, 1);
  pool.dispose();
});
