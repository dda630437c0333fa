/**
 * Reads job records that an entry has reported as stored but the leader's watch has not delivered.
 *
 * A watch may deliver nothing for a second while all other calls are answered; that delay alone would make urgent
 * work of a second late.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';

/** Dependencies of the reader. */
export interface StoredRecordReaderOptions {
  readonly store: Pick<recordStore.RecordStore, 'list'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly registry: jobRegistry.JobRegistry;
  /** Whether all jobs are loaded and the term has not ended. */
  readonly isReady: () => boolean;
  /** The current content of a record; the same may be delivered again. */
  readonly onRecord: (record: store.StoreEntry) => void;
}

/** A working watch delivers a record within this time after the entry's own write is answered. */
const WATCH_LAG_MS = 60;

/**
 * @param options - its dependencies
 * @returns to be called when an entry reports that it has stored a record of a job
 */
export const createStoredRecordReader = (
  options: StoredRecordReaderOptions,
): ((jobId: string, part: poolKeys.JobPart) => Promise<void>) => {
  const isKnown = (jobId: string, part: poolKeys.JobPart): boolean => {
    const entry = options.registry.get(jobId);
    return part === poolKeys.JobPart.spec ? entry !== undefined : entry?.isCancelled === true;
  };

  return async (jobId, part) => {
    if (isKnown(jobId, part)) return;
    await clock.sleep(options.clock, WATCH_LAG_MS);
    if (!options.isReady() || isKnown(jobId, part)) return;
    try {
      const { entries } = await options.store.list(poolKeys.jobPrefix(jobId));
      if (options.isReady()) entries.forEach(options.onRecord);
    } catch (thrown) {
      const { message } = errors.normalize(thrown);
      options.log('warn', 'storedJobNotRead', { job: jobId, reason: message });
    }
  };
};
