/**
 * A store with one configuration on a fake clock, and processes that follow it.
 */
import * as clock from '../../base/common/clock.js';
import * as logging from '../../base/common/logging.js';
import * as configurationFeed from '../../coordination/node/pool/configurationFeed.js';
import type * as poolConfiguration from '../../state/common/pool/poolConfiguration.js';
import * as memoryStore from '../memoryStore.js';

/** Store key of the configuration. */
export const KEY = 'configuration';

/** A store whose configuration initially has version 1. */
export interface ConfiguredStore {
  readonly clock: clock.FakeClock;
  readonly store: memoryStore.MemoryStore;
  readonly configure: (version: number) => Promise<void>;
  /** @param source - the store that the process reads and watches */
  readonly follow: (
    source: configurationFeed.ConfigurationFeedOptions['store'],
  ) => configurationFeed.ConfigurationFeed;
}

/**
 * @returns the store
 */
export const createConfiguredStore = async (): Promise<ConfiguredStore> => {
  const time = clock.createFakeClock(1_000_000);
  const store = memoryStore.createMemoryStore(time);
  const configure = async (version: number): Promise<void> => {
    const value = JSON.stringify({ version, queues: [], services: [], customers: [] });
    await store.transact({ conditions: [], puts: [{ key: KEY, value }], removes: [] });
  };
  await configure(1);
  return {
    clock: time,
    store,
    configure,
    follow: (source) =>
      configurationFeed.startConfigurationFeed({
        store: source,
        clock: time,
        log: logging.silentLog,
        key: KEY,
        decode: (text) => JSON.parse(text) as poolConfiguration.PoolConfiguration,
      }),
  };
};
