/**
 * What one customer's calls may take of an entry and of the store.
 *
 * Made for a crowd with one customer's key: each call reads or writes the store, whose rate all customers share, and
 * waits at the entry while the store is slow. Calls beyond the customer's part are refused before they reach the
 * store, so the calls of others still get there.
 */
import * as errors from '../../../base/common/errors.js';

/** Whether a call reads from the store or writes to it. */
export const CallKind = { read: 'read', write: 'write' } as const;

/** One of the values of {@link CallKind}. */
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** Limits for each customer. */
export interface CustomerQuotaOptions {
  readonly maxPerS: Readonly<Record<CallKind, number>>;
  /** Calls of one customer that are worked on at the same time. */
  readonly maxOpen: number;
  readonly nowMs: () => number;
  /** Called for each call that is refused. */
  readonly onDidRefuse: (kind: CallKind) => void;
}

/** Admits the calls of customers. */
export interface CustomerQuota {
  /**
   * @returns a function that ends the call
   * @throws AuburnliftError `quotaExceeded`
   */
  readonly begin: (customerId: string, kind: CallKind) => () => void;
}

interface Usage {
  open: number;
  /** Calls that may begin now. */
  readonly left: Record<CallKind, number>;
  refilledMs: number;
}

const MS_PER_S = 1000;

/** Calls that may come at once, as seconds of the rate: callers return together after an outage. */
const BURST_S = 2;

const RETRY_MS = 1000;

/**
 * @param options - limits for each customer
 * @returns a quota of which nothing is used
 */
export const createCustomerQuota = ({
  maxPerS,
  maxOpen,
  nowMs,
  onDidRefuse,
}: CustomerQuotaOptions): CustomerQuota => {
  const usages = new Map<string, Usage>();

  const refill = (usage: Usage): void => {
    const now = nowMs();
    const elapsedS = (now - usage.refilledMs) / MS_PER_S;
    usage.refilledMs = now;
    for (const kind of Object.values(CallKind)) {
      const most = maxPerS[kind] * BURST_S;
      usage.left[kind] = Math.min(most, usage.left[kind] + elapsedS * maxPerS[kind]);
    }
  };

  const usageOf = (customerId: string): Usage => {
    const known = usages.get(customerId);
    if (known !== undefined) return known;
    const left = { read: maxPerS.read * BURST_S, write: maxPerS.write * BURST_S };
    const usage = { open: 0, left, refilledMs: nowMs() };
    usages.set(customerId, usage);
    return usage;
  };

  return {
    begin: (customerId, kind) => {
      const usage = usageOf(customerId);
      refill(usage);
      if (usage.left[kind] < 1 || usage.open >= maxOpen) {
        onDidRefuse(kind);
        throw errors.fail('quotaExceeded', 'too many calls of this customer; nothing ran', {
          retryAfterMs: RETRY_MS,
        });
      }
      usage.left[kind] -= 1;
      usage.open += 1;
      return () => {
        usage.open -= 1;
      };
    },
  };
};
