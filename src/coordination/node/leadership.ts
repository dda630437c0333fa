/**
 * Acquires the leadership of one cell through the store.
 *
 * Guards against two concurrent leaders: the leased key lets one process try, and the swap of the
 * epoch decides. A process that was paused between the two finds the epoch taken. Agents reject a
 * previous leader's lower epoch, and its store writes fail on the revision.
 */
import type * as clock from '../../base/common/clock.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as liveRecords from '../../state/common/liveRecords.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';

import * as leaseHolder from './leaseHolder.js';

/** Options of {@link tryAcquireLeadership}. */
export interface LeadershipOptions {
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly cell: string;
  readonly leaderId: string;
  readonly url: string;
  readonly ttlMs: number;
  /** Generates a unique id. */
  readonly newId: () => string;
}

/** An acquired leadership. */
export interface Leadership {
  readonly epoch: number;
  readonly lease: leaseHolder.LeaseHolder;
}

const decodeLeader = (value: string): liveRecords.LeaderRecord =>
  schemaIssues.decodeOrFail(liveRecords.LeaderRecord, JSON.parse(value), 'leader record');

/** Swaps; after a lost reply, reads the value back and checks whether it is ours. */
const swapOrReadBack = async (
  target: store.Store,
  swap: store.CompareAndSwap,
  isOurs: (value: string) => boolean,
): Promise<boolean> => {
  try {
    return (await target.compareAndSwap(swap)).isSwapped;
  } catch (thrown) {
    if (!(thrown instanceof store.StoreOutcomeUnknown)) throw thrown;
    const current = await target.get(swap.key);
    return current !== undefined && isOurs(current.value);
  }
};

const takeEpoch = async (options: LeadershipOptions): Promise<number | undefined> => {
  const key = storeKeys.leaderKey(options.cell);
  const current = await options.store.get(key);
  const epoch = (current === undefined ? 0 : decodeLeader(current.value).epoch) + 1;
  const writeId = options.newId();
  const record: liveRecords.LeaderRecord = {
    cell: options.cell,
    epoch,
    leaderId: options.leaderId,
    url: options.url,
    writeId,
  };
  const isTaken = await swapOrReadBack(
    options.store,
    {
      key,
      expectedRevision: current?.revision ?? store.ABSENT_REVISION,
      value: JSON.stringify(record),
    },
    (value) => decodeLeader(value).writeId === writeId,
  );
  return isTaken ? epoch : undefined;
};

/**
 * @param options - options
 * @returns the leadership, or undefined if another process has it
 * @throws AuburnliftError `storeUnavailable`
 */
export const tryAcquireLeadership = async (
  options: LeadershipOptions,
): Promise<Leadership | undefined> => {
  const lease = await leaseHolder.acquireLease(options);
  try {
    const hasLeaseKey = await swapOrReadBack(
      options.store,
      {
        key: storeKeys.leaderLeaseKey(options.cell),
        expectedRevision: store.ABSENT_REVISION,
        value: lease.leaseId,
        leaseId: lease.leaseId,
      },
      (value) => value === lease.leaseId,
    );
    const epoch = hasLeaseKey ? await takeEpoch(options) : undefined;
    if (epoch !== undefined) return { epoch, lease };
  } catch (thrown) {
    await lease.dispose();
    throw thrown;
  }
  await lease.dispose();
  return undefined;
};
