/**
 * Shared state of one planning round and the operations that change it.
 */
import * as job from '../../state/common/job.js';

import * as cellCapacity from './cellCapacity.js';
import * as guaranteeCheck from './guaranteeCheck.js';
import type * as planTypes from './planTypes.js';
import * as runEstimates from './runEstimates.js';

/** State of one round. Its steps fill `placements`, `stops` and `waits`. */
export interface PlanningRound {
  readonly view: planTypes.PlanView;
  /** Queued jobs that claim a shape, in order of submission. */
  readonly queuedClaims: readonly job.JobRecord[];
  /** Queued jobs that borrow, in order of submission. */
  readonly queuedSpare: readonly job.JobRecord[];
  /** Jobs with an allocation. */
  readonly placed: readonly job.JobRecord[];
  readonly capacity: cellCapacity.CellCapacity;
  readonly estimates: runEstimates.RunEstimates;
  /** Claimed instances by shape, including those of this round. */
  readonly claims: Map<string, number>;
  /** Accelerators on each worker that the assignment of unclaimed shapes uses. */
  readonly setAside: number[];
  readonly slots: guaranteeCheck.ShapeSlot[];
  readonly unplaced: guaranteeCheck.UnclaimedShape[];
  /** Accelerators on each worker of the place that is kept clearable for a large job. */
  readonly clearable: number[];
  /** Time by which a backfilled job that can't yield must end, by worker. */
  readonly backfillUntilMs: number[];
  /** Expected start times of the reservations of this round. */
  readonly reservationStartsMs: number[];
  readonly placements: planTypes.PlannedPlacement[];
  readonly stops: planTypes.PlannedStop[];
  readonly waits: planTypes.PlannedWait[];
  readonly warnings: string[];
  /** Accelerators allocated to each customer's jobs. */
  readonly allocatedByCustomer: Map<string, number>;
}

const allocatedByCustomer = (jobs: readonly job.JobRecord[]): Map<string, number> => {
  const held = new Map<string, number>();
  for (const record of jobs) {
    const { customerId } = record.spec;
    held.set(customerId, (held.get(customerId) ?? 0) + job.acceleratorsOf(record));
  }
  return held;
};

/**
 * A single pass over the jobs: at some thousand jobs each further pass noticeably slows the round.
 */
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

const infeasibleWarnings = (unplaced: readonly guaranteeCheck.UnclaimedShape[]): string[] => {
  const counts = new Map<string, number>();
  for (const { shape } of unplaced) counts.set(shape.shapeId, (counts.get(shape.shapeId) ?? 0) + 1);
  return [...counts].map(
    ([shapeId, count]) =>
      `${count} of the unclaimed instances of shape ${shapeId} can't be shown to fit on the ` +
      'workers that are ready; until they do, only jobs that can checkpoint may borrow',
  );
};

/**
 * @param view - the current state of the cell
 * @returns a round without decisions
 */
export const beginRound = (view: planTypes.PlanView): PlanningRound => {
  const { queuedClaims, queuedSpare, placed } = splitJobs(view.jobs);
  const capacity = cellCapacity.createCellCapacity(view, placed);
  const claims = guaranteeCheck.countClaims(placed);
  const forms = guaranteeCheck.unclaimedShapes(view.document, view.cell, claims);
  const cell = view.document.cells.find((it) => it.cell === view.cell);
  const perWorker = cell?.acceleratorsPerWorker ?? 1;
  const packing = guaranteeCheck.packShapes(capacity, capacity.claimable, forms, perWorker);
  return {
    view,
    queuedClaims,
    queuedSpare,
    placed,
    capacity,
    estimates: view.estimates ?? runEstimates.NO_ESTIMATES,
    claims,
    setAside: [...packing.setAside],
    slots: [...packing.slots],
    unplaced: [...packing.unplaced],
    clearable: capacity.all.map(() => 0),
    backfillUntilMs: capacity.all.map(() => Number.POSITIVE_INFINITY),
    reservationStartsMs: [],
    placements: [],
    stops: [],
    waits: [],
    warnings: infeasibleWarnings(packing.unplaced),
    allocatedByCustomer: allocatedByCustomer(placed),
  };
};

/**
 * Searches for a new assignment of the unclaimed shapes besides a claim that breaks the current
 * one, and adopts it if it leaves no more shapes unplaced.
 *
 * @param round - the round; changed if the result is true
 * @param record - the claim
 * @param plan - proposed number of members per worker
 * @param mostUnplaced - instances that may remain unplaced
 * @returns whether the other shapes still fit
 */
