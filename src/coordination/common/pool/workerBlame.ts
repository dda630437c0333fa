/**
 * Tells a worker that fails or holds up whatever it runs from jobs that can't be done.
 *
 * Load it answers: a worker whose health looks good and that fails each task within moments. Free again
 * at once, it draws the next task, and burns the attempts of every job that waits. Two failures of
 * different jobs without a success between them are enough: one of twenty sound tasks fails by itself,
 * so that two in a row by chance are one in four hundred.
 */

/** What speaks against one life of a worker. */
export interface WorkerBlame {
  /** Jobs whose tasks failed here since the last success. */
  failedJobs: string[];
  /** Leader's clock until which the worker is given nothing where others can take it. */
  suspectUntilMs: number;
  /** How often in a row it was suspected. */
  suspicions: number;
}

/** Different jobs that have to fail before the worker is suspected. */
const FAILURES = 2;

/** First time out; a fault that lasts shows again with the next task and doubles it. */
const FIRST_SUSPICION_MS = 4000;

/** Longest time out, so that a worker that has recovered is back within it. */
const MAX_SUSPICION_MS = 16_000;

/** A run that does not move at all keeps its worker from getting more for this long. */
const STALL_SUSPICION_MS = 1500;

/**
 * @returns a worker against which nothing speaks
 */
export const createWorkerBlame = (): WorkerBlame => ({
  failedJobs: [],
  suspectUntilMs: 0,
  suspicions: 0,
});

/**
 * @param blame - a worker's record
 * @param nowMs - the leader's clock
 * @returns whether the worker is suspected now
 */
export const isSuspect = (blame: WorkerBlame, nowMs: number): boolean =>
  nowMs < blame.suspectUntilMs;

/**
 * @param blame - a worker's record
 */
export const noteSuccess = (blame: WorkerBlame): void => {
  blame.failedJobs = [];
  blame.suspicions = 0;
};

/**
 * @param blame - a worker's record
 * @param jobId - whose task failed
 * @param nowMs - the leader's clock
 * @returns whether the worker has become suspected by it
 */
export const noteFailure = (blame: WorkerBlame, jobId: string, nowMs: number): boolean => {
  if (!blame.failedJobs.includes(jobId)) blame.failedJobs.push(jobId);
  // After a time out the first failure is enough: the fault has lasted.
  const needed = blame.suspicions > 0 ? 1 : FAILURES;
  if (blame.failedJobs.length < needed) return false;
  const outMs = Math.min(MAX_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** blame.suspicions);
  blame.suspectUntilMs = Math.max(blame.suspectUntilMs, nowMs + outMs);
  blame.suspicions += 1;
  blame.failedJobs = [];
  return true;
};

/**
 * @param blame - a worker's record
 * @param nowMs - the leader's clock
 */
export const noteStall = (blame: WorkerBlame, nowMs: number): void => {
  blame.suspectUntilMs = Math.max(blame.suspectUntilMs, nowMs + STALL_SUSPICION_MS);
};
