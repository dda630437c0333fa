/**
 * Limits the ledger's size in the store: hours older than three days are merged into one record a
 * day, and days are retained for {@link RETENTION_DAYS}. Both rules are documented for operators.
 *
 * Guards against a process that dies between writing the day and deleting its hours: the day lists
 * the hours merged into it, so a repeat adds only missing hours, and readers skip hours that the
 * day contains.
 */
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as ledgerEntry from '../../state/common/ledgerEntry.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as ledgerHours from '../common/ledgerHours.js';

/** Days for which hours are stored separately. */
export const HOURLY_RETENTION_DAYS = 3;

/** Retention of days: a year and a month, for the yearly audit. */
export const RETENTION_DAYS = 400;

/** Options of {@link rollUp}. */
export interface RollupOptions {
  readonly store: store.Store;
  readonly cell: string;
  readonly epoch: number;
  /** Wall time. */
  readonly nowMs: number;
}

interface StoredHour {
  readonly entry: store.StoreEntry;
  readonly hour: ledgerEntry.LedgerHour;
}

const dayOf = (hour: number): number => Math.floor(hour / ledgerEntry.HOURS_PER_DAY);

/**
 * @param day - the existing day record, if any
 * @param hours - hours of the day, some of which it may already contain
 * @param owner - the cell and the epoch of its leader
 * @returns the day with each hour included once
 */
export const mergeDay = (
  day: ledgerEntry.LedgerDay | undefined,
  hours: readonly ledgerEntry.LedgerHour[],
  owner: { readonly cell: string; readonly epoch: number; readonly day: number },
): ledgerEntry.LedgerDay => {
  const known = new Set(day?.hours.map((it) => it.hour));
  const missing = hours.filter((it) => !known.has(it.hour));
  const summaries = missing.map(
    ({ hour, bookedFromMs, bookedUntilMs, capacityAcceleratorMs, conflictingAcceleratorMs }) => ({
      hour,
      bookedFromMs,
      bookedUntilMs,
      capacityAcceleratorMs,
      conflictingAcceleratorMs,
    }),
  );
  return {
    ...owner,
    hours: [...(day?.hours ?? []), ...summaries].sort((a, b) => a.hour - b.hour),
    entries: ledgerHours.mergeEntries([day?.entries ?? [], ...missing.map((it) => it.entries)]),
  };
};

const decodeDay = (value: string): ledgerEntry.LedgerDay =>
  schemaIssues.decodeOrFail(ledgerEntry.LedgerDay, JSON.parse(value), 'ledger day');

const rollUpDay = async (
  options: RollupOptions,
  day: number,
  kept: readonly StoredHour[],
): Promise<void> => {
  const { store: target, cell, epoch } = options;
  const key = storeKeys.ledgerDayKey(cell, day);
  const current = await target.get(key);
  const known = current === undefined ? undefined : decodeDay(current.value);
  const hours = kept.map((it) => it.hour);
  const merged = mergeDay(known, hours, { cell, epoch, day });
  const result = await target.compareAndSwap({
    key,
    expectedRevision: current?.revision ?? store.ABSENT_REVISION,
    value: JSON.stringify(merged),
  });
  // Another process is rolling up the same day and deletes the hours.
  if (!result.isSwapped) return;
  for (const { entry } of kept) {
    const { key: hourKey, revision } = entry;
    await target.compareAndSwap({ key: hourKey, expectedRevision: revision, value: null });
  }
};

const dropOldDays = async (options: RollupOptions, today: number): Promise<void> => {
  const { entries } = await options.store.list(storeKeys.ledgerDaysPrefix(options.cell));
  const oldest = storeKeys.ledgerDayKey(options.cell, Math.max(0, today - RETENTION_DAYS));
  for (const { key, revision } of entries.filter((it) => it.key < oldest)) {
    await options.store.compareAndSwap({ key, expectedRevision: revision, value: null });
  }
};

/**
 * @param options - options
 * @returns the days that were rolled up
 * @throws AuburnliftError `storeUnavailable`; calling again is safe at any point
 */
export const rollUp = async (options: RollupOptions): Promise<readonly number[]> => {
  const { entries } = await options.store.list(storeKeys.ledgerPrefix(options.cell));
  const kept = entries.map((entry) => ({
    entry,
    hour: schemaIssues.decodeOrFail(ledgerEntry.LedgerHour, JSON.parse(entry.value), 'ledger hour'),
  }));
  const today = dayOf(ledgerHours.hourOf(options.nowMs));
  // The next leader continues from the newest record, so it is retained whatever its age.
  const newestDay = dayOf(kept.at(-1)?.hour.hour ?? 0);
  const byDay = new Map<number, StoredHour[]>();
  for (const it of kept) {
    const day = dayOf(it.hour.hour);
    if (day < today - HOURLY_RETENTION_DAYS && day !== newestDay) {
      byDay.set(day, [...(byDay.get(day) ?? []), it]);
    }
  }
  for (const [day, hours] of byDay) await rollUpDay(options, day, hours);
  if (byDay.size > 0) await dropOldDays(options, today);
  return [...byDay.keys()];
};
