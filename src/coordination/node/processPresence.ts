/**
 * Maintains the leased key by which other processes discover this one.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import type * as liveRecords from '../../state/common/liveRecords.js';
import type * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';

import * as leaseHolder from './leaseHolder.js';

/** Options of {@link announce}. */
export interface PresenceOptions {
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly record: liveRecords.ProcessRecord;
  readonly ttlMs: number;
}

const publish = async (options: PresenceOptions, lease: leaseHolder.LeaseHolder): Promise<void> => {
  const key = storeKeys.processKey(options.record.role, options.record.processId);
  const current = await options.store.get(key);
  await options.store.compareAndSwap({
    key,
    expectedRevision: current?.revision ?? 0,
    value: JSON.stringify(options.record),
    leaseId: lease.leaseId,
  });
};

/**
 * @param options - options
 * @returns the presence; disposing it revokes the lease, which removes the key
 */
export const announce = (options: PresenceOptions): disposable.Disposable => {
  let lease: leaseHolder.LeaseHolder | undefined;
  let isDisposed = false;
  let timer: disposable.Disposable | undefined;
  const ensurePublished = async (): Promise<void> => {
    try {
      if (lease === undefined || lease.isLost()) {
        lease = await leaseHolder.acquireLease(options);
        await publish(options, lease);
      }
    } catch {
      await lease?.dispose();
      lease = undefined;
    }
    if (isDisposed) await lease?.dispose();
    else {
      timer = options.clock.after(options.ttlMs / 3, () => {
        void ensurePublished();
      });
    }
  };
  void ensurePublished();
  return {
    dispose: async () => {
      isDisposed = true;
      void timer?.dispose();
      await lease?.dispose();
    },
  };
};
