/**
 * Tells the leader of every record that it works by: all of them at first, then each change, and all of
 * them again where the store no longer remembers what has changed.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';

import * as viewAge from './viewAge.js';

/** What the feed needs. */
export interface RecordFeedOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** A record as it stands; the same may be told again. */
  readonly onRecord: (record: store.StoreEntry) => void;
  readonly onRemoved: (key: string) => void;
  /** A job's progress, told once after all records and before {@link onDidLoad}. */
  readonly onProgress: (record: store.StoreEntry) => void;
  readonly onDidLoad: (revision: number) => void;
}

/** Tells records. */
export interface RecordFeed extends disposable.Disposable {
  /** How long ago everything that was written had certainly been told. */
  readonly ageMs: () => number;
}

/** Pause after a failed call to the store. */
const RETRY_MS = 200;

/** Wait of a watch; a silent line is noticed this late. */
const WATCH_MS = 5000;

/**
 * @param options - what the feed needs
 * @returns the feed, which goes on until it is disposed
 */
export const startRecordFeed = (options: RecordFeedOptions): RecordFeed => {
  const { clock: time, log } = options;
  const aborter = new AbortController();
  const present = new Set<string>();
  const age = viewAge.createViewAge(time);
  let isDisposed = false;
  let isAnswered = true;

  const take = (record: store.StoreEntry): void => {
    present.add(record.key);
    options.onRecord(record);
  };
  const remove = (key: string): void => {
    if (present.delete(key)) options.onRemoved(key);
  };

  const load = async (): Promise<number> => {
    const sentAt = age.now();
    const live = await options.store.list(poolKeys.LIVE);
    const progress = await options.store.list(poolKeys.PROGRESS);
    if (isDisposed) return live.revision;
    live.entries.forEach(take);
    progress.entries.forEach(options.onProgress);
    age.prove(sentAt);
    options.onDidLoad(live.revision);
    return live.revision;
  };

  const relist = async (): Promise<number> => {
    const sentAt = age.now();
    const live = await options.store.list(poolKeys.LIVE);
    if (isDisposed) return live.revision;
    const listed = new Set(live.entries.map((it) => it.key));
    for (const key of [...present]) if (!listed.has(key)) remove(key);
    live.entries.forEach(take);
    age.prove(sentAt);
    log('info', 'relisted', { revision: live.revision, records: live.entries.length });
    return live.revision;
  };

  const noteAnswer = (revision: number): void => {
    if (!isAnswered) log('info', 'watchAnswers', { revision, ageMs: Math.round(age.ageMs()) });
    isAnswered = true;
  };

  /** Watches once; @returns the revision to go on from */
  const step = async (sentAt: viewAge.Moment, afterRevision: number): Promise<number> => {
    const seen = await options.store.watch(poolKeys.LIVE, afterRevision, WATCH_MS, aborter.signal);
    if (isDisposed) return afterRevision;
    noteAnswer(seen.revision);
    if (seen.isGap) return relist();
    seen.entries.forEach(take);
    seen.deletedKeys.forEach(remove);
    age.proveByWatch(sentAt, WATCH_MS, seen);
    return seen.revision;
  };

  const noteFailure = (sentAt: viewAge.Moment, afterRevision: number, thrown: unknown): void => {
    isAnswered = false;
    log('warn', 'watchFailed', {
      afterRevision,
      waitedMs: Math.round(time.monotonicMs() - sentAt.monotonicMs),
      ageMs: Math.round(age.ageMs()),
      reason: errors.normalize(thrown).message,
    });
  };

  const follow = async (afterRevision: number): Promise<void> => {
    let revision = afterRevision;
    while (!isDisposed) {
      const sentAt = age.now();
      try {
        revision = await step(sentAt, revision);
      } catch (thrown) {
        if (isDisposed) return;
        noteFailure(sentAt, revision, thrown);
        await clock.sleep(time, RETRY_MS);
      }
    }
  };

  const run = async (): Promise<void> => {
    while (!isDisposed) {
      try {
        await follow(await load());
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
