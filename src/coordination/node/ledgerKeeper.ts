/**
 * Keeps a cell's ledger while it is led: books each span between two changes and writes the hours.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import type * as job from '../../state/common/job.js';
import * as ledgerEntry from '../../state/common/ledgerEntry.js';
import type * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as ledgerBook from '../common/ledgerBook.js';

/** What is held now. */
export interface Holdings {
  readonly workers: readonly ledgerBook.BookWorker[];
  readonly jobs: readonly job.JobRecord[];
  readonly configVersion: number;
}

/** What the keeper needs. */
export interface LedgerKeeperOptions {
  readonly cell: string;
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly holdings: () => Holdings;
}

/** The ledger of a cell that is led. */
export interface LedgerKeeper extends disposable.Disposable {
  /** Reads the current hour, so that booking goes on where the former leader left it. */
  readonly load: () => Promise<void>;
  /** Books what has been held until now; call it before anything changes. */
  readonly settle: () => void;
  /** Writes the hours that changed. */
  readonly flush: () => Promise<void>;
}

/** How often the hours are written. */
const WRITE_MS = 5000;

const decode = (value: string): ledgerEntry.LedgerHour =>
  schemaIssues.decodeOrFail(ledgerEntry.LedgerHour, JSON.parse(value), 'ledger hour');

/**
 * @param options - what the keeper needs
 * @returns a keeper that has booked nothing
 */
export const createLedgerKeeper = (options: LedgerKeeperOptions): LedgerKeeper => {
  let book: ledgerBook.Book = new Map();
  const written = new Map<number, { revision: number; bookedUntilMs: number }>();
  let settledAtMs: number | undefined;
  let timer: disposable.Disposable | undefined;

  const settle = (): void => {
    const atMs = Math.floor(options.clock.wallMs());
    if (settledAtMs !== undefined && atMs > settledAtMs) {
      const span = { cell: options.cell, fromMs: settledAtMs, toMs: atMs, ...options.holdings() };
      book = ledgerBook.bookSpan(book, span);
    }
    settledAtMs = Math.max(atMs, settledAtMs ?? 0);
  };
  const write = async (hour: ledgerEntry.LedgerHour): Promise<void> => {
    const key = storeKeys.ledgerHourKey(options.cell, hour.hour);
    const expectedRevision = written.get(hour.hour)?.revision ?? 0;
    const result = await options.store.compareAndSwap({
      key,
      expectedRevision,
      value: JSON.stringify(hour),
    });
    if (!result.isSwapped) throw errors.fail('conflict', `ledger hour ${hour.hour} was written`);
    const { revision } = result;
    written.set(hour.hour, { revision, bookedUntilMs: hour.bookedUntilMs });
  };
  const flush = async (): Promise<void> => {
    settle();
    for (const hour of book.values()) {
      if (written.get(hour.hour)?.bookedUntilMs !== hour.bookedUntilMs) await write(hour);
    }
  };
  const schedule = (): void => {
    timer = options.clock.after(WRITE_MS, () => {
      flush()
        .catch((thrown: unknown) => {
          options.log('warn', 'ledgerNotWritten', { reason: errors.normalize(thrown).message });
        })
        .finally(schedule);
    });
  };
  return {
    load: async () => {
      const hour = Math.floor(options.clock.wallMs() / ledgerEntry.HOUR_MS);
      const entry = await options.store.get(storeKeys.ledgerHourKey(options.cell, hour));
      if (entry !== undefined) {
        const held = decode(entry.value);
        book = new Map([[hour, held]]);
        written.set(hour, { revision: entry.revision, bookedUntilMs: held.bookedUntilMs });
        settledAtMs = held.bookedUntilMs;
      }
      settledAtMs ??= Math.floor(options.clock.wallMs());
      schedule();
    },
    settle,
    flush,
    dispose: () => {
      void timer?.dispose();
    },
  };
};
