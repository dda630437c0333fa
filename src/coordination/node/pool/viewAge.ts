/**
 * How long ago a copy of the store's records was certainly complete.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as store from '../../../state/common/store.js';

/** A moment by both clocks of the process. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** The age of a copy. */
export interface ViewAge {
  /** @returns now, to be given to {@link prove} once a call that is sent now has been answered */
  readonly now: () => Moment;
  /** The copy had everything that was written up to this moment. */
  readonly prove: (at: Moment) => void;
  /** A watch was answered that was sent at this moment and waited no longer than this for a change. */
  readonly proveByWatch: (sentAt: Moment, waitMs: number, seen: store.WatchResult) => void;
  /** How long ago that was; infinite before the first proof. */
  readonly ageMs: () => number;
}

/**
 * @param time - both clocks
 * @returns the age of a copy that nothing is known of yet
 */
export const createViewAge = (time: clock.Clock): ViewAge => {
  let proven: Moment = { monotonicMs: -Infinity, wallMs: -Infinity };
  const prove = (at: Moment): void => {
    if (at.monotonicMs >= proven.monotonicMs) proven = at;
  };
  return {
    now: () => ({ monotonicMs: time.monotonicMs(), wallMs: time.wallMs() }),
    prove,
    proveByWatch: (sentAt, waitMs, seen) => {
      // A watch that saw nothing was answered when its wait was over, one with events at any time.
      const isEmpty = seen.entries.length + seen.deletedKeys.length === 0;
      const elapsedMs = time.monotonicMs() - sentAt.monotonicMs;
      const waitedMs = isEmpty ? Math.min(waitMs, elapsedMs) : 0;
      prove({ monotonicMs: sentAt.monotonicMs + waitedMs, wallMs: sentAt.wallMs + waitedMs });
    },
    // The clock that went further tells: in a suspension the monotonic one stands still.
    ageMs: () => Math.max(time.monotonicMs() - proven.monotonicMs, time.wallMs() - proven.wallMs),
  };
};
