/**
 * Guaranteed jobs of a round: each claims one instance of a shape, on free accelerators or on lent
 * ones that it takes back.
 *
 * Made for the moment when a customer needs its shape on a full cell. The harm prevented: one claim
 * that takes the place where another customer's shape was to fit. A claim gives up its own place in
 * the assignment of unclaimed shapes and may then take whatever the other places leave, so the rest
 * of the assignment stays as it was and still proves that all other shapes fit.
 */
import * as job from '../../state/common/job.js';

import * as cellSpace from './cellSpace.js';
import * as gangFit from './gangFit.js';
import * as planningRound from './planningRound.js';
import * as reclaim from './reclaim.js';

/** Removes the claimed instance's place from the assignment. */
const releaseSlot = (round: planningRound.PlanningRound, shapeId: string): (() => void) => {
  const at = round.slots.findIndex((it) => it.shapeId === shapeId);
  const slot = round.slots[at];
  if (slot === undefined) return () => undefined;
  round.slots.splice(at, 1);
  const change = (sign: number): void => {
    slot.workers.forEach((worker, index) => {
      const part = slot.accelerators[index] ?? 0;
      round.setAside[worker] = (round.setAside[worker] ?? 0) + sign * part;
    });
  };
  change(-1);
  return () => {
    round.slots.push(slot);
    change(1);
  };
};

const holdsAll = (round: planningRound.PlanningRound, shapeId: string): boolean => {
  const shape = round.view.document.shapes.find((it) => it.shapeId === shapeId);
  return (round.claims.get(shapeId) ?? 0) >= (shape?.count ?? 0);
};

const useClaimable = (
  round: planningRound.PlanningRound,
  plan: cellSpace.GangPlan,
  perMember: number,
): void => {
  for (const { worker, members } of plan) {
    const left = (round.space.claimable[worker] ?? 0) - members * perMember;
    round.space.claimable[worker] = left;
  }
};

/**
 * @param round - the round; changed
 * @param record - a queued job that claims a shape
 */
export const planClaim = (round: planningRound.PlanningRound, record: job.JobRecord): void => {
  const { spec } = record;
  const { space } = round;
  const shapeId = spec.shapeId ?? '';
  if (holdsAll(round, shapeId)) {
    planningRound.wait(round, record, `jobs already claim every instance of shape ${shapeId}`);
    return;
  }
  const restoreSlot = releaseSlot(round, shapeId);
  const failed = planningRound.failedOn(round, record);
  const limit = (worker: number): number =>
    failed.has(worker) ? 0 : (space.claimable[worker] ?? 0) - (round.setAside[worker] ?? 0);
  const open = (worker: number): number => Math.min(cellSpace.openOn(space, worker), limit(worker));
  const plan = gangFit.findGang(space, spec, { open, setAside: round.setAside });
  if (plan !== undefined) {
    planningRound.accept(round, record, plan, undefined, `claims shape ${shapeId}`);
    useClaimable(round, plan, spec.acceleratorsPerMember);
    round.claims.set(shapeId, (round.claims.get(shapeId) ?? 0) + 1);
    return;
  }
  const choice = reclaim.chooseVictims(space, spec, {
    limit,
    canStop: () => true,
    lossMs: (it) => reclaim.lossOf(it, round.view.nowMs),
  });
  if (choice === undefined) {
    restoreSlot();
    planningRound.wait(
      round,
      record,
      `no workers that are ready hold shape ${shapeId} beside the other guarantees`,
    );
    return;
  }
  planningRound.makeRoom(round, choice.plan, spec.acceleratorsPerMember, choice.victims, {
    cause: 'reclaimed',
    why: `claimed back for ${spec.customerId} by job ${spec.jobId}`,
  });
  useClaimable(round, choice.plan, spec.acceleratorsPerMember);
  round.claims.set(shapeId, (round.claims.get(shapeId) ?? 0) + 1);
  planningRound.wait(round, record, 'waits for borrowed accelerators to be given back');
};
