/**
 * Choosing the upstream for a request.
 *
 * Made for regions that are far apart and links that are paid by volume: a request stays in its
 * zone, then its region, and leaves it only where waiting at home costs more than the price.
 */
import type * as random from '../../base/common/random.js';
import type * as configuration from '../../state/common/configuration.js';

/** An upstream as an entry sees it. */
export interface RouteCandidate {
  readonly agentUrl: string;
  readonly upstreamId: string;
  readonly zone: string;
  readonly region: string;
  readonly slots: number;
  /** Load that the agent reported last, from all entries. */
  readonly reportedRunning: number;
  readonly reportedQueued: number;
  /** Requests that this entry sent there and that are open, beyond those in the report. */
  readonly outstanding: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
  /** Added to the expected wait for errors and slowness. */
  readonly penaltyMs: number;
}

/** What a choice is made from. */
export interface RouteView {
  readonly zone: string;
  readonly region: string;
  readonly candidates: readonly RouteCandidate[];
  /** Agents that the request must not go to again. */
  readonly excludedUrls: ReadonlySet<string>;
  readonly policy: configuration.RoutingPolicy;
}

/**
 * @param candidate - an upstream
 * @returns the time that a request sent there now would wait for a slot
 */
export const expectedWaitMs = (candidate: RouteCandidate): number => {
  const load = Math.max(
    candidate.reportedRunning + candidate.reportedQueued,
    candidate.outstanding,
  );
  const waiting = Math.max(0, load + 1 - candidate.slots);
  return (waiting * candidate.serviceMs) / candidate.slots + candidate.penaltyMs;
};

const loadOf = (candidate: RouteCandidate): number =>
  expectedWaitMs(candidate) +
  (Math.max(candidate.outstanding, candidate.reportedRunning) / candidate.slots) *
    candidate.serviceMs;

/** Two choices: almost as even as the best of all, and no herd follows a stale report. */
const betterOfTwo = (
  candidates: readonly RouteCandidate[],
  next: random.Random,
): RouteCandidate | undefined => {
  if (candidates.length < 2) return candidates[0];
  const first = Math.floor(next() * candidates.length);
  const shift = 1 + Math.floor(next() * (candidates.length - 1));
  const a = candidates[first];
  const b = candidates[(first + shift) % candidates.length];
  if (a === undefined || b === undefined) return a ?? b;
  return loadOf(a) <= loadOf(b) ? a : b;
};

/**
 * @param view - what the entry knows
 * @param next - source of randomness
 * @returns the upstream, or undefined where none may be used
 */
export const choose = (view: RouteView, next: random.Random): RouteCandidate | undefined => {
  const usable = view.candidates.filter(
    (it) => !it.isLeaving && !view.excludedUrls.has(it.agentUrl),
  );
  const inZone = usable.filter((it) => it.zone === view.zone);
  const inRegion = usable.filter((it) => it.region === view.region);
  const elsewhere = usable.filter((it) => it.region !== view.region);
  const local = [inZone, inRegion]
    .map((tier) => betterOfTwo(tier, next))
    .find((it) => it !== undefined && expectedWaitMs(it) === 0);
  if (local !== undefined) return local;
  const home = betterOfTwo(inRegion, next);
  const remote = betterOfTwo(elsewhere, next);
  if (home === undefined) return remote;
  if (remote === undefined) return home;
  const gainMs = expectedWaitMs(home) - expectedWaitMs(remote);
  return gainMs > view.policy.crossRegionPriceMs ? remote : home;
};
