/**
 * Reads records of jobs that an entry tells of and that the leader's watch does not.
 *
 * Load it answers: a watch that hears nothing for a second while all other calls are answered. Urgent work of a
 * second would be late by that alone.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';

/** What reading needs. */
export interface StoredNewsOptions {
  readonly store: Pick<recordStore.RecordStore, 'list'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly registry: jobRegistry.JobRegistry;
  /** Whether all jobs are known and the term goes on. */
  readonly isReady: () => boolean;
  /** A record as it stands; the same may be told again. */
  readonly onRecord: (record: store.StoreEntry) => void;
}

/** A watch that hears tells of a record within this time of the entry's own answer. */
const WATCH_LAG_MS = 60;

/**
 * @param options - what reading needs
 * @returns hears that a record of a job was stored
 */
export const createStoredNews = (
  options: StoredNewsOptions,
): ((jobId: string, part: poolKeys.JobPart) => Promise<void>) => {
  const isHeardOf = (jobId: string, part: poolKeys.JobPart): boolean => {
    const entry = options.registry.get(jobId);
    return part === poolKeys.JobPart.spec ? entry !== undefined : entry?.isCancelled === true;
  };

  return async (jobId, part) => {
    if (isHeardOf(jobId, part)) return;
    await clock.sleep(options.clock, WATCH_LAG_MS);
    if (!options.isReady() || isHeardOf(jobId, part)) return;
    try {
      const { entries } = await options.store.list(poolKeys.jobPrefix(jobId));
      if (options.isReady()) entries.forEach(options.onRecord);
    } catch (thrown) {
      const { message } = errors.normalize(thrown);
      options.log('warn', 'storedJobNotRead', { job: jobId, reason: message });
    }
  };
};
