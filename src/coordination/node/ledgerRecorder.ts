/**
 * Records the ledger of a led cell: books each span between two changes and writes the hours.
 *
 * Guards against these failures:
 * - A leader dies: the next one sees the unwritten time as a gap after the last record, and books
 *   it from the jobs in the store as unwitnessed time.
 * - A previous leader still writes: each record carries its writer's epoch. Loading rewrites the
 *   last record, so the previous leader's next write conflicts, reads a higher epoch and stops.
 * - A reply is lost: the record is read back. A later conflict with a record of the own epoch can
 *   only be such a write, as an epoch has one writer; it is overwritten with everything booked.
 * - The store is down for hours: hours stay in memory until they are written, oldest first.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as metrics from '../../base/common/metrics.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as ledgerEntry from '../../state/common/ledgerEntry.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as ledgerHours from '../common/ledgerHours.js';
import * as ledgerCheck from '../common/ledgerCheck.js';
import * as ledgerAllocations from '../common/ledgerAllocations.js';
import * as ledgerTime from '../common/ledgerTime.js';

import * as ledgerRollup from './ledgerRollup.js';

/** Options of {@link createLedgerRecorder}. */
export interface LedgerRecorderOptions {
  readonly cell: string;
  /** Epoch of the leader that writes the ledger. */
  readonly epoch: number;
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly allocations: () => ledgerAllocations.CellAllocations;
  /** Called when a later leader writes the ledger. */
  readonly onLeadershipLost: () => void;
}

/** Ledger of one cell, written by its leader. */
export interface LedgerRecorder extends disposable.Disposable {
  /** Fences previous writers and books the time since their last record. */
  readonly load: () => Promise<void>;
  /** Books the allocations up to now; must be called before each change. */
  readonly settle: () => void;
  /** Writes the hours that changed. */
  readonly flush: () => Promise<void>;
}

/** Period of writes while records are small. */
const MIN_WRITE_PERIOD_MS = 5000;

/**
 * Maximum rate of bytes written. In a cell of the target size an hour grows to about 50 kB; written
 * every 5 s, it would take half of a node's control-plane budget of 23 kB/s.
 */
const WRITE_BYTES_PER_S = 2000;

/** Maximum period of writes; if a leader dies, at most this much time is unwitnessed. */
const MAX_WRITE_PERIOD_MS = 120_000;

/**
 * @param bytes - size of the last written record
 * @returns delay before the next write
 */
export const writeDelayMs = (bytes: number): number =>
  Math.min(
    MAX_WRITE_PERIOD_MS,
    Math.max(MIN_WRITE_PERIOD_MS, Math.ceil((bytes / WRITE_BYTES_PER_S) * 1000)),
  );

/** Period of rolling up old hours. */
const ROLL_UP_PERIOD_MS = ledgerEntry.HOUR_MS;

/** A longer time without a leader is not booked but left as a hole, which the check reports. */
export const MAX_GAP_MS = 604_800_000;

const decode = (value: string): ledgerEntry.LedgerHour =>
  schemaIssues.decodeOrFail(ledgerEntry.LedgerHour, JSON.parse(value), 'ledger hour');

/**
 * @param options - options
 * @returns a ledger without bookings
 */
