/**
 * How a process follows the configuration while the store's answers are lost or long.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as configurationFeed from '../../coordination/node/pool/configurationFeed.js';
import * as configurationKit from './configurationKit.js';

interface Rig extends configurationKit.ConfiguredStore {
  readonly feed: configurationFeed.ConfigurationFeed;
}

const createRig = async (): Promise<Rig> => {
  const configured = await configurationKit.createConfiguredStore();
  const feed = configured.follow(configured.store);
  await configured.clock.advance(100);
  return { ...configured, feed };
};

/** A watch and the time until it is given up, in the stand-in. */
const LOST_WATCH_MS = 2400;

interface Case {
  readonly name: string;
  readonly act: (rig: Rig) => Promise<void>;
  readonly version: number;
  /** Reads of the whole record, with the one at the start. */
  readonly reads: number;
  /** Oldest proof of what is held. */
  readonly maxAgeMs: number;
}

const CASES: readonly Case[] = [
  {
    name: 'a watch that is lost is followed by a watch, not by the whole record',
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
    name: 'what changed while a watch was lost is told by the next one',
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
    name: 'the whole record is read where two watches are lost',
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
    name: 'the whole record is read where the history is gone',
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
    name: 'a change is proved to be the latest at once',
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

// Guards against a line that is kept full by reads of what is known, and against refusals for want of a proof.
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
