/**
 * The leader's registry of its cell's workers: holds their state in memory, saves the inventory to
 * the store and decides whether the leader may grant leases.
 */
import type * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as store from '../../state/common/store.js';
import type * as worker from '../../state/common/worker.js';
import * as roster from '../common/workerRegistry.js';

import * as workerInventory from './workerInventory.js';

/** Options of {@link createCellWorkerRegistry}. */
export interface CellWorkerRegistryOptions {
  readonly cell: string;
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly leaseMs: () => number;
  /** Whether the leadership lease in the store is certainly still valid. */
  readonly isLeaseHeld: () => boolean;
  /** Called before a change of state that the ledger accounts for. */
  readonly onWillChange: () => void;
}

/** State of a worker's agent, from a report or a fence reply. */
export interface WorkerObservation {
  readonly bootId: string;
  readonly isLeaving: boolean;
  /** Uptime of the agent. */
  readonly uptimeMs: number;
  /** This leader's last stamp that the agent had received; undefined before the first. */
  readonly stampMs: number | undefined;
  /** Whether it is a report; only the reply to a report grants a lease. */
  readonly isReport: boolean;
}

/** Status of a worker, for operators. */
export interface WorkerStatus {
  readonly worker: worker.WorkerInfo;
  readonly health: worker.WorkerHealth;
  readonly healthReason: string;
}

/** Registry of the workers of one leader's cell. */
export interface CellWorkerRegistry {
  readonly load: () => Promise<void>;
  readonly get: (workerId: string) => roster.RegisteredWorker | undefined;
  readonly agentUrlOf: (workerId: string) => string | undefined;
  /** URLs of agents that have not accepted this leader's epoch. */
  readonly unfencedUrls: () => readonly string[];
  readonly statuses: () => WorkerStatus[];
  /** Records the state of an agent that has accepted this leader's epoch. */
  readonly recordWorker: (info: worker.WorkerInfo, seen: WorkerObservation) => void;
  /** Records that the agent's boot or epoch differs from the one that this leader fenced. */
  readonly markUnfenced: (workerId: string) => void;
  /** Records a missing reply: the worker gets no new work until its agent reports again. */
  readonly markUnreachable: (agentUrl: string) => void;
  readonly bootIdOf: (agentUrl: string) => string;
  /** Period at which agents must report. */
  readonly reportMs: () => number;
  /** Retries a failed save. */
  readonly retrySave: () => void;
  readonly recordCommandCount: (agentUrl: string, bootId: string, commandCount: number) => void;
  readonly quarantinedIds: () => ReadonlySet<string>;
  readonly noteQuarantine: (workerId: string, isQuarantined: boolean, reason: string) => boolean;
  /** @returns the lease granted with the reply to a report; 0 if the leader may not grant now */
  readonly grantLease: (workerId: string) => number;
  /** Ids of workers whose tasks' leases have all expired, so none of them can still run. */
  readonly lapsed: () => readonly string[];
  /** Warnings on workers without a response whose tasks still count as running, for operators. */
  readonly warnings: () => readonly string[];
}

/**
 * @param options - options
 * @returns an empty registry
 */
