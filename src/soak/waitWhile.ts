/**
 * Waits that end early.
 */
import * as clock from '../base/common/clock.js';

const POLL_MS = 100;

/**
 * @param time - the clock
 * @param maxMs - longest wait
 * @param isAwaited - polled; the wait ends once it is false
 */
export const waitWhile = async (
  time: clock.Clock,
  maxMs: number,
  isAwaited: () => boolean,
): Promise<void> => {
  const untilMs = time.monotonicMs() + maxMs;
  while (isAwaited() && time.monotonicMs() < untilMs) await clock.sleep(time, POLL_MS);
};
