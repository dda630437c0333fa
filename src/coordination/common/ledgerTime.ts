/**
 * Determines the next time span to record in the ledger, from a wall clock that may jump and a
 * monotonic clock that doesn't.
 *
 * Time is never recorded twice: when the wall clock steps back, recording pauses until it has
 * caught up. When it steps forward, only the time that the monotonic clock also measured counts for
 * the current allocations; those during the rest are unknown. Beyond {@link MAX_JUMP_MS} a step is
 * ignored, so that one wrong clock does not fill the ledger with years.
 */

/** Progress of recording. */
export interface LedgerTime {
  /** All time before this is recorded. */
  readonly bookedUntilMs: number;
  /** Monotonic time of the last step. */
  readonly monotonicMs: number;
}

/** One recording step. */
export interface LedgerStep {
  readonly next: LedgerTime;
  /** The allocations up to this time are unknown. */
  readonly unwitnessedUntilMs: number;
  /** Clock anomaly to report. */
  readonly anomaly: 'none' | 'back' | 'forward' | 'refused';
}

/** Smaller differences are attributed to clock slewing. */
export const JUMP_TOLERANCE_MS = 2000;

/** A larger step forward is treated as a wrong clock. */
export const MAX_JUMP_MS = 21_600_000;

/**
 * @param time - progress of recording
 * @param wallMs - current wall time
 * @param monotonicMs - current monotonic time
 * @returns what to record: from `time.bookedUntilMs` as unknown, then as known up to `next`
 */
export const step = (time: LedgerTime, wallMs: number, monotonicMs: number): LedgerStep => {
  const from = time.bookedUntilMs;
  const elapsedMs = Math.max(0, Math.floor(monotonicMs - time.monotonicMs));
  const target = Math.floor(wallMs);
  if (target <= from) {
    const anomaly = from - target > JUMP_TOLERANCE_MS ? 'back' : 'none';
    return { next: { bookedUntilMs: from, monotonicMs }, unwitnessedUntilMs: from, anomaly };
  }
  const surplusMs = target - from - elapsedMs;
  if (surplusMs > MAX_JUMP_MS) {
    const next = { bookedUntilMs: from + elapsedMs, monotonicMs };
    return { next, unwitnessedUntilMs: from, anomaly: 'refused' };
  }
  const isJump = surplusMs > JUMP_TOLERANCE_MS;
  return {
    next: { bookedUntilMs: target, monotonicMs },
    unwitnessedUntilMs: isJump ? from + surplusMs : from,
    anomaly: isJump ? 'forward' : 'none',
  };
};
