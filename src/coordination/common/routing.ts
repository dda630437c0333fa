/**
 * Choosing the upstream for a request.
 *
 * Made for regions that are far apart and links that are paid by volume: a request stays in its
 * zone, then its region, and leaves it only where waiting at home costs more than the price. Made
 * also for one upstream that is much slower than the others: choices go by the expected time to the
 * answer, so that it gets only what it can do as fast as they can.
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
  /** Ejected, or silent a moment ago; used only where nothing else is left. */
  readonly isAvoided: boolean;
  /** Added to the expected wait for errors. */
  readonly penaltyMs: number;
  /** Part of a full load that it may take, above 0 to 1. */
  readonly startShare: number;
}

/** What a choice is made from. */
export interface RouteView {
  readonly zone: string;
  readonly region: string;
  readonly candidates: readonly RouteCandidate[];
  /** Agents that the request must not go to again. */
  readonly excludedUrls: ReadonlySet<string>;
  readonly policy: Pick<configuration.RoutingPolicy, 'crossRegionPriceMs'>;
  /** Whether the bound on requests to other regions leaves room for this one. */
  readonly mayLeaveRegion: boolean;
}

const loadOf = (candidate: RouteCandidate): number =>
  Math.max(candidate.reportedRunning + candidate.reportedQueued, candidate.outstanding);

/**
 * @param candidate - an upstream
 * @returns the time that a request sent there now would wait for a slot
 */
export const expectedWaitMs = (candidate: RouteCandidate): number => {
  const waiting = Math.max(0, loadOf(candidate) + 1 - candidate.slots);
  return (waiting * candidate.serviceMs) / candidate.slots + candidate.penaltyMs;
};

/** Expected time to the answer; among equals the emptier one. A new agent counts as fuller. */
const costOf = (candidate: RouteCandidate): number => {
  const fullness = (loadOf(candidate) + 1) / (candidate.slots * candidate.startShare);
  return expectedWaitMs(candidate) + candidate.serviceMs * (1 + fullness);
};

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
  return costOf(a) <= costOf(b) ? a : b;
};

/** Avoided ones are a last resort: with all of them avoided, trying one is better than refusing. */
const usableOf = (view: RouteView): readonly RouteCandidate[] => {
  const open = view.candidates.filter((it) => !it.isLeaving && !view.excludedUrls.has(it.agentUrl));
  const sound = open.filter((it) => !it.isAvoided);
  const hasHome = sound.some((it) => it.region === view.region);
  return hasHome ? sound : open;
};

/**
 * @param view - what the entry knows
 * @param next - source of randomness
 * @returns the upstream, or undefined where none may be used
 */
export const choose = (view: RouteView, next: random.Random): RouteCandidate | undefined => {
  const usable = usableOf(view);
  const inZone = usable.filter((it) => it.zone === view.zone);
  const near = betterOfTwo(inZone, next);
  if (near !== undefined && expectedWaitMs(near) === 0) return near;
  const home = betterOfTwo(
    usable.filter((it) => it.region === view.region),
    next,
  );
  if (home !== undefined && expectedWaitMs(home) === 0) return home;
  const elsewhere = usable.filter((it) => it.region !== view.region);
  const remote = view.mayLeaveRegion ? betterOfTwo(elsewhere, next) : undefined;
  if (home === undefined || remote === undefined) return home ?? remote;
  const gainMs = expectedWaitMs(home) - expectedWaitMs(remote);
  return gainMs > view.policy.crossRegionPriceMs ? remote : home;
};
