/**
 * How well a job that has ended served its caller: what operators count and what a late job's line says.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import * as jobBook from './jobBook.js';
import * as jobChain from './jobChain.js';

/** How an end stands to the job's objective. */
export const Timeliness = {
  inTime: 'inTime',
  /** Past the objective, and still of some use. */
  late: 'late',
  /** So late that it serves nobody any more. */
  tooLate: 'tooLate',
} as const;

/** One of the values of {@link Timeliness}. */
export type Timeliness = (typeof Timeliness)[keyof typeof Timeliness];

/** What is told of a job that has ended. */
export interface JobOutcome {
  /** From its acceptance, or the due time of its last occurrence, to its end. */
  readonly durationMs: number;
  /** Longest chain of the work that its tasks turned out to be, near their data and in waves. */
  readonly chainMs: number;
  /** Within this time it was in time. */
  readonly objectiveMs: number;
  readonly timeliness: Timeliness;
  /** Runs that its tasks took beyond one each. */
  readonly extraRuns: number;
}

/** A job still serves its caller in part up to this multiple of its objective. */
export const LATE_MULTIPLE = 3;

/**
 * @param job - a job
 * @param occurrence - one of its occurrences
 * @returns Unix milliseconds from which its time is counted
 */
export const countedFromMs = (job: poolJob.PoolJob, occurrence: number): number =>
  job.schedule === undefined ? job.acceptedAtMs : jobBook.dueAtMs(job, occurrence);

const timelinessOf = (durationMs: number, objectiveMs: number): Timeliness => {
  if (durationMs <= objectiveMs) return Timeliness.inTime;
  return durationMs <= LATE_MULTIPLE * objectiveMs ? Timeliness.late : Timeliness.tooLate;
};

/** Its caller is owed by the true work; what was declared stands in where none was seen. */
const observedWork =
  (entry: jobBook.JobEntry, occurrence: number): jobChain.WorkOf =>
  (step, index) => {
    const tasks = entry.occurrences[occurrence]?.[index] ?? [];
    const longestMs = Math.max(0, ...tasks.map((it) => it.workMs));
    return longestMs > 0 ? longestMs : step.estimatedMs;
  };

/**
 * @param entry - a job that has ended
 * @param slotsOf - the pool's room
 * @returns how it served its caller
 */
export const outcomeOf = (entry: jobBook.JobEntry, slotsOf: jobChain.SlotsOf): JobOutcome => {
  const { job } = entry;
  const occurrence = jobBook.occurrencesOf(job) - 1;
  const durationMs = entry.endedAtMs - countedFromMs(job, occurrence);
  const workOf = observedWork(entry, occurrence);
  const chainMs = Math.round(jobChain.owedChainMs(job, workOf, slotsOf));
  const objectiveMs = Math.round(jobChain.objectiveMs(job, chainMs));
  return {
    durationMs,
    chainMs,
    objectiveMs,
    timeliness: timelinessOf(durationMs, objectiveMs),
    extraRuns: jobBook.tasksOf(entry).reduce((sum, task) => sum + Math.max(0, task.run - 1), 0),
  };
};
