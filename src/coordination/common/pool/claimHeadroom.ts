/**
 * Room that is left to claims by work that can wait.
 *
 * Load it answers: a burst of lasting work that saves nothing. It takes every worker, and each claim that
 * comes then throws some of it away.
 */
import * as gangPlacement from './gangPlacement.js';
import type * as planTypes from './planTypes.js';

/** Share of the workers that work which can wait leaves to claims. */
const HEADROOM_SHARE = 0.25;

/** Work that must begin within this time goes wherever there is room. */
const HEADROOM_SLACK_MS = 2000;

/** The room that is left to claims, as a round goes on. */
export interface ClaimHeadroom {
  /**
   * @param placement - where a unit would go
   * @param near - groups of workers near its data
   * @returns where it goes instead, or undefined where it waits
   */
  readonly spare: (
    placement: planTypes.Placement,
    near: gangPlacement.CandidateGroups,
  ) => planTypes.Placement | undefined;
  readonly noteStart: (placement: planTypes.Placement) => void;
}

/** A claim can have it whole at no loss: nothing runs there, or only what saves itself. */
const isCheaplyReclaimed = (worker: planTypes.PlanWorker): boolean => {
  const held = worker.holdings.filter((it) => it.priority > 0 && it.isCheckpointing);
  const room = held.reduce((sum, it) => sum + it.room.accelerators, worker.free.accelerators);
  return room >= worker.capacity.accelerators && worker.capacity.accelerators > 0;
};

const canWait = (unit: planTypes.PlanUnit, nowMs: number): boolean =>
  unit.priority > 0 &&
  !unit.unit.step.isCheckpointing &&
  nowMs < unit.latestStartMs - HEADROOM_SLACK_MS;

/**
 * @param workers - workers at the beginning of a round
 * @param nowMs - the leader's clock
 * @returns the room that is left to claims
 */
export const createClaimHeadroom = (
  workers: readonly planTypes.PlanWorker[],
  nowMs: number,
): ClaimHeadroom => {
  const cheapIds = new Set(workers.filter(isCheaplyReclaimed).map(({ workerId }) => workerId));
  const minCheap = Math.floor(HEADROOM_SHARE * workers.length);
  const isCheap = ({ workerId }: planTypes.PlanWorker): boolean => cheapIds.has(workerId);

  return {
    spare: (placement, near) => {
      const taken = new Set(placement.workers.filter(isCheap));
      const isEnoughLeft = taken.size === 0 || cheapIds.size - taken.size >= minCheap;
      if (isEnoughLeft || !canWait(placement.unit, nowMs)) return placement;
      const others = near.map((its) => its.filter((it) => !isCheap(it)));
      return gangPlacement.placeNow(others, placement.unit);
    },
    noteStart: ({ unit, workers: its }) => {
      if (unit.unit.step.isCheckpointing) return;
      for (const { workerId } of its) cheapIds.delete(workerId);
    },
  };
};
