/**
 * An in-memory stand-in for the platform's key-value store, which injects the faults that the contract allows.
 */
import type * as clock from '../base/common/clock.js';
import * as errors from '../base/common/errors.js';
import type * as recordStore from '../state/common/pool/recordStore.js';
import * as store from '../state/common/store.js';

/** Fault switches; initially all off. */
export interface StoreFaults {
  /** Reads and writes fail. */
  isDown: boolean;
  /** Leases do not run down while the store is down. */
  pausesLeases: boolean;
  /** Each call takes this much longer. */
  delayMs: number;
  /** This many of the next writes take effect, but their answers are lost. */
  loseWriteAnswers: number;
  /** This many of the next transactions get no answer and are applied after `lateByMs` if their conditions still hold. */
  delayTransactions: number;
  lateByMs: number;
  /** Reads and watches of keys with this prefix fail; undefined for none. */
  refusedPrefix: string | undefined;
  /** Watches report no changes and end empty when their wait is over. */
  areWatchesSilent: boolean;
  /** Watches sent now are never answered, even after the fault has ended; their callers time out. */
  areWatchesLost: boolean;
  /** The next watch reports a gap in its changes. */
  skipNextWatch: boolean;
  /** Largest value that transactions may write. */
  maxValueBytes: number;
}

/** The stand-in with its fault switches and call counts. */
export interface MemoryStore extends store.Store, recordStore.RecordStore {
  readonly faults: StoreFaults;
  readonly calls: () => Readonly<Record<string, number>>;
  /** Removes expired leases with their keys; also done before each call. */
  readonly expireLeases: () => void;
}

interface Lease {
  readonly ttlMs: number;
  untilMs: number;
}

interface Stored {
  readonly value: string;
  readonly revision: number;
  readonly leaseId: string | undefined;
}

interface Change {
  readonly key: string;
  readonly revision: number;
}

/** Number of changes kept for watches; a watch from an older revision reports a gap. */
const MAX_REMEMBERED_CHANGES = 5000;

/** A caller waits for the answer of a watch this much longer than the wait that it requested. */
const WATCH_SLACK_MS = 1000;

/** Interval at which a waiting watch checks for expired leases. */
const WATCH_POLL_MS = 50;

/**
 * @param timeSource - clock for leases and delays
 * @returns an empty store
 */
