/**
 * Regression seeds of soaks that exposed a fault, with its cause; rerun by `npm run soak -- kept`. The seed does
 * not fully determine the order of events in real processes, so each fault also has a test in virtual time.
 */

/** A seed that exposed a fault. */
export interface RegressionSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly cause: string;
}

/** Every seed that failed because of a fault in the product. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  { seed: 103, seconds: 20, cause: 'SIGHUP killed a program that was still loading' },
  {
    seed: 403,
    seconds: 20,
    cause: 'a delayed order to the previous incarnation of a worker ran in the new one',
  },
  {
    seed: 540,
    seconds: 20,
    cause:
      'a delayed write restored the expiring lease of an agent, and no later leader received it',
  },
];
