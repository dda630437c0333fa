/**
 * Speed of a run: the progress that its worker reports, relative to its declared work.
 *
 * A worker may turn slow or stall for some seconds while its health looks good. Its tasks are then late
 * through its fault, and its free capacity attracts the next ones.
 */

/** Progress samples of a run and its speed. */
export interface RunPace {
  /** Worker's clock at the last sample; undefined before the first. */
  sampledAtClockMs: number | undefined;
  sampledPercent: number;
  /** Declared work done per millisecond over the last span; undefined before the first span has passed. */
  speed: number | undefined;
}

/** Progress of a run whose part is done; a member of a gang waits for the others then. */
export const DONE_PERCENT = 100;

/**
 * Shortest conclusive span: reports come most of a second apart, and progress is reported in whole
 * per cent, which is about a tenth of what a task of ten seconds does in this time.
 */
const MIN_SPAN_MS = 700;

/**
 * Below this speed a run is a straggler. Declared work is off by up to a factor of two; remote tasks take
 * three times as long and are left out; workers that turn slow do so by a factor of four or more.
 */
const SLOW_SPEED = 0.36;

/**
 * @returns the state of a run without samples
 */
export const createRunPace = (): RunPace => ({
  sampledAtClockMs: undefined,
  sampledPercent: 0,
  speed: undefined,
});

/**
 * Leaves out reports of 100 per cent: the part was done at some time since the last one, and a member of a gang waits
 * for the others from then on.
 *
 * @param pace - a run's speed
 * @param clockMs - worker's clock at its report
 * @param percent - progress that it reported
 * @param estimatedMs - declared work of the entire task
 */
export const recordProgress = (
  pace: RunPace,
  clockMs: number,
  percent: number,
  estimatedMs: number,
): void => {
  if (percent >= DONE_PERCENT) return;
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
 * @param pace - a run's speed
 * @param speedFactor - lasting factor of its worker: on a slow one the same speed is no sign of trouble
 * @returns whether the run is a straggler, as far as is known
 */
export const isStraggler = (pace: RunPace, speedFactor = 1): boolean =>
  pace.speed !== undefined && pace.speed * speedFactor < SLOW_SPEED;
