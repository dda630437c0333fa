/**
 * Near its data or far from it, by the expected end.
 *
 * Load it answers: tasks that take three times as long away from their data or their rack. Near goes first,
 * however tight the room elsewhere; far is right only where the near room comes later than distance costs.
 */
import * as gangPlacement from './gangPlacement.js';
import type * as planTypes from './planTypes.js';
import * as roomToCome from './roomToCome.js';

/** What the choice looks at. */
export interface PlaceChoiceInput {
  readonly workers: readonly planTypes.PlanWorker[];
  readonly runs: roomToCome.RunsByGroup;
  /** What it costs to wait until a group has ended by itself. */
  readonly waitCosts: roomToCome.CostOfGroup;
  /** How much longer a task takes away from its data or its rack. */
  readonly farFactor: number;
}

/** Where units go in one round. */
export interface PlaceChoice {
  /** Groups of workers near a unit's data. */
  readonly nearOf: (unit: planTypes.PlanUnit) => gangPlacement.CandidateGroups;
  /** Groups of workers among which it waits for room. */
  readonly groupsOf: (unit: planTypes.PlanUnit) => gangPlacement.CandidateGroups;
  /** A place where there is room now. */
  readonly findNow: (unit: planTypes.PlanUnit) => planTypes.Placement | undefined;
}

const remember = <T>(judge: (unit: planTypes.PlanUnit) => T): ((unit: planTypes.PlanUnit) => T) => {
  const known = new Map<planTypes.PlanUnit, T>();
  return (unit) => {
    const found = known.get(unit) ?? judge(unit);
    known.set(unit, found);
    return found;
  };
};

/**
 * @param input - what the choice looks at
 * @returns the choice; it judges each unit once, by what was free then
 */
export const createPlaceChoice = (input: PlaceChoiceInput): PlaceChoice => {
  const { workers, runs, waitCosts, farFactor } = input;
  const candidatesOf = remember((unit) => gangPlacement.candidateGroups(workers, unit));

  const endsEarlierFar = remember((unit) => {
    const { near, far } = candidatesOf(unit);
    if (far.length === 0) return false;
    const longerMs = (farFactor - 1) * unit.expectedMs;
    if (near.length === 0 || unit.waitedMs >= longerMs) return true;
    const future = roomToCome.findRoomToCome(runs, near, unit, waitCosts);
    return future === undefined || roomToCome.longestWaitMs(runs, future.leaving) > longerMs;
  });

  return {
    nearOf: (unit) => candidatesOf(unit).near,
    groupsOf: (unit) => {
      const { near, far } = candidatesOf(unit);
      return endsEarlierFar(unit) ? [...near, ...far] : near;
    },
    findNow: (unit) => {
      const { near, far } = candidatesOf(unit);
      const placement = gangPlacement.placeNow(near, unit);
      if (placement !== undefined || !endsEarlierFar(unit)) return placement;
      return gangPlacement.placeNow(far, unit);
    },
  };
};
