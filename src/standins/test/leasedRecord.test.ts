/**
 * The leased record by which other processes find a process, under faults of the store.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as logging from '../../base/common/logging.js';
import * as leasedRecord from '../../coordination/node/pool/leasedRecord.js';
import * as memoryStore from '../memoryStore.js';

const KEY = 'agents/a';
const LEASE_MS = 6000;

interface Case {
  readonly name: string;
  /** Sets the faults of the store for the first write of the record. */
  readonly prepare: (store: memoryStore.MemoryStore) => void;
  readonly later?: (store: memoryStore.MemoryStore) => void;
}

const CASES: readonly Case[] = [
  { name: 'writes without faults', prepare: () => undefined },
  {
    // The first write of an agent's address gets no answer and is retried with another lease. Then the
    // first copy takes effect and restores its own lease, which is not renewed: the address is removed
    // permanently, and the next leader never discovers the agent or its worker.
    name: 'a write that takes effect after its retry',
    prepare: (store) => {
      store.faults.delayTransactions = 1;
    },
  },
  {
    name: 'two writes that take effect after their retry',
    prepare: (store) => {
      store.faults.delayTransactions = 2;
    },
  },
  {
    name: 'a write whose answer is lost',
    prepare: (store) => {
      store.faults.loseWriteAnswers = 1;
    },
  },
  {
    name: 'an outage longer than the lease',
    prepare: () => undefined,
    later: (store) => {
      store.faults.isDown = !store.faults.isDown;
    },
  },
];

test.describe('a leased record stays stored after', () => {
  for (const it of CASES) {
    test.it(it.name, async () => {
      const time = clock.createFakeClock();
      const store = memoryStore.createMemoryStore(time);
      it.prepare(store);
      const record = leasedRecord.maintainLeasedRecord({
        store,
        clock: time,
        log: logging.silentLog,
        key: KEY,
        value: 'here',
        leaseMs: LEASE_MS,
      });
      await time.advance(5000);
      it.later?.(store);
      await time.advance(2 * LEASE_MS);
      it.later?.(store);
      for (let waitedMs = 2000; waitedMs < 4 * LEASE_MS; waitedMs += 500) {
        await time.advance(waitedMs === 2000 ? 2000 : 500);
        store.expireLeases();
        assert.equal((await store.get(KEY))?.value, 'here', `${waitedMs} ms later`);
      }
      await record.dispose();
      assert.equal(await store.get(KEY), undefined);
    });
  }
});
