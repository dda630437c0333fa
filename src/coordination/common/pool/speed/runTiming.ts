/**
 * How long an entire task takes on its worker, from the progress that the worker reports of one run.
 *
 * Each member of a gang reports the progress of its own part, so gangs tell as much of their workers as single tasks, but
 * only until a member has done its part and waits for the others.
 */
import * as runPace from '../runPace.js';

/** Progress of a run since the report from which it is timed. */
export interface RunTiming {
  /** Report from which it is timed: the last one without progress, or else the first one with some. */
  from: ProgressSample | undefined;
  /** The last report with progress since then. */
  latest: ProgressSample | undefined;
}

/** A progress report. */
export interface ProgressSample {
  readonly percent: number;
  /** Worker's clock. */
  readonly clockMs: number;
}

/** Progress is reported in whole per cent: from this span on, rounding is off by less than a tenth. */
const MIN_PERCENT = 10;

/** A run without progress for longer stands still, which says nothing of its worker's lasting speed. */
const MAX_STILL_MS = 2000;

/** Slower tasks stay at one percentage for a while though they make progress. */
const MIN_PERCENT_PER_S = 1;

/**
 * @returns the timing of a run without reports
 */
export const createRunTiming = (): RunTiming => ({ from: undefined, latest: undefined });

const stoodStill = (before: ProgressSample, next: ProgressSample): boolean => {
  const spanMs = next.clockMs - before.clockMs;
  const expectedPercent = (spanMs / 1000) * MIN_PERCENT_PER_S;
  return spanMs > MAX_STILL_MS && next.percent - before.percent < expectedPercent;
};

/**
 * @param timing - timing of a run; the sample is added to it
 * @param sample - progress in the worker's newest report
 * @returns time that the entire task takes on the worker, once the run has made enough progress since the last one
 */
export const recordSample = (timing: RunTiming, sample: ProgressSample): number | undefined => {
  const { from, latest } = timing;
  const before = latest ?? from;
  if (sample.percent >= runPace.DONE_PERCENT) return undefined;
  if (before !== undefined && sample.clockMs <= before.clockMs) return undefined;
  const goesOn =
    before !== undefined &&
    sample.percent > 0 &&
    sample.percent >= before.percent &&
    !stoodStill(before, sample);
  if (!goesOn) {
    timing.from = sample;
    timing.latest = undefined;
    return undefined;
  }
  if (sample.percent === before.percent) return undefined;
  timing.latest = sample;
  const madePercent = sample.percent - (from?.percent ?? 0);
  if (madePercent < MIN_PERCENT) return undefined;
  return ((sample.clockMs - (from?.clockMs ?? 0)) * runPace.DONE_PERCENT) / madePercent;
};
