/**
 * Counts of waiting jobs that an entry reports while the leader is unavailable and the store is slow.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as logging from '../../base/common/logging.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as pendingCounts from '../../coordination/node/pool/pendingCounts.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import * as memoryStore from '../memoryStore.js';

const ID = '5c0e7a21d94b36f8';

interface Case {
  readonly name: string;
  readonly storeDelayMs: number;
  /** Interval between the requests of consecutive callers. */
  readonly intervalMs: number;
  readonly callers: number;
  readonly outcomes: readonly unknown[];
  /** Limit on list calls of the store; one count takes two. */
  readonly maxLists: number;
}

const CASES: readonly Case[] = [
  {
    name: 'a quick count is reported, and reused for half a second',
    storeDelayMs: 10,
    intervalMs: 100,
    callers: 4,
    outcomes: [1, 1, 1, 1],
    maxLists: 2,
  },
  {
    name: 'a slow count is started once, and callers are answered in time',
    storeDelayMs: 3000,
    intervalMs: 600,
    callers: 5,
    outcomes: Array<unknown>(5).fill('storeUnavailable'),
    maxLists: 2,
  },
  {
    name: 'a count that is stale when it completes is not reported',
    storeDelayMs: 800,
    intervalMs: 1700,
    callers: 2,
    outcomes: ['storeUnavailable', 'storeUnavailable'],
    maxLists: 2,
  },
];

// Guards against counts started while others are in flight, until they saturate the link.
test.describe('counts of waiting jobs', () => {
  for (const { name, storeDelayMs, intervalMs, callers, outcomes, maxLists } of CASES) {
    test.it(name, async () => {
      const time = clock.createFakeClock(1_000_000);
      const store = memoryStore.createMemoryStore(time);
      const job = fixtures.makeJob([{}], { jobId: ID });
      const key = poolKeys.jobKey(ID, poolKeys.JobPart.spec);
      const puts = [{ key, value: JSON.stringify(job) }];
      await store.transact({ conditions: [], puts, removes: [] });
      store.faults.delayMs = storeDelayMs;
      const counts = pendingCounts.createPendingCounts({
        store,
        clock: time,
        log: logging.silentLog,
        askLeader: () => Promise.reject(new Error('there is no leader')),
      });
      const results: Promise<unknown>[] = [];
      for (let caller = 0; caller < callers; caller += 1) {
        const count = counts.ofQueue(job.policy.queue);
        results.push(count.catch((thrown: unknown) => errors.normalize(thrown).kind));
        await time.advance(intervalMs);
      }
      await time.advance(10_000);
      assert.deepEqual(await Promise.all(results), outcomes);
      assert.ok((store.calls().list ?? 0) <= maxLists, `${store.calls().list} lists`);
    });
  }
});
