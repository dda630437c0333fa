/**
 * Random number interface for dependency injection, seeded so that a run is reproducible.
 */

/** Returns the next number, at least 0 and below 1. */
export type Random = () => number;

const GOLDEN_RATIO = 0x6d2b79f5;
const TWO_TO_32 = 4_294_967_296;

/**
 * A small generator of the mulberry family: sufficient to distribute load, unsuitable for secrets.
 *
 * @param seed - any integer; the same seed gives the same numbers
 * @returns the generator
 */
export const createRandom = (seed: number): Random => {
  /* eslint-disable no-bitwise -- the generator is defined by its bit operations */
  let state = seed >>> 0;
  return () => {
    state = (state + GOLDEN_RATIO) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / TWO_TO_32;
  };
  /* eslint-enable no-bitwise */
};

/**
 * @param random - source of randomness
 * @param below - exclusive upper bound, a positive integer
 * @returns an integer of at least 0 and below the bound
 */
export const integerBelow = (random: Random, below: number): number => Math.floor(random() * below);

/** Uniform draws whose sum is nearly normal: the sum of twelve has a variance of one. */
const DRAWS = 12;

/**
 * @param random - source of randomness
 * @returns a nearly normal value with mean 0 and standard deviation 1; never beyond 6 of them
 */
export const normal = (random: Random): number => {
  let sum = 0;
  for (let draw = 0; draw < DRAWS; draw += 1) sum += random();
  return sum - DRAWS / 2;
};

/**
 * @param random - source of randomness
 * @param items - at least one
 * @returns one of them
 */
export const pick = <T>(random: Random, items: readonly T[]): T =>
  items[integerBelow(random, items.length)] as T;

/**
 * @param random - source of randomness
 * @param valueMs - the mean of the result
 * @param share - maximum deviation from the mean as a share of it, 0 to 1
 * @returns milliseconds distributed uniformly around the mean, so that many processes do not act simultaneously
 */
export const jitterMs = (random: Random, valueMs: number, share: number): number =>
  valueMs * (1 - share + 2 * share * random());
