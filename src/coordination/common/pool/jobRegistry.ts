/**
 * The jobs that the leader knows, kept up to date from the store's records.
 */
import type * as logging from '../../../base/common/logging.js';
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import type * as store from '../../../state/common/store.js';
import * as jobState from './jobState.js';

/** What a store record changed. */
export const RecordEffect = {
  none: 'none',
  submitted: 'submitted',
  cancelled: 'cancelled',
  removed: 'removed',
} as const;

/** One of the values of {@link RecordEffect}. */
export type RecordEffect = (typeof RecordEffect)[keyof typeof RecordEffect];

/** The jobs that the leader knows. */
export interface JobRegistry {
  readonly get: (jobId: string) => jobState.JobEntry | undefined;
  readonly all: () => Iterable<jobState.JobEntry>;
  /** Applies a job or its cancellation, which may arrive before the job. */
  readonly applyRecord: (record: store.StoreEntry, nowMs: number) => RecordEffect;
  readonly applyProgress: (record: store.StoreEntry) => void;
  readonly remove: (jobId: string) => boolean;
  /** Leaves a job out from now on that this leader can't handle; nothing of it starts. */
  readonly setAside: (jobId: string, reason: string) => void;
  /** Number of jobs by queue of which no task has started. */
  readonly pendingByQueue: () => Record<string, number>;
}

/**
 * Guards against a job that ends each leader in turn: one that can't be read, has more tasks than a leader can hold, or on
 * which planning fails is set aside, and the others are served.
 *
 * @param log - receives records that can't be parsed, and jobs that are set aside
 * @param isTooLarge - whether a job has more tasks than can be handled; none has by default
 * @returns a registry without jobs
 */
export const createJobRegistry = (
  log: logging.Log,
  isTooLarge: (job: poolJob.PoolJob) => boolean = () => false,
): JobRegistry => {
  const jobs = new Map<string, jobState.JobEntry>();
  const cancelled = new Set<string>();
  /** Their tasks may run or be done, so these jobs are neither started nor written. */
  const jobsSetAside = new Set<string>();

  const setAside = (jobId: string, reason: string): void => {
    if (jobsSetAside.has(jobId)) return;
    log('error', 'jobSetAside', { job: jobId, reason });
    jobsSetAside.add(jobId);
    jobs.delete(jobId);
  };

  const parse = <T>(record: store.StoreEntry, decode: (text: string) => T): T | undefined => {
    try {
      return decode(record.value);
    } catch (thrown) {
      // Only this product writes here, so a record that can't be parsed is a defect: log it as an error.
      log('error', 'recordUnreadable', { key: record.key, reason: String(thrown) });
      return undefined;
    }
  };

  const submit = (record: store.StoreEntry, jobId: string, nowMs: number): RecordEffect => {
    if (jobs.has(jobId) || jobsSetAside.has(jobId)) return RecordEffect.none;
    const entry = parse(record, (text) => {
      const job = JSON.parse(text) as poolJob.PoolJob;
      return isTooLarge(job) ? undefined : jobState.createJobEntry(job, nowMs);
    });
    if (entry === undefined) {
      setAside(jobId, 'it can not be read, or has too many tasks');
      return RecordEffect.none;
    }
    entry.isCancelled = cancelled.has(jobId);
    jobs.set(jobId, entry);
    return RecordEffect.submitted;
  };

  const cancel = (jobId: string): RecordEffect => {
    if (cancelled.has(jobId)) return RecordEffect.none;
    cancelled.add(jobId);
    const entry = jobs.get(jobId);
    if (entry !== undefined) entry.isCancelled = true;
    return RecordEffect.cancelled;
  };

  return {
    get: (jobId) => jobs.get(jobId),
    all: () => jobs.values(),
    applyRecord: (record, nowMs) => {
      const key = poolKeys.parseJobKey(record.key);
      if (key === undefined) return RecordEffect.none;
      if (key.part === poolKeys.JobPart.spec) return submit(record, key.jobId, nowMs);
      return key.part === poolKeys.JobPart.cancel ? cancel(key.jobId) : RecordEffect.none;
    },
    applyProgress: (record) => {
      const jobId = record.key.slice(poolKeys.PROGRESS.length);
      const entry = jobs.get(jobId);
      const progress = parse(record, progressRecord.decodeProgress);
      if (progress === undefined) {
        setAside(jobId, 'its progress can not be read');
      } else if (entry !== undefined) {
        jobState.restoreProgress(entry, progress, record.revision);
      }
    },
    setAside,
    remove: (jobId) => {
      cancelled.delete(jobId);
      jobsSetAside.delete(jobId);
      return jobs.delete(jobId);
    },
    pendingByQueue: () => {
      const counts: Record<string, number> = {};
      for (const { job, state } of jobs.values()) {
        const { queue } = job.policy;
        if (state === 'queued') counts[queue] = (counts[queue] ?? 0) + 1;
      }
      return counts;
    },
  };
};
