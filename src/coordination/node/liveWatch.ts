/**
 * Watches the live prefix of the store: configuration, leaders and processes.
 *
 * Guards against a watch that stalls or skips events: the whole prefix is also listed at a fixed
 * period, so a change is seen within that period at the latest. While the store is down, the last
 * known entries remain.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import * as event from '../../base/common/event.js';
import type * as logging from '../../base/common/logging.js';
import type * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';

/** Options of {@link startLiveWatch}. */
export interface LiveWatchOptions {
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Timeout of one watch call. */
  readonly watchMs: number;
  /** Period of full listings. */
  readonly listMs: number;
  /** Delay after a failed call. */
  readonly retryMs: number;
}

/** The last known entries of the live prefix. Disposing ends the watch. */
export interface LiveWatch extends disposable.Disposable {
  readonly entries: () => ReadonlyMap<string, store.StoreEntry>;
  readonly onDidChange: event.Event<void>;
  /** Whether the last call to the store succeeded. */
  readonly isConnected: () => boolean;
  /** Lists the prefix immediately. */
  readonly refresh: () => Promise<void>;
}

/**
 * @param options - options
 * @returns the watch, already running
 */
export const startLiveWatch = (options: LiveWatchOptions): LiveWatch => {
  const { store: target, clock: timeSource } = options;
  const emitter = event.createEmitter<void>();
  const stop = new AbortController();
  let entries: ReadonlyMap<string, store.StoreEntry> = new Map();
  let revision = -1;
  let listedAtMs = Number.NEGATIVE_INFINITY;
  let isConnected = false;

  const pause = (durationMs: number): Promise<void> =>
    new Promise((resolve) => {
      const finish = (): void => {
        void timer.dispose();
        stop.signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = timeSource.after(durationMs, finish);
      stop.signal.addEventListener('abort', finish);
    });
  const list = async (): Promise<void> => {
    const revisionBefore = revision;
    const listed = await target.list(storeKeys.LIVE_PREFIX);
    // Guards against a store that was restored from an older state: its revisions restart below
    // the last seen one, so every watch would see no change and every listing would be dropped as
    // stale. A listing that began after the higher revision was seen can't be stale.
    const wentBack = listed.revision < revisionBefore;
    if (wentBack) {
      options.log('error', 'storeWentBack', {
        revision: listed.revision,
        seenRevision: revisionBefore,
      });
    }
    // A slow listing must not overwrite newer changes seen by a watch.
    if (listed.revision < revision && !wentBack) return;
    const hasChanged =
      wentBack ||
      listed.entries.length !== entries.size ||
      listed.entries.some((it) => entries.get(it.key)?.revision !== it.revision);
    entries = new Map(listed.entries.map((it) => [it.key, it]));
    revision = listed.revision;
    listedAtMs = timeSource.monotonicMs();
    if (hasChanged) emitter.fire();
  };
  const follow = async (): Promise<void> => {
    const seen = await target.watch(storeKeys.LIVE_PREFIX, revision, options.watchMs, stop.signal);
    if (seen.isGap) {
      await list();
      return;
    }
    if (seen.revision < revision) {
      await list();
      return;
    }
    if (seen.revision === revision) return;
    revision = seen.revision;
    const next = new Map(entries);
    for (const it of seen.entries) next.set(it.key, it);
    for (const key of seen.deletedKeys) next.delete(key);
    entries = next;
    emitter.fire();
  };
  const listOrFollow = async (): Promise<void> => {
    const isListDue = timeSource.monotonicMs() - listedAtMs >= options.listMs;
    await (isListDue ? list() : follow());
  };
  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      try {
        await listOrFollow();
        isConnected = true;
      } catch (thrown) {
        // On shutdown the process aborts its own watch, which is no failure of the store.
        if (isConnected && !stop.signal.aborted) {
          options.log('warn', 'storeLost', { reason: errors.normalize(thrown).message });
        }
        isConnected = false;
        await pause(options.retryMs);
      }
    }
  };
  void run();
  return {
    entries: () => entries,
    onDidChange: emitter.event,
    isConnected: () => isConnected,
    refresh: list,
    dispose: () => {
      stop.abort();
      emitter.dispose();
    },
  };
};
