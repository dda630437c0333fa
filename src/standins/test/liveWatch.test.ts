/**
 * The live watch on a store that is restored from an older state.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as logging from '../../base/common/logging.js';
import * as liveWatch from '../../coordination/node/liveWatch.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as memoryStore from '../memoryStore.js';

const KEY = storeKeys.leaderKey('north');

test.test('a watch continues on a store whose revisions have restarted', async () => {
  // The store is restored from a backup with lower revisions than those seen before, so every watch waits
  // without result and every listing looks stale: the known leaders and processes would not change until
  // the process restarts. A listing that started after the higher revision was seen is accepted.
  const timeSource = clock.createFakeClock();
  const before = memoryStore.createMemoryStore(timeSource);
  const after = memoryStore.createMemoryStore(timeSource);
  for (const value of ['one', 'two', 'three']) {
    const current = await before.get(KEY);
    await before.compareAndSwap({ key: KEY, expectedRevision: current?.revision ?? 0, value });
  }
  await after.compareAndSwap({ key: KEY, expectedRevision: 0, value: 'restored' });
  let target = before;
  const live = liveWatch.startLiveWatch({
    store: {
      ...before,
      list: (prefix) => target.list(prefix),
      watch: (...them) => target.watch(...them),
    },
    clock: timeSource,
    log: logging.silentLog,
    watchMs: 1000,
    listMs: 2000,
    retryMs: 100,
  });
  await timeSource.advance(100);
  assert.equal(live.entries().get(KEY)?.value, 'three');
  target = after;
  await timeSource.advance(5000);
  assert.equal(live.entries().get(KEY)?.value, 'restored');
  await after.compareAndSwap({ key: KEY, expectedRevision: 1, value: 'next' });
  await timeSource.advance(5000);
  assert.equal(live.entries().get(KEY)?.value, 'next');
  await live.dispose();
});
