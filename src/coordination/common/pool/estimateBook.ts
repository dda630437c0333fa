/**
 * What tasks take, by what their submitters declare and by what the queue's jobs have taken.
 *
 * Load it answers: queues whose declared work is off by several times, either way. Taken at its word, an
 * urgent job that declares a sixth of its work looks too late to be of use while it is well in time, and is
 * put behind everything else; tasks that declare a fraction look held up wherever they run.
 */
import type * as poolJob from '../../../state/common/pool/poolJob.js';

/** Work of one task as it was declared and as it turned out. */
interface SeenWork {
  readonly declaredMs: number;
  readonly workMs: number;
}

/** How the works of a queue spread, in logarithms, and how far its declarations were off. */
interface QueueSummary {
  readonly meanWork: number;
  /** Declared against true work; above 0 where too much is declared. */
  readonly meanError: number;
  /** Weight of the declaration beside the queue's usual work, 0 to 1. */
  readonly declaredShare: number;
}

interface QueueBook {
  /** By job: tasks of one job are declared alike. */
  readonly seen: Map<string, SeenWork>;
  readonly summary: QueueSummary;
}

/** What is known of the queues' work. */
export interface EstimateBook {
  readonly queues: Map<string, QueueBook>;
}

/** Jobs that are remembered of a queue: its ways may change within an hour. */
const REMEMBERED = 40;

/** With fewer nothing is believed: a queue that nobody has seen yet. */
const MIN_JOBS = 3;

/** Share of the jobs that may have taken longer still; a slow worker may have had them. */
const LOW_SHARE = 0.15;

/** Below it a task that takes long says more of its declaration than of its worker. */
const MIN_RATIO = 0.5;

/** What is believed before anything was seen counts like so many jobs. */
const PRIOR_JOBS = 2;

/** Variance believed beforehand, of logarithms: kinds of jobs spread over a few times their mean. */
const PRIOR_WORK_VARIANCE = 0.5;

/**
 * @returns a book in which no queue stands yet
 */
export const createEstimateBook = (): EstimateBook => ({ queues: new Map() });

const mean = (values: readonly number[]): number =>
  values.reduce((sum, it) => sum + it, 0) / values.length;

const meanSquare = (values: readonly number[]): number => mean(values.map((it) => it * it));

/** Variance about the mean, drawn towards what is believed beforehand. */
const varianceOf = (values: readonly number[], priorVariance: number): number => {
  const center = mean(values);
  const squares = values.reduce((sum, it) => sum + (it - center) ** 2, 0);
  return (PRIOR_JOBS * priorVariance + squares) / (PRIOR_JOBS + values.length);
};

const summarize = (seen: readonly SeenWork[]): QueueSummary => {
  const works = seen.map((it) => Math.log(it.workMs));
  const errors = seen.map((it) => Math.log(it.declaredMs / it.workMs));
  const workVariance = varianceOf(works, PRIOR_WORK_VARIANCE) * (1 + 1 / seen.length);
  // What is believed of declarations beforehand is how far this queue's have been off.
  const errorVariance = varianceOf(errors, meanSquare(errors));
  return {
    meanWork: mean(works),
    meanError: mean(errors) * (seen.length / (seen.length + PRIOR_JOBS)),
    declaredShare: workVariance / (workVariance + errorVariance),
  };
};

/**
 * @param book - the book
 * @param job - the job of a task that was done
 * @param step - its step, with what its submitter declared
 * @param workMs - its work near its data; 0 where that is not known
 */
export const noteDone = (
  book: EstimateBook,
  job: poolJob.PoolJob,
  step: poolJob.Step,
  workMs: number,
): void => {
  if (workMs <= 0) return;
  const { queue } = job.policy;
  const seen = book.queues.get(queue)?.seen ?? new Map<string, SeenWork>();
  seen.set(job.jobId, { declaredMs: Math.max(1, step.estimatedMs), workMs });
  const [oldest] = seen.keys();
  if (seen.size > REMEMBERED && oldest !== undefined) seen.delete(oldest);
  book.queues.set(queue, { seen, summary: summarize([...seen.values()]) });
};

/**
 * Learns from what a former leader saw of a job.
 *
 * @param book - the book
 * @param job - a job
 * @param tasks - its tasks
 */
export const noteJob = (
  book: EstimateBook,
  job: poolJob.PoolJob,
  tasks: readonly { readonly step: number; readonly workMs: number }[],
): void => {
  const longest = tasks.reduce<(typeof tasks)[number] | undefined>(
    (known, it) => (it.workMs > (known?.workMs ?? 0) ? it : known),
    undefined,
  );
  const step = longest === undefined ? undefined : job.steps[longest.step];
  if (longest !== undefined && step !== undefined) noteDone(book, job, step, longest.workMs);
};

/**
 * Weighs the declaration and the queue's usual work by how far each has been off.
 *
 * @param book - the book
 * @param queue - a queue
 * @param declaredMs - what a submitter believes one task takes
 * @returns what it takes near its data, as far as one can say
 */
export const expectedWorkMs = (book: EstimateBook, queue: string, declaredMs: number): number => {
  const summary = book.queues.get(queue)?.summary;
  if (summary === undefined || declaredMs <= 0) return declaredMs;
  const { declaredShare, meanError, meanWork } = summary;
  const corrected = Math.log(declaredMs) - meanError;
  return Math.round(Math.exp(declaredShare * corrected + (1 - declaredShare) * meanWork));
};

/**
 * @param book - the book
 * @param queue - a queue
 * @returns whether nearly all its jobs took at most twice what was declared
 */
export const isReliable = (book: EstimateBook, queue: string): boolean => {
  const seen = book.queues.get(queue)?.seen;
  if (seen === undefined || seen.size < MIN_JOBS) return false;
  const ratios = [...seen.values()].map((it) => it.declaredMs / it.workMs);
  const ordered = ratios.sort((a, b) => a - b);
  return (ordered[Math.floor(ordered.length * LOW_SHARE)] ?? 0) >= MIN_RATIO;
};
