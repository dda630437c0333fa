/**
 * Sharing one read of the configuration between the entry and the scheduler of a machine.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logging from '../../base/common/logging.js';
import type * as configurationFeed from '../../coordination/node/pool/configurationFeed.js';
import * as configurationShare from '../../coordination/node/pool/configurationShare.js';
import * as configuredStore from './configuredStore.js';

interface Rig extends configuredStore.ConfiguredStore {
  readonly entry: configurationFeed.ConfigurationFeed;
  readonly scheduler: configurationFeed.ConfigurationFeed;
  /** Whether the entry answers the scheduler. */
  readonly entryAnswers: (answers: boolean) => void;
  /** Requests of the scheduler to the entry, and its direct calls of the store. */
  readonly counts: { asks: number; storeCalls: number };
}

const createRig = async (): Promise<Rig> => {
  const configured = await configuredStore.createConfiguredStore();
  const { clock: time, store } = configured;
  const counts = { asks: 0, storeCalls: 0 };
  let isAnswering = true;
  const entry = configured.follow(store);
  const share = configurationShare.shareConfiguration({
    feed: entry,
    clock: time,
    storeAgeMs: entry.ageMs,
  });
  const shared = configurationShare.createSharedConfigurationStore({
    ask: (afterRevision, waitMs) => {
      counts.asks += 1;
      return isAnswering ? share(afterRevision, waitMs) : Promise.reject(new Error('silent'));
    },
    store: {
      list: (prefix) => {
        counts.storeCalls += 1;
        return store.list(prefix);
      },
      watch: (...watched) => {
        counts.storeCalls += 1;
        return store.watch(...watched);
      },
    },
    key: configuredStore.KEY,
    log: logging.silentLog,
  });
  const scheduler = configured.follow(shared);
  await time.advance(200);
  const entryAnswers = (answers: boolean): void => {
    isAnswering = answers;
  };
  return { ...configured, entry, scheduler, entryAnswers, counts };
};

interface Case {
  readonly name: string;
  readonly act: (rig: Rig) => Promise<void>;
  readonly version: number;
  /** Whether the scheduler calls the store directly. */
  readonly callsStore: boolean;
}

const CASES: readonly Case[] = [
  {
    name: 'a change reaches the scheduler through the entry',
    act: async ({ clock: time, configure }) => {
      await time.advance(3000);
      await configure(2);
      await time.advance(200);
    },
    version: 2,
    callsStore: false,
  },
  {
    name: 'an entry that does not answer is bypassed',
    act: async ({ clock: time, configure, entryAnswers }) => {
      entryAnswers(false);
      await configure(2);
      await time.advance(3000);
    },
    version: 2,
    callsStore: true,
  },
  {
    name: 'an entry that answers again is used again',
    act: async ({ clock: time, configure, entryAnswers, counts }) => {
      entryAnswers(false);
      await time.advance(3000);
      entryAnswers(true);
      await time.advance(2000);
      counts.storeCalls = 0;
      await configure(2);
      await time.advance(3000);
    },
    version: 2,
    callsStore: false,
  },
  {
    name: 'an entry that can not reach the store is bypassed',
    act: async ({ clock: time, store, configure }) => {
      store.faults.isDown = true;
      store.faults.areWatchesLost = true;
      await time.advance(8000);
      store.faults.isDown = false;
      store.faults.areWatchesLost = false;
      await configure(2);
      await time.advance(3000);
    },
    version: 2,
    callsStore: true,
  },
  {
    name: 'an entry whose watch had a gap sends no record twice',
    act: async ({ clock: time, store, configure }) => {
      store.faults.skipNextWatch = true;
      await configure(2);
      await time.advance(5000);
    },
    version: 2,
    callsStore: false,
  },
];

/** An idle scheduler sends long-polling requests; a higher rate would be a busy loop. */
const MAX_ASKS_PER_S = 4;

// Guards against a link that carries a large configuration twice, and a scheduler that depends on its entry.
test.describe('a configuration shared on one machine', () => {
  for (const { name, act, version, callsStore } of CASES) {
    test.it(name, async () => {
      const rig = await createRig();
      const startedAtMs = rig.clock.monotonicMs();
      await act(rig);
      assert.equal(rig.scheduler.current()?.configuration.version, version);
      assert.equal(rig.counts.storeCalls > 0, callsStore);
      const seconds = (rig.clock.monotonicMs() - startedAtMs) / 1000;
      assert.ok(rig.counts.asks <= 10 + seconds * MAX_ASKS_PER_S, `${rig.counts.asks} requests`);
      await rig.scheduler.dispose();
      await rig.entry.dispose();
    });
  }
});
