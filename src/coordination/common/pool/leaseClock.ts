/**
 * Task leases in the worker's own time. The leader counts from a reading of the worker's clock that it
 * already has, not from an order's arrival, so an order that is carried out late extends no lease.
 */

/** A reading of the worker's clock: it stood at `clockMs` at the leader's `atMs` or earlier. */
export interface ClockSample {
  /** The worker incarnation that the clock belongs to; each incarnation's clock starts anew. */
  readonly incarnationMs: number;
  readonly clockMs: number;
  readonly atMs: number;
}

/** The worker's clock may be 2% slow; another 0.5% covers the leader's own. */
const SLOWEST_WORKER_CLOCK = 0.975;

/** Time in milliseconds until a run that is killed at the end of its lease has ended. */
const KILL_MS = 200;

/**
 * @param sample - a reading of the worker's clock
 * @param atMs - an instant on the leader's clock
 * @returns the same instant on the worker's clock, or one somewhat earlier, in whole milliseconds
 */
export const toWorkerClockMs = (sample: ClockSample, atMs: number): number =>
  Math.floor(sample.clockMs + (atMs - sample.atMs));

/**
 * @param sample - a reading of the worker's clock
 * @param nowMs - the leader's clock
 * @param leaseMs - how long the lease is to last from now
 * @returns the end of the lease on the worker's clock, in whole milliseconds
 */
export const leaseUntil = (sample: ClockSample, nowMs: number, leaseMs: number): number =>
  toWorkerClockMs(sample, nowMs + leaseMs);

/**
 * @param sample - a reading of the worker's clock
 * @param untilMs - end of a lease on the worker's clock
 * @returns the leader's time by which the lease has certainly expired
 */
export const expiredByMs = (sample: ClockSample, untilMs: number): number =>
  sample.atMs + Math.max(0, untilMs - sample.clockMs) / SLOWEST_WORKER_CLOCK + KILL_MS;

/**
 * @param maxLeaseMs - the longest lease that a worker grants
 * @returns time after a takeover until all leases of the previous leader have certainly expired
 */
export const previousLeasesExpiryMs = (maxLeaseMs: number): number =>
  maxLeaseMs / SLOWEST_WORKER_CLOCK + KILL_MS;
