/**
 * Maintains a leased record in the store through which other processes find this one.
 *
 * Guards against a lease that expires while the store is unavailable: the first renewal that reports the expiry
 * writes the record again, within a second of the store's return. Also guards against a delayed duplicate of an
 * unanswered write that takes effect after its retry: it would restore a lease that nobody renews, and the record
 * would be removed with that lease while its holder assumes that it exists. Each write is conditional on the
 * revision it overwrites, so the duplicate changes nothing.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import * as store from '../../../state/common/store.js';

/** Dependencies and content of the record. */
export interface LeasedRecordOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly key: string;
  readonly value: string;
  readonly leaseMs: number;
}

/** Renewals per lease duration: two may fail before the lease expires. */
const RENEWALS_PER_LEASE = 3;

/** Thrown if another copy of a write took effect first; the next attempt overwrites it. */
const concurrentChange = (key: string): errors.AuburnliftError =>
  errors.fail('storeUnavailable', `the record ${key} was changed concurrently`);

/** Delay after a failed call: short, so that the record is restored soon after an outage. */
const RETRY_MS = 400;

/**
 * @param options - its dependencies and content
 * @returns stops the renewals when disposed, and removes the record
 */
export const maintainLeasedRecord = (options: LeasedRecordOptions): disposable.Disposable => {
  const { clock: time, log, key } = options;
  let isDisposed = false;
  let leaseId: string | undefined;

  const publish = async (): Promise<void> => {
    const current = await options.store.get(key);
    const granted = await options.store.grantLease(options.leaseMs);
    const result = await options.store.transact({
      conditions: [{ key, revision: current?.revision ?? store.ABSENT_REVISION }],
      puts: [{ key, value: options.value, leaseId: granted }],
      removes: [],
    });
    if (!result.isCommitted) throw concurrentChange(key);
    leaseId = granted;
    log('info', 'presenceWritten', { key, revision: result.revision });
  };
  const renewOrPublish = async (): Promise<void> => {
    if (leaseId === undefined) await publish();
    else if (!(await options.store.renewLease(leaseId))) {
      log('warn', 'presenceLapsed', { key });
      leaseId = undefined;
      await publish();
    }
  };
  const run = async (): Promise<void> => {
    let isFailing = false;
    while (!isDisposed) {
      let waitMs = options.leaseMs / RENEWALS_PER_LEASE;
      try {
        await renewOrPublish();
        if (isFailing) log('info', 'presenceStoreAnswers', { key });
        isFailing = false;
      } catch (thrown) {
        if (!isFailing) {
          log('warn', 'presenceStoreLost', { key, reason: errors.normalize(thrown).message });
        }
        isFailing = true;
        waitMs = RETRY_MS;
      }
      await clock.sleep(time, waitMs);
    }
  };
  void run();
  return {
    dispose: async () => {
      isDisposed = true;
      if (leaseId === undefined) return;
      try {
        await options.store.revokeLease(leaseId);
      } catch (thrown) {
        log('warn', 'presenceNotRemoved', { key, reason: errors.normalize(thrown).message });
      }
    },
  };
};
