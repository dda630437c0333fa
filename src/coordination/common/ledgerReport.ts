/**
 * Flat rows and sums of the ledger, for display and spreadsheets.
 */
import * as ledgerEntry from '../../state/common/ledgerEntry.js';

/** Stored ledger of one cell: recent hours and older days. */
export interface CellLedger {
  readonly cell: string;
  readonly hours: readonly ledgerEntry.LedgerHour[];
  readonly days: readonly ledgerEntry.LedgerDay[];
}

/** One entry with its cell and period. */
export interface LedgerRow extends ledgerEntry.LedgerEntry {
  readonly cell: string;
  readonly fromMs: number;
  /** Length of the hour or day. */
  readonly periodMs: number;
}

/** Selects rows. */
export interface LedgerFilter {
  readonly customerId?: string | undefined;
  /** Includes hours and days that begin at or after this. */
  readonly fromMs: number;
  /** Includes hours and days that begin before this. */
  readonly toMs: number;
}

/** Dimension by which rows are summed. */
export const LedgerGrouping = { customer: 'customer', job: 'job', reason: 'reason' } as const;

/** One of the values of {@link LedgerGrouping}. */
export type LedgerGrouping = (typeof LedgerGrouping)[keyof typeof LedgerGrouping];

const DAY_MS = ledgerEntry.HOUR_MS * ledgerEntry.HOURS_PER_DAY;

/**
 * Omits hours that a day already includes: the roll-up writes the day before it deletes its hours.
 *
 * @param books - the ledger as read from the store
 * @returns the ledger with each hour once
 */
export const withoutDuplicateHours = (books: CellLedger): CellLedger => {
  const rolled = new Set(books.days.flatMap((it) => it.hours.map(({ hour }) => hour)));
  return { ...books, hours: books.hours.filter((it) => !rolled.has(it.hour)) };
};

/**
 * @param books - ledger of a cell
 * @param filter - selects the rows
 * @returns the rows, days first
 */
export const rowsOf = (books: CellLedger, filter: LedgerFilter): readonly LedgerRow[] => {
  const { cell, days, hours } = withoutDuplicateHours(books);
  const periods = [
    ...days.map((it) => ({ fromMs: it.day * DAY_MS, periodMs: DAY_MS, entries: it.entries })),
    ...hours.map(({ hour, entries }) => ({
      fromMs: hour * ledgerEntry.HOUR_MS,
      periodMs: ledgerEntry.HOUR_MS,
      entries,
    })),
  ];
  return periods
    .filter((it) => it.fromMs >= filter.fromMs && it.fromMs < filter.toMs)
    .flatMap(({ fromMs, periodMs, entries }) =>
      entries.map((it) => ({ cell, fromMs, periodMs, ...it })),
    )
    .filter((it) => filter.customerId === undefined || it.customerId === filter.customerId);
};

/** Summed time of one group. */
export interface LedgerSum {
  readonly cell: string;
  readonly customerId: string;
  readonly jobId: string;
  readonly reason: string;
  readonly ruleId: string;
  readonly acceleratorMs: number;
}

/**
 * @param rows - rows of any cells
 * @param grouping - customer, job or reason; always also by cell, reason and rule
 * @returns the sums, the largest first
 */
export const sumBy = (
  rows: readonly LedgerRow[],
  grouping: LedgerGrouping,
): readonly LedgerSum[] => {
  const sums = new Map<string, LedgerSum>();
  for (const { cell, customerId, jobId, reason, ruleId, acceleratorMs } of rows) {
    const isByReason = grouping === LedgerGrouping.reason;
    const heading = {
      cell,
      customerId: isByReason ? '' : customerId,
      jobId: grouping === LedgerGrouping.job ? jobId : '',
      reason,
      ruleId,
    };
    const key = JSON.stringify(heading);
    const before = sums.get(key)?.acceleratorMs ?? 0;
    sums.set(key, { ...heading, acceleratorMs: before + acceleratorMs });
  }
  return [...sums.values()].sort((a, b) => b.acceleratorMs - a.acceleratorMs);
};