export const createMemoryStore = (timeSource: clock.Clock): MemoryStore => {
  const values = new Map<string, Stored>();
  const leases = new Map<string, Lease>();
  const counts: Record<string, number> = {};
  const changes: Change[] = [];
  const waiters = new Set<() => void>();
  const faults: StoreFaults = {
    isDown: false,
    pausesLeases: false,
    delayMs: 0,
    loseWriteAnswers: 0,
    delayTransactions: 0,
    lateByMs: 2000,
    refusedPrefix: undefined,
    areWatchesSilent: false,
    areWatchesLost: false,
    skipNextWatch: false,
    maxValueBytes: store.MAX_VALUE_BYTES,
  };
  let revision = 0;
  let leaseCount = 0;
  let forgottenRevision = 0;
  let leasesSeenAtMs = timeSource.monotonicMs();

  const sleep = (durationMs: number): Promise<void> =>
    new Promise((resolve) => {
      timeSource.after(durationMs, resolve);
    });
  const record = (key: string): void => {
    revision += 1;
    recordChange(key);
  };
  const recordChange = (key: string): void => {
    changes.push({ key, revision });
    if (changes.length > MAX_REMEMBERED_CHANGES) {
      forgottenRevision = changes.shift()?.revision ?? forgottenRevision;
    }
    for (const wake of [...waiters]) wake();
  };
  const remove = (key: string): void => {
    if (values.delete(key)) record(key);
  };
  const dropLease = (leaseId: string): void => {
    leases.delete(leaseId);
    for (const [key, it] of [...values]) if (it.leaseId === leaseId) remove(key);
  };
  const expireLeases = (): void => {
    const nowMs = timeSource.monotonicMs();
    const pausedMs = faults.isDown && faults.pausesLeases ? nowMs - leasesSeenAtMs : 0;
    leasesSeenAtMs = nowMs;
    for (const lease of leases.values()) lease.untilMs += pausedMs;
    for (const [leaseId, lease] of [...leases]) if (lease.untilMs <= nowMs) dropLease(leaseId);
  };
  const enter = async (operation: string): Promise<void> => {
    counts[operation] = (counts[operation] ?? 0) + 1;
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    expireLeases();
    if (faults.isDown) throw errors.fail('storeUnavailable', 'the stand-in is down');
  };
  const checkPrefix = (prefix: string): void => {
    const { refusedPrefix } = faults;
    if (refusedPrefix !== undefined && prefix.startsWith(refusedPrefix)) {
      throw errors.fail('storeUnavailable', `the stand-in refuses reads of ${prefix}`);
    }
  };
  const checkSizes = ({ puts }: recordStore.Transaction): void => {
    const tooLarge = puts.find((it) => Buffer.byteLength(it.value) > faults.maxValueBytes);
    if (tooLarge === undefined) return;
    throw new store.StoreRefused(`the value of ${tooLarge.key} is too large`);
  };
  const entryOf = (key: string): store.StoreEntry | undefined => {
    const stored = values.get(key);
    return stored === undefined
      ? undefined
      : { key, value: stored.value, revision: stored.revision };
  };
  const entriesOf = (prefix: string): store.StoreEntry[] =>
    [...values.keys()]
      .filter((key) => key.startsWith(prefix))
      .sort()
      .map((key) => entryOf(key))
      .filter((it) => it !== undefined);
  const swap = (request: store.CompareAndSwap): store.SwapResult => {
    const current = entryOf(request.key);
    if ((current?.revision ?? store.ABSENT_REVISION) !== request.expectedRevision) {
      return { isSwapped: false, current };
    }
    if (request.leaseId !== undefined && !leases.has(request.leaseId)) {
      return { isSwapped: false, current };
    }
    if (request.value === null) {
      remove(request.key);
      return { isSwapped: true, revision };
    }
    record(request.key);
    values.set(request.key, { value: request.value, revision, leaseId: request.leaseId });
    return { isSwapped: true, revision };
  };
  const change = (transaction: recordStore.Transaction): recordStore.TransactionResult => {
    const { conditions, puts, removes, omitsCurrent } = transaction;
    const isMet = conditions.every(
      (it) => (entryOf(it.key)?.revision ?? store.ABSENT_REVISION) === it.revision,
    );
    const shown = omitsCurrent ? [] : conditions;
    const current = shown.map((it) => entryOf(it.key)).filter((it) => it !== undefined);
    if (!isMet) return { isCommitted: false, current, isLeaseGone: false };
    const isLeaseGone = puts.some((it) => it.leaseId !== undefined && !leases.has(it.leaseId));
    if (isLeaseGone) return { isCommitted: false, current: [], isLeaseGone };
    // All changes of a transaction share one revision.
    revision += 1;
    for (const { key, value, leaseId } of puts) values.set(key, { value, revision, leaseId });
    const removed = removes.filter((key) => values.delete(key));
    [...puts.map(({ key }) => key), ...removed].forEach(recordChange);
    return { isCommitted: true, revision };
  };
  const changesAfter = (prefix: string, afterRevision: number): store.WatchResult | undefined => {
    if (afterRevision < forgottenRevision) {
      return { entries: [], deletedKeys: [], revision, isGap: true };
    }
    const keys = new Set(
      changes
        .filter((it) => it.revision > afterRevision && it.key.startsWith(prefix))
        .map((it) => it.key),
    );
    if (keys.size === 0) return undefined;
    const entries = [...keys].map((key) => entryOf(key)).filter((it) => it !== undefined);
    const deletedKeys = [...keys].filter((key) => !values.has(key));
    return { entries, deletedKeys, revision, isGap: false };
  };
  const waitForChange = async (waitMs: number, signal: AbortSignal): Promise<void> => {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        void timer.dispose();
        waiters.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      const timer = timeSource.after(waitMs, wake);
      waiters.add(wake);
      signal.addEventListener('abort', wake);
    });
  };
  const watch = async (
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<store.WatchResult> => {
    const untilMs = timeSource.monotonicMs() + waitMs;
    if (faults.areWatchesLost) {
      await sleep(waitMs + WATCH_SLACK_MS);
      throw errors.fail('storeUnavailable', 'the stand-in never answers this watch');
    }
    if (faults.skipNextWatch) {
      faults.skipNextWatch = false;
      return { entries: [], deletedKeys: [], revision, isGap: true };
    }
    for (;;) {
      expireLeases();
      const seen = faults.areWatchesSilent ? undefined : changesAfter(prefix, afterRevision);
      if (seen !== undefined) return seen;
      const leftMs = untilMs - timeSource.monotonicMs();
      if (leftMs <= 0 || signal.aborted) {
        return { entries: [], deletedKeys: [], revision: afterRevision, isGap: false };
      }
      await waitForChange(Math.min(leftMs, WATCH_POLL_MS), signal);
    }
  };
  return {
    faults,
    calls: () => ({ ...counts }),
    expireLeases,
    get: async (key) => {
      await enter('get');
      return entryOf(key);
    },
    list: async (prefix) => {
      await enter('list');
      checkPrefix(prefix);
      return { entries: entriesOf(prefix), revision };
    },
    compareAndSwap: async (request) => {
      await enter('cas');
      if ((request.value?.length ?? 0) > store.MAX_VALUE_BYTES) {
        throw errors.fail('tooLarge', `the value of ${request.key} is above a megabyte`);
      }
      const result = swap(request);
      if (faults.loseWriteAnswers > 0) {
        faults.loseWriteAnswers -= 1;
        throw new store.StoreOutcomeUnknown('the stand-in lost the answer');
      }
      return result;
    },
    transact: async (transaction) => {
      await enter('transact');
      checkSizes(transaction);
      if (faults.delayTransactions > 0) {
        faults.delayTransactions -= 1;
        timeSource.after(faults.lateByMs, () => change(transaction));
        throw new store.StoreOutcomeUnknown('the stand-in takes its time');
      }
      const result = change(transaction);
      if (faults.loseWriteAnswers > 0) {
        faults.loseWriteAnswers -= 1;
        throw new store.StoreOutcomeUnknown('the stand-in lost the answer');
      }
      return result;
    },
    grantLease: async (ttlMs) => {
      await enter('grantLease');
      leaseCount += 1;
      const leaseId = `lease-${leaseCount}`;
      leases.set(leaseId, { ttlMs, untilMs: timeSource.monotonicMs() + ttlMs });
      return leaseId;
    },
    renewLease: async (leaseId) => {
      await enter('renewLease');
      const lease = leases.get(leaseId);
      if (lease === undefined) return false;
      lease.untilMs = timeSource.monotonicMs() + lease.ttlMs;
      return true;
    },
    revokeLease: async (leaseId) => {
      await enter('revokeLease');
      dropLease(leaseId);
    },
    watch: async (prefix, afterRevision, waitMs, signal) => {
      await enter('watch');
      checkPrefix(prefix);
      if (signal.aborted) throw errors.fail('storeUnavailable', 'the watch was withdrawn');
      return watch(prefix, afterRevision, waitMs, signal);
    },
  };
};
