/**
 * End-to-end tests of tasks that crash each worker that starts them: how often they start, that their jobs fail, and
 * that jobs of others whose tasks crash along with the worker are done.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as poolWorkerFaults from '../poolWorkerFaults.js';
import * as poolCrashExploration from './poolCrashExploration.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

const WORKERS = 6;
const WORK_MS = 4000;

/** From the first submission to the last check. */
const TEST_MS = 90_000;

const BACK_AFTER_MS = 3000;

/** How the tasks of jobs whose id begins with `bad` crash their workers. */
const AT_START: poolWorkerFaults.TaskCrash = {
  afterMs: 10,
  backAfterMs: BACK_AFTER_MS,
  keepsId: false,
};

type JobArguments = Parameters<typeof fixtures.makeJob>;

const BAD: JobArguments = [[{}], { jobId: 'bad' }];

const others = (count: number, step: Partial<poolJob.Step> = {}): JobArguments[] =>
  Array.from({ length: count }, (_, index) => [
    [{ estimatedMs: WORK_MS, ...step }],
    { jobId: `other${index}` },
  ]);

/** Calls back at each multiple of the interval. */
const every = async (
  pool: poolHarness.Pool,
  intervalMs: number,
  act: () => void | Promise<void>,
): Promise<void> => {
  for (let passedMs = intervalMs; passedMs < TEST_MS; passedMs += intervalMs) {
    await pool.clock.advance(intervalMs);
    await act();
  }
};

interface CrashCase {
  readonly name: string;
  readonly jobs: readonly JobArguments[];
  readonly crash?: Partial<poolWorkerFaults.TaskCrash>;
  /** Tasks that crash their workers; by default all tasks of jobs whose id begins with `bad`. */
  readonly crashes?: (task: string) => boolean;
  /** Runs for the time of the test. */
  readonly act?: (pool: poolHarness.Pool, first: poolHarness.Candidate) => Promise<void>;
}

