/**
 * Estimates the mean interval between answered store calls, which limits the rate of attempts during an outage.
 */
import type * as clock from '../../../base/common/clock.js';

/** Estimated interval between answered calls. */
export interface CallInterval {
  readonly recordAnswer: () => void;
  /** The next interval is not counted, since it includes the time of the failure. */
  readonly recordFailure: () => void;
  /** Mean time from one answered call to the next. */
  readonly meanMs: () => number;
}

/** Initial estimate. */
const INITIAL_INTERVAL_MS = 300;

/** Number of recent calls that the moving average covers, including bursts. */
const MAX_CALLS_AVERAGED = 32;

/**
 * @param time - the clock
 * @returns the estimate, which does not change while calls fail
 */
export const createCallInterval = (time: Pick<clock.Clock, 'monotonicMs'>): CallInterval => {
  let gapMs = INITIAL_INTERVAL_MS;
  let calls = 1;
  let answeredAtMs: number | undefined;
  return {
    recordAnswer: () => {
      const nowMs = time.monotonicMs();
      if (answeredAtMs !== undefined) {
        calls = Math.min(MAX_CALLS_AVERAGED, calls + 1);
        gapMs += (nowMs - answeredAtMs - gapMs) / calls;
      }
      answeredAtMs = nowMs;
    },
    recordFailure: () => {
      answeredAtMs = undefined;
    },
    meanMs: () => gapMs,
  };
};