export const createCellWorkerRegistry = (
  options: CellWorkerRegistryOptions,
): CellWorkerRegistry => {
  const { clock: timeSource, leaseMs } = options;
  const entries = new Map<string, roster.RegisteredWorker>();
  const inventory = workerInventory.createWorkerInventory(options.store, options.cell);
  let majorityFencedAtMs: number | undefined;

  const nowMs = (): number => timeSource.monotonicMs();
  const authority = (): roster.Authority => ({
    isStoreLeaseHeld: options.isLeaseHeld(),
    voterSets: inventory.possibleWorkerSets(),
  });
  const recordInInventory = (info: worker.WorkerInfo): void => {
    if (inventory.record(info)) save();
  };
  const save = (): void => {
    void inventory.save().catch((thrown: unknown) => {
      options.log('warn', 'inventoryNotSaved', { reason: errors.normalize(thrown).message });
    });
  };
  /** Cached, since each job event reads it and it seldom changes. */
  let quarantined: ReadonlySet<string> = new Set();
  const reportMs = (): number => roster.reportPeriodMs(entries.size, leaseMs());
  const update = (agentUrl: string, change: Partial<roster.RegisteredWorker>): void => {
    for (const [workerId, entry] of entries) {
      if (entry.info.agentUrl === agentUrl) entries.set(workerId, { ...entry, ...change });
    }
  };
  const confirmedAtMs = (seen: WorkerObservation, before: number): number => {
    const isConfirmation =
      seen.stampMs !== undefined && seen.uptimeMs >= roster.votingDelayMs(leaseMs());
    return isConfirmation ? Math.max(before, seen.stampMs ?? before) : before;
  };
  const recordWorker = (info: worker.WorkerInfo, seen: WorkerObservation): void => {
    const known = entries.get(info.workerId);
    const isSameBoot = known?.bootId === seen.bootId;
    const neverMs = Number.NEGATIVE_INFINITY;
    const assumedLeaseUntilMs = nowMs() + roster.certainExpiryMs(leaseMs());
    options.onWillChange();
    entries.set(info.workerId, {
      isQuarantined: known?.isQuarantined ?? false,
      healthReason: known?.healthReason ?? '',
      commandCount: isSameBoot ? known.commandCount : 0,
      info,
      bootId: seen.bootId,
      isLeaving: seen.isLeaving,
      isFenced: true,
      // Only the reply to a report grants a lease, and a start without a lease would be rejected.
      lastReportMs: seen.isReport ? nowMs() : neverMs,
      // A boot that is new to this leader may hold a lease from the previous leader.
      leaseUntilMs: isSameBoot ? known.leaseUntilMs : assumedLeaseUntilMs,
      confirmedAtMs: confirmedAtMs(seen, isSameBoot ? known.confirmedAtMs : neverMs),
    });
    recordInInventory(info);
    const isMajorityNew = majorityFencedAtMs === undefined;
    if (isMajorityNew && roster.hasFencedMajority(entries, authority())) {
      majorityFencedAtMs = nowMs();
    }
  };
  const isLapsed = (entry: roster.RegisteredWorker): boolean =>
    roster.areLeasesExpired(
      entry,
      roster.previousLeasesEndMs(majorityFencedAtMs, leaseMs()),
      nowMs(),
    );
  const statuses = (): WorkerStatus[] =>
    [...entries.values()].map((it) => ({
      worker: it.info,
      health: roster.healthOf(it, nowMs(), reportMs()),
      healthReason: it.healthReason,
    }));
  return {
    load: async () => {
      for (const info of await inventory.load()) {
        entries.set(info.workerId, {
          info,
          bootId: '',
          isLeaving: false,
          isFenced: false,
          isQuarantined: false,
          healthReason: '',
          commandCount: 0,
          lastReportMs: Number.NEGATIVE_INFINITY,
          leaseUntilMs: Number.NEGATIVE_INFINITY,
          confirmedAtMs: Number.NEGATIVE_INFINITY,
        });
      }
    },
    get: (workerId) => entries.get(workerId),
    agentUrlOf: (workerId) => entries.get(workerId)?.info.agentUrl,
    unfencedUrls: () =>
      [...entries.values()].filter((it) => !it.isFenced).map((it) => it.info.agentUrl),
    statuses,
    recordWorker,
    markUnfenced: (workerId) => {
      const entry = entries.get(workerId);
      if (entry !== undefined) entries.set(workerId, { ...entry, isFenced: false });
    },
    markUnreachable: (agentUrl) => {
      options.onWillChange();
      update(agentUrl, { lastReportMs: Number.NEGATIVE_INFINITY });
    },
    bootIdOf: (agentUrl) =>
      [...entries.values()].find((it) => it.info.agentUrl === agentUrl)?.bootId ?? '',
    reportMs,
    retrySave: () => {
      if (inventory.hasUnsavedWorkers()) save();
    },
    recordCommandCount: (agentUrl, bootId, commandCount) => {
      // A reply of an earlier boot does not count the messages handled by the current one.
      for (const it of entries.values()) {
        const isCurrent = it.info.agentUrl === agentUrl && it.bootId === bootId;
        if (isCurrent && commandCount > it.commandCount) update(agentUrl, { commandCount });
      }
    },
    quarantinedIds: () => quarantined,
    noteQuarantine: (workerId, isQuarantined, reason) => {
      const entry = entries.get(workerId);
      if (entry === undefined) return false;
      options.onWillChange();
      const healthReason = isQuarantined ? reason : '';
      entries.set(workerId, { ...entry, isQuarantined, healthReason });
      quarantined = new Set(
        [...entries].filter(([, it]) => it.isQuarantined).map(([quarantinedId]) => quarantinedId),
      );
      return true;
    },
    grantLease: (workerId) => {
      const entry = entries.get(workerId);
      const mayGrant = roster.mayGrant(entries, authority(), nowMs(), leaseMs());
      if (entry === undefined || !mayGrant) return 0;
      const leaseUntilMs = nowMs() + roster.certainExpiryMs(leaseMs());
      entries.set(workerId, { ...entry, leaseUntilMs });
      return leaseMs();
    },
    lapsed: () => [...entries].filter(([, it]) => isLapsed(it)).map(([workerId]) => workerId),
    warnings: () =>
      [...entries.values()]
        .filter((it) => !it.isFenced && !isLapsed(it))
        .map((it) => `${it.info.workerId} has not answered: its tasks count as running`),
  };
};
