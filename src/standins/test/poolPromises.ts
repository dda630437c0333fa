/**
 * Time limits that a pool guarantees to callers, as end-to-end tests check them.
 */

/** No task of a job starts later than this after its cancellation was stored. */
export const CANCEL_MS = 3000;

/** Longest duration of a stop: after it no task of a cancelled job runs. */
export const STOP_MS = 400;

/** Time within which an urgent job of a customer with a guarantee starts. */
export const RECLAIM_MS = 2900;

/** The limits on starts hold from this long after the last fault. */
export const STABLE_MS = 4000;

/** Nothing starts in a zone later than this after its evacuation was stored. */
export const EVACUATE_MS = 5000;
