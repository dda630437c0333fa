/**
 * Fencing tokens of the leader's orders. Each epoch of a leader has a range of them.
 */

/** Fences of one epoch; each time that earlier orders must be refused uses up one step of them. */
export const FENCES_PER_EPOCH = 1_000_000;

/**
 * @param epoch - the leader's epoch
 * @returns the first fence of the epoch, above all of earlier epochs
 */
export const firstFence = (epoch: number): number => epoch * FENCES_PER_EPOCH;

/**
 * @param fence - a fence
 * @returns the epoch of the leader that it belongs to
 */
export const epochOf = (fence: number): number => Math.floor(fence / FENCES_PER_EPOCH);
