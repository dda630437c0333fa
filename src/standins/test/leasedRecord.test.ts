/**
 * The leased record by which a process is found, while the store misbehaves.
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
  /** What the store does when the record is written first. */
  readonly prepare: (store: memoryStore.MemoryStore) => void;
  readonly later?: (store: memoryStore.MemoryStore) => void;
}

const CASES: readonly Case[] = [
  { name: 'a sound store', prepare: () => undefined },
  {
    // The first write of an agent's address gets no answer and is written again under another lease.
    // Then the first copy takes effect and puts its own lease back, which nobody renews: the address goes
    // away for good, and the next leader never hears of the agent or its worker.
    name: 'a write that takes effect after its repetition',
    prepare: (store) => {
      store.faults.delayTransactions = 1;
    },
  },
  {
    name: 'two writes that take effect after their repetition',
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
    name: 'an outage that is longer than the lease',
    prepare: () => undefined,
    later: (store) => {
      store.faults.isDown = !store.faults.isDown;
    },
  },
];

test.describe('a leased record stands for good after', () => {
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
