/**
 * Keeps a leased record in the store by which a process is found.
 *
 * Guards against a lease that lapses while the store is away: the record is written anew with the first
 * renewal that says so, within a second of the store's return.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';

/** What the record needs. */
export interface LeasedRecordOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly key: string;
  readonly value: string;
  readonly leaseMs: number;
}

/** Renewals in one lease: two may fail before it lapses. */
const RENEWALS_PER_LEASE = 3;

/** Pause after a failed call: short, so that the record is back soon after an outage. */
const RETRY_MS = 400;

/**
 * @param options - what the record needs
 * @returns the record, kept until it is disposed, which takes it away
 */
export const keepLeasedRecord = (options: LeasedRecordOptions): disposable.Disposable => {
  const { store, clock: time, log, key } = options;
  let isDisposed = false;
  let leaseId: string | undefined;

  const publish = async (): Promise<void> => {
    const granted = await store.grantLease(options.leaseMs);
    const put = { key, value: options.value, leaseId: granted };
    const result = await store.transact({ conditions: [], puts: [put], removes: [] });
    if (!result.isCommitted) return;
    leaseId = granted;
    log('info', 'presenceWritten', { key, revision: result.revision });
  };
  const keep = async (): Promise<void> => {
    if (leaseId === undefined) await publish();
    else if (!(await store.renewLease(leaseId))) {
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
        await keep();
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
        await store.revokeLease(leaseId);
      } catch (thrown) {
        log('warn', 'presenceNotRemoved', { key, reason: errors.normalize(thrown).message });
      }
    },
  };
};
