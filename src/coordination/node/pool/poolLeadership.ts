/**
 * Leader election of the pools: a leased record names the leader, and an epoch that only increases is its fencing
 * token. Both are written in one transaction.
 *
 * Guards against a leader that was paused: it counts its lease from before the renewal was sent, by whichever clock
 * advanced more. The monotonic clock stops in a suspended machine; both clocks advance while a process is frozen.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as random from '../../../base/common/random.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';

/** The leadership record. */
export interface LeaderRecord {
  readonly holderId: string;
  /** Address of the leader for other processes. */
  readonly url: string;
  readonly epoch: number;
  /** Chosen by the writer, which recognizes its own write by it after a lost answer. */
  readonly writeId: string;
  /** The store's lease that the record is attached to. */
  readonly leaseId: string;
  /** Identifies one incarnation of the holder's process. */
  readonly bootId: string;
}

/** One term of leadership. */
export interface Term {
  readonly epoch: number;
  /** The leased record with its revision; every write of the leader is conditional on it. */
  readonly condition: recordStore.Condition;
  /** Whether the lease certainly has not expired. */
  readonly isLeaseValid: () => boolean;
}

/** Dependencies of a candidate. */
export interface LeadershipOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly log: logging.Log;
  readonly newId: () => string;
  readonly holderId: string;
  /** Address at which this process listens. */
  readonly url: string;
  /** Identifies this incarnation of the process. */
  readonly bootId: string;
  readonly leaseMs: number;
  readonly onDidGain: (term: Term) => void;
  readonly onDidLose: (reason: string) => void;
}

/** A candidate, which may be the leader. */
export interface Leadership extends disposable.Disposable {
  /** The current leader, as far as is known. */
  readonly leader: () => LeaderRecord | undefined;
  /** Releases the leadership, so that another process can take over immediately. */
  readonly release: () => Promise<void>;
  /** Steps down because the store's state contradicts this process's state, and revokes the lease. */
  readonly abandon: (reason: string) => void;
}

/** Renewals per lease duration: three may fail before the lease expires. */
const RENEWALS_PER_LEASE = 4;

/** Time-out of a renewal, as a share of the lease: later the next renewal is due. */
const RENEW_TIMEOUT_SHARE = 0.4;

/**
 * Wait of a follower's watch. A watch sent while the store is unavailable is never answered, and until it is
 * abandoned, this time plus the time for an answer later, no process takes a vacant leadership.
 */
const WATCH_MS = 1200;

/** Random spread of the candidates' attempts, so that they do not all write at the same time. */
const CAMPAIGN_SPREAD_MS = 120;

/** Delay after a failed call. */
const RETRY_MS = 250;

interface HeldLeadership {
  readonly term: Term;
  readonly leaseId: string;
}

const parseLeader = (text: string | undefined): LeaderRecord | undefined => {
  if (text === undefined) return undefined;
  return JSON.parse(text) as LeaderRecord;
};

/**
 * @param options - what leadership needs
 * @returns a candidate that campaigns until it is disposed
 */
