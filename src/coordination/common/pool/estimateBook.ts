/**
 * How far the submitters of a queue can be believed about how long their tasks take.
 *
 * Load it answers: a queue whose declared work is a fraction of the true work. Taken at their word its
 * tasks look held up wherever they run, are begun again and again, and their workers are suspected.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';

/** What is known of the queues' declared work. */
export interface EstimateBook {
  /** Declared work against the time that it took, by queue and job: a job's tasks are declared alike. */
  readonly ratios: Map<string, Map<string, number>>;
}

/** Jobs that are remembered of a queue: its ways may change within an hour. */
const REMEMBERED = 30;

/** With fewer nothing is said: a queue that nobody has seen yet is not believed. */
const MIN_JOBS = 3;

/** Share of the jobs that may have taken longer still; a slow worker may have had them. */
const LOW_SHARE = 0.15;

/** Below it a task that takes long says more of its declaration than of its worker. */
const MIN_RATIO = 0.5;

/**
 * @returns a book in which no queue stands yet
 */
export const createEstimateBook = (): EstimateBook => ({ ratios: new Map() });

/**
 * Leaves out what may have run away from its data or its rack: that takes a multiple of the time.
 *
 * @param book - the book
 * @param job - the job of a task that was done
 * @param step - its step, with what its submitter declared
 * @param tookMs - how long it took
 */
export const noteDone = (
  book: EstimateBook,
  job: poolJob.PoolJob,
  step: poolJob.Step,
  tookMs: number,
): void => {
  if (step.isSameRack || step.preferredRack !== undefined) return;
  const { queue } = job.policy;
  const ratios = book.ratios.get(queue) ?? new Map<string, number>();
  ratios.set(job.jobId, step.estimatedMs / Math.max(1, tookMs));
  const [oldest] = ratios.keys();
  if (ratios.size > REMEMBERED && oldest !== undefined) ratios.delete(oldest);
  book.ratios.set(queue, ratios);
};

/**
 * @param book - the book
 * @param queue - a queue
 * @returns whether nearly all its jobs took at most twice what was declared
 */
export const isReliable = (book: EstimateBook, queue: string): boolean => {
  const ratios = book.ratios.get(queue);
  if (ratios === undefined || ratios.size < MIN_JOBS) return false;
  const ordered = [...ratios.values()].sort((a, b) => a - b);
  return (ordered[Math.floor(ordered.length * LOW_SHARE)] ?? 0) >= MIN_RATIO;
};
