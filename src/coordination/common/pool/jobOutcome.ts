/**
 * Outcome of a job that has ended, for metrics and the log: its duration, objective and timeliness.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import * as jobState from './jobState.js';
import * as jobChain from './jobChain.js';

/** A job's duration compared with its objective. */
export const Timeliness = {
  inTime: 'inTime',
  /** Past the objective, but still of partial value to the caller. */
  late: 'late',
  /** So late that it has no value to the caller. */
  tooLate: 'tooLate',
} as const;

/** One of the values of {@link Timeliness}. */
export type Timeliness = (typeof Timeliness)[keyof typeof Timeliness];

/** Outcome of a job that has ended. */
export interface JobOutcome {
  /** From its acceptance, or the due time of its last occurrence, to its end. */
  readonly durationMs: number;
  /** Longest chain of its tasks' observed work, with local data and in waves. */
  readonly chainMs: number;
  /** Time within which it had to end to be in time. */
  readonly objectiveMs: number;
  readonly timeliness: Timeliness;
  /** Runs of its tasks beyond the first of each. */
  readonly extraRuns: number;
}

/** A job is of partial value to its caller up to this multiple of its objective. */
export const LATE_MULTIPLE = 3;

/**
 * @param job - a job
 * @param occurrence - one of its occurrences
 * @returns Unix milliseconds of its acceptance or due time, from which its duration is measured
 */
export const releaseTimeMs = (job: poolJob.PoolJob, occurrence: number): number =>
  job.schedule === undefined ? job.acceptedAtMs : jobState.dueAtMs(job, occurrence);

const timelinessOf = (durationMs: number, objectiveMs: number): Timeliness => {
  if (durationMs <= objectiveMs) return Timeliness.inTime;
  return durationMs <= LATE_MULTIPLE * objectiveMs ? Timeliness.late : Timeliness.tooLate;
};

/** The objective is based on the observed work, or on the declared work where none was observed. */
const observedWork =
  (entry: jobState.JobEntry, occurrence: number): jobChain.WorkOf =>
  (step, index) => {
    const tasks = entry.occurrences[occurrence]?.[index] ?? [];
    const longestMs = Math.max(0, ...tasks.map((it) => it.workMs));
    return longestMs > 0 ? longestMs : step.estimatedMs;
  };

/**
 * @param entry - a job that has ended
 * @param slotsOf - the pool's slots
 * @returns its outcome
 */
export const outcomeOf = (entry: jobState.JobEntry, slotsOf: jobChain.SlotsOf): JobOutcome => {
  const { job } = entry;
  const occurrence = jobState.occurrenceCount(job) - 1;
  const durationMs = entry.endedAtMs - releaseTimeMs(job, occurrence);
  const workOf = observedWork(entry, occurrence);
  const chainMs = Math.round(jobChain.longestChainInWavesMs(job, workOf, slotsOf));
  const objectiveMs = Math.round(jobChain.objectiveMs(job, chainMs));
  return {
    durationMs,
    chainMs,
    objectiveMs,
    timeliness: timelinessOf(durationMs, objectiveMs),
    extraRuns: jobState.tasksOf(entry).reduce((sum, task) => sum + Math.max(0, task.run - 1), 0),
  };
};
