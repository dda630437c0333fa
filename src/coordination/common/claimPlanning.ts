/**
 * Plans the guaranteed jobs of a round. Each claims one instance of a shape, on free accelerators
 * or on lent ones that it reclaims.
 *
 * A customer may need its shape on a full cell, and its claim must not take the place that another
 * customer's shape needs. A claim therefore first releases its own slot in the assignment of
 * unclaimed shapes. It may use whatever the other slots leave, since the rest of the assignment
 * shows that the others still fit; for anything else a new assignment must be found first. Its own
 * slot always remains available to it, so a claim is never refused while the shapes fit.
 */
import * as job from '../../state/common/job.js';

import * as cellCapacity from './cellCapacity.js';
import * as gangFit from './gangFit.js';
import * as planningRound from './planningRound.js';
import * as reclaim from './reclaim.js';

/** Removes the claimed instance's slot from the assignment; the result puts it back. */
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

const isFullyClaimed = (round: planningRound.PlanningRound, shapeId: string): boolean => {
  const shape = round.view.document.shapes.find((it) => it.shapeId === shapeId);
  return (round.claims.get(shapeId) ?? 0) >= (shape?.count ?? 0);
};

const useClaimable = (
  round: planningRound.PlanningRound,
  plan: cellCapacity.GangPlan,
  perMember: number,
): void => {
  for (const { worker, members } of plan) {
    const left = (round.capacity.claimable[worker] ?? 0) - members * perMember;
    round.capacity.claimable[worker] = left;
  }
};

/** Capacity that one claim may use. */
interface ClaimStep {
  readonly round: planningRound.PlanningRound;
  readonly record: job.JobRecord;
  /** Claimable accelerators that the slots of the other shapes leave on a worker. */
  readonly leftByOthers: (worker: number) => number;
  /** All free or lent accelerators on a worker. */
  readonly claimable: (worker: number) => number;
  /** Instances that may remain unplaced after the claim. */
  readonly mostUnplaced: number;
}

/** Whether the other shapes fit besides the plan, in their current slots or in new ones. */
const othersStillFit = (step: ClaimStep, plan: cellCapacity.GangPlan): boolean => {
  const per = step.record.spec.acceleratorsPerMember;
  if (plan.every((it) => it.members * per <= step.leftByOthers(it.worker))) return true;
  return planningRound.repack(step.round, step.record, plan, step.mostUnplaced);
};

const findFree = (step: ClaimStep): cellCapacity.GangPlan | undefined => {
  const { round, record } = step;
  for (const limit of [step.leftByOthers, step.claimable]) {
    const open = (worker: number): number =>
      Math.min(cellCapacity.availableOn(round.capacity, worker), limit(worker));
    const rules = { open, setAside: round.setAside };
    const plan = gangFit.findGangPlan(round.capacity, record.spec, rules);
    if (plan !== undefined && othersStillFit(step, plan)) return plan;
  }
  return undefined;
};

/**
 * Prefers the least loss over the complete cell, because it does not depend on the current slots of
 * other shapes, which change with the cell: a choice by those slots would stop one borrower after
 * another and the claim would never start.
 */
const findVictims = (step: ClaimStep): reclaim.ReclaimChoice | undefined => {
  for (const limit of [step.claimable, step.leftByOthers]) {
    const rules = { limit, canStop: () => true };
    const choice = reclaim.chooseVictims(step.round.capacity, step.record.spec, rules);
    if (choice !== undefined && othersStillFit(step, choice.plan)) return choice;
  }
  return undefined;
};

const claim = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
  plan: cellCapacity.GangPlan,
): void => {
  const shapeId = record.spec.shapeId ?? '';
  useClaimable(round, plan, record.spec.acceleratorsPerMember);
  round.claims.set(shapeId, (round.claims.get(shapeId) ?? 0) + 1);
};

/**
 * @param round - the round; changed
 * @param record - a queued job that claims a shape
 */
export const planClaim = (round: planningRound.PlanningRound, record: job.JobRecord): void => {
  const { spec } = record;
  const { capacity } = round;
  const shapeId = spec.shapeId ?? '';
  if (isFullyClaimed(round, shapeId)) {
    planningRound.recordWait(
      round,
      record,
      `all instances of shape ${shapeId} are already claimed`,
    );
    return;
  }
  const isOwnPlaced = round.slots.some((it) => it.shapeId === shapeId);
  const restoreSlot = releaseSlot(round, shapeId);
  const failed = planningRound.excludedWorkers(round, record);
  const anything = (worker: number): number =>
    failed.has(worker) ? 0 : (capacity.claimable[worker] ?? 0);
  const step: ClaimStep = {
    round,
    record,
    claimable: anything,
    leftByOthers: (worker) => anything(worker) - (round.setAside[worker] ?? 0),
    mostUnplaced: Math.max(0, round.unplaced.length - Number(!isOwnPlaced)),
  };
  const plan = findFree(step);
  if (plan !== undefined) {
    planningRound.recordPlacement(round, record, plan, undefined, `claims shape ${shapeId}`);
    claim(round, record, plan);
    return;
  }
  const choice = findVictims(step);
  if (choice === undefined) {
    restoreSlot();
    planningRound.recordWait(
      round,
      record,
      `shape ${shapeId} does not fit on the ready workers together with the other guarantees`,
    );
    return;
  }
  planningRound.preemptFor(round, choice.plan, spec.acceleratorsPerMember, choice.victims, {
    cause: 'reclaimed',
    why: `reclaimed for ${spec.customerId} by job ${spec.jobId}`,
  });
  claim(round, record, choice.plan);
  planningRound.recordWait(round, record, 'waits for borrowed accelerators to be returned');
};
