/**
 * The contract with the platform's key-value service: compare-and-swap, leases and watches.
 *
 * Every call may fail in two ways that differ for the caller: `storeUnavailable` means that nothing
 * was written, {@link StoreOutcomeUnknown} that a write may have taken effect although its answer
 * was lost. Values are text of at most a megabyte. Each call counts against the service's budget,
 * a waiting watch as one.
 */

/** A key with its value; the revision grows with every write to any key. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** Revision to pass where the key must not exist yet. */
export const ABSENT_REVISION = 0;

/** Largest value that the platform's service takes. */
export const MAX_VALUE_BYTES = 1_048_576;

/** A write that takes effect only if nobody wrote the key since it was read. */
export interface CompareAndSwap {
  readonly key: string;
  /** The revision that was read, {@link ABSENT_REVISION} for a key that must not exist. */
  readonly expectedRevision: number;
  /** `null` deletes the key. */
  readonly value: string | null;
  /** The key goes away with this lease. */
  readonly leaseId?: string;
}

/** What became of a compare-and-swap. */
export type SwapResult =
  | { readonly isSwapped: true; readonly revision: number }
  /** Somebody else wrote first; `current` is what stands there now. */
  | { readonly isSwapped: false; readonly current: StoreEntry | undefined };

/** What a watch saw. */
export interface WatchResult {
  /** Keys of the prefix that changed after the given revision, as they are now. */
  readonly entries: readonly StoreEntry[];
  /** Keys of the prefix that were deleted or whose lease lapsed. */
  readonly deletedKeys: readonly string[];
  /** To be given to the next watch. */
  readonly revision: number;
  /** The service no longer remembers everything since the given revision: list again. */
  readonly isGap: boolean;
}

/** The service as the system uses it. Every method may throw `storeUnavailable`. */
export interface Store {
  readonly get: (key: string) => Promise<StoreEntry | undefined>;
  /** Entries of a prefix in the order of their keys, with the revision they were read at. */
  readonly list: (
    prefix: string,
  ) => Promise<{ readonly entries: readonly StoreEntry[]; readonly revision: number }>;
  /** @throws StoreOutcomeUnknown where the answer was lost */
  readonly compareAndSwap: (swap: CompareAndSwap) => Promise<SwapResult>;
  /** @returns an id that lapses unless it is renewed within the time */
  readonly grantLease: (ttlMs: number) => Promise<string>;
  /**
   * @param timeoutMs - after it the renewal counts as failed; of no use to its holder later
   * @returns whether the lease still stood
   */
  readonly renewLease: (leaseId: string, timeoutMs?: number) => Promise<boolean>;
  readonly revokeLease: (leaseId: string) => Promise<void>;
  /** Waits for a change after the revision; gives an empty result when the wait is over. */
  readonly watch: (
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<WatchResult>;
}

/** Thrown where a write may have taken effect: read back and look for the write id. */
export class StoreOutcomeUnknown extends Error {
  /**
   * @param message - what the line said
   */
  constructor(message: string) {
    super(message);
    this.name = 'StoreOutcomeUnknown';
  }
}
