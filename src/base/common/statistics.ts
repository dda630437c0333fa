/**
 * Figures of samples.
 */

/**
 * @param values - samples
 * @returns their mean; 0 where there are none
 */
export const mean = (values: readonly number[]): number =>
  values.reduce((sum, it) => sum + it, 0) / Math.max(1, values.length);
