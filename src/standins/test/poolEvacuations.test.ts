/**
 * End-to-end tests of zones that the operators evacuate: nothing starts there after a bounded time, what runs there
 * continues, and the zone is used again once it is taken back.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as memoryPoolWorker from '../memoryPoolWorker.js';
import * as poolHarness from './poolHarness.js';
import * as poolPromises from './poolPromises.js';
import * as runAssertions from './runAssertions.js';

const ZONES = ['north', 'south'];
const WORKERS = 4;
const WORK_MS = 1000;
const SUBMIT_EVERY_MS = 200;

/** Without faults, all jobs are done within this time. */
const SETTLE_MS = 40_000;

/** Tasks of the load: the workers of one zone can't hold all that run at the same time. */
const HALF_WORKER = { resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 4 } };

const WHOLE_WORKER = { resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 8 } };

/** When a zone was evacuated, by the clock of the pool, and taken back. */
interface Evacuation {
  readonly zone: string;
  readonly fromMs: number;
  untilMs: number;
}

interface Scene {
  readonly pool: poolHarness.Pool;
  readonly evacuate: (zone: string) => Promise<void>;
  readonly takeBack: (zone: string) => Promise<void>;
  readonly submit: (
    jobId: string,
    step?: Partial<poolJob.Step>,
    changes?: fixtures.JobChanges,
  ) => Promise<void>;
  /** Lets the time pass while short tasks arrive. */
  readonly work: (durationMs: number) => Promise<void>;
  /** Kills the leader; another one takes over once its lease has expired. */
  readonly killLeader: () => void;
}

interface TestScene extends Scene {
  readonly evacuations: readonly Evacuation[];
  /** Ids of the submitted jobs. */
  readonly submitted: readonly string[];
}

interface Case {
  readonly name: string;
  readonly act: (scene: Scene) => Promise<void>;
  readonly options?: Partial<poolHarness.PoolOptions>;
}

/** Calls of clients are not delayed, nor are their answers lost. */
const withoutDelays = async (pool: poolHarness.Pool, call: () => Promise<void>): Promise<void> => {
  const { faults } = pool.store;
  const { delayMs, loseWriteAnswers } = faults;
  Object.assign(faults, { delayMs: 0, loseWriteAnswers: 0 });
  await call();
  Object.assign(faults, { delayMs, loseWriteAnswers });
};

const zoneOf = (pool: poolHarness.Pool, run: memoryPoolWorker.RecordedRun): string =>
  pool.sites.find(({ worker }) => worker.runs.includes(run))?.worker.info().zone ?? '';

const startsIn = (pool: poolHarness.Pool, zone: string): memoryPoolWorker.RecordedRun[] =>
  pool.runs().filter((it) => zoneOf(pool, it) === zone);

const assertNoLateStart = (pool: poolHarness.Pool, evacuations: readonly Evacuation[]): void => {
  for (const { zone, fromMs, untilMs } of evacuations) {
    const late = startsIn(pool, zone).filter(
      ({ startedAtMs }) => startedAtMs > fromMs + poolPromises.EVACUATE_MS && startedAtMs < untilMs,
    );
    assert.deepEqual(
      late.map(({ task, startedAtMs }) => `${task} ${startedAtMs - fromMs} ms after`),
      [],
      `starts in ${zone}`,
    );
  }
};

