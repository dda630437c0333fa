/**
 * How often a process calls the store while all is well, by which it paces itself while nothing is.
 */
import type * as clock from '../../../base/common/clock.js';

/** The pace of calls that were answered. */
export interface CallPace {
  readonly noteAnswer: () => void;
  /** The time since the last answer says nothing of the pace. */
  readonly noteFailure: () => void;
  /** Mean time from one answered call to the next. */
  readonly gapMs: () => number;
}

/** Until the pace is known. */
const FIRST_GAP_MS = 300;

/** The latest calls that tell the pace, bursts among them. */
const MOST_CALLS = 32;

/**
 * @param time - the clock
 * @returns the pace, which stands still while calls fail
 */
export const createCallPace = (time: Pick<clock.Clock, 'monotonicMs'>): CallPace => {
  let gapMs = FIRST_GAP_MS;
  let calls = 1;
  let answeredAtMs: number | undefined;
  return {
    noteAnswer: () => {
      const nowMs = time.monotonicMs();
      if (answeredAtMs !== undefined) {
        calls = Math.min(MOST_CALLS, calls + 1);
        gapMs += (nowMs - answeredAtMs - gapMs) / calls;
      }
      answeredAtMs = nowMs;
    },
    noteFailure: () => {
      answeredAtMs = undefined;
    },
    gapMs: () => gapMs,
  };
};
