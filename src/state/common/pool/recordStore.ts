/**
 * The contract with a store that changes several records in one transaction under conditions. Failures
 * are those of {@link store.Store}: `storeUnavailable` if nothing was done, `StoreOutcomeUnknown` if
 * the write may have taken effect or may do so later, as long as its conditions hold, `StoreRefused`
 * if it never will.
 */
import type * as store from '../store.js';

/** A record that must be unchanged for a transaction to take effect. */
export interface Condition {
  readonly key: string;
  /** The revision that was read; 0 if the key must not exist. */
  readonly revision: number;
}

/** A record to write. */
export interface Put {
  readonly key: string;
  readonly value: string;
  /** The record is deleted when this lease ends. */
  readonly leaseId?: string;
}

/** Changes that take effect atomically or not at all. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly puts: readonly Put[];
  readonly removes: readonly string[];
  /**
   * Omits the records from a refusal. For conditions on records that may be large: they would take seconds on a
   * low-bandwidth link.
   */
  readonly omitsCurrent?: true;
}

/** Result of a transaction. */
export type TransactionResult =
  | { readonly isCommitted: true; readonly revision: number }
  | {
      readonly isCommitted: false;
      /** The present records of the conditions' keys; missing ones are left out, and all with `omitsCurrent`. */
      readonly current: readonly store.StoreEntry[];
      /** The lease of a record to write has ended. */
      readonly isLeaseGone: boolean;
    };

/** Maximum sum of conditions, puts and removes in one transaction. */
export const MAX_TRANSACTION_ENTRIES = 32;

/** The store with transactions, as pools use it. */
export interface RecordStore extends Omit<store.Store, 'compareAndSwap'> {
  readonly transact: (transaction: Transaction) => Promise<TransactionResult>;
}