const CASES: readonly Case[] = [
  {
    name: 'while work arrives',
    act: async ({ evacuate, takeBack, work }) => {
      await work(2000);
      await evacuate('north');
      await work(12_000);
      await takeBack('north');
      await work(3000);
    },
  },
  {
    name: 'before the first leader',
    act: async ({ evacuate, takeBack, work }) => {
      await evacuate('south');
      await work(12_000);
      await takeBack('south');
    },
  },
  {
    name: 'twice, while another zone is evacuated',
    act: async ({ evacuate, takeBack, work }) => {
      await work(1000);
      await evacuate('north');
      await work(7000);
      await evacuate('south');
      await work(2000);
      await takeBack('north');
      await work(6000);
      await takeBack('south');
      await evacuate('north');
      await work(8000);
      await takeBack('north');
      await takeBack('north');
      await work(2000);
    },
  },
  {
    name: 'as its leader is killed',
    act: async ({ evacuate, takeBack, work, killLeader }) => {
      await work(2000);
      await evacuate('north');
      killLeader();
      await work(12_000);
      await takeBack('north');
    },
  },
  {
    name: 'while leaders are killed again and again',
    act: async ({ evacuate, takeBack, work, killLeader }) => {
      await work(1000);
      await evacuate('south');
      for (let turn = 0; turn < 5; turn += 1) {
        await work(3000);
        killLeader();
      }
      await work(3000);
      await takeBack('south');
    },
  },
  {
    name: 'while watches are lost',
    act: async ({ pool, evacuate, takeBack, work, submit }) => {
      await submit('backlog', { count: 100, ...HALF_WORKER });
      await work(2000);
      pool.store.faults.areWatchesLost = true;
      await evacuate('north');
      await work(9000);
      pool.store.faults.areWatchesLost = false;
      await takeBack('north');
    },
  },
  {
    name: 'while watches hear nothing for a second',
    act: async ({ pool, evacuate, takeBack, work }) => {
      await work(2000);
      pool.store.faults.areWatchesSilent = true;
      await evacuate('north');
      await work(1000);
      pool.store.faults.areWatchesSilent = false;
      pool.store.faults.skipNextWatch = true;
      await work(9000);
      await takeBack('north');
    },
  },
  {
    name: 'while the store forgets its history',
    act: async ({ pool, evacuate, takeBack, work }) => {
      await work(2000);
      pool.store.faults.skipNextWatch = true;
      await evacuate('north');
      await work(3000);
      pool.store.faults.skipNextWatch = true;
      await work(6000);
      pool.store.faults.skipNextWatch = true;
      await takeBack('north');
    },
  },
  {
    name: 'just before the store is down',
    act: async ({ pool, evacuate, takeBack, work }) => {
      await work(2000);
      await evacuate('north');
      pool.store.faults.isDown = true;
      await work(8000);
      pool.store.faults.isDown = false;
      await work(6000);
      await takeBack('north');
    },
  },
  {
    name: 'while the store is slow and loses answers',
    act: async ({ pool, evacuate, takeBack, work }) => {
      await work(2000);
      await evacuate('north');
      pool.store.faults.delayMs = 240;
      for (let turn = 0; turn < 8; turn += 1) {
        pool.store.faults.loseWriteAnswers = 2;
        await work(1100);
      }
      pool.store.faults.loseWriteAnswers = 0;
      pool.store.faults.delayMs = 0;
      await takeBack('north');
    },
  },
  {
    // Guards against an order that is on its way as the zone is evacuated: its lease alone lets it start for 5.7 s.
    name: 'while orders are on their way',
    act: async ({ pool, evacuate, takeBack, work, submit }) => {
      await work(2000);
      for (const site of pool.sites) site.orderDelayMs = 5300;
      await submit('delayed', { count: 8 });
      await pool.clock.advance(100);
      await evacuate('north');
      await pool.clock.advance(9000);
      for (const site of pool.sites) site.orderDelayMs = 0;
      await takeBack('north');
    },
  },
  {
    name: 'while the workers are cut off from the leader',
    act: async ({ pool, evacuate, takeBack, work }) => {
      await work(2000);
      const [site] = pool.sites;
      assert.ok(site);
      site.isCut = true;
      await evacuate('north');
      await work(8000);
      site.isCut = false;
      await work(4000);
      await takeBack('north');
    },
  },
  {
    name: 'while its workers crash and agents restart',
    act: async ({ pool, evacuate, takeBack, work }) => {
      await work(2000);
      await evacuate('north');
      for (const site of pool.sites) {
        await work(1500);
        site.worker.crash();
        await work(1500);
        site.restartAgent();
      }
      await work(2000);
      await takeBack('north');
    },
  },
  {
    name: 'while starts there get no answer',
    act: async ({ pool, evacuate, takeBack, work }) => {
      await work(1000);
      for (const site of pool.sites) site.worker.faults.delayOrders = 3;
      await work(1000);
      await evacuate('north');
      await work(20_000);
      await takeBack('north');
    },
  },
  {
    name: 'while claims of a guarantee arrive',
    options: { guarantees: { owner: 16 }, workMs: () => 3000 },
    act: async ({ evacuate, takeBack, work, submit }) => {
      await work(1000);
      await evacuate('north');
      await work(2000);
      const claim = { customerId: 'owner', priority: 0 };
      await submit('claim1', WHOLE_WORKER, claim);
      await work(6000);
      await submit('claim2', WHOLE_WORKER, claim);
      await work(6000);
      await takeBack('north');
    },
  },
  {
    name: 'with all others',
    act: async ({ evacuate, takeBack, work }) => {
      await work(1000);
      for (const zone of ZONES) await evacuate(zone);
      await work(9000);
      for (const zone of ZONES) await takeBack(zone);
    },
  },
];

