/**
 * End-to-end tests of workers that are lost with their runs while their agents go on.
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

const CASES: readonly Case[] = [
  { name: 'shuts down with its run', tasks: 1, end: leave },
  { name: 'shuts down with its runs', tasks: 3, end: leave },
  {
    name: 'answers no more while its agent goes on reporting',
    tasks: 1,
    end: ({ worker }) => {
      worker.faults.isSilent = true;
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
