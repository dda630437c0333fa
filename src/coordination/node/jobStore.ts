/**
 * Reads and writes a cell's jobs in the store, as the only writer of its epoch.
 *
 * Guards against a previous leader that still writes: a takeover rewrites every segment, so all
 * revisions known to the previous leader are stale. Guards against lost replies: the segment is
 * read back, and its write id shows whether the write took effect.
 */
import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import type * as job from '../../state/common/job.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as jobSegments from '../common/jobSegments.js';

/** Options of {@link createJobStore}. */
export interface JobStoreOptions {
  readonly store: store.Store;
  readonly cell: string;
  readonly epoch: number;
  /** Generates a unique id. */
  readonly newId: () => string;
}

/** The jobs of one cell in the store. */
export interface JobStore {
  /** Fences previous leaders and reads all jobs. */
  readonly takeOver: () => Promise<readonly job.JobRecord[]>;
  /**
   * Writes one segment.
   *
   * @throws AuburnliftError `notLeader` if another leader has written since, `storeUnavailable` if
   *   nothing was written; `StoreOutcomeUnknown` if that is not known
   */
  readonly write: (segment: number, records: readonly job.JobRecord[]) => Promise<void>;
}

const SEGMENTS = Array.from({ length: jobSegments.SEGMENT_COUNT }, (_unused, index) => index);

/**
 * @param options - options
 * @returns the job store, which has read nothing yet
 */
export const createJobStore = (options: JobStoreOptions): JobStore => {
  const revisions = new Map<number, number>();
  const decode = (value: string): jobSegments.JobSegment =>
    schemaIssues.decodeOrFail(jobSegments.JobSegment, JSON.parse(value), 'job segment');

  /** Writes unless the segment has changed; returns the new revision, or the current entry. */
  const swap = async (
    key: string,
    expectedRevision: number,
    segment: jobSegments.JobSegment,
  ): Promise<store.SwapResult> => {
    const value = JSON.stringify(segment);
    try {
      return await options.store.compareAndSwap({ key, expectedRevision, value });
    } catch (thrown) {
      if (!(thrown instanceof store.StoreOutcomeUnknown)) throw thrown;
      return readBack(key, segment.writeId, thrown);
    }
  };
  /** Checks whether a write without a reply took effect; unknown if the store stays unreachable. */
  const readBack = async (
    key: string,
    writeId: string,
    outcomeUnknown: store.StoreOutcomeUnknown,
  ): Promise<store.SwapResult> => {
    let current: store.StoreEntry | undefined;
    try {
      current = await options.store.get(key);
    } catch {
      throw outcomeUnknown;
    }
    const isOurs = current !== undefined && decode(current.value).writeId === writeId;
    return isOurs && current !== undefined
      ? { isSwapped: true, revision: current.revision }
      : { isSwapped: false, current };
  };
  const write = async (segment: number, records: readonly job.JobRecord[]): Promise<void> => {
    const key = storeKeys.jobSegmentKey(options.cell, segment);
    const value = { epoch: options.epoch, writeId: options.newId(), jobs: records };
    const expected = revisions.get(segment) ?? store.ABSENT_REVISION;
    const first = await swap(key, expected, value);
    // An earlier write of this leader may have taken effect although its reply was lost.
    const current = first.isSwapped ? undefined : first.current;
    const isOwnEarlierWrite =
      current !== undefined && decode(current.value).epoch === options.epoch;
    const isUnchanged = !first.isSwapped && (current?.revision ?? 0) === expected;
    const result =
      isOwnEarlierWrite || isUnchanged ? await swap(key, current?.revision ?? 0, value) : first;
    if (!result.isSwapped) {
      throw errors.fail('notLeader', `cell ${options.cell} has another leader`);
    }
    revisions.set(segment, result.revision);
  };
  const takeOverSegment = async (segment: number): Promise<readonly job.JobRecord[]> => {
    const current = await options.store.get(storeKeys.jobSegmentKey(options.cell, segment));
    const held = current === undefined ? undefined : decode(current.value);
    if ((held?.epoch ?? 0) > options.epoch) {
      throw errors.fail('notLeader', `cell ${options.cell} has another leader`);
    }
    revisions.set(segment, current?.revision ?? store.ABSENT_REVISION);
    const records = held?.jobs ?? [];
    await write(segment, records);
    return records;
  };
  return {
    write,
    takeOver: async () => (await Promise.all(SEGMENTS.map(takeOverSegment))).flat(),
  };
};
