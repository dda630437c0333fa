/**
 * End-to-end tests of workers that shut down after their announcement.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as logging from '../../base/common/logging.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from './poolHarness.js';

/** A call to a worker that has shut down is refused within this time. */
const REFUSED_MS = 1;

test.describe('a worker that leaves with its runs', () => {
  for (const tasks of [1, 3]) {
    // Guards against a leader that takes up the runs of a departed worker again from its last report: it declared each
    // of them lost, and raised the worker's fence, a thousand times a second.
    test.it(`declares each of ${tasks} runs lost once and repeats it elsewhere`, async () => {
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
      site.leave();
      await pool.clock.advance(10_000);
      assert.equal((await pool.progress('a'))?.state, 'complete');
      assert.equal(lost, tasks);
      poolHarness.assertAtMostOnce(pool.runs());
      pool.dispose();
    });
  }
});
