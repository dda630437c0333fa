/**
 * How many jobs wait, as an entry tells it while leader or store are slow.
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
  /** Callers ask one after the other at this distance. */
  readonly everyMs: number;
  readonly callers: number;
  readonly outcomes: readonly unknown[];
  /** Lists of records that were begun; one count takes two. */
  readonly maxLists: number;
}

const CASES: readonly Case[] = [
  {
    name: 'a quick count is told, and used again for half a second',
    storeDelayMs: 10,
    everyMs: 100,
    callers: 4,
    outcomes: [1, 1, 1, 1],
    maxLists: 2,
  },
  {
    name: 'a count that takes long is begun once, and callers are told in time',
    storeDelayMs: 3000,
    everyMs: 600,
    callers: 5,
    outcomes: Array<unknown>(5).fill('storeUnavailable'),
    maxLists: 2,
  },
  {
    name: 'a count that is too old by its end is not told',
    storeDelayMs: 800,
    everyMs: 1700,
    callers: 2,
    outcomes: ['storeUnavailable', 'storeUnavailable'],
    maxLists: 2,
  },
];

// Guards against counts that begin beside unfinished ones until the line carries nothing else.
test.describe('jobs that wait', () => {
  for (const { name, storeDelayMs, everyMs, callers, outcomes, maxLists } of CASES) {
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
        askLeader: () => Promise.reject(new Error('nobody leads')),
      });
      const told: Promise<unknown>[] = [];
      for (let caller = 0; caller < callers; caller += 1) {
        const asked = counts.ofQueue(job.policy.queue);
        told.push(asked.catch((thrown: unknown) => errors.normalize(thrown).kind));
        await time.advance(everyMs);
      }
      await time.advance(10_000);
      assert.deepEqual(await Promise.all(told), outcomes);
      assert.ok((store.calls().list ?? 0) <= maxLists, `${store.calls().list} lists`);
    });
  }
});