const createScene = (options: Partial<poolHarness.PoolOptions> = {}): TestScene => {
  const pool = poolHarness.createPool({
    workers: WORKERS,
    zones: ZONES,
    workMs: () => WORK_MS,
    ...options,
  });
  const evacuations: Evacuation[] = [];
  const submitted: string[] = [];
  let leader = pool.addCandidate();
  const submit: Scene['submit'] = async (jobId, step = {}, changes = {}) => {
    submitted.push(jobId);
    await pool.submit(fixtures.makeJob([step], { jobId, ...changes }));
  };
  return {
    pool,
    evacuations,
    submitted,
    submit,
    evacuate: async (zone) => {
      await pool.evacuate(zone);
      evacuations.push({ zone, fromMs: pool.clock.monotonicMs(), untilMs: Infinity });
    },
    takeBack: async (zone) => {
      for (const it of evacuations) {
        if (it.zone === zone) it.untilMs = Math.min(it.untilMs, pool.clock.monotonicMs());
      }
      await pool.takeBack(zone);
    },
    work: async (durationMs) => {
      const untilMs = pool.clock.monotonicMs() + durationMs;
      while (pool.clock.monotonicMs() < untilMs) {
        if (!pool.store.faults.isDown) {
          await withoutDelays(pool, () => submit(`j${submitted.length}`, HALF_WORKER));
        }
        await pool.clock.advance(SUBMIT_EVERY_MS);
      }
    },
    killLeader: () => {
      leader.kill();
      leader = pool.addCandidate();
    },
  };
};

