/**
 * Synchronization of the configuration: lagging watches, restored stores, peers in an outage.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import * as event from '../../../base/common/event.js';
import * as metrics from '../../../base/common/metrics.js';
import type * as configuration from '../../../state/common/configuration.js';
import type * as store from '../../../state/common/store.js';
import * as storeKeys from '../../../state/common/storeKeys.js';
import * as configurationSample from '../../../state/common/test/configurationSample.js';
import * as configurationHolder from '../../common/configurationHolder.js';
import * as configurationSync from '../configurationSync.js';

const PEER = 'http://10.0.0.9:1';

const record = (version: number, writeId = `w${version}`): configuration.ConfigurationRecord => ({
  version,
  writeId,
  author: 'a',
  reason: 'r',
  writtenAtMs: 0,
  document: configurationSample.SAMPLE,
});

const entryOf = (it: configuration.ConfigurationRecord): store.StoreEntry => ({
  key: storeKeys.CONFIGURATION_KEY,
  value: JSON.stringify(it),
  revision: it.version,
});

interface World {
  /** The record in the store; undefined while the store is down. */
  stored: configuration.ConfigurationRecord | undefined;
  /** The peer's active record. */
  peer: configuration.ConfigurationRecord | undefined;
}

const create = (world: World) => {
  const timeSource = clock.createFakeClock();
  const emitter = event.createEmitter<void>();
  const lines: string[] = [];
  const numbers = metrics.createMetrics();
  let entries = new Map<string, store.StoreEntry>();
  const holder = configurationHolder.createConfigurationHolder();
  const down = (): never => {
    throw errors.fail('storeUnavailable', 'down');
  };
  const target = {
    get: () =>
      Promise.resolve().then(() => (world.stored === undefined ? down() : entryOf(world.stored))),
  } as unknown as store.Store;
  const sync = configurationSync.startConfigurationSync({
    holder,
    store: target,
    live: {
      entries: () => entries,
      onDidChange: emitter.event,
      isConnected: () => true,
      refresh: () => Promise.resolve(),
      dispose: () => undefined,
    },
    clock: timeSource,
    log: (level, name) => lines.push(`${level} ${name}`),
    metrics: numbers,
    settingsPeerUrls: [PEER],
    fetch: (url) =>
      url === PEER ? Promise.resolve(world.peer) : Promise.reject(new Error('unreachable')),
  });
  const watch = async (seen: configuration.ConfigurationRecord): Promise<void> => {
    entries = new Map([[storeKeys.CONFIGURATION_KEY, entryOf(seen)]]);
    emitter.fire();
    await timeSource.advance(0);
  };
  const isBehind = (): boolean => numbers.read('auburnlift_configuration_store_behind') === 1;
  return { timeSource, holder, sync, lines, watch, isBehind };
};

test.test('a watch that lags behind a write of this process raises no alarm', async () => {
  const world: World = { stored: record(2), peer: undefined };
  const it = create(world);
  await it.watch(record(1));
  it.holder.offer(record(2));
  await it.watch(record(1));
  assert.equal(it.holder.version(), 2);
  assert.deepEqual(it.sync.warnings(), []);
  await it.sync.dispose();
});

for (const restored of [record(1), record(3, 'elsewhere')]) {
  const { version, writeId } = restored;
  test.test(`a store restored to ${version}:${writeId} is rejected with an alarm`, async () => {
    // Guards against a lost change: operators restore the platform's store from a backup, and each
    // watching process adopts the older document without an alarm.
    const world: World = { stored: record(3), peer: undefined };
    const it = create(world);
    await it.watch(record(3));
    world.stored = restored;
    await it.watch(restored);
    await it.watch(restored);
    assert.equal(it.holder.current()?.writeId, 'w3');
    assert.equal(it.sync.warnings().length, 1);
    assert.ok(it.isBehind());
    assert.equal(it.lines.filter((line) => line === 'error configurationRefused').length, 1);
    world.stored = record(4);
    await it.watch(record(4));
    assert.deepEqual([it.sync.warnings(), it.isBehind()], [[], false]);
    await it.sync.dispose();
  });
}

test.test('a process that starts in a store outage adopts the version of its peers', async () => {
  // An entry VM is replaced while the store is down: without a configuration it is not ready. It
  // must adopt the peer's version as soon as one peer replies.
  const world: World = { stored: undefined, peer: undefined };
  const it = create(world);
  await it.timeSource.advance(2000);
  assert.equal(it.holder.current(), undefined);
  world.peer = record(7);
  await it.timeSource.advance(1000);
  assert.equal(it.holder.version(), 7);
  await it.sync.dispose();
});

test.test(
  'a higher version in a message is fetched; a lower one from a peer is not adopted',
  async () => {
    const world: World = { stored: record(1), peer: record(1) };
    const it = create(world);
    await it.watch(record(1));
    world.peer = record(5);
    assert.equal(await it.sync.catchUp(5, 'http://10.0.0.8:1'), true);
    world.peer = record(2);
    assert.equal(await it.sync.catchUp(6), false);
    assert.equal(it.holder.version(), 5);
    await it.sync.dispose();
  },
);
