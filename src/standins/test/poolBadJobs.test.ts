/**
 * End-to-end tests of a stored job that a leader can't handle.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as logging from '../../base/common/logging.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import * as poolHarness from './poolHarness.js';

/** A job as an earlier version, or a defect, may have stored it. */
const stored = (changes: object): unknown => ({
  ...fixtures.makeJob([{}], { jobId: 'bad' }),
  ...changes,
});

const stepWith = (changes: object): readonly unknown[] => [{ ...fixtures.makeStep(), ...changes }];

const CASES: readonly [name: string, value: unknown][] = [
  ['is no object', undefined],
  ['has no steps', stored({ steps: undefined })],
  ['has a step without resources', stored({ steps: stepWith({ resources: undefined }) })],
  ['has a step that follows nothing readable', stored({ steps: stepWith({ after: null }) })],
  ['has no policy', stored({ policy: undefined })],
  ['has more tasks than any leader can hold', stored({ steps: stepWith({ count: 400_000 }) })],
  [
    'is repeated more often than any leader can hold',
    stored({ schedule: { firstAtMs: 0, intervalMs: 0, occurrences: 400_000 } }),
  ],
];

const submitRaw = (pool: poolHarness.Pool, value: unknown): Promise<void> =>
  pool.submit({
    jobId: 'bad',
    steps: [],
    toJSON: () => value ?? 'no job',
  } as unknown as poolJob.PoolJob);

test.describe('a stored job that', () => {
  for (const [name, value] of CASES) {
    // Guards against one job that ends each leader in turn, so that nothing of any job starts.
    test.it(
      `${name} is set aside, and the others are served, also at the next leader`,
      async () => {
        const setAside: unknown[] = [];
        const log: logging.Log = (_level, event, fields) => {
          if (event === 'jobSetAside') setAside.push(fields?.job);
        };
        const pool = poolHarness.createPool({ workers: 2, log });
        const leader = pool.addCandidate();
        await pool.clock.advance(2000);
        await submitRaw(pool, value);
        await pool.submit(fixtures.makeJob([{ count: 2 }], { jobId: 'a' }));
        await pool.clock.advance(5000);
        assert.equal((await pool.progress('a'))?.state, 'complete');
        leader.kill();
        pool.addCandidate();
        await pool.submit(fixtures.makeJob([{ count: 2 }], { jobId: 'b' }));
        await pool.clock.advance(12_000);
        assert.equal((await pool.progress('b'))?.state, 'complete');
        assert.deepEqual(setAside, ['bad', 'bad']);
        assert.equal(await pool.store.get(poolKeys.progressKey('bad')), undefined);
        pool.dispose();
      },
    );
  }
});
