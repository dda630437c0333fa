/**
 * Following the configuration while answers of the store are lost or slow to arrive.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as configurationFeed from '../../coordination/node/pool/configurationFeed.js';
import * as configuredStore from './configuredStore.js';

interface Rig extends configuredStore.ConfiguredStore {
  readonly feed: configurationFeed.ConfigurationFeed;
}

const createRig = async (): Promise<Rig> => {
  const configured = await configuredStore.createConfiguredStore();
  const feed = configured.follow(configured.store);
  await configured.clock.advance(100);
  return { ...configured, feed };
};

/** Duration of a watch until its caller abandons it, in the stand-in. */
const LOST_WATCH_MS = 2400;

interface Case {
  readonly name: string;
  readonly act: (rig: Rig) => Promise<void>;
  readonly version: number;
  /** Reads of the complete record, including the initial one. */
  readonly reads: number;
  /** Highest age of the last confirmation that the configuration is current. */
  readonly maxAgeMs: number;
}

const CASES: readonly Case[] = [
  {
    name: 'a lost watch is followed by a watch, not by a read of the complete record',
    act: async ({ clock: time, store }) => {
      store.faults.areWatchesLost = true;
      await time.advance(LOST_WATCH_MS);
      store.faults.areWatchesLost = false;
      await time.advance(2 * LOST_WATCH_MS);
    },
    version: 1,
    reads: 1,
    maxAgeMs: 1300,
  },
  {
    name: 'a change during a lost watch is delivered by the next one',
    act: async ({ clock: time, store, configure }) => {
      store.faults.areWatchesLost = true;
      await time.advance(LOST_WATCH_MS);
      await configure(2);
      store.faults.areWatchesLost = false;
      await time.advance(LOST_WATCH_MS);
    },
    version: 2,
    reads: 1,
    maxAgeMs: 1300,
  },
  {
    name: 'the complete record is read after two lost watches',
    act: async ({ clock: time, store, configure }) => {
      store.faults.areWatchesLost = true;
      await configure(2);
      await time.advance(2 * LOST_WATCH_MS);
    },
    version: 2,
    reads: 2,
    maxAgeMs: LOST_WATCH_MS,
  },
  {
    name: 'the complete record is read where the store reports a gap',
    act: async ({ clock: time, store, configure }) => {
      store.faults.skipNextWatch = true;
      await configure(2);
      await time.advance(2000);
    },
    version: 2,
    reads: 2,
    maxAgeMs: 1300,
  },
  {
    name: 'a change is immediately confirmed as current',
    act: async ({ clock: time, configure }) => {
      await time.advance(1000);
      await configure(2);
      await time.advance(100);
    },
    version: 2,
    reads: 1,
    maxAgeMs: 100,
  },
];

// Guards against a link saturated by reads of known data, and against refusals for lack of a confirmation.
test.describe('following the configuration', () => {
  for (const { name, act, version, reads, maxAgeMs } of CASES) {
    test.it(name, async () => {
      const rig = await createRig();
      await act(rig);
      assert.equal(rig.feed.current()?.configuration.version, version);
      assert.equal(rig.store.calls().list, reads);
      assert.ok(rig.feed.ageMs() <= maxAgeMs, `${rig.feed.ageMs()} ms old`);
      await rig.feed.dispose();
    });
  }
});
