/**
 * End-to-end tests of runs on workers that announce how long they stay.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

const WORK_MS = 3000;

/** From the announcement to the end of a stopped run: messages, and the stop itself. */
const STOP_MS = 100;

interface Case {
  readonly name: string;
  readonly step?: Partial<poolJob.Step>;
  /** From the start of the run to the announcement. */
  readonly drainedAfterMs: number;
  /** Time that the worker has left then. */
  readonly leftMs: number;
  readonly ends: readonly ('done' | 'stopped')[];
}

const CASES: readonly Case[] = [
  {
    // Guards against a run that is stopped a second before its end, and repeated from its beginning.
    name: 'that ends just before its worker leaves runs on',
    drainedAfterMs: 2000,
    leftMs: 1300,
    ends: ['done'],
  },
  {
    // Guards against a run that works on until its worker leaves, and starts again only then.
    name: 'that can not end before its worker leaves is stopped at once',
    drainedAfterMs: 1000,
    leftMs: 1500,
    ends: ['stopped', 'done'],
  },
  {
    name: 'that saves a checkpoint by a stop is stopped while there is time for it',
    step: { isCheckpointing: true },
    drainedAfterMs: 2000,
    leftMs: 1300,
    ends: ['stopped', 'done'],
  },
];

test.describe('a run', () => {
  for (const { name, step, drainedAfterMs, leftMs, ends } of CASES) {
    test.it(name, async () => {
      const pool = poolHarness.createPool({ workers: 2, workMs: () => WORK_MS });
      pool.addCandidate();
      await pool.clock.advance(1000);
      await pool.submit(fixtures.makeJob([{ estimatedMs: WORK_MS, ...step }], { jobId: 'a' }));
      await pool.clock.advance(drainedAfterMs);
      const site = pool.sites.find(({ worker }) => worker.runs.length > 0);
      assert.ok(site);
      const drainedAtMs = pool.clock.monotonicMs();
      site.worker.drain(leftMs);
      site.sendHeartbeat();
      await pool.clock.advance(leftMs);
      site.leave();
      await pool.clock.advance(10_000);
      assert.deepEqual(
        pool.runs().map(({ how }) => how),
        ends,
      );
      const stopped = pool.runs().find(({ how }) => how === 'stopped');
      const stoppedAtMs = stopped?.endedAtMs ?? drainedAtMs;
      assert.ok(stoppedAtMs <= drainedAtMs + STOP_MS, `${stoppedAtMs - drainedAtMs} ms later`);
      assert.equal((await pool.progress('a'))?.state, 'complete');
      runAssertions.assertAtMostOnce(pool.runs());
      pool.dispose();
    });
  }
});
