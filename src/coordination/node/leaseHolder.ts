/**
 * Holds a lease of the store and renews it at a third of its term.
 *
 * Guards against a holder that was paused: it counts its term from before the renewal was sent, on
 * its own monotonic clock and shortened by the clocks' drift, so it stops believing in its lease
 * before the store lets anybody else have it.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import type * as store from '../../state/common/store.js';

/** Largest difference in speed between two monotonic clocks. */
export const CLOCK_DRIFT_SHARE = 0.01;

/** A lease that is renewed until it is disposed. */
export interface LeaseHolder extends disposable.Disposable {
  readonly leaseId: string;
  /** Whether the lease certainly still stands. */
  readonly isHeld: () => boolean;
  /** The store said that the lease is gone; it never comes back. */
  readonly isLost: () => boolean;
  /** Stops renewing and lets the lease lapse by itself. */
  readonly abandon: () => void;
}

/** What the holder needs. */
export interface LeaseHolderOptions {
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly ttlMs: number;
}

/**
 * @param options - what the holder needs
 * @returns the holder of a new lease
 * @throws AuburnliftError `storeUnavailable`
 */
export const acquireLease = async (options: LeaseHolderOptions): Promise<LeaseHolder> => {
  const { store: target, clock: timeSource, ttlMs } = options;
  const termMs = ttlMs * (1 - CLOCK_DRIFT_SHARE);
  let heldUntilMs = timeSource.monotonicMs() + termMs;
  const leaseId = await target.grantLease(ttlMs);
  let isLost = false;
  let isDisposed = false;
  let timer: disposable.Disposable | undefined;
  const renew = async (): Promise<void> => {
    const sentAtMs = timeSource.monotonicMs();
    try {
      if (await target.renewLease(leaseId)) heldUntilMs = sentAtMs + termMs;
      else isLost = true;
    } catch {
      // The store may come back before the term is over; the next renewal tells.
    }
    if (!isDisposed && !isLost) schedule();
  };
  const schedule = (): void => {
    timer = timeSource.after(ttlMs / 3, () => {
      void renew();
    });
  };
  schedule();
  return {
    leaseId,
    isHeld: () => !isLost && timeSource.monotonicMs() < heldUntilMs,
    isLost: () => isLost,
    abandon: () => {
      isDisposed = true;
      void timer?.dispose();
    },
    dispose: async () => {
      isDisposed = true;
      void timer?.dispose();
      try {
        await target.revokeLease(leaseId);
      } catch {
        // It lapses by itself.
      }
    },
  };
};
