/**
 * End-to-end tests of what an evacuation leaves alone, what it makes wait, and what operators are told.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as evacuationScene from './evacuationScene.js';
import * as poolHarness from './poolHarness.js';

// Guards against work that is stopped, or moved, since its zone is evacuated.
test.test('what runs in a zone that is evacuated runs on', async () => {
  const scene = evacuationScene.createScene({ workMs: () => 9000 });
  const { pool } = scene;
  await scene.submit('long', {
    count: evacuationScene.WORKERS,
    estimatedMs: 9000,
    ...evacuationScene.WHOLE_WORKER,
  });
  await pool.clock.advance(2000);
  assert.equal(evacuationScene.startsIn(pool, 'north').length, evacuationScene.WORKERS / 2);
  await scene.evacuate('north');
  await pool.clock.advance(15_000);
  assert.deepEqual(
    pool.runs().map(({ how }) => how),
    Array.from({ length: evacuationScene.WORKERS }, () => 'done'),
  );
  pool.dispose();
});

/** Time within which work starts in a zone that was taken back. */
const START_MS = 1500;

// Guards against a zone whose room stays unused once it is taken back.
test.test('a gang that fits only with an evacuated zone waits for it and says why', async () => {
  const waits: string[] = [];
  const scene = evacuationScene.createScene({
    log: (_level, event, fields) => {
      if (event === 'waits') waits.push(`${String(fields?.job)} ${String(fields?.evacuatedZones)}`);
    },
  });
  const { pool } = scene;
  await scene.evacuate('south');
  await pool.clock.advance(3000);
  await scene.submit('gang', {
    count: evacuationScene.WORKERS,
    isGang: true,
    ...evacuationScene.WHOLE_WORKER,
  });
  await pool.clock.advance(10_000);
  assert.equal(pool.runs().length, 0);
  assert.ok(waits.includes('gang south'), waits.join('; '));
  await scene.takeBack('south');
  await pool.clock.advance(START_MS);
  assert.equal(pool.runs().length, evacuationScene.WORKERS);
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
      const scene = evacuationScene.createScene({
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
      for (const zone of evacuationScene.ZONES) {
        assert.equal(
          evacuationScene.startsIn(pool, zone).length === 0,
          evacuated.includes(zone),
          zone,
        );
      }
      pool.dispose();
    });
  }
});

test.test('a zone is reported as empty when its last run has ended', async () => {
  const emptyAtMs: number[] = [];
  const scene = evacuationScene.createScene({
    workMs: () => 6000,
    log: (_level, event) => {
      if (event === 'evacuatedZoneEmpty') emptyAtMs.push(scene.pool.clock.monotonicMs());
    },
  });
  const { pool } = scene;
  await scene.submit('long', { count: evacuationScene.WORKERS, ...evacuationScene.WHOLE_WORKER });
  await pool.clock.advance(1500);
  await scene.evacuate('north');
  await pool.clock.advance(12_000);
  const lastEndMs = Math.max(
    ...evacuationScene.startsIn(pool, 'north').map((it) => it.endedAtMs ?? Infinity),
  );
  assert.equal(emptyAtMs.length, 1);
  assert.ok((emptyAtMs[0] ?? 0) >= lastEndMs);
  pool.dispose();
});

/** Events of the leader that concern starts. */
const START_EVENTS = ['placed', 'startNotTaken'];

interface DoubtCase {
  readonly name: string;
  readonly act: (scene: evacuationScene.Scene) => Promise<void>;
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
      const scene = evacuationScene.createScene({
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
      await pool.clock.advance(evacuationScene.SETTLE_MS);
      for (const jobId of submitted) {
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      pool.dispose();
    });
  }
});

// Guards against a start that is sent into a zone of which the leader knows that it is evacuated.
test.test('a start whose zone is evacuated while it is stored goes to another zone', async () => {
  const scene = evacuationScene.createScene();
  const { pool } = scene;
  await pool.clock.advance(1000);
  await scene.submit('first', { count: evacuationScene.WORKERS, ...evacuationScene.WHOLE_WORKER });
  pool.store.faults.delayMs = 400;
  await pool.clock.advance(100);
  await evacuationScene.withoutDelays(pool, () => scene.evacuate('north'));
  await pool.clock.advance(3000);
  pool.store.faults.delayMs = 0;
  await pool.clock.advance(evacuationScene.SETTLE_MS);
  assert.deepEqual(evacuationScene.startsIn(pool, 'north'), []);
  assert.equal((await pool.progress('first'))?.state, 'complete');
  pool.dispose();
});

/** Promises of a deployment that are far shorter than the usual one. */
const SHORT_PROMISES_MS = [500, 1000, 2000];

// Guards against a deployment on which nothing ever starts, since the knowledge of its leader is never fresh enough.
test.describe('work starts and is done where nothing may start in an evacuated zone after', () => {
  for (const evacuateMs of SHORT_PROMISES_MS) {
    test.it(`${evacuateMs} ms`, async () => {
      const scene = evacuationScene.createScene({ evacuateMs });
      const { pool, submitted } = scene;
      await scene.work(6000);
      const doneCount = pool.runs().filter(({ how }) => how === 'done').length;
      assert.ok(doneCount >= submitted.length / 2, `${doneCount} of ${submitted.length} done`);
      await scene.evacuate('north');
      const evacuatedAtMs = pool.clock.monotonicMs();
      await scene.work(6000);
      const late = evacuationScene
        .startsIn(pool, 'north')
        .filter(({ startedAtMs }) => startedAtMs > evacuatedAtMs + evacuateMs);
      assert.deepEqual(late, []);
      pool.dispose();
    });
  }
});
