/**
 * Records accelerator time in the ledger by holder and reason. Pure: allocations and a time span go
 * in, entries come out that always add up to capacity times time.
 */
import * as ledgerEntry from '../../state/common/ledgerEntry.js';

import * as ledgerAllocations from './ledgerAllocations.js';

/** An hour being recorded, with its entries by heading so that adding a span is cheap. */
export interface OpenHour extends Omit<ledgerEntry.LedgerHour, 'entries'> {
  readonly entries: ReadonlyMap<string, ledgerEntry.LedgerEntry>;
}

/** Hours being recorded, by hour. */
export type OpenHours = ReadonlyMap<number, OpenHour>;

/**
 * @param hour - an hour being recorded
 * @returns its store record
 */
export const toRecord = (hour: OpenHour): ledgerEntry.LedgerHour => ({
  ...hour,
  entries: [...hour.entries.values()],
});

/**
 * @param record - the store record of an hour
 * @returns the hour, to which spans can be added
 */
export const fromRecord = (record: ledgerEntry.LedgerHour): OpenHour => ({
  ...record,
  entries: new Map(record.entries.map((it) => [ledgerAllocations.headingKey(it), it])),
});

/**
 * Separate headings in one hour; beyond it, jobs share an entry. With the longest ids an entry
 * takes about 430 bytes, so an hour stays below the store's megabyte whatever a burst of short jobs
 * does; at the target size a cell runs some hundred jobs in an hour.
 */
export const MAX_ENTRIES = 1600;

/** A time span during which the allocations did not change. */
export interface Span extends ledgerAllocations.CellAllocations {
  readonly cell: string;
  readonly epoch: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * @param atMs - milliseconds since the Unix epoch
 * @returns the hour it lies in
 */
export const hourOf = (atMs: number): number => Math.floor(atMs / ledgerEntry.HOUR_MS);

const fold = (heading: ledgerAllocations.Heading): ledgerAllocations.Heading => ({
  ...heading,
  jobId: heading.jobId === '' ? '' : ledgerEntry.FOLDED_JOB,
  attempt: 0,
});

/**
 * @param entries - entries so far, by heading; changed
 * @param heading - heading to add to
 * @param acceleratorMs - accelerator time to add
 */
const addEntry = (
  entries: Map<string, ledgerEntry.LedgerEntry>,
  heading: ledgerAllocations.Heading,
  acceleratorMs: number,
): void => {
  const isFull = entries.size >= MAX_ENTRIES && !entries.has(ledgerAllocations.headingKey(heading));
  const target = isFull ? fold(heading) : heading;
  const key = ledgerAllocations.headingKey(target);
  const before = entries.get(key)?.acceleratorMs ?? 0;
  entries.set(key, { ...target, acceleratorMs: before + acceleratorMs });
};

/**
 * @param lists - entries of several hours
 * @returns one list with the times of equal headings summed
 */
export const mergeEntries = (
  lists: readonly (readonly ledgerEntry.LedgerEntry[])[],
): readonly ledgerEntry.LedgerEntry[] => {
  const merged = new Map<string, ledgerEntry.LedgerEntry>();
  for (const { acceleratorMs, ...heading } of lists.flat()) {
    addEntry(merged, heading, acceleratorMs);
  }
  return [...merged.values()];
};

const addCapacity = (
  capacities: readonly ledgerEntry.CapacityTime[],
  accelerators: number,
  durationMs: number,
): readonly ledgerEntry.CapacityTime[] => {
  const known = capacities.find((it) => it.accelerators === accelerators)?.durationMs ?? 0;
  const others = capacities.filter((it) => it.accelerators !== accelerators);
  return [...others, { accelerators, durationMs: known + durationMs }];
};

const addSpan = (
  hour: OpenHour,
  count: ledgerAllocations.AllocationCount,
  spanMs: number,
): OpenHour => {
  const entries = new Map(hour.entries);
  for (const { heading, accelerators } of count.byHeading.values()) {
    addEntry(entries, heading, accelerators * spanMs);
  }
  return {
    ...hour,
    bookedUntilMs: hour.bookedUntilMs + spanMs,
    capacities: addCapacity(hour.capacities, count.capacity, spanMs),
    capacityAcceleratorMs: hour.capacityAcceleratorMs + count.capacity * spanMs,
    conflictingAcceleratorMs: hour.conflictingAcceleratorMs + count.conflicts * spanMs,
    entries,
  };
};

/**
 * @param owner - the cell and the epoch of its leader
 * @param atMs - start of recording
 * @returns an hour without entries
 */
export const openHour = (
  owner: { readonly cell: string; readonly epoch: number },
  atMs: number,
): OpenHour => ({
  cell: owner.cell,
  hour: hourOf(atMs),
  epoch: owner.epoch,
  bookedFromMs: atMs,
  bookedUntilMs: atMs,
  capacities: [],
  capacityAcceleratorMs: 0,
  conflictingAcceleratorMs: 0,
  entries: new Map(),
});

/**
 * Adds a span from where the hour's record ends: time already recorded is never recorded again, so
 * a span that overlaps it adds only the rest.
 *
 * @param book - the hours so far
 * @param span - wall time and the allocations throughout it
 * @returns the hours including the span, split at full hours
 */
export const recordSpan = (book: OpenHours, span: Span): OpenHours => {
  const next = new Map(book);
  const count = ledgerAllocations.countAllocations(span);
  let fromMs = Math.round(span.fromMs);
  const toMs = Math.round(span.toMs);
  while (fromMs < toMs) {
    const hour = hourOf(fromMs);
    const untilMs = Math.min(toMs, (hour + 1) * ledgerEntry.HOUR_MS);
    const known = next.get(hour) ?? openHour(span, fromMs);
    const newMs = untilMs - Math.max(fromMs, known.bookedUntilMs);
    if (newMs > 0) next.set(hour, { ...addSpan(known, count, newMs), epoch: span.epoch });
    fromMs = untilMs;
  }
  return next;
};

/**
 * Records a time without a leader, split where the store shows that a job was placed.
 *
 * @param book - the hours so far
 * @param span - the time, with the store's state at its end
 * @returns the hours including that time
 */
export const recordUnobserved = (book: OpenHours, span: Span): OpenHours => {
  const starts = span.jobs
    .map(ledgerAllocations.allocatedSinceMs)
    .filter((it) => it > span.fromMs && it < span.toMs);
  const edges = [...new Set([span.fromMs, ...starts, span.toMs])].sort((a, b) => a - b);
  let next = book;
  edges.slice(1).forEach((toMs, index) => {
    const fromMs = edges[index] ?? span.fromMs;
    next = recordSpan(next, {
      ...span,
      ...ledgerAllocations.unobservedAllocations(span, fromMs),
      fromMs,
      toMs,
    });
  });
  return next;
};

/**
 * @param hour - a recorded hour
 * @returns entries minus capacity in accelerator-milliseconds; 0 where the hour balances
 */
export const imbalanceOf = (hour: ledgerEntry.LedgerHour): number =>
  hour.entries.reduce((sum, it) => sum + it.acceleratorMs, 0) - hour.capacityAcceleratorMs;
