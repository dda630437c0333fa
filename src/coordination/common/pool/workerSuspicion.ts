/**
 * Failure attribution: distinguishes a worker that fails or stalls all its runs from jobs that can't succeed.
 *
 * A worker may look healthy and fail each task almost immediately. Free again, it attracts the next task
 * and uses up the attempts of every waiting job. Two failures of different jobs without a success between
 * them are enough for suspicion: one in twenty healthy tasks fails by itself, so two in a row are due to
 * chance once in four hundred.
 */

/** Suspicion against one incarnation of a worker. */
export interface WorkerSuspicion {
  /** Jobs whose tasks failed here since the last success. */
  failedJobs: string[];
  /** Leader's clock of the last failure and of the last success; -Infinity where there is none. */
  failedAtMs: number;
  succeededAtMs: number;
  /** Leader's clock of the last start of a run that was done; -Infinity where there is none. */
  provenStartAtMs: number;
  /** Leader's clock until which the worker gets tasks only where no other worker can hold them. */
  suspectUntilMs: number;
  /** How often it was suspected since its last success. */
  suspicions: number;
}

/** Different jobs that have to fail before the worker is suspected. */
const JOBS_TO_SUSPECT = 2;

/** First suspicion period; a lasting fault shows again with the next task and doubles it. */
const FIRST_SUSPICION_MS = 4000;

/** Longest suspicion period, so that a recovered worker is used again within it. */
const MAX_SUSPICION_MS = 16_000;

/** Suspicion period of a worker with a run that makes no progress at all. */
const STALL_SUSPICION_MS = 1500;

/**
 * @returns the record of a worker without suspicion
 */
export const createWorkerSuspicion = (): WorkerSuspicion => ({
  failedJobs: [],
  failedAtMs: -Infinity,
  succeededAtMs: -Infinity,
  provenStartAtMs: -Infinity,
  suspectUntilMs: 0,
  suspicions: 0,
});

/**
 * @param suspicion - a worker's suspicion record
 * @param nowMs - the leader's clock
 * @returns whether the worker is suspect now
 */
export const isSuspect = (suspicion: WorkerSuspicion, nowMs: number): boolean =>
  nowMs < suspicion.suspectUntilMs;

/** How long a failure without a success after it counts against a worker: most faults of a worker pass within it. */
const DOUBT_MS = 8000;

/**
 * One failure is no proof against a worker, but the next unit does better elsewhere where it has the choice.
 *
 * @param suspicion - a worker's suspicion record
 * @param nowMs - the leader's clock
 * @returns whether a run failed here lately, and none has been done since
 */
export const isDoubtful = (suspicion: WorkerSuspicion, nowMs: number): boolean =>
  suspicion.failedAtMs > suspicion.succeededAtMs && nowMs - suspicion.failedAtMs < DOUBT_MS;

/**
 * @param suspicion - a worker's suspicion record
 * @param startedAtMs - leader's clock of the start of a run that was done
 */
export const recordGoodStart = (suspicion: WorkerSuspicion, startedAtMs: number): void => {
  suspicion.provenStartAtMs = Math.max(suspicion.provenStartAtMs, startedAtMs);
};

/** How long a start that went well speaks for a worker. */
const PROOF_MS = 6000;

/**
 * @param suspicion - a worker's suspicion record
 * @param startedAtMs - leader's clock of the worker's last start that went well
 * @param nowMs - the leader's clock
 * @returns whether it was lately, and nothing has failed since
 */
export const isProven = (suspicion: WorkerSuspicion, startedAtMs: number, nowMs: number): boolean =>
  startedAtMs > suspicion.failedAtMs && nowMs - startedAtMs < PROOF_MS;

/**
 * @param suspicion - a worker's suspicion record
 * @param nowMs - the leader's clock
 */
export const recordSuccess = (suspicion: WorkerSuspicion, nowMs: number): void => {
  suspicion.succeededAtMs = nowMs;
  suspicion.failedJobs = [];
  suspicion.suspicions = 0;
};

/**
 * Suspects a worker, for longer than the last time.
 *
 * @param suspicion - a worker's suspicion record
 * @param nowMs - the leader's clock
 */
export const suspect = (suspicion: WorkerSuspicion, nowMs: number): void => {
  const periodMs = Math.min(MAX_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** suspicion.suspicions);
  suspicion.suspectUntilMs = Math.max(suspicion.suspectUntilMs, nowMs + periodMs);
  suspicion.suspicions += 1;
};

/**
 * @param suspicion - a worker's suspicion record
 * @param jobId - the job whose task failed
 * @param nowMs - the leader's clock
 * @returns whether the worker has become suspect by it
 */
export const recordFailure = (
  suspicion: WorkerSuspicion,
  jobId: string,
  nowMs: number,
): boolean => {
  suspicion.failedAtMs = nowMs;
  if (!suspicion.failedJobs.includes(jobId)) suspicion.failedJobs.push(jobId);
  // After a suspicion period one failure is enough: the fault has lasted.
  const needed = suspicion.suspicions > 0 ? 1 : JOBS_TO_SUSPECT;
  if (suspicion.failedJobs.length < needed) return false;
  suspect(suspicion, nowMs);
  suspicion.failedJobs = [];
  return true;
};

/**
 * @param suspicion - a worker's suspicion record
 * @param nowMs - the leader's clock
 */
export const recordStall = (suspicion: WorkerSuspicion, nowMs: number): void => {
  suspicion.suspectUntilMs = Math.max(suspicion.suspectUntilMs, nowMs + STALL_SUSPICION_MS);
};
