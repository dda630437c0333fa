/**
 * Run times learned from finished jobs, per customer and kind.
 *
 * Made for declared run times that are wrong by ten times either way: planning on them would let a
 * long job under a reservation or push short work behind long. A declared time counts only until
 * {@link MIN_SAMPLES} jobs of its kind have finished.
 */
import * as job from '../../state/common/job.js';

/** Sorted run times by customer and kind. */
export type RunEstimates = ReadonlyMap<string, RunSamples>;

/** Run times of one customer's jobs of one kind. */
export interface RunSamples {
  /** In the order of finishing, the oldest first. */
  readonly recentMs: readonly number[];
  readonly sortedMs: readonly number[];
}

/** No job has finished yet. */
export const NO_ESTIMATES: RunEstimates = new Map();

/** Fewer finished jobs say too little about a quantile; three already beat a tenfold error. */
export const MIN_SAMPLES = 3;

/** Old runs are forgotten, so that a kind whose runs change is learned anew within so many jobs. */
export const MAX_SAMPLES = 32;

/** Quantile that orders the queue. */
export const ORDER_QUANTILE = 0.5;

/** Quantile that a job must end by to run beneath a reservation. */
export const SAFE_QUANTILE = 0.9;

/** A job that outlived all it was expected to run is taken to need this share of its age more. */
const OUTLIVED_SHARE = 0.5;

const keyOf = (spec: job.JobSpec): string => `${spec.customerId}\n${spec.kind}`;

/**
 * @param estimates - what was known
 * @param record - a job that has ended
 * @returns what is known now; only a job that finished teaches anything
 */
export const learn = (estimates: RunEstimates, record: job.JobRecord): RunEstimates => {
  const { state, startedAtMs, endedAtMs, checkpointMs, spec } = record;
  if (state !== job.JobState.done || startedAtMs === undefined || endedAtMs === undefined) {
    return estimates;
  }
  const runMs = checkpointMs + Math.max(0, endedAtMs - startedAtMs);
  const key = keyOf(spec);
  const recentMs = [...(estimates.get(key)?.recentMs ?? []), runMs].slice(-MAX_SAMPLES);
  const sortedMs = [...recentMs].sort((a, b) => a - b);
  return new Map(estimates).set(key, { recentMs, sortedMs });
};

/**
 * @param estimates - what is known
 * @param spec - a job
 * @param quantile - 0 to 1
 * @returns the run time that such a job stays within with the given chance; its declared time while
 *   too few have finished
 */
export const runMsOf = (estimates: RunEstimates, spec: job.JobSpec, quantile: number): number => {
  const sorted = estimates.get(keyOf(spec))?.sortedMs ?? [];
  if (sorted.length < MIN_SAMPLES) return spec.declaredRunMs;
  const index = Math.min(sorted.length - 1, Math.ceil(quantile * sorted.length) - 1);
  return sorted[Math.max(0, index)] ?? spec.declaredRunMs;
};

/**
 * @param estimates - what is known
 * @param record - a job that runs or waits
 * @param nowMs - the time now
 * @param quantile - 0 to 1
 * @returns the run time it still needs; never 0, so that a job that outlives its estimate is never
 *   counted as about to end for ever
 */
export const remainingMs = (
  estimates: RunEstimates,
  record: job.JobRecord,
  nowMs: number,
  quantile: number,
): number => {
  const isPlaced = record.placement.length > 0;
  const elapsedMs = isPlaced ? Math.max(0, nowMs - (record.startedAtMs ?? nowMs)) : 0;
  const doneMs = record.checkpointMs + elapsedMs;
  const leftMs = runMsOf(estimates, record.spec, quantile) - doneMs;
  return leftMs > 0 ? leftMs : Math.max(1, doneMs * OUTLIVED_SHARE);
};
