/**
 * Follows the operators' configuration in the store. Applies only later versions, and tracks up to which
 * instant it has certainly seen every change.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import * as event from '../../../base/common/event.js';
import type * as logging from '../../../base/common/logging.js';
import type * as poolConfiguration from '../../../state/common/pool/poolConfiguration.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';

import * as prefixWatch from './prefixWatch.js';
import * as snapshotAge from './snapshotAge.js';

/** Dependencies of the feed. */
export interface ConfigurationFeedOptions {
  readonly store: Pick<recordStore.RecordStore, 'list' | 'watch'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Key of the record that holds the configuration. */
  readonly key: string;
  /** @throws if the text is not a valid configuration */
  readonly decode: (text: string) => poolConfiguration.PoolConfiguration;
}

/** The configuration as this process knows it. */
export interface ConfigurationFeed extends disposable.Disposable {
  readonly current: () => poolConfiguration.StoredConfiguration | undefined;
  /** The record that {@link current} was read from. */
  readonly record: () => store.StoreEntry | undefined;
  /** Revision of the store up to which all changes were seen. */
  readonly seenRevision: () => number;
  /**
   * How long ago {@link current} was last confirmed as the store's latest. A credential that was revoked since
   * then may still be accepted by this process.
   */
  readonly ageMs: () => number;
  readonly onDidChange: event.Event<poolConfiguration.StoredConfiguration>;
}

/** Wait of a watch: bounds the age of the last confirmation while nothing changes. */
const WATCH_MS = 1200;

/** Short wait of a watch that confirms the copy as current immediately: after a change and after a failure. */
const CONFIRM_WATCH_MS = 50;

/** Delay after a failed call. */
const RETRY_MS = 200;

/**
 * Successive failed watches before the complete record is read instead. A watch is empty if nothing has changed,
 * but otherwise carries each version since then, which may be more than the link can transfer.
 */
const MAX_FAILED_WATCHES = 2;

/** A watch that fails sooner was refused: the failure does not indicate an answer too large to transfer. */
const REFUSED_MS = 300;

/**
 * @param options - its dependencies
 * @returns the feed, which follows changes until it is disposed
 */
export const startConfigurationFeed = (options: ConfigurationFeedOptions): ConfigurationFeed => {
  const { clock: time, log } = options;
  const changes = event.createEmitter<poolConfiguration.StoredConfiguration>();
  const aborter = new AbortController();
  let isDisposed = false;
  let active: poolConfiguration.StoredConfiguration | undefined;
  let heldRecord: store.StoreEntry | undefined;
  const age = snapshotAge.createSnapshotAge(time);
  let isConnected = false;
  /** Successive failed store calls. */
  let failures = 0;
  /** Those of them that failed after waiting. */
  let failedWatches = 0;
  let attemptedAtMs = 0;
  /** All changes up to this revision have been seen; undefined requires a new read. */
  let seenRevision: number | undefined;

  const applyRecord = (record: store.StoreEntry): void => {
    if (record.key !== options.key) return;
    let configuration: poolConfiguration.PoolConfiguration;
    try {
      configuration = options.decode(record.value);
    } catch (thrown) {
      const { message } = errors.normalize(thrown);
      log('error', 'configurationUnreadable', { revision: record.revision, reason: message });
      return;
    }
    if (active !== undefined && configuration.version < active.configuration.version) return;
    const isNewer = configuration.version !== active?.configuration.version;
    active = { configuration, revision: Math.max(record.revision, active?.revision ?? 0) };
    heldRecord = record;
    if (!isNewer) return;
    const { version, queues, customers } = configuration;
    log('info', 'configurationTaken', {
      configVersion: version,
      revision: record.revision,
      bytes: record.value.length,
      queues: queues.length,
      customers: customers.length,
    });
    changes.fire(active);
  };

  const recordAnswer = (): void => {
    if (!isConnected) {
      log('info', 'configurationStoreAnswers', { failures, ageMs: Math.round(age.ageMs()) });
    }
    isConnected = true;
    failures = 0;
    failedWatches = 0;
    attemptedAtMs = time.monotonicMs();
  };

  const recordFailure = (thrown: unknown): void => {
    failures += 1;
    if (time.monotonicMs() - attemptedAtMs > REFUSED_MS) failedWatches += 1;
    if (isConnected) {
      log('warn', 'configurationStoreLost', {
        ageMs: Math.round(age.ageMs()),
        reason: errors.normalize(thrown).message,
      });
    }
    isConnected = false;
  };

  const read = async (): Promise<void> => {
    const sentAt = age.now();
    const { entries, revision } = await options.store.list(options.key);
    seenRevision = revision;
    log('info', 'configurationRead', {
      revision,
      tookMs: Math.round(time.monotonicMs() - sentAt.monotonicMs),
    });
    entries.forEach(applyRecord);
    age.confirm(sentAt);
    recordAnswer();
  };

  /** Follows changes until a watch fails or the store no longer retains them. */
  const follow = async (afterRevision: number): Promise<void> => {
    await prefixWatch.followPrefix(
      {
        store: options.store,
        prefix: options.key,
        waitMs: WATCH_MS,
        confirmWaitMs: CONFIRM_WATCH_MS,
        signal: aborter.signal,
        age,
        onDidSee: (seen) => {
          seen.entries.forEach(applyRecord);
          seenRevision = seen.revision;
          recordAnswer();
        },
      },
      afterRevision,
    );
    seenRevision = undefined;
  };

  const run = async (): Promise<void> => {
    while (!isDisposed) {
      attemptedAtMs = time.monotonicMs();
      try {
        if (seenRevision === undefined || failedWatches >= MAX_FAILED_WATCHES) await read();
        if (seenRevision !== undefined) await follow(seenRevision);
      } catch (thrown) {
        if (isDisposed) return;
        recordFailure(thrown);
        await clock.sleep(time, RETRY_MS);
      }
    }
  };
  void run();
  return {
    current: () => active,
    record: () => heldRecord,
    seenRevision: () => seenRevision ?? 0,
    ageMs: age.ageMs,
    onDidChange: changes.event,
    dispose: () => {
      isDisposed = true;
      aborter.abort();
      changes.dispose();
    },
  };
};
