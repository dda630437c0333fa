/**
 * Follows the changes of the records under a prefix.
 *
 * Guards against a watch that is never answered, as one that was sent while the store was away: nothing else
 * fails, and its process works by an old copy until it gives the watch up. The wait bounds that time.
 */
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';

import type * as viewAge from './viewAge.js';

/** What following needs. */
export interface PrefixWatchOptions {
  readonly store: Pick<recordStore.RecordStore, 'watch'>;
  readonly prefix: string;
  /** How long a watch waits for a change. A lost one is given up this and the time of an answer later. */
  readonly waitMs: number;
  /**
   * How long the first watch waits, and each one after changes, where the age of the copy matters more than a
   * call: a long answer proves no more than that the copy was complete when its watch was sent.
   */
  readonly proofWaitMs?: number;
  /** Ends it. */
  readonly signal: AbortSignal;
  /** Age of the copy that is kept by what is seen. */
  readonly age: viewAge.ViewAge;
  /** An answer, also one without changes. */
  readonly onDidSee: (seen: store.WatchResult) => void;
}

/**
 * @param options - what following needs
 * @param afterRevision - what is told already
 * @returns settled where the store no longer remembers all changes, or at the end
 * @throws AuburnliftError `storeUnavailable` where a watch fails
 */
export const followPrefix = async (
  options: PrefixWatchOptions,
  afterRevision: number,
): Promise<void> => {
  const { age, signal } = options;
  let revision = afterRevision;
  const proofWaitMs = options.proofWaitMs ?? options.waitMs;
  let waitMs = proofWaitMs;
  for (;;) {
    const sentAt = age.now();
    const seen = await options.store.watch(options.prefix, revision, waitMs, signal);
    if (signal.aborted || seen.isGap) return;
    options.onDidSee(seen);
    // What was seen may have ended this very following: a leader that reads that another one leads.
    if (signal.aborted) return;
    age.proveByWatch(sentAt, waitMs, seen);
    revision = seen.revision;
    const hasChanges = seen.entries.length + seen.deletedKeys.length > 0;
    waitMs = hasChanges ? proofWaitMs : options.waitMs;
  }
};
