/**
 * Follows the changes of the records under a prefix.
 *
 * Guards against a watch that is never answered, such as one sent while the store was unavailable: no other call
 * fails, and the process uses a stale copy until it abandons the watch. The wait bounds that time.
 */
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';

import type * as snapshotAge from './snapshotAge.js';

/** What to follow, and whom to notify. */
export interface PrefixWatchOptions {
  readonly store: Pick<recordStore.RecordStore, 'watch'>;
  readonly prefix: string;
  /** How long a watch waits for a change. A lost watch is abandoned after this time plus the time for an answer. */
  readonly waitMs: number;
  /**
   * Shorter wait of the first watch and of each one after changes, for copies whose age matters more than the
   * number of calls: an answer with changes only confirms that the copy was complete when its watch was sent.
   */
  readonly confirmWaitMs?: number;
  /** Stops following. */
  readonly signal: AbortSignal;
  /** Age of the copy that the caller maintains from the changes. */
  readonly age: snapshotAge.SnapshotAge;
  /** Called for each answer, including empty ones. */
  readonly onDidSee: (seen: store.WatchResult) => void;
}

/**
 * @param options - what to follow
 * @param afterRevision - revision up to which the caller has all changes
 * @returns settled if the store no longer retains all changes since then, or if following was stopped
 * @throws AuburnliftError `storeUnavailable` if a watch fails
 */
export const followPrefix = async (
  options: PrefixWatchOptions,
  afterRevision: number,
): Promise<void> => {
  const { age, signal } = options;
  let revision = afterRevision;
  const confirmWaitMs = options.confirmWaitMs ?? options.waitMs;
  let waitMs = confirmWaitMs;
  for (;;) {
    const sentAt = age.now();
    const seen = await options.store.watch(options.prefix, revision, waitMs, signal);
    if (signal.aborted || seen.isGap) return;
    options.onDidSee(seen);
    // The callback may have aborted the signal, as when a leader sees that another process leads.
    if (signal.aborted) return;
    age.confirmByWatch(sentAt, waitMs, seen);
    revision = seen.revision;
    const hasChanges = seen.entries.length + seen.deletedKeys.length > 0;
    waitMs = hasChanges ? confirmWaitMs : options.waitMs;
  }
};
