/**
 * Runner for tables of end-to-end cases with single faults: the events of each case and the expected final state.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

/** One fault scenario. */
export interface Case {
  readonly name: string;
  readonly options: poolHarness.PoolOptions;
  /** Arguments of the jobs that are submitted before the first candidate starts. */
  readonly jobs: Parameters<typeof fixtures.makeJob>[];
  /** Injects the events of the case. */
  readonly act: (pool: poolHarness.Pool, first: poolHarness.Candidate) => Promise<void>;
  /** Expected final state of each job. */
  readonly states: Readonly<Record<string, string>>;
  /** Expected total number of runs, where it is deterministic. */
  readonly runs?: number;
  /** Expected end of each run, ordered by worker, where it is deterministic. */
  readonly runEnds?: readonly string[];
  /** A known fault listed in `KNOWN-RED.txt`: the test runs and is reported, but does not fail the test run. */
  readonly todo?: string;
}

/** Long enough for any lease to expire and for the work to be repeated. */
const SETTLE_MS = 30_000;

/**
 * @param title - title of the group
 * @param cases - the cases
 */
export const describeCases = (title: string, cases: readonly Case[]): void => {
  test.describe(title, () => {
    for (const it of cases) {
      test.it(it.name, { todo: it.todo }, async () => {
        const pool = poolHarness.createPool(it.options);
        for (const job of it.jobs) await pool.submit(fixtures.makeJob(...job));
        const first = pool.addCandidate();
        await it.act(pool, first);
        await pool.clock.advance(SETTLE_MS);
        for (const [jobId, state] of Object.entries(it.states)) {
          assert.equal((await pool.progress(jobId))?.state, state, jobId);
        }
        runAssertions.assertAtMostOnce(pool.runs());
        if (it.runs !== undefined) assert.equal(pool.runs().length, it.runs);
        if (it.runEnds !== undefined) {
          assert.deepEqual(
            pool.runs().map(({ how }) => how),
            it.runEnds,
          );
        }
        pool.dispose();
      });
    }
  });
};
