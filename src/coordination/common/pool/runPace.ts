/**
 * How fast a run gets on, by what its worker lists, against what its submitter declared.
 *
 * Load it answers: a worker that turns slow or stands still for some seconds and whose health looks good.
 * Its tasks are late by its fault, and the room that it has free draws the next ones.
 */

/** What is known of a run's pace. */
export interface RunPace {
  /** Worker's clock at the last sample; undefined before the first. */
  sampledAtClockMs: number | undefined;
  sampledPercent: number;
  /** Declared work done a millisecond over the last span; undefined before the first span has passed. */
  speed: number | undefined;
}

/**
 * Shortest span that tells: lists come most of a second apart, and progress is told in whole per cent,
 * which is a tenth of what a task of ten seconds does in this time.
 */
const MIN_SPAN_MS = 700;

/**
 * Below it a run is held up. Declared work is off by up to a factor of two, tasks away from their data
 * take three times as long and are left out, and workers that turn slow do so by four and more.
 */
const SLOW_SPEED = 0.36;

/**
 * @returns the pace of a run of which nothing is known
 */
export const createRunPace = (): RunPace => ({
  sampledAtClockMs: undefined,
  sampledPercent: 0,
  speed: undefined,
});

/**
 * @param pace - a run's pace
 * @param clockMs - worker's clock when it listed the run
 * @param percent - progress that it listed
 * @param estimatedMs - declared work of the whole task
 */
export const noteProgress = (
  pace: RunPace,
  clockMs: number,
  percent: number,
  estimatedMs: number,
): void => {
  const { sampledAtClockMs } = pace;
  const spanMs = sampledAtClockMs === undefined ? 0 : clockMs - sampledAtClockMs;
  if (sampledAtClockMs !== undefined && spanMs < MIN_SPAN_MS) return;
  if (sampledAtClockMs !== undefined) {
    pace.speed = ((percent - pace.sampledPercent) * estimatedMs) / (100 * spanMs);
  }
  pace.sampledAtClockMs = clockMs;
  pace.sampledPercent = percent;
};

/**
 * @param pace - a run's pace
 * @returns whether the run is held up, as far as one knows
 */
export const isHeldUp = (pace: RunPace): boolean =>
  pace.speed !== undefined && pace.speed < SLOW_SPEED;
