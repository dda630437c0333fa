/**
 * Unacknowledged orders: the worker may carry them out seconds later, and so may its new incarnation, which
 * knows of no fence until it is contacted for the first time.
 */

/** A worker carries out an order within this time, or never. */
export const MAX_ORDER_DELAY_MS = 12_000;

/** Both clocks of the leader, read at the same instant. */
export interface ClockReadings {
  readonly monotonicMs: number;
  /** Unix milliseconds. */
  readonly wallMs: number;
}

/**
 * Converts a time that a previous leader recorded; bounded, since its wall clock may have differed.
 *
 * @param lateUntilWallMs - Unix milliseconds until which a delayed order may arrive; 0 where none may
 * @param now - the leader's clocks
 * @returns the same instant on this leader's monotonic clock
 */
export const toMonotonicMs = (lateUntilWallMs: number, now: ClockReadings): number =>
  now.monotonicMs + Math.min(MAX_ORDER_DELAY_MS, Math.max(0, lateUntilWallMs - now.wallMs));
