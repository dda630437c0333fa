/**
 * End-to-end tests of zones that the operators evacuate: nothing starts there after a bounded time, what runs there
 * continues, and the zone is used again once it is taken back.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as evacuationScene from './evacuationScene.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

interface Case {
  readonly name: string;
  readonly act: (scene: evacuationScene.Scene) => Promise<void>;
  readonly options?: Partial<poolHarness.PoolOptions>;
}

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
      await submit('backlog', { count: 100, ...evacuationScene.HALF_WORKER });
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
      await submit('claim1', evacuationScene.WHOLE_WORKER, claim);
      await work(6000);
      await submit('claim2', evacuationScene.WHOLE_WORKER, claim);
      await work(6000);
      await takeBack('north');
    },
  },
  {
    name: 'with all others',
    act: async ({ evacuate, takeBack, work }) => {
      await work(1000);
      for (const zone of evacuationScene.ZONES) await evacuate(zone);
      await work(9000);
      for (const zone of evacuationScene.ZONES) await takeBack(zone);
    },
  },
];

test.describe('nothing starts in a zone that is evacuated', () => {
  for (const { name, act, options } of CASES) {
    test.it(name, async () => {
      const scene = evacuationScene.createScene(options);
      const { pool, evacuations, submitted } = scene;
      await act(scene);
      poolHarness.clearFaults(pool);
      await pool.clock.advance(evacuationScene.SETTLE_MS);
      evacuationScene.assertNoLateStart(pool, evacuations);
      runAssertions.assertAtMostOnce(pool.runs());
      for (const jobId of submitted) {
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      pool.dispose();
    });
  }
});
