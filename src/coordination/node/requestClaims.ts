/**
 * Claims on callers' idempotency keys in the platform's store, for callers that request one. A
 * claim tells every entry which agent a request was sent to last, so a repeat through another one,
 * or after an entry has died, is settled with that agent before it may run again.
 *
 * Each such request costs a store write, and the store takes only several hundred writes a second,
 * so claims are optional. While the store is down, such a request is rejected without running.
 */
import * as Schema from 'effect/Schema';

import type * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as store from '../../state/common/store.js';
import * as units from '../../state/common/units.js';

/** The agent and attempt that a request was sent to last. */
export const Claim = Schema.Struct({
  agentUrl: units.Url,
  bootId: units.CallerKey,
  attemptId: units.CallerKey,
  startBeforeMs: units.Count,
});

/** See {@link Claim}. */
export type Claim = typeof Claim.Type;

/** Whether the claim was taken, else the current claim. */
export type ClaimResult =
  | { readonly type: 'taken'; readonly revision: number }
  | { readonly type: 'held'; readonly revision: number; readonly claim: Claim };

/** Claims in the store. */
export interface RequestClaims {
  /**
   * @param key - customer and request
   * @param expectedRevision - revision of the claim that was settled as never run; 0 if none
   * @param claim - the next attempt
   * @returns whether the claim was taken
   * @throws AuburnliftError `storeUnavailable`; the request must not be sent then
   */
  readonly take: (key: string, expectedRevision: number, claim: Claim) => Promise<ClaimResult>;
}

/** TTL of the claims of one minute; much longer than agents retain outcomes. */
const CLAIM_TTL_MS = 3_600_000;

/** Claims within this period share one lease, which is never renewed. */
const LEASE_SHARED_MS = 60_000;

const PREFIX = 'claims/';

const parse = (entry: store.StoreEntry): Claim =>
  schemaIssues.decodeOrFail(Claim, JSON.parse(entry.value), 'claim');

/**
 * @param target - the platform's store
 * @param timeSource - clock of the process
 * @returns claims
 */
export const createRequestClaims = (
  target: store.Store,
  timeSource: clock.Clock,
): RequestClaims => {
  let lease: { readonly id: Promise<string>; readonly untilMs: number } | undefined;
  const leaseId = async (): Promise<string> => {
    const nowMs = timeSource.monotonicMs();
    if (lease === undefined || lease.untilMs <= nowMs) {
      lease = { id: target.grantLease(CLAIM_TTL_MS), untilMs: nowMs + LEASE_SHARED_MS };
    }
    try {
      return await lease.id;
    } catch (thrown) {
      lease = undefined;
      throw thrown;
    }
  };
  /** Resolves a lost reply by reading the claim back: attempt ids are unique. */
  const readBack = async (key: string, claim: Claim): Promise<ClaimResult> => {
    const current = await target.get(key);
    if (current === undefined) throw errors.fail('storeUnavailable', 'the claim was not written');
    const held = parse(current);
    const { revision } = current;
    return held.attemptId === claim.attemptId
      ? { type: 'taken', revision }
      : { type: 'held', revision, claim: held };
  };
  const write = async (
    key: string,
    expectedRevision: number,
    claim: Claim,
  ): Promise<ClaimResult> => {
    const swap = { key, expectedRevision, value: JSON.stringify(claim), leaseId: await leaseId() };
    try {
      const result = await target.compareAndSwap(swap);
      if (result.isSwapped) return { type: 'taken', revision: result.revision };
      if (result.current === undefined) {
        throw errors.fail('storeUnavailable', 'the claim expired meanwhile');
      }
      return { type: 'held', revision: result.current.revision, claim: parse(result.current) };
    } catch (thrown) {
      if (thrown instanceof store.StoreOutcomeUnknown) return readBack(key, claim);
      throw thrown;
    }
  };
  return {
    take: async (key, expectedRevision, claim) => {
      try {
        return await write(PREFIX + key, expectedRevision, claim);
      } catch (thrown) {
        const { message } = errors.normalize(thrown);
        throw errors.fail(
          'storeUnavailable',
          `the key can not be claimed; the request did not run: ${message}`,
          {
            retryAfterMs: 1000,
          },
        );
      }
    },
  };
};
