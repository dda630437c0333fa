/**
 * Fits straight lines to measured points.
 */
import * as statistics from '../../base/common/statistics.js';

/** One measured point. */
export interface Point {
  /** Value of the independent variable, such as peers, jobs or bytes. */
  readonly size: number;
  readonly value: number;
}

/** A line fitted to points, with the deviation of the points from it. */
export interface Slope {
  readonly perUnit: number;
  readonly intercept: number;
  /** Largest deviation of a point from the line as a fraction of the largest value. */
  readonly spreadShare: number;
  readonly points: readonly Point[];
}

/**
 * Fits a line by least squares.
 *
 * @param points - points with at least two different sizes
 * @returns the line
 */
export const fitSlope = (points: readonly Point[]): Slope => {
  const meanSize = statistics.mean(points.map((it) => it.size));
  const meanValue = statistics.mean(points.map((it) => it.value));
  const covariance = statistics.mean(
    points.map((it) => (it.size - meanSize) * (it.value - meanValue)),
  );
  const variance = statistics.mean(points.map((it) => (it.size - meanSize) ** 2));
  const perUnit = variance === 0 ? 0 : covariance / variance;
  const intercept = meanValue - perUnit * meanSize;
  const largest = Math.max(...points.map((it) => Math.abs(it.value)), Number.MIN_VALUE);
  const distances = points.map((it) => Math.abs(it.value - (intercept + perUnit * it.size)));
  return { perUnit, intercept, spreadShare: Math.max(...distances) / largest, points };
};

/**
 * @param slope - a fitted line
 * @param size - value of the independent variable
 * @returns the value of the line at that size, at least 0
 */
export const valueAt = (slope: Slope, size: number): number =>
  Math.max(0, slope.intercept + slope.perUnit * size);
