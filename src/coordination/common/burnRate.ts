/**
 * Burn rates: how fast an objective's error budget is consumed. A rate of 1 consumes it exactly by
 * the end of the objective's window.
 *
 * An alert requires both a short and a long window to burn: the long one shows that the loss is
 * significant, the short one that it continues, so that the alert ends soon after its cause.
 */

/** Good and bad events in one time bucket. */
export interface Bucket {
  readonly fromMs: number;
  readonly good: number;
  readonly bad: number;
}

/** Two windows that must both exceed the threshold. */
export interface WindowPair {
  readonly shortMs: number;
  readonly longMs: number;
  readonly threshold: number;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;

/**
 * The usual pairs for a budget of 30 days: a rate of 14.4 for an hour consumes 2% of it, 6 for six
 * hours 5%, 1 for three days 10%.
 */
export const WINDOW_PAIRS: readonly WindowPair[] = [
  { shortMs: 5 * MINUTE_MS, longMs: HOUR_MS, threshold: 14.4 },
  { shortMs: 30 * MINUTE_MS, longMs: 6 * HOUR_MS, threshold: 6 },
  { shortMs: 6 * HOUR_MS, longMs: 72 * HOUR_MS, threshold: 1 },
];

/** Events and burn rate of a window. */
export interface WindowBurn {
  readonly windowMs: number;
  readonly good: number;
  readonly bad: number;
  /** 0 where there were no events. */
  readonly burnRate: number;
}

/** Current burn rates of a pair of windows. */
export interface PairBurn {
  readonly short: WindowBurn;
  readonly long: WindowBurn;
  readonly threshold: number;
  readonly isBurning: boolean;
}

/**
 * @param buckets - buckets in any order
 * @param windowMs - length of the window
 * @param target - fraction of events that must be good
 * @param nowMs - end of the window; the current bucket is included
 * @returns events and burn rate of the window
 */
export const burnOver = (
  buckets: readonly Bucket[],
  windowMs: number,
  target: number,
  nowMs: number,
): WindowBurn => {
  const inWindow = buckets.filter((it) => it.fromMs > nowMs - windowMs && it.fromMs <= nowMs);
  const good = inWindow.reduce((sum, it) => sum + it.good, 0);
  const bad = inWindow.reduce((sum, it) => sum + it.bad, 0);
  const badShare = good + bad === 0 ? 0 : bad / (good + bad);
  return { windowMs, good, bad, burnRate: badShare / (1 - target) };
};

/**
 * @param buckets - buckets in any order
 * @param target - fraction of events that must be good
 * @param nowMs - the current time
 * @returns the current burn rates of each of the {@link WINDOW_PAIRS}
 */
export const burnOfPairs = (
  buckets: readonly Bucket[],
  target: number,
  nowMs: number,
): readonly PairBurn[] =>
  WINDOW_PAIRS.map(({ shortMs, longMs, threshold }) => {
    const short = burnOver(buckets, shortMs, target, nowMs);
    const long = burnOver(buckets, longMs, target, nowMs);
    const isBurning = short.burnRate >= threshold && long.burnRate >= threshold;
    return { short, long, threshold, isBurning };
  });
