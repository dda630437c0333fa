/**
 * Keeps the configuration of an entry or scheduler up to date: from the store's watch, from peers
 * while the store is down, and when any message carries a higher version.
 *
 * Guards against a store that was restored from an older state. The watch then shows an older
 * version, but also if it lags behind a write of this process. An active version was in the store
 * before any process had it, so a later read that finds an older version proves the restoration;
 * only then is the alarm raised. The process keeps its version in either case.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as metrics from '../../base/common/metrics.js';
import type * as configuration from '../../state/common/configuration.js';
import type * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as configurationHolder from '../common/configurationHolder.js';
import * as configurationOrder from '../common/configurationOrder.js';
import * as liveEntries from '../common/liveEntries.js';

import type * as liveWatch from './liveWatch.js';

/** Options of {@link startConfigurationSync}. */
export interface ConfigurationSyncOptions {
  readonly holder: configurationHolder.ConfigurationHolder;
  readonly store: store.Store;
  readonly live: liveWatch.LiveWatch;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** Peer URLs from the settings, used in addition to those listed in the store. */
  readonly settingsPeerUrls: readonly string[];
  /** Fetches the active configuration of another entry or scheduler. */
  readonly fetch: (url: string) => Promise<configuration.ConfigurationRecord | undefined>;
}

/** Running synchronization; disposing stops it. */
export interface ConfigurationSync extends disposable.Disposable {
  /**
   * Called with a version that another process has; a higher one is fetched in the background,
   * first from that process if its URL is known: after a restore of the store, an agent may be the
   * only process that still has it.
   */
  readonly noteVersion: (version: number, url?: string) => void;
  /** @returns whether at least this version is active, after fetching it if it was not */
  readonly catchUp: (version: number, url?: string) => Promise<boolean>;
  /** Asks every peer and adopts the highest version. */
  readonly askPeers: () => Promise<void>;
  /** Warnings for operators, one sentence each. */
  readonly warnings: () => readonly string[];
}

/** Delay between two rounds of asking peers while the process has no configuration. */
const FIRST_RETRY_MS = 500;

/** Maximum number of peers asked concurrently: there are few, and any one of them suffices. */
const MAX_PEERS = 16;

const BEHIND_METRIC = 'auburnlift_configuration_store_behind';

const decodeEntry = (
  entry: store.StoreEntry | undefined,
): configuration.ConfigurationRecord | undefined =>
  entry === undefined ? undefined : liveEntries.configurationOf(new Map([[entry.key, entry]]));

/**
 * @param options - options
 * @returns the synchronization, already running
 */
export const startConfigurationSync = (options: ConfigurationSyncOptions): ConfigurationSync => {
  const { holder, live, log } = options;
  let storeBehindWarning: string | undefined;
  let isChecking = false;
  let pendingPeerRound: Promise<void> | undefined;
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;
  const pendingFetches = new Map<string, Promise<void>>();

  const clearAlarm = (): void => {
    if (storeBehindWarning !== undefined) {
      log('info', 'configurationStoreCaughtUp', { version: holder.version() });
    }
    storeBehindWarning = undefined;
    options.metrics.gauge(BEHIND_METRIC, 0);
  };
  const raiseAlarm = (found: configuration.ConfigurationRecord | undefined): void => {
    const storeVersion = found?.version ?? 0;
    const warning =
      `the store holds configuration version ${storeVersion}, but version ${holder.version()} is ` +
      'active: the store was restored from an older state; configuration writes are rejected';
    if (warning === storeBehindWarning) return;
    storeBehindWarning = warning;
    options.metrics.gauge(BEHIND_METRIC, 1);
    log('error', 'configurationRefused', {
      storeVersion,
      storeWriteId: found?.writeId,
      inForceVersion: holder.version(),
      inForceWriteId: holder.current()?.writeId,
    });
  };
  /** Reads the key itself, since the watch may merely lag behind. */
  const verifyInStore = async (): Promise<void> => {
    if (isChecking) return;
    isChecking = true;
    try {
      const known = holder.current();
      const entry = await options.store.get(storeKeys.CONFIGURATION_KEY);
      const found = decodeEntry(entry);
      const adoption =
        found === undefined ? configurationHolder.Adoption.refused : holder.offer(found);
      if (configurationOrder.isRestored(found, known)) raiseAlarm(found);
      else if (adoption !== configurationHolder.Adoption.refused) clearAlarm();
    } catch (thrown) {
      log('debug', 'configurationNotVerified', { reason: errors.normalize(thrown).message });
    } finally {
      isChecking = false;
    }
  };
  const adoptFromWatch = (): void => {
    const record = liveEntries.configurationOf(live.entries());
    const adoption =
      record === undefined ? configurationHolder.Adoption.refused : holder.offer(record);
    if (adoption === configurationHolder.Adoption.refused) {
      if (holder.current() !== undefined) void verifyInStore();
    } else if (storeBehindWarning !== undefined) clearAlarm();
  };
  const peerUrls = (): readonly string[] => {
    const known = (['entry', 'scheduler'] as const).flatMap((role) =>
      liveEntries.processesOf(live.entries(), role).map((it) => it.url),
    );
    return [...new Set([...known, ...options.settingsPeerUrls])].slice(0, MAX_PEERS);
  };
  const fetchFrom = async (url: string): Promise<void> => {
    try {
      const record = await options.fetch(url);
      if (record !== undefined) holder.offer(record);
    } catch (thrown) {
      log('debug', 'configurationNotFetched', { url, reason: errors.normalize(thrown).message });
    }
  };
  /** Shares one fetch, as many messages of a process arrive while it is being asked. */
  const fetchOnceFrom = async (url: string): Promise<void> => {
    const running =
      pendingFetches.get(url) ?? fetchFrom(url).finally(() => pendingFetches.delete(url));
    pendingFetches.set(url, running);
    await running;
  };
  const askPeers = async (): Promise<void> => {
    // Concurrent callers share one round.
    pendingPeerRound ??= Promise.all(peerUrls().map(fetchFrom)).then(() => {
      pendingPeerRound = undefined;
    });
    await pendingPeerRound;
  };
  const catchUp = async (version: number, url?: string): Promise<boolean> => {
    if (holder.version() < version && url !== undefined) await fetchOnceFrom(url);
    if (holder.version() < version) await askPeers();
    return holder.version() >= version;
  };
  const loop = (): void => {
    void askPeers().finally(() => {
      const isDone = isDisposed || holder.current() !== undefined;
      if (!isDone) timer = options.clock.after(FIRST_RETRY_MS, loop);
    });
  };
  const subscription = live.onDidChange(adoptFromWatch);
  loop();
  return {
    noteVersion: (version, url) => {
      if (version > holder.version()) void catchUp(version, url);
    },
    catchUp,
    askPeers,
    warnings: () => (storeBehindWarning === undefined ? [] : [storeBehindWarning]),
    dispose: async () => {
      isDisposed = true;
      void timer?.dispose();
      await subscription.dispose();
    },
  };
};
