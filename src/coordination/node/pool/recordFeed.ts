/**
 * Delivers the store's records to the leader: all of them at first, then each change, and all of them again if
 * the store no longer retains the changes.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';

import * as prefixWatch from './prefixWatch.js';
import * as snapshotAge from './snapshotAge.js';

/** Dependencies of the feed. */
export interface RecordFeedOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** The current content of a record; the same may be delivered again. */
  readonly onRecord: (record: store.StoreEntry) => void;
  readonly onRemoved: (key: string) => void;
  /** A job's progress, delivered once, after all records and before {@link onDidLoad}. */
  readonly onProgress: (record: store.StoreEntry) => void;
  readonly onDidLoad: (revision: number) => void;
}

/** Delivers records. */
export interface RecordFeed extends disposable.Disposable {
  /** Age of the delivered state: all records written before then have certainly been delivered. */
  readonly ageMs: () => number;
}

/** Delay after a failed store call. */
const RETRY_MS = 200;

/**
 * Wait of a watch. With a second for the answer, a lost watch is followed by the next one within two seconds:
 * callers are guaranteed that a cancelled job has stopped, and an urgent one started, within three.
 */
const WATCH_MS = 800;

/**
 * Successive failed watches before all records are read again: the changes since the last answer may be too many
 * for one answer.
 */
const MAX_FAILED_WATCHES = 6;

/** A watch that fails sooner was refused: the failure does not indicate an answer too large to transfer. */
const REFUSED_MS = 300;

/**
 * @param options - its dependencies
 * @returns the feed, which runs until it is disposed
 */
export const startRecordFeed = (options: RecordFeedOptions): RecordFeed => {
  const { clock: time, log } = options;
  const aborter = new AbortController();
  const knownKeys = new Set<string>();
  const age = snapshotAge.createSnapshotAge(time);
  let isDisposed = false;
  let isAnswered = true;
  let revision = 0;
  let watchSentAtMs = 0;
  let failedWatches = 0;

  const deliver = (record: store.StoreEntry): void => {
    knownKeys.add(record.key);
    options.onRecord(record);
  };
  const deliverRemoval = (key: string): void => {
    if (knownKeys.delete(key)) options.onRemoved(key);
  };

  const load = async (): Promise<void> => {
    const sentAt = age.now();
    const live = await options.store.list(poolKeys.LIVE);
    const progress = await options.store.list(poolKeys.PROGRESS);
    if (isDisposed) return;
    live.entries.forEach(deliver);
    progress.entries.forEach(options.onProgress);
    age.confirm(sentAt);
    revision = live.revision;
    options.onDidLoad(revision);
  };

  const relist = async (): Promise<void> => {
    const sentAt = age.now();
    const live = await options.store.list(poolKeys.LIVE);
    if (isDisposed) return;
    const listed = new Set(live.entries.map((it) => it.key));
    for (const key of [...knownKeys]) if (!listed.has(key)) deliverRemoval(key);
    live.entries.forEach(deliver);
    age.confirm(sentAt);
    revision = live.revision;
    log('info', 'relisted', { revision, records: live.entries.length });
    recordAnswer();
  };

  const recordAnswer = (): void => {
    if (!isAnswered) log('info', 'watchAnswers', { revision, ageMs: Math.round(age.ageMs()) });
    isAnswered = true;
    failedWatches = 0;
    watchSentAtMs = time.monotonicMs();
  };

  const recordFailure = (thrown: unknown): void => {
    const waitedMs = time.monotonicMs() - watchSentAtMs;
    isAnswered = false;
    if (waitedMs > REFUSED_MS) failedWatches += 1;
    log('warn', 'watchFailed', {
      afterRevision: revision,
      waitedMs: Math.round(waitedMs),
      ageMs: Math.round(age.ageMs()),
      reason: errors.normalize(thrown).message,
    });
  };

  const deliverChanges = (seen: store.WatchResult): void => {
    seen.entries.forEach(deliver);
    seen.deletedKeys.forEach(deliverRemoval);
    revision = seen.revision;
    recordAnswer();
  };

  /** Follows changes until a watch fails; lists all records if the store no longer retains the changes. */
  const followOnce = async (): Promise<void> => {
    watchSentAtMs = time.monotonicMs();
    await prefixWatch.followPrefix(
      {
        store: options.store,
        prefix: poolKeys.LIVE,
        waitMs: WATCH_MS,
        signal: aborter.signal,
        age,
        onDidSee: deliverChanges,
      },
      revision,
    );
    if (!isDisposed) await relist();
  };

  const follow = async (): Promise<void> => {
    while (!isDisposed) {
      try {
        if (failedWatches >= MAX_FAILED_WATCHES) await relist();
        await followOnce();
      } catch (thrown) {
        if (isDisposed) return;
        recordFailure(thrown);
        await clock.sleep(time, RETRY_MS);
      }
    }
  };

  const run = async (): Promise<void> => {
    while (!isDisposed) {
      try {
        await load();
        await follow();
        return;
      } catch (thrown) {
        log('warn', 'loadFailed', { reason: errors.normalize(thrown).message });
        await clock.sleep(time, RETRY_MS);
      }
    }
  };
  void run();
  return {
    ageMs: age.ageMs,
    dispose: () => {
      isDisposed = true;
      aborter.abort();
    },
  };
};
