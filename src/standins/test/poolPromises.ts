/**
 * What callers of a pool are promised, as the tests of whole pools check it.
 */

/** Nothing of a job is started later than this after its cancellation was stored. */
export const CANCEL_MS = 3000;

/** Longest time that a stop may take: by then nothing of a cancelled job works. */
export const STOP_MS = 400;

/** An urgent job of a customer with a guarantee has begun after this time. */
export const RECLAIM_MS = 2900;

/** Promises on starts hold from this long after the last fault. */
export const STABLE_MS = 4000;
