/**
 * The progress records of the leader's jobs as they are written to the store.
 */
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';
import * as jobState from '../../common/pool/jobState.js';
import type * as progressBatch from '../../common/pool/progressBatch.js';

/**
 * @param registry - the jobs
 * @param maxValueBytes - largest value that the store takes
 * @returns encodes the current progress of a job; undefined for a job that is not known
 */
export const createRecordEncoding =
  (registry: Pick<jobRegistry.JobRegistry, 'get'>, maxValueBytes: number) =>
  (jobId: string): progressBatch.DueRecord | undefined => {
    const entry = registry.get(jobId);
    if (entry === undefined) return undefined;
    const progress = jobState.toProgressRecord(entry);
    const value = progressRecord.encodeProgressWithin(progress, maxValueBytes);
    const record = { key: poolKeys.progressKey(jobId), value, revision: entry.progressRevision };
    return entry.isCancelled
      ? record
      : { ...record, cancelKey: poolKeys.jobKey(jobId, poolKeys.JobPart.cancel) };
  };
