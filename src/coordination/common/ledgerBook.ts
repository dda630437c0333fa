/**
 * Books accelerator time: who held what, for how long and why. Pure: holdings and a span of time go
 * in, entries come out, and the entries of a span always add up to capacity times time.
 */
import * as job from '../../state/common/job.js';
import * as ledgerEntry from '../../state/common/ledgerEntry.js';
import type * as worker from '../../state/common/worker.js';

/** A worker's capacity, as the ledger sees it. */
export interface BookWorker {
  readonly workerId: string;
  readonly accelerators: number;
  readonly health: worker.WorkerHealth;
}

/** Hours that are being booked, by hour. */
export type Book = ReadonlyMap<number, ledgerEntry.LedgerHour>;

type Heading = Omit<ledgerEntry.LedgerEntry, 'acceleratorMs'>;

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

const headingKey = (it: Heading): string =>
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

/** Accelerators under each heading now; together they are the capacity. */
const countHoldings = (
  workers: readonly BookWorker[],
  jobs: readonly job.JobRecord[],
  configVersion: number,
): ReadonlyMap<string, { heading: Heading; accelerators: number }> => {
  const counts = new Map<string, { heading: Heading; accelerators: number }>();
  const add = (heading: Heading, accelerators: number): void => {
    const key = headingKey(heading);
    const before = counts.get(key)?.accelerators ?? 0;
    counts.set(key, { heading, accelerators: before + accelerators });
  };
  const freeByWorker = new Map(workers.map((it) => [it.workerId, it.accelerators]));
  for (const record of jobs) {
    for (const held of record.placement) {
      const free = freeByWorker.get(held.workerId);
      if (free === undefined) continue;
      freeByWorker.set(held.workerId, free - held.accelerators.length);
      add(headingOfJob(record, configVersion), held.accelerators.length);
    }
  }
  for (const it of workers) {
    const free = freeByWorker.get(it.workerId) ?? 0;
    if (free > 0) add(headingOfNobody(HOLD_HEADINGS[it.health], configVersion), free);
  }
  return counts;
};

const hourOf = (atMs: number): number => Math.floor(atMs / ledgerEntry.HOUR_MS);

const addSpan = (
  hour: ledgerEntry.LedgerHour,
  holdings: ReturnType<typeof countHoldings>,
  capacity: number,
  spanMs: number,
): ledgerEntry.LedgerHour => {
  const entries = new Map(hour.entries.map((it) => [headingKey(it), it]));
  for (const [key, { heading, accelerators }] of holdings) {
    const before = entries.get(key)?.acceleratorMs ?? 0;
    entries.set(key, { ...heading, acceleratorMs: before + accelerators * spanMs });
  }
  return {
    ...hour,
    bookedUntilMs: hour.bookedUntilMs + spanMs,
    capacityAcceleratorMs: hour.capacityAcceleratorMs + capacity * spanMs,
    entries: [...entries.values()],
  };
};

/** What is booked over one span of time in which nothing changed. */
export interface Span {
  readonly cell: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly workers: readonly BookWorker[];
  readonly jobs: readonly job.JobRecord[];
  readonly configVersion: number;
}

/**
 * @param book - the hours so far
 * @param span - wall time and what was held throughout
 * @returns the book with the span in it, split at full hours
 */
export const bookSpan = (book: Book, span: Span): Book => {
  const next = new Map(book);
  const holdings = countHoldings(span.workers, span.jobs, span.configVersion);
  const capacity = span.workers.reduce((sum, it) => sum + it.accelerators, 0);
  let fromMs = Math.round(span.fromMs);
  const toMs = Math.round(span.toMs);
  while (fromMs < toMs) {
    const hour = hourOf(fromMs);
    const untilMs = Math.min(toMs, (hour + 1) * ledgerEntry.HOUR_MS);
    const known = next.get(hour) ?? {
      cell: span.cell,
      hour,
      bookedUntilMs: fromMs,
      capacityAcceleratorMs: 0,
      entries: [],
    };
    next.set(hour, addSpan(known, holdings, capacity, untilMs - fromMs));
    fromMs = untilMs;
  }
  return next;
};

/**
 * @param hour - a booked hour
 * @returns entries minus capacity in accelerator-milliseconds; 0 where the books balance
 */
export const imbalanceOf = (hour: ledgerEntry.LedgerHour): number =>
  hour.entries.reduce((sum, it) => sum + it.acceleratorMs, 0) - hour.capacityAcceleratorMs;
