/**
 * Chooses the upstream for a request.
 *
 * Regions may be far apart and their links billed by volume, so a request stays in its zone, then
 * its region, and leaves it only where waiting costs more than the set price. An upstream may be
 * much slower than the others: choices go by expected time, so that it gets only what it can answer
 * as fast as they.
 */
import type * as random from '../../base/common/random.js';
import type * as configuration from '../../state/common/configuration.js';

/** An upstream as known to an entry. */
export interface RouteCandidate {
  readonly agentUrl: string;
  readonly upstreamId: string;
  readonly zone: string;
  readonly region: string;
  readonly slots: number;
  /** Load from all entries, as last reported by the agent. */
  readonly reportedRunning: number;
  readonly reportedQueued: number;
  /** Requests of this entry in flight to its agent. */
  readonly outstanding: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
  /** Ejected or recently unreachable; used only as a last resort. */
  readonly isAvoided: boolean;
  /** Penalty for errors, added to the expected wait. */
  readonly penaltyMs: number;
  /** Fraction of a full load that it may take, above 0 and at most 1. */
  readonly startShare: number;
}

/** Input of a choice. */
export interface RouteView {
  readonly zone: string;
  readonly region: string;
  readonly candidates: readonly RouteCandidate[];
  /** Agents to which the request must not be sent again. */
  readonly excludedUrls: ReadonlySet<string>;
  readonly policy: Pick<configuration.RoutingPolicy, 'crossRegionPriceMs'>;
  /** Whether the budget for requests to other regions allows this one. */
  readonly mayLeaveRegion: boolean;
}

const loadOf = (candidate: RouteCandidate): number =>
  Math.max(candidate.reportedRunning + candidate.reportedQueued, candidate.outstanding);

/**
 * @param candidate - an upstream
 * @returns expected wait for a slot of a request sent there now
 */
export const expectedWaitMs = (candidate: RouteCandidate): number => {
  const waiting = Math.max(0, loadOf(candidate) + 1 - candidate.slots);
  return (waiting * candidate.serviceMs) / candidate.slots + candidate.penaltyMs;
};

/** Expected time to the answer plus a utilization term, which counts a new agent as fuller. */
const costOf = (candidate: RouteCandidate): number => {
  const utilization = (loadOf(candidate) + 1) / (candidate.slots * candidate.startShare);
  return expectedWaitMs(candidate) + candidate.serviceMs * (1 + utilization);
};

/** Power of two choices: nearly as even as the best of all, without a herd on a stale report. */
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

/** Uses avoided upstreams only if all in the region are: better to try one than to refuse. */
const usableOf = (view: RouteView): readonly RouteCandidate[] => {
  const open = view.candidates.filter((it) => !it.isLeaving && !view.excludedUrls.has(it.agentUrl));
  const healthy = open.filter((it) => !it.isAvoided);
  const hasLocal = healthy.some((it) => it.region === view.region);
  return hasLocal ? healthy : open;
};

/**
 * @param view - candidates and constraints
 * @param next - source of randomness
 * @returns the upstream, or undefined where none may be used
 */
export const choose = (view: RouteView, next: random.Random): RouteCandidate | undefined => {
  const usable = usableOf(view);
  const inZone = usable.filter((it) => it.zone === view.zone);
  const inZoneChoice = betterOfTwo(inZone, next);
  if (inZoneChoice !== undefined && expectedWaitMs(inZoneChoice) === 0) return inZoneChoice;
  const local = betterOfTwo(
    usable.filter((it) => it.region === view.region),
    next,
  );
  if (local !== undefined && expectedWaitMs(local) === 0) return local;
  const elsewhere = usable.filter((it) => it.region !== view.region);
  const remote = view.mayLeaveRegion ? betterOfTwo(elsewhere, next) : undefined;
  if (local === undefined || remote === undefined) return local ?? remote;
  const savedMs = expectedWaitMs(local) - expectedWaitMs(remote);
  return savedMs > view.policy.crossRegionPriceMs ? remote : local;
};
