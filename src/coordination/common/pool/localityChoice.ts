/**
 * Chooses between local and remote workers for a unit, by its expected end.
 *
 * Tasks take three times as long remote from their data or rack. Local workers go first, even where a
 * remote one fits better; remote ones are used only where waiting for local capacity takes longer. Urgent units that
 * can be in time on local workers alone don't use remote ones: in a burst of urgent gangs each of them would occupy its
 * workers for a multiple of its time, still be late, and make others late. They preempt local runs instead.
 */
import * as memoize from '../../../base/common/memoize.js';
import * as gangPlacement from './gangPlacement.js';
import type * as planTypes from './planTypes.js';
import * as futurePlacement from './futurePlacement.js';
import type * as speedChoice from './speed/speedChoice.js';

/** Inputs of the choice. */
export interface LocalityChoiceInput {
  /** The leader's clock. */
  readonly nowMs: number;
  readonly workers: readonly planTypes.PlanWorker[];
  readonly runs: futurePlacement.RunsByGroup;
  /** Cost of waiting until a group has ended by itself. */
  readonly waitCosts: futurePlacement.GroupCosts;
  /** Factor by which a task takes longer remote from its data or rack. */
  readonly remoteFactor: number;
  readonly speeds: speedChoice.SpeedChoice;
}

/** Locality decisions of one round. */
export interface LocalityChoice {
  /** Groups of workers local to a unit's data or rack. */
  readonly localGroupsOf: (unit: planTypes.PlanUnit) => planTypes.CandidateGroups;
  /** Groups of workers on which it waits for capacity. */
  readonly groupsOf: (unit: planTypes.PlanUnit) => planTypes.CandidateGroups;
  /** A placement on capacity that is free now. */
  readonly findNow: (unit: planTypes.PlanUnit) => planTypes.Placement | undefined;
}

/**
 * @param input - inputs of the choice
 * @returns the choice; each unit is decided once, by the free capacity at that time
 */
export const createLocalityChoice = (input: LocalityChoiceInput): LocalityChoice => {
  const { nowMs, workers, runs, waitCosts, remoteFactor, speeds } = input;
  const candidatesOf = memoize.memoize((unit: planTypes.PlanUnit) =>
    gangPlacement.candidateGroups(workers, unit),
  );

  const isRemoteFaster = memoize.memoize((unit: planTypes.PlanUnit) => {
    const { localGroups, remoteGroups } = candidatesOf(unit);
    if (remoteGroups.length === 0) return false;
    const slowdownMs = (remoteFactor - 1) * unit.expectedMs;
    if (localGroups.length === 0) return true;
    const isLocalInTime = nowMs <= unit.latestStartMs;
    const isRemoteInTime = nowMs + slowdownMs <= unit.latestStartMs;
    if (unit.priority === 0 && isLocalInTime && !isRemoteInTime) return false;
    if (unit.waitedMs >= slowdownMs) return true;
    const future = futurePlacement.findFuturePlacement(runs, localGroups, unit, waitCosts);
    return future === undefined || futurePlacement.longestWaitMs(runs, future.leaving) > slowdownMs;
  });

  return {
    localGroupsOf: (unit) => candidatesOf(unit).localGroups,
    groupsOf: (unit) => {
      const { localGroups, remoteGroups } = candidatesOf(unit);
      return isRemoteFaster(unit) ? [...localGroups, ...remoteGroups] : localGroups;
    },
    findNow: (unit) => {
      const { localGroups, remoteGroups } = candidatesOf(unit);
      const tiers = speeds.tiersOf(unit);
      const placement = gangPlacement.placeNow(localGroups, unit, tiers);
      if (placement !== undefined || !isRemoteFaster(unit)) return placement;
      return gangPlacement.placeNow(remoteGroups, unit, tiers);
    },
  };
};
