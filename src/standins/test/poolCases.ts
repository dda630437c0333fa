/**
 * Single faults on a whole pool as tables: what happens, and what callers see in the end.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolKit from './poolKit.js';

/** One fault. */
export interface Case {
  readonly name: string;
  readonly options: poolKit.PoolOptions;
  /** Jobs that are there at the start. */
  readonly jobs: Parameters<typeof fixtures.makeJob>[];
  /** What happens, and when. */
  readonly act: (pool: poolKit.Pool, first: poolKit.Candidate) => Promise<void>;
  /** State of each job in the end. */
  readonly states: Readonly<Record<string, string>>;
  /** Number of runs in the end, where it is certain. */
  readonly runs?: number;
  /** How each run ended, worker by worker, where it is certain. */
  readonly hows?: readonly string[];
  /** A known fault that stands in `KNOWN-RED.txt`: the test runs, is told, and does not fail the run. */
  readonly todo?: string;
}

/** Long enough for any lease to lapse and the work to be done again. */
const SETTLE_MS = 30_000;

/**
 * @param title - what the cases are about
 * @param cases - the cases
 */
export const describeCases = (title: string, cases: readonly Case[]): void => {
  test.describe(title, () => {
    for (const it of cases) {
      test.it(it.name, { todo: it.todo }, async () => {
        const pool = poolKit.createPool(it.options);
        for (const job of it.jobs) await pool.submit(fixtures.makeJob(...job));
        const first = pool.addCandidate();
        await it.act(pool, first);
        await pool.clock.advance(SETTLE_MS);
        for (const [jobId, state] of Object.entries(it.states)) {
          assert.equal((await pool.progress(jobId))?.state, state, jobId);
        }
        poolKit.assertAtMostOnce(pool.runs());
        if (it.runs !== undefined) assert.equal(pool.runs().length, it.runs);
        if (it.hows !== undefined) {
          assert.deepEqual(
            pool.runs().map(({ how }) => how),
            it.hows,
          );
        }
        pool.dispose();
      });
    }
  });
};
