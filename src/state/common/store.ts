/**
 * The contract with the platform's key-value service: compare-and-swap, leases and watches.
 *
 * Every call may fail in three ways: `storeUnavailable` means that nothing was written,
 * {@link StoreOutcomeUnknown} means that a write may have taken effect although its answer was
 * lost, {@link StoreRefused} that the service refuses what a write contains. Values are text of at most a megabyte. Each call counts against the service's request
 * budget; a waiting watch counts as one call.
 */

/** A key with its value; the revision increases with every write to any key. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** Revision to pass if the key must not exist yet. */
export const ABSENT_REVISION = 0;

/** Largest value that the platform's service accepts. */
export const MAX_VALUE_BYTES = 1_048_576;

/** A write that takes effect only if the key has not been written since it was read. */
export interface CompareAndSwap {
  readonly key: string;
  /** The revision that was read, or {@link ABSENT_REVISION} for a key that must not exist. */
  readonly expectedRevision: number;
  /** `null` deletes the key. */
  readonly value: string | null;
  /** The key is deleted when this lease ends. */
  readonly leaseId?: string;
}

/** Result of a compare-and-swap. */
export type SwapResult =
  | { readonly isSwapped: true; readonly revision: number }
  /** Another writer was first; `current` is the present entry. */
  | { readonly isSwapped: false; readonly current: StoreEntry | undefined };

/** Result of a watch. */
export interface WatchResult {
  /** Entries with the prefix that changed after the given revision, in their present state. */
  readonly entries: readonly StoreEntry[];
  /** Keys with the prefix that were deleted or whose lease expired. */
  readonly deletedKeys: readonly string[];
  /** Revision to pass to the next watch. */
  readonly revision: number;
  /** The service no longer has all changes since the given revision: list again. */
  readonly isGap: boolean;
}

/** The key-value service. Every method may throw `storeUnavailable`. */
export interface Store {
  readonly get: (key: string) => Promise<StoreEntry | undefined>;
  /** Entries with a prefix, ordered by key, with the revision at which they were read. */
  readonly list: (
    prefix: string,
  ) => Promise<{ readonly entries: readonly StoreEntry[]; readonly revision: number }>;
  /** @throws StoreOutcomeUnknown if the answer was lost */
  readonly compareAndSwap: (swap: CompareAndSwap) => Promise<SwapResult>;
  /** @returns the id of a lease, which expires unless it is renewed within the time */
  readonly grantLease: (ttlMs: number) => Promise<string>;
  /**
   * @param timeoutMs - timeout of the call; a later answer no longer helps the lease holder
   * @returns whether the lease was still valid
   */
  readonly renewLease: (leaseId: string, timeoutMs?: number) => Promise<boolean>;
  readonly revokeLease: (leaseId: string) => Promise<void>;
  /** Waits for a change after the revision; returns an empty result if there is none within `waitMs`. */
  readonly watch: (
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<WatchResult>;
}

/** Thrown if the service refuses what a write contains: nothing was written, and the same again is refused again. */
export class StoreRefused extends Error {
  /**
   * @param message - why it was refused
   */
  constructor(message: string) {
    super(message);
    this.name = 'StoreRefused';
  }
}

/** Thrown if a write may have taken effect: read the key back and compare the write id. */
export class StoreOutcomeUnknown extends Error {
  /**
   * @param message - the underlying failure
   */
  constructor(message: string) {
    super(message);
    this.name = 'StoreOutcomeUnknown';
  }
}
