/**
 * Removes the records of ended jobs once their status no longer has to be available.
 */
import type * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import * as jobState from '../../common/pool/jobState.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';

/** Dependencies of the removal. */
export interface EndedJobsRemovalOptions {
  readonly store: Pick<recordStore.RecordStore, 'transact'>;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly registry: jobRegistry.JobRegistry;
  /** The leadership record, which must be unchanged for a removal to take effect. */
  readonly leadership: recordStore.Condition;
  /** A job's status is available at least this long after its end. */
  readonly statusMs: number;
}

/** Extra time before ended jobs are removed, since clocks differ and requests may arrive late. */
const SLACK_MS = 60_000;

/** Jobs removed in one transaction: three records each. */
const JOBS_PER_TRANSACTION = 8;

/** Interval between scans for ended jobs; their removal is not urgent. */
const PERIOD_MS = 10_000;

/**
 * @param options - its dependencies
 * @returns scans for ended jobs if the interval has passed, and removes some of them
 */
export const createEndedJobsRemoval = (options: EndedJobsRemovalOptions): (() => Promise<void>) => {
  const { clock: time, log, registry } = options;
  let scannedAtMs = time.monotonicMs();

  const removeJobs = async (jobIds: readonly string[]): Promise<void> => {
    const { isCommitted } = await options.store.transact({
      conditions: [options.leadership],
      puts: [],
      removes: jobIds.flatMap((jobId) => [
        poolKeys.jobKey(jobId, poolKeys.JobPart.spec),
        poolKeys.jobKey(jobId, poolKeys.JobPart.cancel),
        poolKeys.progressKey(jobId),
      ]),
    });
    if (isCommitted) jobIds.forEach(registry.remove);
    log('info', 'endedJobsRemoved', { jobs: jobIds.length, isCommitted });
  };

  return async () => {
    if (time.monotonicMs() - scannedAtMs < PERIOD_MS) return;
    scannedAtMs = time.monotonicMs();
    const beforeMs = time.wallMs() - options.statusMs - SLACK_MS;
    const due = [...registry.all()]
      .filter((it) => jobState.isEnded(it) && it.endedAtMs < beforeMs)
      .slice(0, JOBS_PER_TRANSACTION)
      .map((it) => it.job.jobId);
    if (due.length === 0) return;
    try {
      await removeJobs(due);
    } catch (thrown) {
      log('warn', 'removalFailed', { reason: errors.normalize(thrown).message });
    }
  };
};
