/**
 * Reads the configuration once per machine: the entry process follows the store, and the scheduler on the same
 * machine requests it from the entry.
 *
 * If both processes read a configuration of a megabyte over a link of a few Mbit/s at the same time, it takes
 * twice as long, and meanwhile callers wait or are refused.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';

import type * as configurationFeed from './configurationFeed.js';

/** An entry's answer; has no record if there is nothing later. */
export interface SharedConfiguration {
  /** Revision of the store up to which the entry has seen all changes. */
  readonly seenRevision: number;
  readonly record?: { readonly value: string; readonly revision: number };
}

/** Requests a configuration later than a revision from an entry; throws if it does not answer. */
export type RequestConfiguration = (
  afterRevision: number,
  waitMs: number,
) => Promise<SharedConfiguration>;

/** Dependencies of an entry that shares its configuration. */
export interface ShareOptions {
  /** The entry's own configuration. */
  readonly feed: configurationFeed.ConfigurationFeed;
  readonly clock: clock.Clock;
  /** Time since the entry last received anything from the store, including part of an answer. */
  readonly storeAgeMs: () => number;
}

/** An entry that has received nothing from the store for longer refuses, so that the scheduler asks the store. */
const MAX_SILENCE_MS = 3000;

/** Polling interval of a waiting request. */
const POLL_MS = 50;

/**
 * @param options - its dependencies
 * @returns answers the scheduler's requests; throws `storeUnavailable` while the entry gets nothing from the store
 */
export const shareConfiguration = (options: ShareOptions): RequestConfiguration => {
  const { feed, clock: time } = options;
  const checkStoreAnswers = (): void => {
    if (options.storeAgeMs() <= MAX_SILENCE_MS) return;
    throw errors.fail('storeUnavailable', 'this entry receives no answers from the store');
  };
  return async (afterRevision, waitMs) => {
    const untilMs = time.monotonicMs() + waitMs;
    for (;;) {
      const record = feed.record();
      if (record !== undefined && record.revision > afterRevision) {
        checkStoreAnswers();
        const { value, revision } = record;
        const seenRevision = Math.max(revision, feed.seenRevision());
        return { seenRevision, record: { value, revision } };
      }
      if (time.monotonicMs() >= untilMs) break;
      await clock.sleep(time, POLL_MS);
    }
    checkStoreAnswers();
    return { seenRevision: Math.max(afterRevision, feed.seenRevision()) };
  };
};

/** Dependencies of a scheduler that reads the configuration from its machine's entry. */
export interface SharedConfigurationStoreOptions {
  readonly ask: RequestConfiguration;
  /** Used if the entry does not answer. */
  readonly store: Pick<recordStore.RecordStore, 'list' | 'watch'>;
  /** Key of the record that holds the configuration. */
  readonly key: string;
  readonly log: logging.Log;
}

/** How long a request waits while the entry is still reading its first configuration. */
const INITIAL_READ_WAIT_MS = 1000;

/**
 * @param options - its dependencies
 * @returns reads the configuration's record from the entry on this machine, or else from the store
 */
export const createSharedConfigurationStore = (
  options: SharedConfigurationStoreOptions,
): Pick<recordStore.RecordStore, 'list' | 'watch'> => {
  const { ask, key, log } = options;
  let isShared: boolean | undefined;

  const recordAvailability = (isAnswered: boolean, reason: string): void => {
    if (isAnswered === isShared) return;
    isShared = isAnswered;
    log('info', isAnswered ? 'configurationShared' : 'configurationNotShared', { reason });
  };

  const requestFromEntry = async (
    afterRevision: number,
    waitMs: number,
  ): Promise<SharedConfiguration | undefined> => {
    try {
      const shared = await ask(afterRevision, waitMs);
      recordAvailability(true, 'the entry on this machine answers');
      return shared;
    } catch (thrown) {
      recordAvailability(false, errors.normalize(thrown).message);
      return undefined;
    }
  };

  const entriesOf = ({ record }: SharedConfiguration): readonly store.StoreEntry[] =>
    record === undefined ? [] : [{ key, ...record }];

  return {
    list: async (prefix) => {
      for (;;) {
        const shared = await requestFromEntry(0, INITIAL_READ_WAIT_MS);
        if (shared === undefined) return options.store.list(prefix);
        if (shared.record !== undefined) {
          return { entries: entriesOf(shared), revision: shared.seenRevision };
        }
      }
    },
    watch: async (prefix, afterRevision, waitMs, signal) => {
      const shared = await requestFromEntry(afterRevision, waitMs);
      if (shared === undefined) return options.store.watch(prefix, afterRevision, waitMs, signal);
      const revision = Math.max(afterRevision, shared.seenRevision);
      return { entries: entriesOf(shared), deletedKeys: [], revision, isGap: false };
    },
  };
};
