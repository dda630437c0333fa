/**
 * Which job each accelerator of a cell is allocated to at one instant, and why. An accelerator
 * without a job is attributed to a reason derived from its worker's health.
 *
 * Capacity is the configured capacity of the cell, or what is present where that is more. A lost
 * worker therefore counts as unreachable until another replaces it, since it is paid for; a
 * replaced one no longer counts, so that VMs that come and go add no capacity.
 */
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';
import type * as worker from '../../state/common/worker.js';

/** Capacity and health of a worker, as input of the ledger. */
export interface LedgerWorker {
  readonly workerId: string;
  readonly accelerators: number;
  readonly health: worker.WorkerHealth;
}

/** Heading of a ledger entry: all its fields except the time. */
export type Heading = Omit<ledgerEntry.LedgerEntry, 'acceleratorMs'>;

/** State of a cell at one instant. */
export interface CellAllocations {
  readonly workers: readonly LedgerWorker[];
  readonly jobs: readonly job.JobRecord[];
  readonly configVersion: number;
  /** Configured capacity of the cell; that of the workers where undefined. */
  readonly configuredAccelerators?: number;
}

/** Accelerators under one heading. */
export interface HeadingAllocation {
  readonly heading: Heading;
  readonly accelerators: number;
}

/** All accelerators of a cell by heading. */
export interface AllocationCount {
  readonly byHeading: ReadonlyMap<string, HeadingAllocation>;
  readonly capacity: number;
  /** Accelerators allocated to two jobs; the second allocation is not counted. */
  readonly conflicts: number;
}

const REASON_OF_HEALTH = {
  ready: job.HoldReason.idle,
  leaving: job.HoldReason.idle,
  quarantined: job.HoldReason.quarantined,
  unreachable: job.HoldReason.unreachable,
} as const satisfies Record<worker.WorkerHealth, job.HoldReason>;

const reasonOf = (record: job.JobRecord): job.HoldReason => {
  if (record.state === job.JobState.stopping) {
    const { stopCause } = record;
    const isGrace = stopCause === job.StopCause.reclaimed || stopCause === job.StopCause.compacted;
    if (isGrace) return job.HoldReason.reclaimGrace;
    if (stopCause !== job.StopCause.cancelled) return job.HoldReason.lostToFailure;
  }
  return record.spec.claim === job.Claim.guaranteed
    ? job.HoldReason.guarantee
    : job.HoldReason.spare;
};

/**
 * @param it - a heading
 * @returns its map key
 */
export const headingKey = (it: Heading): string =>
  [it.reason, it.customerId, it.jobId, it.attempt, it.ruleId, it.configVersion].join(' ');

const headingOfJob = (record: job.JobRecord, configVersion: number): Heading => ({
  customerId: record.spec.customerId,
  jobId: record.spec.jobId,
  attempt: record.attempt,
  reason: reasonOf(record),
  ruleId: record.ruleId ?? '',
  configVersion,
});

const unallocatedHeading = (reason: job.HoldReason, configVersion: number): Heading => ({
  customerId: '',
  jobId: '',
  attempt: 0,
  reason,
  ruleId: '',
  configVersion,
});

/** Heading of each allocated accelerator, by worker and index. */
const holdersOf = (
  jobs: readonly job.JobRecord[],
): { readonly holders: ReadonlyMap<string, ReadonlyMap<number, Heading>>; conflicts: number } => {
  const holders = new Map<string, Map<number, Heading>>();
  let conflicts = 0;
  for (const record of jobs) {
    const heading = headingOfJob(record, 0);
    for (const place of record.placement) {
      const ofWorker = holders.get(place.workerId) ?? new Map<number, Heading>();
      holders.set(place.workerId, ofWorker);
      for (const index of place.accelerators) {
        if (ofWorker.has(index)) conflicts += 1;
        else ofWorker.set(index, heading);
      }
    }
  }
  return { holders, conflicts };
};

/**
 * @param holdings - state of the cell at one instant
 * @returns accelerators by heading; they add up to the capacity
 */
export const countAllocations = (holdings: CellAllocations): AllocationCount => {
  const held = new Map<string, HeadingAllocation>();
  const add = (heading: Heading, accelerators: number): void => {
    if (accelerators === 0) return;
    const versioned = { ...heading, configVersion: holdings.configVersion };
    const key = headingKey(versioned);
    const before = held.get(key)?.accelerators ?? 0;
    held.set(key, { heading: versioned, accelerators: before + accelerators });
  };
  const unallocated = (reason: job.HoldReason): Heading => unallocatedHeading(reason, 0);
  const { holders, conflicts } = holdersOf(holdings.jobs);
  let present = 0;
  let lost = 0;
  for (const ofWorker of holders.values()) {
    present += ofWorker.size;
    for (const heading of ofWorker.values()) add(heading, 1);
  }
  for (const it of holdings.workers) {
    const free = Math.max(0, it.accelerators - (holders.get(it.workerId)?.size ?? 0));
    const reason = REASON_OF_HEALTH[it.health];
    if (reason === job.HoldReason.unreachable) lost += free;
    else {
      present += free;
      add(unallocated(reason), free);
    }
  }
  const capacity = Math.max(present, holdings.configuredAccelerators ?? present + lost);
  add(unallocated(job.HoldReason.unreachable), capacity - present);
  return { byHeading: held, capacity, conflicts };
};

/**
 * @param record - the active configuration, if any
 * @param cell - availability zone
 * @returns the configured capacity of the cell, as a part of {@link CellAllocations}
 */
export const configuredCapacity = (
  record: configuration.ConfigurationRecord | undefined,
  cell: string,
): Pick<CellAllocations, 'configuredAccelerators'> => {
  const found = record?.document.cells.find((it) => it.cell === cell);
  if (found === undefined) return {};
  return { configuredAccelerators: found.workers * found.acceleratorsPerWorker };
};

/** Name of the decision after which a placement is committed. */
const PLACED = 'placed';

/**
 * @param record - a job with an allocation
 * @returns time of its allocation, as far as is known from its record
 */
export const allocatedSinceMs = (record: job.JobRecord): number => {
  const placed = record.decisions.filter((it) => it.what === PLACED).at(-1);
  return placed?.atMs ?? record.startedAtMs ?? 0;
};

/**
 * Reconstructs a time in which the cell had no leader. Jobs are committed before they start, so a
 * job that the store shows as placed held its accelerators; the state of all others is unknown.
 *
 * @param holdings - the state that a new leader reads from the store
 * @param atMs - an instant without a leader
 * @returns the state at that instant
 */
export const unobservedAllocations = (
  holdings: CellAllocations,
  atMs: number,
): CellAllocations => ({
  ...holdings,
  workers: holdings.workers.map((it) => ({ ...it, health: 'unreachable' })),
  jobs: holdings.jobs.filter((it) => allocatedSinceMs(it) <= atMs),
});
