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
  /** Queued jobs that claim a shape, in the order of their submission. */
  readonly queuedClaims: readonly job.JobRecord[];
  /** Queued jobs that borrow, in the order of their submission. */
  readonly queuedSpare: readonly job.JobRecord[];
  /** Jobs that hold accelerators. */
  readonly placed: readonly job.JobRecord[];
  readonly space: cellSpace.CellSpace;
  readonly estimates: runEstimates.RunEstimates;
  /** Instances of each shape that are claimed, with what this round added. */
  readonly claims: Map<string, number>;
  /** Accelerators on each worker that unclaimed shapes are shown to fit on. */
  readonly setAside: number[];
  readonly slots: guaranteeCheck.ShapeSlot[];
  readonly unplaced: guaranteeCheck.UnclaimedShape[];
  /** Accelerators on each worker of the place that can always be cleared for a large job. */
  readonly clearable: number[];
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
    const { customerId } = record.spec;
    held.set(customerId, (held.get(customerId) ?? 0) + job.acceleratorsOf(record));
  }
  return held;
};

/** One pass over the jobs of the cell: at some thousand jobs each further pass shows in the round. */
const splitJobs = (
  jobs: readonly job.JobRecord[],
): Pick<PlanningRound, 'queuedClaims' | 'queuedSpare' | 'placed'> => {
  const queuedClaims: job.JobRecord[] = [];
  const queuedSpare: job.JobRecord[] = [];
  const placed: job.JobRecord[] = [];
  for (const record of jobs) {
    if (record.placement.length > 0) placed.push(record);
    if (record.state !== job.JobState.queued) continue;
    if (record.spec.claim === job.Claim.guaranteed) queuedClaims.push(record);
    else queuedSpare.push(record);
  }
  return { queuedClaims, queuedSpare, placed };
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
  const { queuedClaims, queuedSpare, placed } = splitJobs(view.jobs);
  const space = cellSpace.createCellSpace(view, placed);
  const claims = guaranteeCheck.countClaims(placed);
  const forms = guaranteeCheck.unclaimedShapes(view.document, view.cell, claims);
  const cell = view.document.cells.find((it) => it.cell === view.cell);
  const perWorker = cell?.acceleratorsPerWorker ?? 1;
  const packing = guaranteeCheck.packShapes(space, space.claimable, forms, perWorker);
  return {
    view,
    queuedClaims,
    queuedSpare,
    placed,
    space,
    estimates: view.estimates ?? runEstimates.NO_ESTIMATES,
    claims,
    setAside: [...packing.setAside],
    slots: [...packing.slots],
    unplaced: [...packing.unplaced],
    clearable: space.all.map(() => 0),
    backfillUntilMs: space.all.map(() => Number.POSITIVE_INFINITY),
    reservedAtMs: [],
    placements: [],
    stops: [],
    waits: [],
    warnings: infeasible(packing.unplaced),
    heldBy: heldByCustomer(placed),
  };
};

/**
 * Looks for a new assignment of the unclaimed shapes beside a claim that would break the present one,
 * and takes it where it leaves no more shapes unplaced.
 *
 * @param round - the round; changed where the answer is yes
 * @param record - the claim
 * @param plan - where its members would go
 * @param mostUnplaced - instances that may stay unplaced
 * @returns whether the other shapes still fit
 */
export const repack = (
  round: PlanningRound,
  record: job.JobRecord,
  plan: cellSpace.GangPlan,
  mostUnplaced: number,
): boolean => {
  const { document, cell } = round.view;
  const shapeId = record.spec.shapeId ?? '';
  const claims = new Map(round.claims).set(shapeId, (round.claims.get(shapeId) ?? 0) + 1);
  const claimable = [...round.space.claimable];
  for (const { worker, members } of plan) {
    const left = (claimable[worker] ?? 0) - members * record.spec.acceleratorsPerMember;
    if (left < 0) return false;
    claimable[worker] = left;
  }
  const forms = guaranteeCheck.unclaimedShapes(document, cell, claims);
  const perWorker = document.cells.find((it) => it.cell === cell)?.acceleratorsPerWorker ?? 1;
  const packing = guaranteeCheck.packShapes(round.space, claimable, forms, perWorker);
  if (packing.unplaced.length > mostUnplaced) return false;
  round.setAside.splice(0, round.setAside.length, ...packing.setAside);
  round.slots.splice(0, round.slots.length, ...packing.slots);
  round.unplaced.splice(0, round.unplaced.length, ...packing.unplaced);
  return true;
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