export const createLeadership = (options: LeadershipOptions): Leadership => {
  const { store, clock: time, log } = options;
  let isDisposed = false;
  let held: HeldLeadership | undefined;
  let known: LeaderRecord | undefined;
  let validUntilMs = 0;
  let validUntilWallMs = 0;
  /** The last takeover attempt, whose answer may have been lost. */
  let attempt: { readonly record: LeaderRecord; readonly leaseId: string } | undefined;
  const aborter = new AbortController();

  const recordRenewal = (sentAtMs: number, sentAtWallMs: number): void => {
    validUntilMs = sentAtMs + options.leaseMs;
    validUntilWallMs = sentAtWallMs + options.leaseMs;
  };
  const isLeaseValid = (): boolean =>
    held !== undefined && time.monotonicMs() < validUntilMs && time.wallMs() < validUntilWallMs;
  const lose = (reason: string): void => {
    if (held === undefined) return;
    held = undefined;
    known = undefined;
    log('warn', 'leadershipLost', { reason });
    options.onDidLose(reason);
  };
  const endLease = async (leaseId: string): Promise<void> => {
    try {
      await store.revokeLease(leaseId);
    } catch (thrown) {
      // The lease expires by itself; this only delays the next leader.
      log('warn', 'leaseEndFailed', { reason: errors.normalize(thrown).message });
    }
  };

  const gain = (record: LeaderRecord, leaseId: string, revision: number): void => {
    const condition = { key: poolKeys.LEADER, revision };
    held = { leaseId, term: { epoch: record.epoch, condition, isLeaseValid } };
    known = record;
    log('info', 'leadershipGained', { epoch: record.epoch, revision });
    options.onDidGain(held.term);
  };

  const tryTakeover = async (epochRevision: number, lastEpoch: number): Promise<void> => {
    const sentAtMs = time.monotonicMs();
    const sentAtWallMs = time.wallMs();
    const leaseId = await store.grantLease(options.leaseMs);
    const { holderId, url, bootId } = options;
    const epoch = lastEpoch + 1;
    const record = { holderId, url, bootId, epoch, writeId: options.newId(), leaseId };
    attempt = { record, leaseId };
    const result = await store.transact({
      conditions: [
        { key: poolKeys.LEADER, revision: 0 },
        { key: poolKeys.EPOCH, revision: epochRevision },
      ],
      puts: [
        { key: poolKeys.LEADER, value: JSON.stringify(record), leaseId },
        { key: poolKeys.EPOCH, value: String(record.epoch) },
      ],
      removes: [],
    });
    if (!result.isCommitted || isDisposed) return;
    recordRenewal(sentAtMs, sentAtWallMs);
    gain(record, leaseId, result.revision);
  };

  const renew = async (current: HeldLeadership): Promise<void> => {
    const sentAtMs = time.monotonicMs();
    const sentAtWallMs = time.wallMs();
    const isRenewed = await store.renewLease(
      current.leaseId,
      options.leaseMs * RENEW_TIMEOUT_SHARE,
    );
    if (held !== current) return;
    if (isRenewed) recordRenewal(sentAtMs, sentAtWallMs);
    else lose('the lease has expired');
  };

  const lead = async (current: HeldLeadership): Promise<void> => {
    while (held === current && !isDisposed) {
      if (isLeaseValid()) await clock.sleep(time, options.leaseMs / RENEWALS_PER_LEASE);
      try {
        if (held === current) await renew(current);
      } catch (thrown) {
        // The lease may have expired; once it is uncertain, no task leases are granted until a renewal succeeds.
        log('warn', 'leaseRenewalFailed', { reason: errors.normalize(thrown).message });
        await clock.sleep(time, RETRY_MS);
      }
    }
  };

  /**
   * Whether the leader is a previous incarnation of this process, at the same address and with the same id: a killed
   * process restarts in less than its lease. That incarnation is gone and neither grants nor writes any more.
   * Without this check there is no leader for the rest of the lease, and urgent work of a second is late.
   */
  const isPreviousIncarnation = ({ holderId, url, bootId }: LeaderRecord): boolean =>
    holderId === options.holderId && url === options.url && bootId !== options.bootId;

  /** @returns the revision up to which the records were read, if another process leads */
  const campaign = async (): Promise<number | undefined> => {
    const { entries, revision } = await store.list(poolKeys.LEADERSHIP);
    const leader = entries.find((it) => it.key === poolKeys.LEADER);
    known = parseLeader(leader?.value);
    if (known !== undefined && isPreviousIncarnation(known)) {
      log('info', 'formerLeaseEnded', { epoch: known.epoch, boot: known.bootId });
      await store.revokeLease(known.leaseId);
    } else if (leader !== undefined) {
      if (attempt === undefined || known?.writeId !== attempt.record.writeId) return revision;
      // This process's own write, whose answer was lost: the leadership is certain after its first renewal.
      gain(attempt.record, attempt.leaseId, leader.revision);
      return undefined;
    }
    const epoch = entries.find((it) => it.key === poolKeys.EPOCH);
    await tryTakeover(epoch?.revision ?? 0, Number(epoch?.value ?? 0));
    return undefined;
  };

  const waitForVacancy = async (afterRevision: number): Promise<void> => {
    let revision = afterRevision;
    while (!isDisposed) {
      const seen = await store.watch(poolKeys.LEADERSHIP, revision, WATCH_MS, aborter.signal);
      if (seen.isGap || seen.deletedKeys.includes(poolKeys.LEADER)) return;
      const leader = seen.entries.find((it) => it.key === poolKeys.LEADER);
      if (leader !== undefined) known = parseLeader(leader.value);
      revision = seen.revision;
    }
  };

  const run = async (): Promise<void> => {
    while (!isDisposed) {
      try {
        const revision = await campaign();
        if (held !== undefined) await lead(held);
        else if (revision !== undefined) await waitForVacancy(revision);
        if (!isDisposed) await clock.sleep(time, options.random() * CAMPAIGN_SPREAD_MS);
      } catch (thrown) {
        if (!isDisposed) {
          log('warn', 'campaignFailed', { reason: errors.normalize(thrown).message });
          await clock.sleep(time, RETRY_MS);
        }
      }
    }
  };
  void run();

  return {
    leader: () => known,
    release: async () => {
      isDisposed = true;
      aborter.abort();
      const current = held;
      held = undefined;
      if (current !== undefined) await endLease(current.leaseId);
    },
    abandon: (reason) => {
      const current = held;
      attempt = undefined;
      lose(reason);
      if (current !== undefined) void endLease(current.leaseId);
    },
    dispose: () => {
      isDisposed = true;
      held = undefined;
      aborter.abort();
    },
  };
};