test.describe('nothing starts in a zone that is evacuated', () => {
  for (const { name, act, options } of CASES) {
    test.it(name, async () => {
      const scene = createScene(options);
      const { pool, evacuations, submitted } = scene;
      await act(scene);
      poolHarness.clearFaults(pool);
      await pool.clock.advance(SETTLE_MS);
      assertNoLateStart(pool, evacuations);
      runAssertions.assertAtMostOnce(pool.runs());
      for (const jobId of submitted) {
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      pool.dispose();
    });
  }
});

// Guards against work that is stopped, or moved, since its zone is evacuated.
test.test('what runs in a zone that is evacuated runs on', async () => {
  const scene = createScene({ workMs: () => 9000 });
  const { pool } = scene;
  await scene.submit('long', { count: WORKERS, estimatedMs: 9000, ...WHOLE_WORKER });
  await pool.clock.advance(2000);
  assert.equal(startsIn(pool, 'north').length, WORKERS / 2);
  await scene.evacuate('north');
  await pool.clock.advance(15_000);
  assert.deepEqual(
    pool.runs().map(({ how }) => how),
    Array.from({ length: WORKERS }, () => 'done'),
  );
  pool.dispose();
});

/** Time within which work starts in a zone that was taken back. */
const START_MS = 1500;

// Guards against a zone whose room stays unused once it is taken back.
test.test('a gang that fits only with an evacuated zone waits for it and says why', async () => {
  const waits: string[] = [];
  const scene = createScene({
    log: (_level, event, fields) => {
      if (event === 'waits') waits.push(`${String(fields?.job)} ${String(fields?.evacuatedZones)}`);
    },
  });
  const { pool } = scene;
  await scene.evacuate('south');
  await pool.clock.advance(3000);
  await scene.submit('gang', { count: WORKERS, isGang: true, ...WHOLE_WORKER });
  await pool.clock.advance(10_000);
  assert.equal(pool.runs().length, 0);
  assert.ok(waits.includes('gang south'), waits.join('; '));
  await scene.takeBack('south');
  await pool.clock.advance(START_MS);
  assert.equal(pool.runs().length, WORKERS);
  pool.dispose();
});

interface EventCase {
  readonly name: string;
  readonly records: readonly string[];
  /** Logged once each, in any order. */
  readonly events: readonly string[];
  /** Zones in which nothing may start. */
  readonly evacuated: readonly string[];
}

const EVENT_CASES: readonly EventCase[] = [
  {
    name: 'a zone that the deployment does not have',
    records: ['east', 'north'],
    events: ['evacuationOfUnknownZone', 'zoneEvacuated', 'zoneEvacuated'],
    evacuated: ['north'],
  },
  {
    name: 'a key without a zone',
    records: ['', 'north'],
    events: ['evacuationUnreadable', 'zoneEvacuated'],
    evacuated: ['north'],
  },
  {
    name: 'a key with more than a zone',
    records: ['north/1'],
    events: ['evacuationUnreadable'],
    evacuated: [],
  },
];

test.describe('an evacuation is told once, and the rest goes on, for', () => {
  for (const { name, records, events, evacuated } of EVENT_CASES) {
    test.it(name, async () => {
      const seen: string[] = [];
      const scene = createScene({
        log: (_level, event) => {
          if (/^(evacuation|zone)/.test(event)) seen.push(event);
        },
      });
      const { pool } = scene;
      for (const zone of records) await pool.evacuate(zone);
      for (let turn = 0; turn < 3; turn += 1) {
        pool.store.faults.skipNextWatch = true;
        await scene.work(1000);
      }
      assert.deepEqual(seen.sort(), [...events].sort());
      for (const zone of ZONES) {
        assert.equal(startsIn(pool, zone).length === 0, evacuated.includes(zone), zone);
      }
      pool.dispose();
    });
  }
});

test.test('a zone is reported as empty when its last run has ended', async () => {
  const emptyAtMs: number[] = [];
  const scene = createScene({
    workMs: () => 6000,
    log: (_level, event) => {
      if (event === 'evacuatedZoneEmpty') emptyAtMs.push(scene.pool.clock.monotonicMs());
    },
  });
  const { pool } = scene;
  await scene.submit('long', { count: WORKERS, ...WHOLE_WORKER });
  await pool.clock.advance(1500);
  await scene.evacuate('north');
  await pool.clock.advance(12_000);
  const lastEndMs = Math.max(...startsIn(pool, 'north').map((it) => it.endedAtMs ?? Infinity));
  assert.equal(emptyAtMs.length, 1);
  assert.ok((emptyAtMs[0] ?? 0) >= lastEndMs);
  pool.dispose();
});

/** Events of the leader that concern starts. */
const START_EVENTS = ['placed', 'startNotTaken'];

interface DoubtCase {
  readonly name: string;
  readonly act: (scene: Scene) => Promise<void>;
  /** Which events may not occur meanwhile. */
  readonly event: string;
}

const refuseReads = (pool: poolHarness.Pool): void => {
  pool.store.faults.refusedPrefix = poolHarness.EVACUATIONS_PREFIX;
};

const DOUBT_CASES: readonly DoubtCase[] = [
  {
    // Guards against runs that are preempted in favor of a start in an evacuated zone, which is not sent.
    name: 'places nothing before it has read them',
    act: async ({ pool, killLeader, work }) => {
      refuseReads(pool);
      killLeader();
      await work(8000);
    },
    event: 'placed',
  },
  {
    // Guards against starts that each worker's agent refuses, again and again.
    name: 'sends no starts while they may have changed',
    act: async ({ pool, work }) => {
      refuseReads(pool);
      await work(8000);
    },
    event: 'startNotTaken',
  },
];

test.describe('a leader that can not read the evacuations', () => {
  for (const { name, act, event } of DOUBT_CASES) {
    test.it(name, async () => {
      const events: string[] = [];
      const scene = createScene({
        log: (_level, seen) => {
          if (START_EVENTS.includes(seen)) events.push(seen);
        },
      });
      const { pool, submitted } = scene;
      await scene.work(1000);
      assert.ok(events.includes('placed'));
      events.length = 0;
      await act(scene);
      assert.ok(!events.includes(event), events.join(' '));
      poolHarness.clearFaults(pool);
      await pool.clock.advance(SETTLE_MS);
      for (const jobId of submitted) {
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      pool.dispose();
    });
  }
});

// Guards against a start that is sent into a zone of which the leader knows that it is evacuated.
test.test('a start whose zone is evacuated while it is stored goes to another zone', async () => {
  const scene = createScene();
  const { pool } = scene;
  await pool.clock.advance(1000);
  await scene.submit('first', { count: WORKERS, ...WHOLE_WORKER });
  pool.store.faults.delayMs = 400;
  await pool.clock.advance(100);
  await withoutDelays(pool, () => scene.evacuate('north'));
  await pool.clock.advance(3000);
  pool.store.faults.delayMs = 0;
  await pool.clock.advance(SETTLE_MS);
  assert.deepEqual(startsIn(pool, 'north'), []);
  assert.equal((await pool.progress('first'))?.state, 'complete');
  pool.dispose();
});
