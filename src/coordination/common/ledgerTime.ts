/**
 * Which time is to be booked next, from a wall clock that may jump and a monotonic one that may not.
 *
 * Time that is booked is never booked again: when the wall clock steps back, booking waits until it
 * has caught up. When it steps forward, only the time that the monotonic clock also saw is booked to
 * whoever holds the accelerators; of the rest nobody can say. A step beyond {@link MAX_JUMP_MS} is
 * not believed, so that one wrong clock does not fill the books with years.
 */

/** Where booking stands. */
export interface LedgerTime {
  /** Everything before is booked. */
  readonly bookedUntilMs: number;
  /** Reading of the monotonic clock at the last step. */
  readonly monotonicMs: number;
}

/** A step of booking. */
export interface LedgerStep {
  readonly next: LedgerTime;
  /** Up to here nobody can say what was held. */
  readonly unwitnessedUntilMs: number;
  /** What the clock did, where that is to be reported. */
  readonly anomaly: 'none' | 'back' | 'forward' | 'refused';
}

/** Differences below this are the clocks' own slewing. */
export const JUMP_TOLERANCE_MS = 2000;

/** A step forward beyond this is taken for a wrong clock. */
export const MAX_JUMP_MS = 21_600_000;

/**
 * @param time - where booking stands
 * @param wallMs - the wall clock now
 * @param monotonicMs - the monotonic clock now
 * @returns what to book: from `time.bookedUntilMs` unwitnessed, then witnessed up to `next`
 */
export const step = (time: LedgerTime, wallMs: number, monotonicMs: number): LedgerStep => {
  const from = time.bookedUntilMs;
  const livedMs = Math.max(0, Math.floor(monotonicMs - time.monotonicMs));
  const target = Math.floor(wallMs);
  if (target <= from) {
    const anomaly = from - target > JUMP_TOLERANCE_MS ? 'back' : 'none';
    return { next: { bookedUntilMs: from, monotonicMs }, unwitnessedUntilMs: from, anomaly };
  }
  const surplusMs = target - from - livedMs;
  if (surplusMs > MAX_JUMP_MS) {
    const next = { bookedUntilMs: from + livedMs, monotonicMs };
    return { next, unwitnessedUntilMs: from, anomaly: 'refused' };
  }
  const isJump = surplusMs > JUMP_TOLERANCE_MS;
  return {
    next: { bookedUntilMs: target, monotonicMs },
    unwitnessedUntilMs: isJump ? from + surplusMs : from,
    anomaly: isJump ? 'forward' : 'none',
  };
};