export const createLedgerRecorder = (options: LedgerRecorderOptions): LedgerRecorder => {
  const { cell, epoch, clock: timeSource, log } = options;
  let book: ledgerHours.OpenHours = new Map();
  const written = new Map<number, { revision: number; bookedUntilMs: number }>();
  const reportedFaults = new Set<string>();
  let bookingTime: ledgerTime.LedgerTime | undefined;
  let timer: disposable.Disposable | undefined;
  let writing: Promise<void> = Promise.resolve();
  let rolledAtMs = Number.NEGATIVE_INFINITY;
  let writtenBytes = 0;
  let isDisposed = false;
  let isSuperseded = false;
  let anomaly: ledgerTime.LedgerStep['anomaly'] = 'none';

  const spanOf = (fromMs: number, toMs: number): ledgerHours.Span => ({
    cell,
    epoch,
    fromMs,
    toMs,
    ...options.allocations(),
  });
  const reportAnomaly = (next: ledgerTime.LedgerStep['anomaly']): void => {
    if (next !== 'none' && next !== anomaly) {
      log('error', 'ledgerClockJumped', { cell, direction: next });
      options.metrics.count('auburnlift_ledger_clock_jumps_total', { cell, direction: next });
    }
    anomaly = next;
  };
  const settle = (): void => {
    if (bookingTime === undefined) return;
    const fromMs = bookingTime.bookedUntilMs;
    const step = ledgerTime.step(bookingTime, timeSource.wallMs(), timeSource.monotonicMs());
    reportAnomaly(step.anomaly);
    bookingTime = step.next;
    if (bookingTime.bookedUntilMs === fromMs) return;
    const { unwitnessedUntilMs } = step;
    if (unwitnessedUntilMs > fromMs) {
      book = ledgerHours.recordUnobserved(book, spanOf(fromMs, unwitnessedUntilMs));
    }
    book = ledgerHours.recordSpan(book, spanOf(unwitnessedUntilMs, bookingTime.bookedUntilMs));
  };
  const failAsSuperseded = (): never => {
    if (!isSuperseded) options.onLeadershipLost();
    isSuperseded = true;
    throw errors.fail('notLeader', `the ledger of cell ${cell} has a later keeper`);
  };
  const swap = async (
    hour: ledgerEntry.LedgerHour,
    expectedRevision: number,
  ): Promise<store.SwapResult> => {
    const key = storeKeys.ledgerHourKey(cell, hour.hour);
    const value = JSON.stringify(hour);
    writtenBytes = value.length;
    try {
      return await options.store.compareAndSwap({ key, expectedRevision, value });
    } catch (thrown) {
      if (!(thrown instanceof store.StoreOutcomeUnknown)) throw thrown;
      const current = await options.store.get(key);
      return current?.value === value
        ? { isSwapped: true, revision: current.revision }
        : { isSwapped: false, current };
    }
  };
  const write = async (hour: ledgerEntry.LedgerHour): Promise<void> => {
    let result = await swap(hour, written.get(hour.hour)?.revision ?? store.ABSENT_REVISION);
    if (!result.isSwapped) {
      const { current } = result;
      if (current !== undefined && decode(current.value).epoch > epoch) failAsSuperseded();
      result = await swap(hour, current?.revision ?? store.ABSENT_REVISION);
    }
    if (!result.isSwapped) throw errors.fail('conflict', `ledger hour ${hour.hour} was written`);
    const { revision } = result;
    written.set(hour.hour, { revision, bookedUntilMs: hour.bookedUntilMs });
  };
  const check = (hour: ledgerEntry.LedgerHour): void => {
    for (const { kind, offMs } of ledgerCheck.checkHour(hour)) {
      const key = `${hour.hour} ${kind}`;
      if (reportedFaults.has(key)) continue;
      reportedFaults.add(key);
      log('error', 'ledgerOutOfBalance', { cell, hour: hour.hour, kind, offMs });
      options.metrics.count('auburnlift_ledger_faults_total', { cell, kind });
    }
  };
  /** Drops past hours that are written. */
  const prune = (): void => {
    const last = Math.max(...book.keys());
    book = new Map(
      [...book].filter(
        ([hour, it]) => hour === last || written.get(hour)?.bookedUntilMs !== it.bookedUntilMs,
      ),
    );
    for (const hour of written.keys()) if (!book.has(hour)) written.delete(hour);
  };
  const writeAll = async (): Promise<void> => {
    if (isSuperseded) failAsSuperseded();
    settle();
    for (const [, hour] of [...book].sort(([a], [b]) => a - b)) {
      const isDirty = written.get(hour.hour)?.bookedUntilMs !== hour.bookedUntilMs;
      if (!isDirty) continue;
      const record = ledgerHours.toRecord(hour);
      check(record);
      await write(record);
    }
    prune();
  };
  /** One write at a time, as concurrent writes would conflict with each other. */
  const flush = (): Promise<void> => {
    writing = writing.then(writeAll, writeAll);
    return writing;
  };
  const rollUp = async (): Promise<void> => {
    const nowMs = timeSource.monotonicMs();
    if (nowMs - rolledAtMs < ROLL_UP_PERIOD_MS) return;
    rolledAtMs = nowMs;
    const { store: target } = options;
    await ledgerRollup.rollUp({ store: target, cell, epoch, nowMs: timeSource.wallMs() });
  };
  const onTimer = async (): Promise<void> => {
    try {
      await flush();
      await rollUp();
    } catch (thrown) {
      log('warn', 'ledgerNotWritten', { cell, reason: errors.normalize(thrown).message });
    }
    schedule();
  };
  const schedule = (): void => {
    if (isDisposed || isSuperseded) return;
    timer = timeSource.after(writeDelayMs(writtenBytes), () => {
      void onTimer();
    });
  };
  const bookingStartMs = (last: ledgerEntry.LedgerHour | undefined, nowMs: number): number => {
    if (last === undefined) return nowMs;
    if (nowMs - last.bookedUntilMs <= MAX_GAP_MS) return last.bookedUntilMs;
    log('error', 'ledgerHole', { cell, holeMs: nowMs - last.bookedUntilMs });
    options.metrics.count('auburnlift_ledger_faults_total', { cell, kind: 'hole' });
    return nowMs;
  };
  return {
    load: async () => {
      const { entries } = await options.store.list(storeKeys.ledgerPrefix(cell));
      const entry = entries.at(-1);
      const last = entry === undefined ? undefined : decode(entry.value);
      if (last !== undefined && last.epoch > epoch) failAsSuperseded();
      const nowMs = Math.floor(timeSource.wallMs());
      const fromMs = bookingStartMs(last, nowMs);
      // Written even if there is nothing to book, so that a previous leader's write conflicts.
      const first =
        last === undefined
          ? ledgerHours.openHour({ cell, epoch }, nowMs)
          : ledgerHours.fromRecord(last);
      book = new Map([[first.hour, { ...first, epoch }]]);
      if (entry !== undefined) {
        written.set(first.hour, { revision: entry.revision, bookedUntilMs: Number.NaN });
      }
      if (fromMs < nowMs) book = ledgerHours.recordUnobserved(book, spanOf(fromMs, nowMs));
      bookingTime = {
        bookedUntilMs: Math.max(fromMs, nowMs),
        monotonicMs: timeSource.monotonicMs(),
      };
      await flush();
      schedule();
    },
    settle,
    flush,
    dispose: () => {
      isDisposed = true;
      void timer?.dispose();
    },
  };
};
