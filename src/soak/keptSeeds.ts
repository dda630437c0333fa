/**
 * Seeds of soaks that showed a fault, with its cause: played again by `npm run soak -- kept`. The order of
 * events in real processes is not decided by the seed alone, so each fault has a test in virtual time as well.
 */

/** A seed that showed a fault. */
export interface KeptSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly cause: string;
}

/** Every seed that ever failed by a fault of the product. */
export const KEPT_SEEDS: readonly KeptSeed[] = [
  { seed: 103, seconds: 20, cause: 'SIGHUP while a program loads ended it' },
  {
    seed: 403,
    seconds: 20,
    cause: 'a late order to the former life of a worker ran in its next one',
  },
  {
    seed: 540,
    seconds: 20,
    cause: 'a late write put back the lapsing lease of an agent, which no later leader heard of',
  },
];
