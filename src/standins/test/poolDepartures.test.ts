/**
 * End-to-end tests of workers that are lost with their runs, while their agents go on or are restarted.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as logging from '../../base/common/logging.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

/** A call to a worker that has shut down is refused within this time. */
const REFUSED_MS = 1;

/** Long enough for all leases to expire and for the work to be repeated. */
const SETTLE_MS = 20_000;

interface Case {
  readonly name: string;
  readonly tasks: number;
  readonly end: (site: poolHarness.Site) => void;
}

const leave = (site: poolHarness.Site): void => site.leave();

const fallSilent = ({ worker }: poolHarness.Site): void => {
  worker.faults.isSilent = true;
};

const CASES: readonly Case[] = [
  { name: 'shuts down with its run', tasks: 1, end: leave },
  { name: 'shuts down with its runs', tasks: 3, end: leave },
  {
    name: 'answers no more while its agent goes on reporting',
    tasks: 1,
    end: fallSilent,
  },
  {
    name: 'answers no more and whose agent is restarted',
    tasks: 3,
    end: (site) => {
      fallSilent(site);
      site.restartAgent();
    },
  },
  {
    name: 'shuts down and whose agent is restarted',
    tasks: 1,
    end: (site) => {
      leave(site);
      site.restartAgent();
    },
  },
  {
    name: 'announces its shutdown and is lost with its agent before it ends',
    tasks: 1,
    end: (site) => {
      site.worker.drain(10_000);
      site.sendHeartbeat();
      fallSilent(site);
      site.restartAgent();
    },
  },
];

// Guards against a leader that takes up the runs of a lost worker again from its last report: it declared each of them
// lost, and raised the worker's fence, as often as the report was sent.
test.describe('the runs of a worker', () => {
  for (const { name, tasks, end } of CASES) {
    test.it(`that ${name} are declared lost once and repeated elsewhere`, async () => {
      let lost = 0;
      const log: logging.Log = (_level, event) => {
        if (event === 'runLost') lost += 1;
      };
      const pool = poolHarness.createPool({ workers: 2, workMs: () => 5000, log });
      for (const { worker } of pool.sites) worker.faults.timeoutMs = REFUSED_MS;
      await pool.submit(fixtures.makeJob([{ count: tasks }], { jobId: 'a' }));
      pool.addCandidate();
      await pool.clock.advance(1000);
      const site = pool.sites.find(({ worker }) => worker.runs.length > 0);
      assert.ok(site);
      assert.equal(site.worker.runs.length, tasks);
      end(site);
      await pool.clock.advance(SETTLE_MS);
      assert.equal((await pool.progress('a'))?.state, 'complete');
      assert.equal(lost, tasks);
      runAssertions.assertAtMostOnce(pool.runs());
      pool.dispose();
    });
  }
});

interface AgentCase {
  readonly name: string;
  /** Time from the loss of the worker to the restart of its agent. */
  readonly restartAfterMs: number;
  /** Whether another leader takes over after the restart. */
  readonly isLeaderKilled: boolean;
  /** Whether a heartbeat of the lost worker reaches the restarted agent. */
  readonly isHeartbeatLate: boolean;
}

const AGENT_CASES: readonly AgentCase[] = [
  { name: 'at once', restartAfterMs: 0, isLeaderKilled: false, isHeartbeatLate: false },
  {
    name: 'after three seconds',
    restartAfterMs: 3000,
    isLeaderKilled: false,
    isHeartbeatLate: false,
  },
  {
    name: 'before a late heartbeat',
    restartAfterMs: 0,
    isLeaderKilled: false,
    isHeartbeatLate: true,
  },
  {
    name: 'before a change of the leader',
    restartAfterMs: 0,
    isLeaderKilled: true,
    isHeartbeatLate: false,
  },
  {
    name: 'before a late heartbeat and a change of the leader',
    restartAfterMs: 1000,
    isLeaderKilled: true,
    isHeartbeatLate: true,
  },
];

// Guards against tasks that never run again since a restarted agent, which has no report of its worker, counts as one
// with a report of this moment.
test.describe('a lost worker whose agent is restarted', () => {
  for (const { name, restartAfterMs, isLeaderKilled, isHeartbeatLate } of AGENT_CASES) {
    test.it(`${name} holds neither its tasks nor later jobs`, async () => {
      const pool = poolHarness.createPool({ workers: 2, workMs: () => 5000 });
      await pool.submit(fixtures.makeJob([{ count: 4 }], { jobId: 'before' }));
      const leader = pool.addCandidate();
      await pool.clock.advance(1000);
      const site = pool.sites.find(({ worker }) => worker.runs.length > 0);
      assert.ok(site);
      fallSilent(site);
      await pool.clock.advance(restartAfterMs);
      site.restartAgent();
      if (isHeartbeatLate) site.sendHeartbeat();
      await pool.clock.advance(500);
      if (isLeaderKilled) {
        leader.kill();
        pool.addCandidate();
      }
      await pool.submit(fixtures.makeJob([{ count: 4 }], { jobId: 'after' }));
      await pool.clock.advance(SETTLE_MS);
      assert.equal((await pool.progress('before'))?.state, 'complete');
      assert.equal((await pool.progress('after'))?.state, 'complete');
      runAssertions.assertAtMostOnce(pool.runs());
      pool.dispose();
    });
  }
});
