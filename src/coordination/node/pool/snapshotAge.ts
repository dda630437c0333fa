/**
 * Tracks how long ago a local copy of the store's records was certainly complete.
 */
import * as clock from '../../../base/common/clock.js';
import type * as store from '../../../state/common/store.js';

/** The age of a copy. */
export interface SnapshotAge {
  /** @returns the current instant, to be passed to {@link confirm} once a call sent now has been answered */
  readonly now: () => clock.ClockReadings;
  /** Confirms that the copy contained everything written up to this instant. */
  readonly confirm: (at: clock.ClockReadings) => void;
  /** Confirms the copy by the answer to a watch that was sent at this instant with this maximum wait. */
  readonly confirmByWatch: (
    sentAt: clock.ClockReadings,
    waitMs: number,
    seen: store.WatchResult,
  ) => void;
  /** Time since the latest confirmed instant; infinite before the first one. */
  readonly ageMs: () => number;
}

/**
 * @param time - both clocks
 * @returns the age of a copy that has not been confirmed yet
 */
export const createSnapshotAge = (time: clock.Clock): SnapshotAge => {
  let proven: clock.ClockReadings = { monotonicMs: -Infinity, wallMs: -Infinity };
  const confirm = (at: clock.ClockReadings): void => {
    if (at.monotonicMs >= proven.monotonicMs) proven = at;
  };
  return {
    now: () => clock.readClocks(time),
    confirm,
    confirmByWatch: (sentAt, waitMs, seen) => {
      // An empty answer was sent at the end of the wait; one with changes may have been sent at any time before.
      const isEmpty = seen.entries.length + seen.deletedKeys.length === 0;
      const elapsedMs = time.monotonicMs() - sentAt.monotonicMs;
      const waitedMs = isEmpty ? Math.min(waitMs, elapsedMs) : 0;
      confirm({ monotonicMs: sentAt.monotonicMs + waitedMs, wallMs: sentAt.wallMs + waitedMs });
    },
    // Uses the clock that advanced more, since the monotonic one stops while the machine is suspended.
    ageMs: () => Math.max(time.monotonicMs() - proven.monotonicMs, time.wallMs() - proven.wallMs),
  };
};
