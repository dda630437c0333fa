/**
 * Two bounds that an entry keeps over all its requests: retries as a share of the answered ones,
 * and requests to other regions as a share of all.
 */

/** A credit that events earn and uses spend. */
export interface Budget {
  /** Earns a share of one use. */
  readonly earn: (share: number) => void;
  readonly hasCredit: () => boolean;
  /** Spends one use, where there is credit for it. */
  readonly take: () => boolean;
}

/**
 * Made for a fault that fails every request: without the bound each would be sent again to every
 * agent, and the load would grow several times just when there is least room. The credit is capped,
 * so that a quiet hour does not pay for a flood.
 *
 * @param initial - uses before anything was earned, and the most that is saved up
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

/** Wait before the first retry. */
const FIRST_BACKOFF_MS = 5;

const LONGEST_BACKOFF_MS = 500;

/**
 * @param retry - 1 for the first retry
 * @param random - a number of at least 0 and below 1
 * @returns how long to wait before it: doubled each time, spread over its whole length, so that
 *   requests that failed together do not come back together
 */
export const backoffMs = (retry: number, random: number): number =>
  Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (retry - 1)) * random;
