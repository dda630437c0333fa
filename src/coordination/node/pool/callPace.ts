/**
 * Estimates the mean interval between answered store calls, which limits the rate of attempts during an outage.
 */
import type * as clock from '../../../base/common/clock.js';

/** Estimated interval between answered calls. */
export interface CallPace {
  readonly noteAnswer: () => void;
  /** The next interval is not counted, since it includes the time of the failure. */
  readonly noteFailure: () => void;
  /** Mean time from one answered call to the next. */
  readonly gapMs: () => number;
}

/** Initial estimate. */
const FIRST_GAP_MS = 300;

/** Number of recent calls that the moving average covers, including bursts. */
const MOST_CALLS = 32;

/**
 * @param time - the clock
 * @returns the estimate, which does not change while calls fail
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
