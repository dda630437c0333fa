/**
 * Run time estimates from finished jobs, per customer and kind.
 *
 * Declared run times may be wrong by a factor of ten either way. Planning with them would backfill
 * a long job under a reservation or queue short jobs behind long ones. A declared time counts only
 * until {@link MIN_SAMPLES} jobs of its kind have finished.
 */
import * as job from '../../state/common/job.js';

/** Run times by customer and kind. */
export type RunEstimates = ReadonlyMap<string, RunSamples>;

/** Run times of one customer's jobs of one kind. */
export interface RunSamples {
  /** In order of completion, the oldest first. */
  readonly recentMs: readonly number[];
  readonly sortedMs: readonly number[];
}

/** Estimates before any job has finished. */
export const NO_ESTIMATES: RunEstimates = new Map();

/** Fewer samples give no useful quantile; three are already better than a tenfold error. */
export const MIN_SAMPLES = 3;

/** Older samples are dropped, so that estimates follow a change within this many jobs. */
export const MAX_SAMPLES = 32;

/** Quantile by which the queue is ordered. */
export const ORDER_QUANTILE = 0.5;

/** Quantile by which a job must end to be backfilled under a reservation. */
export const SAFE_QUANTILE = 0.9;

/** A job that exceeds its estimate is expected to run for this fraction of its run time more. */
const OVERRUN_SHARE = 0.5;

const keyOf = (spec: job.JobSpec): string => `${spec.customerId}\n${spec.kind}`;

/**
 * @param estimates - the estimates so far
 * @param record - a job that has ended
 * @returns the updated estimates; only a job that finished counts
 */
export const addFinishedRun = (estimates: RunEstimates, record: job.JobRecord): RunEstimates => {
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
 * @param estimates - the estimates
 * @param spec - a job
 * @param quantile - 0 to 1
 * @returns the run time at that quantile; the declared time while too few have finished
 */
export const runMsOf = (estimates: RunEstimates, spec: job.JobSpec, quantile: number): number => {
  const sorted = estimates.get(keyOf(spec))?.sortedMs ?? [];
  if (sorted.length < MIN_SAMPLES) return spec.declaredRunMs;
  const index = Math.min(sorted.length - 1, Math.ceil(quantile * sorted.length) - 1);
  return sorted[Math.max(0, index)] ?? spec.declaredRunMs;
};

/**
 * @param estimates - the estimates
 * @param record - a running or queued job
 * @param nowMs - the current time
 * @param quantile - 0 to 1
 * @returns the expected remaining run time; never 0, so that a job that exceeds its estimate is not
 *   forever expected to end now
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
  return leftMs > 0 ? leftMs : Math.max(1, doneMs * OVERRUN_SHARE);
};
