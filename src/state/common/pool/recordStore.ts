/**
 * The contract with a store that changes several records at once under conditions. Failures are those
 * of {@link store.Store}: `storeUnavailable` where nothing was done, `StoreOutcomeUnknown` where a
 * write may still take effect, also later, as long as its conditions hold.
 */
import type * as store from '../store.js';

/** A record that must be unchanged for a transaction to take effect. */
export interface Condition {
  readonly key: string;
  /** The revision that was read; 0 where the key must not exist. */
  readonly revision: number;
}

/** A record to write. */
export interface Put {
  readonly key: string;
  readonly value: string;
  /** The record goes away with this lease. */
  readonly leaseId?: string;
}

/** Changes that take effect together or not at all. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly puts: readonly Put[];
  readonly removes: readonly string[];
  /**
   * Leaves the records out of a refusal. For conditions on records that may be large: they would take seconds on a
   * narrow line.
   */
  readonly omitsCurrent?: true;
}

/** What became of a transaction. */
export type TransactionResult =
  | { readonly isCommitted: true; readonly revision: number }
  | {
      readonly isCommitted: false;
      /** The conditions' records as they stand now; what does not exist is missing, and all where they are omitted. */
      readonly current: readonly store.StoreEntry[];
      /** The lease of a record has ended. */
      readonly isLeaseGone: boolean;
    };

/** Conditions, puts and removes of one transaction, counted together. */
export const MAX_TRANSACTION_ENTRIES = 32;

/** The store as the pool uses it. */
export interface RecordStore extends Omit<store.Store, 'compareAndSwap'> {
  readonly transact: (transaction: Transaction) => Promise<TransactionResult>;
}
