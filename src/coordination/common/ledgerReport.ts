/**
 * Rows of the ledger as people and spreadsheets want them.
 */
import * as ledgerEntry from '../../state/common/ledgerEntry.js';

/** The books of one cell as they are kept: recent hours, older days. */
export interface CellBooks {
  readonly cell: string;
  readonly hours: readonly ledgerEntry.LedgerHour[];
  readonly days: readonly ledgerEntry.LedgerDay[];
}

/** One entry with where and when. */
export interface LedgerRow extends ledgerEntry.LedgerEntry {
  readonly cell: string;
  readonly fromMs: number;
  /** How long the hour or day is. */
  readonly periodMs: number;
}

/** Which rows are wanted. */
export interface LedgerFilter {
  readonly customerId?: string | undefined;
  /** Hours and days that begin at or after this. */
  readonly fromMs: number;
  /** Hours and days that begin before this. */
  readonly toMs: number;
}

/** What rows are added up by. */
export const LedgerGrouping = { customer: 'customer', job: 'job', reason: 'reason' } as const;

/** One of the values of {@link LedgerGrouping}. */
export type LedgerGrouping = (typeof LedgerGrouping)[keyof typeof LedgerGrouping];

const DAY_MS = ledgerEntry.HOUR_MS * ledgerEntry.HOURS_PER_DAY;

/**
 * Leaves out hours that a day already has: rolling up writes the day before it deletes the hours.
 *
 * @param books - as read from the store
 * @returns the books with each hour once
 */
export const distinct = (books: CellBooks): CellBooks => {
  const rolled = new Set(books.days.flatMap((it) => it.hours.map(({ hour }) => hour)));
  return { ...books, hours: books.hours.filter((it) => !rolled.has(it.hour)) };
};

/**
 * @param books - books of a cell
 * @param filter - which rows are wanted
 * @returns the rows in the order of time
 */
export const rowsOf = (books: CellBooks, filter: LedgerFilter): readonly LedgerRow[] => {
  const { cell, days, hours } = distinct(books);
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

/** Time added up under one heading. */
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
 * @param grouping - customer, job or reason; the reason and rule always stay apart
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
