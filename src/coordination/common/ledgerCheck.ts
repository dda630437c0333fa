/**
 * Checks that a cell's ledger balances: every hour adds up, and the hours follow each other without
 * a gap or an overlap.
 */
import * as ledgerEntry from '../../state/common/ledgerEntry.js';

import * as ledgerHours from './ledgerHours.js';

/** Kinds of inconsistency of an hour. */
export const LedgerFaultKind = {
  /** The entries do not add up to the capacity. */
  imbalance: 'imbalance',
  /** The capacity does not add up to the time. */
  capacityMismatch: 'capacityMismatch',
  /** Two jobs claimed one accelerator. */
  doubleHeld: 'doubleHeld',
  /** Time between two hours is not recorded. */
  hole: 'hole',
  /** The hour records time outside its bounds. */
  outside: 'outside',
} as const;

/** One of the values of {@link LedgerFaultKind}. */
export type LedgerFaultKind = (typeof LedgerFaultKind)[keyof typeof LedgerFaultKind];

/** One inconsistency. */
export interface LedgerFault {
  readonly kind: LedgerFaultKind;
  readonly cell: string;
  readonly hour: number;
  /** Deviation: accelerator-milliseconds, or milliseconds for `hole` and `outside`. */
  readonly offMs: number;
}

/**
 * @param hour - a recorded hour
 * @returns its own inconsistencies, without those relative to other hours
 */
export const checkHour = (hour: ledgerEntry.LedgerHour): readonly LedgerFault[] => {
  const faults: LedgerFault[] = [];
  const add = (kind: LedgerFaultKind, offMs: number): void => {
    if (offMs !== 0) faults.push({ kind, cell: hour.cell, hour: hour.hour, offMs });
  };
  const bookedMs = hour.bookedUntilMs - hour.bookedFromMs;
  const countedMs = hour.capacities.reduce((sum, it) => sum + it.durationMs, 0);
  const countedAcceleratorMs = hour.capacities.reduce(
    (sum, it) => sum + it.accelerators * it.durationMs,
    0,
  );
  const startMs = hour.hour * ledgerEntry.HOUR_MS;
  add(LedgerFaultKind.imbalance, ledgerHours.imbalanceOf(hour));
  add(LedgerFaultKind.capacityMismatch, hour.capacityAcceleratorMs - countedAcceleratorMs);
  add(LedgerFaultKind.outside, countedMs - bookedMs);
  add(LedgerFaultKind.outside, Math.max(0, startMs - hour.bookedFromMs));
  add(LedgerFaultKind.outside, Math.max(0, hour.bookedUntilMs - startMs - ledgerEntry.HOUR_MS));
  add(LedgerFaultKind.doubleHeld, hour.conflictingAcceleratorMs);
  return faults;
};

/** Bounds of an hour, stored by itself or rolled up into a day. */
type HourSpan = Pick<ledgerEntry.LedgerHour, 'hour' | 'bookedFromMs' | 'bookedUntilMs'>;

const checkOrder = (cell: string, spans: readonly HourSpan[]): readonly LedgerFault[] =>
  spans.slice(1).flatMap(({ hour, bookedFromMs }, index): LedgerFault[] => {
    const offMs = bookedFromMs - (spans[index]?.bookedUntilMs ?? 0);
    return offMs === 0 ? [] : [{ kind: LedgerFaultKind.hole, cell, hour, offMs }];
  });

const checkDay = (day: ledgerEntry.LedgerDay): readonly LedgerFault[] => {
  const capacity = day.hours.reduce((sum, it) => sum + it.capacityAcceleratorMs, 0);
  const conflicting = day.hours.reduce((sum, it) => sum + it.conflictingAcceleratorMs, 0);
  const booked = day.entries.reduce((sum, it) => sum + it.acceleratorMs, 0);
  const { cell } = day;
  const hour = day.day * ledgerEntry.HOURS_PER_DAY;
  const faults: readonly LedgerFault[] = [
    { kind: LedgerFaultKind.imbalance, cell, hour, offMs: booked - capacity },
    { kind: LedgerFaultKind.doubleHeld, cell, hour, offMs: conflicting },
  ];
  return faults.filter((it) => it.offMs !== 0);
};

/**
 * @param hours - hours of one cell in chronological order
 * @param days - days of the cell, into which older hours were rolled up
 * @returns all inconsistencies; empty where the ledger balances
 */
export const checkHours = (
  hours: readonly ledgerEntry.LedgerHour[],
  days: readonly ledgerEntry.LedgerDay[] = [],
): readonly LedgerFault[] => {
  const cell = hours[0]?.cell ?? days[0]?.cell ?? '';
  const spans = [...days.flatMap((it) => it.hours), ...hours];
  return [...days.flatMap(checkDay), ...hours.flatMap(checkHour), ...checkOrder(cell, spans)];
};
