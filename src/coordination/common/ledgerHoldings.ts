/**
 * Who holds each accelerator of a cell at one moment, and why. Every accelerator has one holder:
 * a job, or nobody with the reason that its worker's health gives.
 *
 * Capacity is what operators configured for the cell, or what is there where that is more. A lost
 * worker therefore stays on the books as unreachable until another replaces it, which is what is
 * paid for; a replaced one leaves the books, so that VMs that come and go add nothing.
 */
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';
import type * as worker from '../../state/common/worker.js';

/** A worker's capacity, as the ledger sees it. */
export interface BookWorker {
  readonly workerId: string;
  readonly accelerators: number;
  readonly health: worker.WorkerHealth;
}

/** What accelerator time is booked under. */
export type Heading = Omit<ledgerEntry.LedgerEntry, 'acceleratorMs'>;

/** What is held at one moment. */
export interface Holdings {
  readonly workers: readonly BookWorker[];
  readonly jobs: readonly job.JobRecord[];
  readonly configVersion: number;
  /** The cell's capacity by the configuration; what the workers have where it is not given. */
  readonly configuredAccelerators?: number;
}

/** Accelerators under one heading. */
export interface Held {
  readonly heading: Heading;
  readonly accelerators: number;
}

/** All accelerators of a cell, each under one heading. */
export interface Count {
  readonly held: ReadonlyMap<string, Held>;
  readonly capacity: number;
  /** Accelerators that two jobs claim; the second claim is not booked. */
  readonly conflicts: number;
}

const HOLD_HEADINGS = {
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
 * @returns it as a key
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

const headingOfNobody = (reason: job.HoldReason, configVersion: number): Heading => ({
  customerId: '',
  jobId: '',
  attempt: 0,
  reason,
  ruleId: '',
  configVersion,
});

/** Each accelerator that a job holds, by worker and index, with the job. */
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
 * @param holdings - what is held at one moment
 * @returns every accelerator of the cell under one heading; they add up to the capacity
 */
export const countHoldings = (holdings: Holdings): Count => {
  const held = new Map<string, Held>();
  const add = (heading: Heading, accelerators: number): void => {
    if (accelerators === 0) return;
    const versioned = { ...heading, configVersion: holdings.configVersion };
    const key = headingKey(versioned);
    const before = held.get(key)?.accelerators ?? 0;
    held.set(key, { heading: versioned, accelerators: before + accelerators });
  };
  const nobody = (reason: job.HoldReason): Heading => headingOfNobody(reason, 0);
  const { holders, conflicts } = holdersOf(holdings.jobs);
  let present = 0;
  let lost = 0;
  for (const ofWorker of holders.values()) {
    present += ofWorker.size;
    for (const heading of ofWorker.values()) add(heading, 1);
  }
  for (const it of holdings.workers) {
    const free = Math.max(0, it.accelerators - (holders.get(it.workerId)?.size ?? 0));
    const reason = HOLD_HEADINGS[it.health];
    if (reason === job.HoldReason.unreachable) lost += free;
    else {
      present += free;
      add(nobody(reason), free);
    }
  }
  const capacity = Math.max(present, holdings.configuredAccelerators ?? present + lost);
  add(nobody(job.HoldReason.unreachable), capacity - present);
  return { held, capacity, conflicts };
};

/**
 * @param record - the configuration in force, if any
 * @param cell - availability zone
 * @returns the cell's capacity by the configuration, as a part of {@link Holdings}
 */
export const configuredCapacity = (
  record: configuration.ConfigurationRecord | undefined,
  cell: string,
): Pick<Holdings, 'configuredAccelerators'> => {
  const found = record?.document.cells.find((it) => it.cell === cell);
  if (found === undefined) return {};
  return { configuredAccelerators: found.workers * found.acceleratorsPerWorker };
};

/** Name of the decision after which a placement is committed. */
const PLACED = 'placed';

/**
 * @param record - a job that holds accelerators
 * @returns since when it may have held them, as far as its record tells
 */
export const heldSinceMs = (record: job.JobRecord): number => {
  const placed = record.decisions.filter((it) => it.what === PLACED).at(-1);
  return placed?.atMs ?? record.startedAtMs ?? 0;
};

/**
 * What can be said of a time in which nobody led the cell: jobs are committed before they start, so
 * a job that the store shows as placed held its accelerators; of all others nobody can say.
 *
 * @param holdings - as a new leader reads them from the store
 * @param atMs - a moment of the time without a leader
 * @returns what was held then
 */
export const unwitnessed = (holdings: Holdings, atMs: number): Holdings => ({
  ...holdings,
  workers: holdings.workers.map((it) => ({ ...it, health: 'unreachable' })),
  jobs: holdings.jobs.filter((it) => heldSinceMs(it) <= atMs),
});
