/**
 * Holds a lease of the store and renews it at a third of its term.
 *
 * Guards against a paused holder: the term is counted from before the renewal was sent, on the
 * holder's monotonic clock and shortened by the maximum clock drift, so the holder considers the
 * lease expired before the store does.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import type * as store from '../../state/common/store.js';

/** Maximum drift between two monotonic clocks. */
export const CLOCK_DRIFT_SHARE = 0.01;

/** A lease that is renewed until it is disposed. */
export interface LeaseHolder extends disposable.Disposable {
  readonly leaseId: string;
  /** Whether the lease is certainly still valid. */
  readonly isHeld: () => boolean;
  /** Whether the store reported the lease as gone; this is final. */
  readonly isLost: () => boolean;
  /** Stops renewing and lets the lease expire. */
  readonly abandon: () => void;
}

/** Options of {@link acquireLease}. */
export interface LeaseHolderOptions {
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly ttlMs: number;
}

/**
 * @param options - options
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
      // The store may recover before the term ends, so the next renewal tries again.
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
        // The lease then expires by itself.
      }
    },
  };
};
