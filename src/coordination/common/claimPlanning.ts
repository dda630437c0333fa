/**
 * Guaranteed jobs of a round: each claims one instance of a shape, on free accelerators or on lent
 * ones that it takes back.
 *
 * Made for the moment when a customer needs its shape on a full cell. The harm prevented: one claim
 * that takes the place where another customer's shape was to fit. A claim gives up its own place in
 * the assignment of unclaimed shapes. What the other places leave it may take at once, since the rest
 * of the assignment still proves that the others fit; for anything else a new assignment must be
 * found first. Its own place is always left to it, so a claim is never refused while shapes fit.
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

/** What one claim may take. */
interface ClaimStep {
  readonly round: planningRound.PlanningRound;
  readonly record: job.JobRecord;
  /** Accelerators that the other shapes' present places leave on a worker. */
  readonly besideOthers: (worker: number) => number;
  /** All that is free or lent on a worker. */
  readonly anything: (worker: number) => number;
  /** Instances that may stay unplaced after the claim. */
  readonly mostUnplaced: number;
}

/** Whether the other shapes fit beside the plan: by their present places, or else by new ones. */
const leavesOthers = (step: ClaimStep, plan: cellSpace.GangPlan): boolean => {
  const per = step.record.spec.acceleratorsPerMember;
  if (plan.every((it) => it.members * per <= step.besideOthers(it.worker))) return true;
  return planningRound.repack(step.round, step.record, plan, step.mostUnplaced);
};

const findFree = (step: ClaimStep): cellSpace.GangPlan | undefined => {
  const { round, record } = step;
  for (const limit of [step.besideOthers, step.anything]) {
    const open = (worker: number): number =>
      Math.min(cellSpace.openOn(round.space, worker), limit(worker));
    const rules = { open, setAside: round.setAside };
    const plan = gangFit.findGang(round.space, record.spec, rules);
    if (plan !== undefined && leavesOthers(step, plan)) return plan;
  }
  return undefined;
};

/**
 * The least loss over the whole cell comes first. It does not depend on where the other shapes are
 * placed for now, which moves as the cell changes: a choice that followed those places would stop
 * one borrower after another, and the claim would never start.
 */
const findVictims = (step: ClaimStep): reclaim.ReclaimChoice | undefined => {
  for (const limit of [step.anything, step.besideOthers]) {
    const rules = { limit, canStop: () => true };
    const choice = reclaim.chooseVictims(step.round.space, step.record.spec, rules);
    if (choice !== undefined && leavesOthers(step, choice.plan)) return choice;
  }
  return undefined;
};

const claim = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
  plan: cellSpace.GangPlan,
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
  const { space } = round;
  const shapeId = spec.shapeId ?? '';
  if (holdsAll(round, shapeId)) {
    planningRound.wait(round, record, `jobs already claim every instance of shape ${shapeId}`);
    return;
  }
  const isOwnPlaced = round.slots.some((it) => it.shapeId === shapeId);
  const restoreSlot = releaseSlot(round, shapeId);
  const failed = planningRound.failedOn(round, record);
  const anything = (worker: number): number =>
    failed.has(worker) ? 0 : (space.claimable[worker] ?? 0);
  const step: ClaimStep = {
    round,
    record,
    anything,
    besideOthers: (worker) => anything(worker) - (round.setAside[worker] ?? 0),
    mostUnplaced: Math.max(0, round.unplaced.length - Number(!isOwnPlaced)),
  };
  const plan = findFree(step);
  if (plan !== undefined) {
    planningRound.accept(round, record, plan, undefined, `claims shape ${shapeId}`);
    claim(round, record, plan);
    return;
  }
  const choice = findVictims(step);
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
  claim(round, record, choice.plan);
  planningRound.wait(round, record, 'waits for borrowed accelerators to be given back');
};
