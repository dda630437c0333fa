/**
 * Task leases in the worker's own time. The leader counts from a reading of the worker's clock that
 * it has in hand, never from an order's arrival, so an order that is carried out late extends nothing.
 */

/** At the leader's `atMs` or earlier the worker's clock stood at `clockMs`. */
export interface ClockSample {
  /** The life of the worker that the clock belongs to; each life's clock starts anew. */
  readonly incarnationMs: number;
  readonly clockMs: number;
  readonly atMs: number;
}

/** The worker's clock may be 2% slow; half a per cent more covers the leader's own. */
const SLOWEST_WORKER_CLOCK = 0.975;

/** What is killed at the end of its lease still takes this long to be gone, in milliseconds. */
const KILL_MS = 200;

/**
 * @param sample - a reading of the worker's clock
 * @param nowMs - the leader's clock
 * @param leaseMs - how long the lease is to last from now
 * @returns the end of the lease on the worker's clock, in whole milliseconds
 */
export const leaseUntil = (sample: ClockSample, nowMs: number, leaseMs: number): number =>
  Math.floor(sample.clockMs + (nowMs - sample.atMs) + leaseMs);

/**
 * @param sample - a reading of the worker's clock
 * @param untilMs - end of a lease on the worker's clock
 * @returns the leader's time by which the lease has certainly run out
 */
export const lapsedBy = (sample: ClockSample, untilMs: number): number =>
  sample.atMs + Math.max(0, untilMs - sample.clockMs) / SLOWEST_WORKER_CLOCK + KILL_MS;

/**
 * @param maxLeaseMs - the longest lease that a worker grants
 * @returns how long after a take-over every lease that a former leader granted has certainly run out
 */
export const formerLeasesLapseMs = (maxLeaseMs: number): number =>
  maxLeaseMs / SLOWEST_WORKER_CLOCK + KILL_MS;
