/**
 * Capacity that deferrable work leaves for claims, which are starts within a customer's guarantee.
 *
 * Without it a burst of long tasks that save no checkpoints takes every worker, and each later claim
 * preempts some of them and loses their work.
 */
import * as gangPlacement from './gangPlacement.js';
import type * as planTypes from './planTypes.js';
import type * as speedChoice from './speed/speedChoice.js';

/** Share of the workers that deferrable work leaves for claims. */
const HEADROOM_SHARE = 0.25;

/** Work with no more slack than this is placed wherever there is capacity. */
const HEADROOM_SLACK_MS = 2000;

/**
 * A slower worker is no room for a claim: urgent work is owed in little more than its time on a worker of mean speed.
 */
const MAX_CLAIM_FACTOR = 1.25;

/** Tracks the capacity left for claims during one round. */
export interface ClaimHeadroom {
  /**
   * @param placement - where a unit would be placed
   * @param localGroups - groups of workers local to its data
   * @returns the same or another placement that leaves enough for claims; undefined where it waits
   */
  readonly spare: (
    placement: planTypes.Placement,
    localGroups: planTypes.CandidateGroups,
  ) => planTypes.Placement | undefined;
  readonly recordStart: (placement: planTypes.Placement) => void;
}

/** A claim can take the entire worker without loss: it is idle, or all that runs there checkpoints. */
const isReclaimableWithoutLoss = (worker: planTypes.PlanWorker): boolean => {
  const preemptible = worker.allocations.filter((it) => it.priority > 0 && it.isCheckpointing);
  const reclaimable = preemptible.reduce(
    (sum, it) => sum + it.room.accelerators,
    worker.free.accelerators,
  );
  return reclaimable >= worker.capacity.accelerators && worker.capacity.accelerators > 0;
};

const isRoomForClaims = (worker: planTypes.PlanWorker): boolean =>
  worker.speedFactor <= MAX_CLAIM_FACTOR && isReclaimableWithoutLoss(worker);

const canWait = (unit: planTypes.PlanUnit, nowMs: number): boolean =>
  unit.priority > 0 &&
  !unit.unit.step.isCheckpointing &&
  nowMs < unit.latestStartMs - HEADROOM_SLACK_MS;

/**
 * @param workers - workers at the start of a round
 * @param nowMs - the leader's clock
 * @param speeds - which workers a unit prefers for their speed
 * @returns a tracker of the capacity left for claims
 */
export const createClaimHeadroom = (
  workers: readonly planTypes.PlanWorker[],
  nowMs: number,
  speeds: Pick<speedChoice.SpeedChoice, 'tiersOf'>,
): ClaimHeadroom => {
  const reclaimableIds = new Set(workers.filter(isRoomForClaims).map(({ workerId }) => workerId));
  const minReclaimable = Math.floor(HEADROOM_SHARE * workers.length);
  const isReclaimable = ({ workerId }: planTypes.PlanWorker): boolean =>
    reclaimableIds.has(workerId);

  return {
    spare: (placement, localGroups) => {
      const taken = new Set(placement.workers.filter(isReclaimable));
      const isEnoughLeft = taken.size === 0 || reclaimableIds.size - taken.size >= minReclaimable;
      if (isEnoughLeft || !canWait(placement.unit, nowMs)) return placement;
      const others = localGroups.map((its) => its.filter((it) => !isReclaimable(it)));
      return gangPlacement.placeNow(others, placement.unit, speeds.tiersOf(placement.unit));
    },
    recordStart: ({ unit, workers: its }) => {
      if (unit.unit.step.isCheckpointing) return;
      for (const { workerId } of its) reclaimableIds.delete(workerId);
    },
  };
};
