/**
 * Budgets that an entry applies to all its requests: retries as a share of the answered ones, and
 * requests to other regions as a share of all. Also the backoff of retries.
 */

/** A credit that is earned by events and spent by uses. */
export interface Budget {
  /** Adds the given fraction of one use. */
  readonly earn: (share: number) => void;
  readonly hasCredit: () => boolean;
  /** Spends one use if there is credit for it, and returns whether there was. */
  readonly take: () => boolean;
}

/**
 * Limits retries when a fault fails every request: without the budget each would be retried on
 * every agent and the load would multiply when capacity is lowest. The credit is capped, so that a
 * quiet hour does not pay for a flood of retries.
 *
 * @param initial - initial credit, and its maximum
 * @returns a budget
 */
export const createBudget = (initial: number): Budget => {
  let credit = initial;
  return {
    earn: (share) => {
      credit = Math.min(initial, credit + share);
    },
    hasCredit: () => credit >= 1,
    take: () => {
      if (credit < 1) return false;
      credit -= 1;
      return true;
    },
  };
};

/** Maximum wait before the first retry. */
const FIRST_BACKOFF_MS = 5;

const LONGEST_BACKOFF_MS = 500;

/**
 * @param retry - 1 for the first retry
 * @param random - a number of at least 0 and below 1
 * @returns the wait before it: doubled for each retry, with full jitter, so that requests that
 *   failed together are not retried together
 */
export const backoffMs = (retry: number, random: number): number =>
  Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (retry - 1)) * random;