const CASES: readonly CrashCase[] = [
  { name: 'its worker is back under another id', jobs: [BAD] },
  { name: 'its worker is back under its id', jobs: [BAD], crash: { keepsId: true } },
  { name: 'the worker crashes before it answers the start', jobs: [BAD], crash: { afterMs: 0 } },
  {
    name: 'the worker crashes before it answers, and is back under its id',
    jobs: [BAD],
    crash: { afterMs: 0, keepsId: true },
  },
  { name: 'the worker crashes a second after the start', jobs: [BAD], crash: { afterMs: 1000 } },
  {
    name: 'the worker crashes three seconds after the start',
    jobs: [BAD],
    crash: { afterMs: 3000 },
  },
  { name: 'the worker is back after eight seconds', jobs: [BAD], crash: { backAfterMs: 8000 } },
  { name: 'the worker is back at once', jobs: [BAD], crash: { backAfterMs: 0 } },
  {
    name: 'the leader is killed every five seconds',
    jobs: [BAD],
    act: async (pool, first) => {
      let leader = first;
      await every(pool, 5000, () => {
        leader.kill();
        leader = pool.addCandidate();
      });
    },
  },
  {
    name: 'the leader is killed while the worker is down',
    jobs: [BAD],
    act: async (pool, first) => {
      let leader = first;
      let starts = 0;
      await every(pool, 100, () => {
        if (pool.runs().length === starts) return;
        starts = pool.runs().length;
        leader.kill();
        leader = pool.addCandidate();
      });
    },
  },
  {
    name: 'agents are restarted in turn',
    jobs: [BAD],
    act: async (pool) => {
      let turn = 0;
      await every(pool, 900, () => {
        pool.sites[turn % WORKERS]?.restartAgent();
        turn += 1;
      });
    },
  },
  {
    name: 'the agent beside the worker is restarted while it is down',
    jobs: [BAD],
    act: async (pool) => {
      let starts = 0;
      await every(pool, 100, () => {
        if (pool.runs().length === starts) return;
        starts = pool.runs().length;
        pool.sites.find(({ worker }) => worker.faults.isSilent)?.restartAgent();
      });
    },
  },
  {
    name: 'one member of a gang',
    jobs: [[[{ count: 3, isGang: true }], { jobId: 'bad' }]],
    crashes: (task) => task === 'bad.0.0.1',
  },
  {
    name: 'every member of a gang of entire workers',
    jobs: [
      [
        [
          {
            count: 3,
            isGang: true,
            resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 8 },
          },
        ],
        { jobId: 'bad' },
      ],
    ],
    crash: { afterMs: 500 },
  },
  { name: 'a long-running task', jobs: [[[{ isLongRunning: true }], { jobId: 'bad' }]] },
  {
    name: 'a task of a later occurrence',
    jobs: [
      [
        [{}],
        {
          jobId: 'bad',
          schedule: { firstAtMs: 1_000_000, intervalMs: 10_000, occurrences: 9 },
        },
      ],
    ],
    crashes: (task) => task === 'bad.1.0.0',
  },
  { name: 'beside thirty jobs of one task', jobs: [BAD, ...others(30)] },
  {
    name: 'beside thirty jobs of one task, with an urgent job',
    jobs: [[[{}], { jobId: 'bad', priority: 0 }], ...others(30)],
  },
  {
    name: 'a second after the start, beside thirty jobs of one task',
    jobs: [BAD, ...others(30)],
    crash: { afterMs: 1000 },
  },
  {
    name: 'beside more work than the workers hold',
    jobs: [BAD, ...others(150)],
  },
  {
    name: 'three such jobs beside twenty others',
    jobs: [
      ...['bad1', 'bad2', 'bad3'].map((jobId): JobArguments => [[{}], { jobId }]),
      ...others(20),
    ],
  },
  {
    name: 'one task of a wide step beside others',
    jobs: [[[{ count: 9, estimatedMs: WORK_MS }], { jobId: 'bad' }], ...others(10)],
    crashes: (task) => task === 'bad.0.0.4',
  },
];

const isBad = (task: string): boolean => task.startsWith('bad');

test.describe('a task that crashes its workers starts within its budget, and only its job fails', () => {
  for (const it of CASES) {
    test.it(it.name, async () => {
      const { crashes = isBad } = it;
      const pool = poolHarness.createPool({ workers: WORKERS, workMs: () => WORK_MS });
      for (const { worker } of pool.sites) {
        worker.faults.crashOf = (task) =>
          crashes(task) ? { ...AT_START, ...it.crash } : undefined;
      }
      for (const job of it.jobs) await pool.submit(fixtures.makeJob(...job));
      const first = pool.addCandidate();
      const act = it.act ?? (() => pool.clock.advance(TEST_MS));
      await act(pool, first);
      poolCrashExploration.assertWithinBudget(pool.runs(), crashes);
      runAssertions.assertAtMostOnce(pool.runs());
      for (const [, changes] of it.jobs) {
        const jobId = changes?.jobId ?? '';
        const expected = isBad(jobId) ? 'failed' : 'complete';
        assert.equal((await pool.progress(jobId))?.state, expected, jobId);
      }
      pool.dispose();
    });
  }
});

/** Crashes a worker as by a power loss; it is back under another id. */
const crashByItself = (pool: poolHarness.Pool, site: poolHarness.Site, workerId: string): void => {
  site.worker.crash(workerId);
  site.worker.faults.isSilent = true;
  pool.clock.after(BACK_AFTER_MS, () => {
    site.worker.faults.isSilent = false;
  });
};

interface InnocentCase {
  readonly name: string;
  readonly jobs: readonly JobArguments[];
  readonly act: (pool: poolHarness.Pool) => Promise<void>;
}

const ENTIRE_WORKER: Partial<poolJob.Step> = {
  resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 8 },
};

