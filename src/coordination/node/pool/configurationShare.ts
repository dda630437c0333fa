/**
 * One read of the configuration for all processes of a machine: its entry follows the store, and the scheduler
 * beside it asks the entry.
 *
 * Load it answers: a configuration of a megabyte on a line of a few Mbit/s. Read by both processes at once it
 * takes twice as long, in which callers wait or are refused.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';

import type * as configurationFeed from './configurationFeed.js';

/** What an entry tells; without a record where it has nothing later. */
export interface SharedConfiguration {
  /** Revision of the store up to which the entry has seen all changes. */
  readonly seenRevision: number;
  readonly record?: { readonly value: string; readonly revision: number };
}

/** Asks an entry for a configuration later than a revision; throws where it does not answer. */
export type AskConfiguration = (
  afterRevision: number,
  waitMs: number,
) => Promise<SharedConfiguration>;

/** What an entry shares. */
export interface ShareOptions {
  /** The entry's own configuration. */
  readonly feed: configurationFeed.ConfigurationFeed;
  readonly clock: clock.Clock;
  /** How long ago the entry last heard the store, also where all that came was a piece of an answer. */
  readonly storeAgeMs: () => number;
}

/** An entry that has not heard the store for longer knows no better than the store itself. */
const MAX_SILENCE_MS = 3000;

/** How often a waiting entry looks. */
const LOOK_MS = 50;

/**
 * @param options - what the entry shares
 * @returns answers the scheduler beside it; throws `storeUnavailable` while the entry does not hear the store
 */
export const shareConfiguration = (options: ShareOptions): AskConfiguration => {
  const { feed, clock: time } = options;
  const checkHeard = (): void => {
    if (options.storeAgeMs() <= MAX_SILENCE_MS) return;
    throw errors.fail('storeUnavailable', 'this entry does not hear the store');
  };
  return async (afterRevision, waitMs) => {
    const untilMs = time.monotonicMs() + waitMs;
    for (;;) {
      const record = feed.record();
      if (record !== undefined && record.revision > afterRevision) {
        checkHeard();
        const { value, revision } = record;
        const seenRevision = Math.max(revision, feed.seenRevision());
        return { seenRevision, record: { value, revision } };
      }
      if (time.monotonicMs() >= untilMs) break;
      await clock.sleep(time, LOOK_MS);
    }
    checkHeard();
    return { seenRevision: Math.max(afterRevision, feed.seenRevision()) };
  };
};

/** What asking needs. */
export interface SharedStoreOptions {
  readonly ask: AskConfiguration;
  /** Asked where the entry does not answer. */
  readonly store: Pick<recordStore.RecordStore, 'list' | 'watch'>;
  /** Key of the record that holds the configuration. */
  readonly key: string;
  readonly log: logging.Log;
}

/** Wait of a question while the entry beside the scheduler reads its first configuration. */
const FIRST_WAIT_MS = 1000;

/**
 * @param options - what asking needs
 * @returns the configuration's record as the entry beside this process tells it, or else the store
 */
export const createSharedStore = (
  options: SharedStoreOptions,
): Pick<recordStore.RecordStore, 'list' | 'watch'> => {
  const { ask, key, log } = options;
  let isShared: boolean | undefined;

  const note = (isAnswered: boolean, reason: string): void => {
    if (isAnswered === isShared) return;
    isShared = isAnswered;
    log('info', isAnswered ? 'configurationShared' : 'configurationNotShared', { reason });
  };

  const attempt = async (
    afterRevision: number,
    waitMs: number,
  ): Promise<SharedConfiguration | undefined> => {
    try {
      const told = await ask(afterRevision, waitMs);
      note(true, 'the entry on this machine answers');
      return told;
    } catch (thrown) {
      note(false, errors.normalize(thrown).message);
      return undefined;
    }
  };

  const entriesOf = ({ record }: SharedConfiguration): readonly store.StoreEntry[] =>
    record === undefined ? [] : [{ key, ...record }];

  return {
    list: async (prefix) => {
      for (;;) {
        const told = await attempt(0, FIRST_WAIT_MS);
        if (told === undefined) return options.store.list(prefix);
        if (told.record !== undefined) {
          return { entries: entriesOf(told), revision: told.seenRevision };
        }
      }
    },
    watch: async (prefix, afterRevision, waitMs, signal) => {
      const told = await attempt(afterRevision, waitMs);
      if (told === undefined) return options.store.watch(prefix, afterRevision, waitMs, signal);
      const revision = Math.max(afterRevision, told.seenRevision);
      return { entries: entriesOf(told), deletedKeys: [], revision, isGap: false };
    },
  };
};
