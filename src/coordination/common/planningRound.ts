/**
 * The state of one planning round that its steps share, and the few ways in which they change it.
 */
import * as job from '../../state/common/job.js';

import * as cellSpace from './cellSpace.js';
import * as guaranteeCheck from './guaranteeCheck.js';
import type * as planTypes from './planTypes.js';
import * as runEstimates from './runEstimates.js';

/** One round. The steps fill `placements`, `stops` and `waits`. */
export interface PlanningRound {
  readonly view: planTypes.PlanView;
  readonly space: cellSpace.CellSpace;
  readonly estimates: runEstimates.RunEstimates;
  /** Instances of each shape that are claimed, with what this round added. */
  readonly claims: Map<string, number>;
  /** Accelerators on each worker that unclaimed shapes are shown to fit on. */
  readonly setAside: number[];
  readonly slots: guaranteeCheck.ShapeSlot[];
  readonly unplaced: readonly guaranteeCheck.UnclaimedShape[];
  /** Beneath a reservation, the moment by which a job that can't yield must end, by worker. */
  readonly backfillUntilMs: number[];
  /** When the reservations of this round are expected to start. */
  readonly reservedAtMs: number[];
  readonly placements: planTypes.PlannedPlacement[];
  readonly stops: planTypes.PlannedStop[];
  readonly waits: planTypes.PlannedWait[];
  readonly warnings: string[];
  /** Accelerators that each customer's jobs hold. */
  readonly heldBy: Map<string, number>;
}

const heldByCustomer = (jobs: readonly job.JobRecord[]): Map<string, number> => {
  const held = new Map<string, number>();
  for (const record of jobs) {
    if (record.placement.length === 0) continue;
    const { customerId } = record.spec;
    held.set(customerId, (held.get(customerId) ?? 0) + job.acceleratorsOf(record));
  }
  return held;
};

const infeasible = (unplaced: readonly guaranteeCheck.UnclaimedShape[]): string[] => {
  const counts = new Map<string, number>();
  for (const { shape } of unplaced) counts.set(shape.shapeId, (counts.get(shape.shapeId) ?? 0) + 1);
  return [...counts].map(
    ([shapeId, count]) =>
      `${count} of the unclaimed instances of shape ${shapeId} can't be shown to fit on the ` +
      'workers that are ready; until they do, only jobs that can checkpoint may borrow',
  );
};

/**
 * @param view - the cell now
 * @returns a round in which nothing is decided
 */
export const beginRound = (view: planTypes.PlanView): PlanningRound => {
  const space = cellSpace.createCellSpace(view);
  const claims = guaranteeCheck.countClaims(view.jobs);
  const forms = guaranteeCheck.unclaimedShapes(view.document, view.cell, claims);
  const cell = view.document.cells.find((it) => it.cell === view.cell);
  const perWorker = cell?.acceleratorsPerWorker ?? 1;
  const packing = guaranteeCheck.packShapes(space, space.claimable, forms, perWorker);
  return {
    view,
    space,
    estimates: view.estimates ?? runEstimates.NO_ESTIMATES,
    claims,
    setAside: [...packing.setAside],
    slots: [...packing.slots],
    unplaced: packing.unplaced,
    backfillUntilMs: space.all.map(() => Number.POSITIVE_INFINITY),
    reservedAtMs: [],
    placements: [],
    stops: [],
    waits: [],
    warnings: infeasible(packing.unplaced),
    heldBy: heldByCustomer(view.jobs),
  };
};

/**
 * @param round - the round; changed
 * @param record - a job that gets accelerators
 * @param plan - where its members go
 * @param ruleId - the spare rule it borrows by
 * @param why - for people
 */
export const accept = (
  round: PlanningRound,
  record: job.JobRecord,
  plan: cellSpace.GangPlan,
  ruleId: string | undefined,
  why: string,
): void => {
  const { spec } = record;
  const placement = cellSpace.takeGang(round.space, plan, spec.acceleratorsPerMember);
  const held = round.heldBy.get(spec.customerId) ?? 0;
  round.heldBy.set(spec.customerId, held + job.acceleratorsOf(record));
  round.placements.push({ jobId: spec.jobId, placement, ruleId, why });
};

/**
 * @param round - the round; changed
 * @param record - a job that stays in the queue
 * @param why - for people
 */
export const wait = (round: PlanningRound, record: job.JobRecord, why: string): void => {
  round.waits.push({ jobId: record.spec.jobId, why });
};

/**
 * Stops borrowed jobs for a gang and keeps its place from everyone else in this round.
 *
 * @param round - the round; changed
 * @param plan - where the gang will go
 * @param perMember - accelerators of each member
 * @param victims - jobs that leave for it
 * @param stop - cause and reason
 */
export const makeRoom = (
  round: PlanningRound,
  plan: cellSpace.GangPlan,
  perMember: number,
  victims: readonly cellSpace.Borrower[],
  stop: Omit<planTypes.PlannedStop, 'jobId'>,
): void => {
  for (const victim of victims) {
    victim.isLeaving = true;
    round.stops.push({ jobId: victim.record.spec.jobId, ...stop });
  }
  for (const { worker, members } of plan) {
    round.space.kept[worker] = (round.space.kept[worker] ?? 0) + members * perMember;
  }
};

const NO_WORKERS: ReadonlySet<number> = new Set();

/** Whether the job would fit on ready workers outside a set if they were empty. */
const couldFit = (
  round: PlanningRound,
  spec: job.JobSpec,
  excluded: ReadonlySet<number>,
): boolean =>
  cellSpace.groupsFor(round.space, spec).some((group) => {
    let room = 0;
    for (const worker of group) {
      const it = round.space.workers[worker];
      if (it?.health !== 'ready' || excluded.has(worker)) continue;
      room += Math.floor(it.accelerators / spec.acceleratorsPerMember);
    }
    return room >= spec.members;
  });

/**
 * Guards against a job that fails again and again on one bad worker, and against a bad job that is
 * never given up because it comes back to the worker that it has failed on: the second failure there
 * would say nothing about which of the two is bad.
 *
 * @param round - the round
 * @param record - a job
 * @returns indexes of the workers on which it failed and is not tried again; where too few others
 *   are left to hold it, the workers of its oldest failures are tried again first
 */
export const failedOn = (round: PlanningRound, record: job.JobRecord): ReadonlySet<number> => {
  if (record.failures.length === 0) return NO_WORKERS;
  const workerIds = [...new Set(record.failures.map((it) => it.workerId))];
  for (let from = 0; from < workerIds.length; from += 1) {
    const excluded = new Set(workerIds.slice(from).map((it) => round.space.indexOf.get(it) ?? -1));
    if (couldFit(round, record.spec, excluded)) return excluded;
  }
  return NO_WORKERS;
};