export const repack = (
  round: PlanningRound,
  record: job.JobRecord,
  plan: cellCapacity.GangPlan,
  mostUnplaced: number,
): boolean => {
  const { document, cell } = round.view;
  const shapeId = record.spec.shapeId ?? '';
  const claims = new Map(round.claims).set(shapeId, (round.claims.get(shapeId) ?? 0) + 1);
  const claimable = [...round.capacity.claimable];
  for (const { worker, members } of plan) {
    const left = (claimable[worker] ?? 0) - members * record.spec.acceleratorsPerMember;
    if (left < 0) return false;
    claimable[worker] = left;
  }
  const forms = guaranteeCheck.unclaimedShapes(document, cell, claims);
  const perWorker = document.cells.find((it) => it.cell === cell)?.acceleratorsPerWorker ?? 1;
  const packing = guaranteeCheck.packShapes(round.capacity, claimable, forms, perWorker);
  if (packing.unplaced.length > mostUnplaced) return false;
  round.setAside.splice(0, round.setAside.length, ...packing.setAside);
  round.slots.splice(0, round.slots.length, ...packing.slots);
  round.unplaced.splice(0, round.unplaced.length, ...packing.unplaced);
  return true;
};

/**
 * @param round - the round; changed
 * @param record - a job to be placed
 * @param plan - number of members per worker
 * @param ruleId - the spare rule under which it borrows
 * @param why - human-readable reason
 */
export const recordPlacement = (
  round: PlanningRound,
  record: job.JobRecord,
  plan: cellCapacity.GangPlan,
  ruleId: string | undefined,
  why: string,
): void => {
  const { spec } = record;
  const placement = cellCapacity.allocateGang(round.capacity, plan, spec.acceleratorsPerMember);
  const held = round.allocatedByCustomer.get(spec.customerId) ?? 0;
  round.allocatedByCustomer.set(spec.customerId, held + job.acceleratorsOf(record));
  round.placements.push({ jobId: spec.jobId, placement, ruleId, why });
};

/**
 * @param round - the round; changed
 * @param record - a job that stays queued
 * @param why - human-readable reason
 */
export const recordWait = (round: PlanningRound, record: job.JobRecord, why: string): void => {
  round.waits.push({ jobId: record.spec.jobId, why });
};

/**
 * Preempts borrowing jobs for a gang and holds back its place from all other jobs in this round.
 *
 * @param round - the round; changed
 * @param plan - future number of members per worker
 * @param perMember - accelerators of each member
 * @param victims - preemption victims
 * @param stop - cause and reason
 */
export const preemptFor = (
  round: PlanningRound,
  plan: cellCapacity.GangPlan,
  perMember: number,
  victims: readonly cellCapacity.Borrower[],
  stop: Omit<planTypes.PlannedStop, 'jobId'>,
): void => {
  for (const victim of victims) {
    victim.isLeaving = true;
    round.stops.push({ jobId: victim.record.spec.jobId, ...stop });
  }
  for (const { worker, members } of plan) {
    round.capacity.kept[worker] = (round.capacity.kept[worker] ?? 0) + members * perMember;
  }
};

const NO_WORKERS: ReadonlySet<number> = new Set();

/** Whether the job would fit on the ready workers that are not excluded if they were empty. */
const couldFit = (
  round: PlanningRound,
  spec: job.JobSpec,
  excluded: ReadonlySet<number>,
): boolean =>
  cellCapacity.groupsFor(round.capacity, spec).some((group) => {
    let memberCapacity = 0;
    for (const worker of group) {
      const it = round.capacity.workers[worker];
      if (it?.health !== 'ready' || excluded.has(worker)) continue;
      memberCapacity += Math.floor(it.accelerators / spec.acceleratorsPerMember);
    }
    return memberCapacity >= spec.members;
  });

/**
 * Guards against a job that fails repeatedly on one faulty worker, and against a faulty job that
 * never becomes unrunnable because it returns to the same worker: a second failure there would not
 * show which of the two is faulty.
 *
 * @param round - the round
 * @param record - a job
 * @returns indexes of the workers on which it failed, to be excluded; where too few others remain
 *   to hold it, the workers of its oldest failures are allowed again first
 */
export const excludedWorkers = (
  round: PlanningRound,
  record: job.JobRecord,
): ReadonlySet<number> => {
  if (record.failures.length === 0) return NO_WORKERS;
  const workerIds = [...new Set(record.failures.map((it) => it.workerId))];
  for (let from = 0; from < workerIds.length; from += 1) {
    const excluded = new Set(
      workerIds.slice(from).map((it) => round.capacity.indexOf.get(it) ?? -1),
    );
    if (couldFit(round, record.spec, excluded)) return excluded;
  }
  return NO_WORKERS;
};
