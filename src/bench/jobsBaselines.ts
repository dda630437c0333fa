/**
 * Baseline planners for the jobs bench. Both apply the limits of the spare rules and the project's
 * failure attribution, so that only the placement differs; neither reclaims, estimates run times or
 * considers guarantees.
 */
import * as failureAttribution from '../coordination/common/failureAttribution.js';
import * as cellCapacity from '../coordination/common/cellCapacity.js';
import * as gangFit from '../coordination/common/gangFit.js';
import * as planningRound from '../coordination/common/planningRound.js';
import type * as planTypes from '../coordination/common/planTypes.js';
import * as reservations from '../coordination/common/reservations.js';
import * as runEstimates from '../coordination/common/runEstimates.js';
import * as spareShares from '../coordination/common/spareShares.js';
import * as job from '../state/common/job.js';

/** Plans one round. */
export type Planner = (view: planTypes.PlanView) => planTypes.Plan;

type Find = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
) => cellCapacity.GangPlan | undefined;

const freeCapacityFor =
  (round: planningRound.PlanningRound, record: job.JobRecord) =>
  (worker: number): number => {
    if (planningRound.excludedWorkers(round, record).has(worker)) return 0;
    return cellCapacity.availableOn(round.capacity, worker);
  };

/** Finds the first workers in order that have capacity for the gang. */
const firstFit: Find = (round, record) => {
  const { spec } = record;
  const open = freeCapacityFor(round, record);
  for (const group of cellCapacity.groupsFor(round.capacity, spec)) {
    const plan: cellCapacity.WorkerShare[] = [];
    let left = spec.members;
    for (const worker of group) {
      const members = Math.min(left, Math.floor(open(worker) / spec.acceleratorsPerMember));
      if (members > 0) plan.push({ worker, members });
      left -= members;
      if (left === 0) return plan;
    }
  }
  return undefined;
};

/** Finds the workers that the gang fits most tightly, ignoring guarantees. */
const bestFit: Find = (round, record) => {
  const open = freeCapacityFor(round, record);
  const endMs = round.view.nowMs + record.spec.declaredRunMs;
  const backfillable = (worker: number): number =>
    endMs <= (round.backfillUntilMs[worker] ?? 0) ? open(worker) : 0;
  return gangFit.findGangPlan(round.capacity, record.spec, { open: backfillable, setAside: [] });
};

const mayBorrow = (
  round: planningRound.PlanningRound,
  borrowing: spareShares.Borrowing,
  record: job.JobRecord,
): string | undefined => {
  const [lane] = spareShares.lanesOf(round, [record]);
  if (lane === undefined) return undefined;
  return spareShares.ruleFor(lane, borrowing, job.acceleratorsOf(record))?.ruleId;
};

const planWith =
  (find: Find, hasBackfill: boolean): Planner =>
  (view) => {
    const attributed = failureAttribution.attributeFailures(view);
    const bad = new Set(attributed.quarantines.map((it) => it.workerId));
    const workers = view.workers.map((it) =>
      bad.has(it.workerId) ? { ...it, health: 'quarantined' as const } : it,
    );
    const round = planningRound.beginRound({
      ...view,
      workers,
      estimates: runEstimates.NO_ESTIMATES,
    });
    const borrowing = spareShares.borrowingOf(round.placed);
    let isHeadReserved = false;
    for (const record of view.jobs) {
      if (record.state !== job.JobState.queued) continue;
      const isClaim = record.spec.claim === job.Claim.guaranteed;
      const ruleId = isClaim ? undefined : mayBorrow(round, borrowing, record);
      if (!isClaim && ruleId === undefined) continue;
      const plan = find(round, record);
      if (plan !== undefined) {
        planningRound.recordPlacement(round, record, plan, ruleId, 'fits');
        if (ruleId !== undefined) spareShares.note(borrowing, record, ruleId);
        continue;
      }
      if (!hasBackfill) break;
      if (isHeadReserved) continue;
      isHeadReserved = true;
      const reservation = reservations.earliestFit(round, record);
      for (const { worker } of reservation?.plan ?? []) {
        round.backfillUntilMs[worker] = reservation?.atMs ?? 0;
      }
    }
    const { placements, stops, waits } = round;
    return { ...attributed, placements, stops, waits };
  };

/** FIFO on the first workers that fit; a queue head that doesn't fit blocks all later jobs. */
export const firstFitFifo: Planner = planWith(firstFit, false);

/**
 * FIFO on the most tightly fitting workers; the first job that doesn't fit gets a reservation, and later
 * jobs backfill if their declared run time ends before it.
 */
export const bestFitBackfill: Planner = planWith(bestFit, true);
