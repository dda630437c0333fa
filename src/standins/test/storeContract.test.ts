/**
 * Contract tests of the platform's store, run against both the stand-in and the HTTP client.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as store from '../../state/common/store.js';
import type * as memoryStore from '../memoryStore.js';

import * as contractSubjects from './contractSubjects.js';

type Run = (it: contractSubjects.Subject<store.Store, memoryStore.MemoryStore>) => Promise<void>;

const isUnavailable = { kind: 'storeUnavailable' };
const isUnknown = { name: 'StoreOutcomeUnknown' };
const put = (key: string, value: string, expectedRevision = 0): store.CompareAndSwap => ({
  key,
  value,
  expectedRevision,
});

const CASES: readonly [string, Run][] = [
  [
    'of two writers that saw a key absent only one writes it',
    async ({ subject }) => {
      const first = await subject.compareAndSwap(put('a', '1'));
      assert.equal(first.isSwapped, true);
      const second = await subject.compareAndSwap(put('a', '2'));
      assert.equal(second.isSwapped ? '' : second.current?.value, '1');
      assert.equal((await subject.get('a'))?.value, '1');
    },
  ],
  [
    'a write or deletion with a stale revision is refused',
    async ({ subject }) => {
      const first = await subject.compareAndSwap(put('a', '1'));
      const revision = first.isSwapped ? first.revision : 0;
      await subject.compareAndSwap(put('a', '2', revision));
      const stale = { key: 'a', value: null, expectedRevision: revision };
      assert.equal((await subject.compareAndSwap(stale)).isSwapped, false);
      const current = await subject.get('a');
      const fresh = { ...stale, expectedRevision: current?.revision ?? 0 };
      assert.equal((await subject.compareAndSwap(fresh)).isSwapped, true);
      assert.equal(await subject.get('a'), undefined);
    },
  ],
  [
    'a list returns the keys of its prefix in order',
    async ({ subject }) => {
      for (const key of ['p/b', 'q/x', 'p/a']) await subject.compareAndSwap(put(key, key));
      const { entries } = await subject.list('p/');
      assert.deepEqual(
        entries.map((it) => it.key),
        ['p/a', 'p/b'],
      );
    },
  ],
  [
    'a value above a megabyte is refused and nothing is written',
    async ({ subject }) => {
      const value = 'x'.repeat(store.MAX_VALUE_BYTES + 1);
      await assert.rejects(subject.compareAndSwap(put('a', value)), { kind: 'tooLarge' });
      assert.equal(await subject.get('a'), undefined);
    },
  ],
  [
    'a key is removed with its lease unless the lease is renewed',
    async ({ subject, clock }) => {
      const leaseId = await subject.grantLease(1000);
      await subject.compareAndSwap({ ...put('a', '1'), leaseId });
      await clock.advance(900);
      assert.equal(await subject.renewLease(leaseId), true);
      await clock.advance(900);
      assert.equal((await subject.get('a'))?.value, '1');
      await clock.advance(200);
      assert.equal(await subject.get('a'), undefined);
    },
  ],
  [
    'a lease that expired while its holder was paused can not be renewed',
    async ({ subject, clock }) => {
      const leaseId = await subject.grantLease(1000);
      await clock.advance(1001);
      assert.equal(await subject.renewLease(leaseId), false);
      const swap = await subject.compareAndSwap({ ...put('a', '1'), leaseId });
      assert.equal(swap.isSwapped, false);
    },
  ],
  [
    'revoking a lease removes its keys',
    async ({ subject }) => {
      const leaseId = await subject.grantLease(1000);
      await subject.compareAndSwap({ ...put('a', '1'), leaseId });
      await subject.revokeLease(leaseId);
      assert.equal(await subject.get('a'), undefined);
    },
  ],
  [
    'a watch sees changes and deletions after its revision, and only those of its prefix',
    async ({ subject, standIn }) => {
      await subject.compareAndSwap(put('p/old', '1'));
      const { revision } = await subject.list('p/');
      const { signal } = new AbortController();
      const seen = subject.watch('p/', revision, 60_000, signal);
      await contractSubjects.until(() => standIn.calls().watch === 1);
      await subject.compareAndSwap(put('q/other', '1'));
      await subject.compareAndSwap(put('p/new', '2'));
      const result = await seen;
      assert.deepEqual(
        result.entries.map((it) => it.key),
        ['p/new'],
      );
      assert.equal(result.isGap, false);
      const old = await subject.get('p/old');
      const deletion = { key: 'p/old', value: null, expectedRevision: old?.revision ?? 0 };
      await subject.compareAndSwap(deletion);
      const next = await subject.watch('p/', result.revision, 60_000, signal);
      assert.deepEqual(next.deletedKeys, ['p/old']);
    },
  ],
  [
    'a watch that misses changes reports a gap',
    async ({ subject, standIn }) => {
      standIn.faults.skipNextWatch = true;
      const result = await subject.watch('p/', 0, 1000, new AbortController().signal);
      assert.equal(result.isGap, true);
    },
  ],
  [
    'a watch without changes ends empty at its own revision, so that no change is missed',
    async ({ subject, standIn, clock }) => {
      standIn.faults.areWatchesSilent = true;
      const seen = subject.watch('p/', 0, 1000, new AbortController().signal);
      await contractSubjects.until(() => standIn.calls().watch === 1);
      await subject.compareAndSwap(put('p/a', '1'));
      await clock.advance(1000);
      const result = await seen;
      assert.deepEqual([result.entries.length, result.revision], [0, 0]);
    },
  ],
  [
    'while the store is down reads and writes fail with an error',
    async ({ subject, standIn }) => {
      standIn.faults.isDown = true;
      await assert.rejects(subject.get('a'), isUnavailable);
      await assert.rejects(subject.list('a'), isUnavailable);
      await assert.rejects(subject.compareAndSwap(put('a', '1')), isUnavailable);
      await assert.rejects(subject.grantLease(1000), isUnavailable);
      await assert.rejects(subject.renewLease('x'), isUnavailable);
      standIn.faults.isDown = false;
      assert.equal(await subject.get('a'), undefined);
    },
  ],
  [
    'a write whose answer is lost has taken effect and is never reported as failed',
    async ({ subject, standIn }) => {
      standIn.faults.loseWriteAnswers = 1;
      await assert.rejects(subject.compareAndSwap(put('a', '1')), isUnknown);
      assert.equal((await subject.get('a'))?.value, '1');
    },
  ],
];

for (const [name, create] of contractSubjects.STORES) {
  nodeTest.describe(`store contract: ${name}`, () => {
    for (const [title, run] of CASES) {
      nodeTest.test(title, async () => {
        const made = await create();
        try {
          await run(made);
        } finally {
          await made.owned.dispose();
        }
      });
    }
  });
}

nodeTest.test(
  'a slow write through the client has an unknown outcome and may take effect later',
  async () => {
    // A caller whose write timed out knows neither success nor failure; the store may apply it later.
    // Treating the timeout as a failure would let the caller overwrite its own change.
    const [, http] = contractSubjects.STORES;
    const made = await http?.[1]();
    assert.ok(made);
    made.standIn.faults.delayMs = 10_000;
    await assert.rejects(made.subject.compareAndSwap(put('a', '1')), isUnknown);
    await assert.rejects(made.subject.get('a'), isUnavailable);
    made.standIn.faults.delayMs = 0;
    await made.clock.advance(10_000);
    assert.equal((await made.subject.get('a'))?.value, '1');
    await made.owned.dispose();
  },
);