const INNOCENT_CASES: readonly InnocentCase[] = [
  {
    name: 'all workers crash three times in fourteen seconds',
    jobs: others(20),
    act: async (pool) => {
      for (let round = 0; round < 3; round += 1) {
        await pool.clock.advance(2000);
        pool.sites.forEach((site, index) => {
          crashByItself(pool, site, `again${index}.${round}`);
        });
        await pool.clock.advance(3500);
      }
    },
  },
  {
    name: 'all workers and their agents lose power five times',
    jobs: others(6, ENTIRE_WORKER),
    act: async (pool) => {
      for (let round = 0; round < 5; round += 1) {
        await pool.clock.advance(2000);
        pool.sites.forEach((site, index) => {
          crashByItself(pool, site, `again${index}.${round}`);
          site.restartAgent();
        });
        await pool.clock.advance(4000);
      }
    },
  },
  {
    name: 'workers crash in turn',
    jobs: others(30),
    act: async (pool) => {
      for (let round = 0; round < 12; round += 1) {
        await pool.clock.advance(1700);
        const site = pool.sites[round % WORKERS];
        if (site !== undefined) crashByItself(pool, site, `again${round}`);
      }
    },
  },
  {
    name: 'workers crash in turn under tasks of entire workers',
    jobs: others(12, ENTIRE_WORKER),
    act: async (pool) => {
      for (let round = 0; round < 12; round += 1) {
        await pool.clock.advance(1700);
        const site = pool.sites[round % WORKERS];
        if (site !== undefined) crashByItself(pool, site, `again${round}`);
      }
    },
  },
  {
    name: 'agents are cut off in turn',
    jobs: others(30),
    act: async (pool) => {
      for (let round = 0; round < 6; round += 1) {
        const site = pool.sites[round % WORKERS];
        assert.ok(site);
        site.isCut = true;
        await pool.clock.advance(9000);
        site.isCut = false;
      }
    },
  },
  {
    name: 'workers drain and leave in turn',
    jobs: others(30),
    act: async (pool) => {
      for (let round = 0; round < 6; round += 1) {
        const { worker } = pool.sites[round % WORKERS] ?? {};
        worker?.drain(1500);
        await pool.clock.advance(1500);
        worker?.crash(`next${round}`);
        await pool.clock.advance(1500);
      }
    },
  },
];

// Guards against a job that is given up although it can be done, because its workers crashed for other reasons.
test.describe('no job fails whose workers crash by themselves', () => {
  for (const it of INNOCENT_CASES) {
    test.it(it.name, async () => {
      const pool = poolHarness.createPool({ workers: WORKERS, workMs: () => WORK_MS });
      for (const job of it.jobs) await pool.submit(fixtures.makeJob(...job));
      pool.addCandidate();
      await it.act(pool);
      await pool.clock.advance(TEST_MS);
      for (const [, changes] of it.jobs) {
        const jobId = changes?.jobId ?? '';
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      pool.dispose();
    });
  }
});

/** Longer than a lease and its margins. */
const LAPSE_MS = 9000;

// Guards against tasks that are given up because their workers were cut off from their agents several times.
test.test('a worker that does not answer for long and goes on has not crashed', async () => {
  const pool = poolHarness.createPool({ workers: 1, workMs: () => WORK_MS });
  await pool.submit(fixtures.makeJob([{}], { jobId: 'other' }));
  pool.addCandidate();
  await pool.clock.advance(500);
  const [site] = pool.sites;
  assert.ok(site);
  const crashes = async (): Promise<unknown> => (await pool.progress('other'))?.tasks[0]?.crashes;
  site.worker.faults.isSilent = true;
  await pool.clock.advance(LAPSE_MS);
  assert.deepEqual(await crashes(), [{ run: 1, ranMs: 0, evidence: 'unseen' }]);
  site.worker.faults.isSilent = false;
  await pool.clock.advance(1000);
  assert.equal(await crashes(), undefined);
  await pool.clock.advance(TEST_MS);
  assert.equal((await pool.progress('other'))?.state, 'complete');
  pool.dispose();
});
