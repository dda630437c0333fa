/**
 * Speeds of workers across leaders, agents and lives of workers: what is known of them survives, and nothing else does.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as speedRecord from '../../state/common/pool/speedRecord.js';
import type * as logging from '../../base/common/logging.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

const WORKERS = 6;
const SLOW = [0, 3];
const SLOW_FACTOR = 2.4;
const WORK_MS = 2000;

/** Enough single tasks for each worker to run several. */
const LEARNT_TASKS = 120;
const LEARN_MS = 20_000;

/** Beyond the leadership's term, so that another candidate leads. */
const TAKE_OVER_MS = 3000;

interface Event {
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

interface Scene {
  readonly pool: poolHarness.Pool;
  readonly first: poolHarness.Candidate;
  readonly events: Event[];
}

const eventsOf = ({ events }: Pick<Scene, 'events'>, name: string): Event[] =>
  events.filter((it) => it.name === name);

/** A log whose lines a test reads. */
const createEventLog = (): { readonly events: Event[]; readonly log: logging.Log } => {
  const events: Event[] = [];
  return { events, log: (_, name, fields = {}) => events.push({ name, fields }) };
};

/** A pool in which two of six workers are slow, after its leader has seen each of them run several tasks. */
const learntScene = async (options: Partial<poolHarness.PoolOptions> = {}): Promise<Scene> => {
  const { events, log } = createEventLog();
  const pool = poolHarness.createPool({ workers: WORKERS, workMs: () => WORK_MS, log, ...options });
  for (const index of SLOW) {
    const worker = pool.sites[index]?.worker;
    if (worker !== undefined) worker.faults.slowFactor = SLOW_FACTOR;
  }
  const first = pool.addCandidate();
  const step = { count: LEARNT_TASKS, estimatedMs: WORK_MS };
  await pool.submit(fixtures.makeJob([step], { jobId: 'learning', priority: 2 }));
  await pool.clock.advance(LEARN_MS);
  return { pool, first, events };
};

/** Workers that run the tasks of an urgent gang of four whole workers, submitted now. */
const workersOfUrgentGang = async ({ pool }: Scene, jobId = 'urgent'): Promise<number[]> => {
  const resources = { cpuMillicores: 1000, memoryMb: 1000, accelerators: 8 };
  const step = { count: WORKERS - SLOW.length, isGang: true, estimatedMs: WORK_MS, resources };
  const acceptedAtMs = pool.clock.wallMs();
  await pool.submit(fixtures.makeJob([step], { jobId, priority: 0, acceptedAtMs }));
  await pool.clock.advance(8000);
  return pool.sites.flatMap(({ worker }, index) =>
    worker.runs.some((run) => runAssertions.jobIdOf(run) === jobId) ? [index] : [],
  );
};

const FAST = Array.from({ length: WORKERS }, (_, index) => index).filter(
  (it) => !SLOW.includes(it),
);

interface Case {
  readonly name: string;
  readonly act: (scene: Scene) => Promise<void>;
}

const SURVIVED: readonly Case[] = [
  { name: 'nothing fails', act: () => Promise.resolve() },
  {
    // Guards against a new leader that begins without knowing which workers are slow.
    name: 'the leader is killed',
    act: async ({ pool, first }) => {
      first.kill();
      pool.addCandidate();
      await pool.clock.advance(TAKE_OVER_MS);
    },
  },
  {
    // Guards against an agent that loses its record and has none for the next leader.
    name: 'all agents restart, and the leader is killed afterwards',
    act: async ({ pool, first }) => {
      pool.sites.forEach((it) => it.restartAgent());
      await pool.clock.advance(TAKE_OVER_MS);
      first.kill();
      pool.addCandidate();
      await pool.clock.advance(TAKE_OVER_MS);
    },
  },
  {
    // Guards against a leader that waits for the agents that it can't reach, or forgets those it can.
    name: 'half of the agents are out of reach while another leader takes over',
    act: async ({ pool, first }) => {
      first.kill();
      const cut = pool.sites.slice(0, WORKERS / 2);
      for (const site of cut) site.isCut = true;
      pool.addCandidate();
      await pool.clock.advance(TAKE_OVER_MS);
      for (const site of cut) site.isCut = false;
      await pool.clock.advance(2000);
    },
  },
  {
    name: 'two leaders follow each other before either learns anything',
    act: async ({ pool, first }) => {
      first.kill();
      const second = pool.addCandidate();
      await pool.clock.advance(TAKE_OVER_MS);
      second.kill();
      pool.addCandidate();
      await pool.clock.advance(TAKE_OVER_MS);
    },
  },
];

test.describe('speeds of workers are known after', () => {
  for (const { name, act } of SURVIVED) {
    test.it(name, async () => {
      const scene = await learntScene();
      await act(scene);
      assert.deepEqual(await workersOfUrgentGang(scene), FAST);
      runAssertions.assertAtMostOnce(scene.pool.runs());
      scene.pool.dispose();
    });
  }
});

/** Records that agents keep from another program, another version or another life of their worker. */
const UNFIT: Readonly<Record<string, string>> = {
  'no JSON': '{',
  'another version': '{"version":2}',
  'a factor of zero': JSON.stringify({
    version: 1,
    workerId: 'w1',
    incarnationMs: 1,
    factor: 0,
    variance: 0.1,
    isApplied: true,
  }),
  'a former life': speedRecord.encodeSpeed({
    workerId: 'w1',
    incarnationMs: 7,
    factor: 3,
    variance: 0.01,
    isApplied: true,
  }),
};

/** A sync of a leader that knows nothing yet. */
const SYNC = { incarnationMs: 0, leaseUntilMs: 0, seenUpTo: 0, knownVersion: 0, waitMs: 0 };

test.describe('speed records that do not fit', () => {
  for (const [name, text] of Object.entries(UNFIT)) {
    // Guards against a record that stops a leader, decides placements or is logged with each update.
    test.it(`${name}: told once and left out`, async () => {
      const { events, log } = createEventLog();
      const pool = poolHarness.createPool({ workers: 2, log });
      await pool.ready;
      void pool.sites[1]?.agent.sync({ ...SYNC, fence: 1, speedRecord: text });
      pool.addCandidate();
      await pool.submit(fixtures.makeJob([{ count: 40 }], { jobId: 'work' }));
      await pool.clock.advance(30_000);
      const refused = eventsOf({ events }, 'speedRecordRefused');
      assert.equal(refused.length, 1);
      assert.equal(refused[0]?.fields.agent, 'agent-1');
      assert.equal((await pool.progress('work'))?.state, 'complete');
      pool.dispose();
    });
  }

  test.it('a record that is too long is not kept by the agent', async () => {
    const pool = poolHarness.createPool({ workers: 1 });
    await pool.ready;
    const { agent } = pool.sites[0] ?? assert.fail('no agent');
    const speed = 'x'.repeat(speedRecord.MAX_RECORD_LENGTH + 1);
    void agent.sync({ ...SYNC, fence: 1, speedRecord: speed });
    const update = agent.sync({ ...SYNC, fence: 2 });
    await pool.clock.advance(1000);
    assert.equal((await update).speedRecord, undefined);
    pool.dispose();
  });
});

test.describe('speeds of workers are not known', () => {
  // Guards against a worker that counts as slow because the one before it under its id was.
  test.it('of the next life of a worker under the same id', async () => {
    const scene = await learntScene();
    const { pool } = scene;
    for (const index of SLOW) {
      const worker = pool.sites[index]?.worker;
      assert.ok(worker);
      worker.crash();
      worker.faults.slowFactor = 1;
    }
    await pool.clock.advance(2000);
    const known = eventsOf(scene, 'workerSpeed').length;
    const workers = await workersOfUrgentGang(scene);
    assert.equal(workers.length, WORKERS - SLOW.length);
    const later = eventsOf(scene, 'workerSpeed').slice(known);
    assert.deepEqual(
      later.filter((it) => Number(it.fields.factor) > 1.5),
      [],
    );
    pool.dispose();
  });

  // Guards against a switch that does not switch it off.
  test.it('where a deployment switches it off', async () => {
    const scene = await learntScene({ learnsSpeeds: false });
    assert.deepEqual(eventsOf(scene, 'workerSpeed'), []);
    scene.pool.dispose();
  });
});
