/**
 * Keeps large jobs from starving: a reservation after a bounded wait, backfill beneath it, and
 * compaction where moving small jobs makes room.
 *
 * Made for a steady stream of small jobs: each fits into what the last one left, so the adjacent
 * accelerators that a gang needs never come free together. Jobs that start while a large job waits
 * do so beneath it: they yield when its reservation comes, and those that can't checkpoint may start
 * only if they are expected to end before it. A job that outlives its estimate yields as well, so it
 * can't hold the reservation hostage.
 */
import * as job from '../../state/common/job.js';

import * as cellSpace from './cellSpace.js';
import * as gangFit from './gangFit.js';
import * as guaranteeCheck from './guaranteeCheck.js';
import * as planningRound from './planningRound.js';
import * as reclaim from './reclaim.js';
import * as runEstimates from './runEstimates.js';
import * as workLoss from './workLoss.js';

/** More reservations at a time would idle most of a small cell for jobs far back in the queue. */
export const MAX_RESERVATIONS = 2;

/** A job that was started so often is not squeezed out again, but by a guaranteed claim. */
export const SQUEEZE_LIMIT = 3;

/** Compaction must save this many times the accelerator-time that it loses, or jobs only move. */
export const COMPACTION_GAIN = 3;

/**
 * Jobs that can't be moved count as short up to this many waits of a large job: a large job may wait
 * three times as long as alone, of which one is its wait for the reservation.
 */
const PINNING_WAITS = 2;

const isLarge = (round: planningRound.PlanningRound, record: job.JobRecord): boolean =>
  job.acceleratorsOf(record) >= round.view.document.placement.largeJobAccelerators;

/**
 * @param round - the round
 * @param record - a queued job
 * @returns whether it is large and has waited long enough for a reservation
 */
export const isDue = (round: planningRound.PlanningRound, record: job.JobRecord): boolean =>
  isLarge(round, record) &&
  round.view.nowMs - record.submittedAtMs >= round.view.document.placement.largeJobWaitMs;

/**
 * @param record - a job
 * @returns whether it may be stopped for a reservation and go on later
 */
export const canYield = (record: job.JobRecord): boolean =>
  record.spec.isCheckpointable && record.attempt < SQUEEZE_LIMIT;

/**
 * @param round - the round
 * @param record - a job that borrows or wants to
 * @returns whether it can't be moved for much longer than a large job is to wait
 */
export const isPinning = (round: planningRound.PlanningRound, record: job.JobRecord): boolean => {
  if (record.spec.isCheckpointable || isLarge(round, record)) return false;
  const { estimates, view } = round;
  const quantile = runEstimates.ORDER_QUANTILE;
  const leftMs = runEstimates.remainingMs(estimates, record, view.nowMs, quantile);
  return leftMs > PINNING_WAITS * view.document.placement.largeJobWaitMs;
};

/**
 * Keeps one place for a large job free of jobs that can't be moved: such a job on each rack of a
 * small cell would make every large job wait for its end, whatever else yields.
 *
 * @param round - the round; changed
 */
export const keepClearable = (round: planningRound.PlanningRound): void => {
  const { space, view } = round;
  const left = [...space.claimable];
  for (const record of round.placed) {
    if (record.spec.claim !== job.Claim.spare || !isPinning(round, record)) continue;
    for (const { workerId, accelerators } of record.placement) {
      const worker = space.indexOf.get(workerId) ?? -1;
      left[worker] = Math.max(0, (left[worker] ?? 0) - accelerators.length);
    }
  }
  const cell = view.document.cells.find((it) => it.cell === view.cell);
  const perWorker = cell?.acceleratorsPerWorker ?? 1;
  const accelerators = view.document.placement.largeJobAccelerators;
  const place = {
    shapeId: '',
    customerId: '',
    cell: view.cell,
    accelerators,
    adjacency: 'rack' as const,
    count: 1,
  };
  const form = { shape: place, ...guaranteeCheck.canonicalForm(accelerators, perWorker) };
  const packing = guaranteeCheck.packShapes(space, left, [form], perWorker);
  packing.setAside.forEach((size, worker) => {
    round.clearable[worker] = size;
  });
};

const hasOutlived = (round: planningRound.PlanningRound, record: job.JobRecord): boolean => {
  const startedAtMs = record.startedAtMs ?? round.view.nowMs;
  const safeMs = runEstimates.runMsOf(round.estimates, record.spec, runEstimates.SAFE_QUANTILE);
  return round.view.nowMs - startedAtMs + record.checkpointMs > safeMs;
};

/** Whether a borrower started beneath the waiting job and has to make way for it. */
const yieldsTo = (
  round: planningRound.PlanningRound,
  waiting: job.JobRecord,
  borrower: job.JobRecord,
): boolean => {
  const startedAtMs = borrower.startedAtMs ?? round.view.nowMs;
  if (isLarge(round, borrower)) return false;
  // Without the limit a job that always outlives its estimate would be stopped for ever.
  if (borrower.attempt >= SQUEEZE_LIMIT) return false;
  if (borrower.spec.isCheckpointable) return true;
  return startedAtMs >= waiting.submittedAtMs && hasOutlived(round, borrower);
};

interface Ending {
  readonly atMs: number;
  readonly record: job.JobRecord;
}

const endingsOf = (round: planningRound.PlanningRound): Ending[] => {
  const { nowMs } = round.view;
  return round.placed
    .map((record) => {
      const leftMs = runEstimates.remainingMs(
        round.estimates,
        record,
        nowMs,
        runEstimates.SAFE_QUANTILE,
      );
      return { atMs: nowMs + leftMs, record };
    })
    .sort((a, b) => a.atMs - b.atMs);
};

/** When and where a large job is expected to fit. */
export interface Reservation {
  readonly atMs: number;
  readonly plan: cellSpace.GangPlan;
}

/**
 * @param round - the round
 * @param record - a queued job
 * @returns the earliest moment at which running jobs are expected to have left room for the gang
 */
export const earliestFit = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
): Reservation | undefined => {
  const { space } = round;
  const failed = planningRound.failedOn(round, record);
  const coming = space.all.map((worker) => cellSpace.openOn(space, worker));
  const isReady = space.workers.map((it) => it.health === 'ready');
  const open = (worker: number): number => (failed.has(worker) ? 0 : (coming[worker] ?? 0));
  const groups = cellSpace.groupsFor(space, record.spec);
  const { members, acceleratorsPerMember: per } = record.spec;
  const roomOn = (worker: number): number => Math.floor(open(worker) / per);
  const groupOf = space.all.map(() => 0);
  const room = groups.map((group, index) => {
    for (const worker of group) groupOf[worker] = index;
    return group.reduce((sum, worker) => sum + roomOn(worker), 0);
  });
  for (const ending of endingsOf(round)) {
    let isRoom = false;
    for (const { workerId, accelerators } of ending.record.placement) {
      const worker = space.indexOf.get(workerId) ?? -1;
      if (isReady[worker] !== true) continue;
      const before = roomOn(worker);
      coming[worker] = (coming[worker] ?? 0) + accelerators.length;
      const group = groupOf[worker] ?? 0;
      room[group] = (room[group] ?? 0) + roomOn(worker) - before;
      isRoom ||= (room[group] ?? 0) >= members;
    }
    if (!isRoom) continue;
    const rules = { open, setAside: NOTHING_SET_ASIDE, isAhead: true };
    const plan = gangFit.findGang(space, record.spec, rules);
    if (plan !== undefined) return { atMs: ending.atMs, plan };
  }
  return undefined;
};

const NOTHING_SET_ASIDE: readonly number[] = [];

/** Whether all victims find room elsewhere while the gang's own place stays empty. */
const canMove = (
  round: planningRound.PlanningRound,
  choice: reclaim.ReclaimChoice,
  perMember: number,
): boolean => {
  const { space } = round;
  const open = space.all.map((worker) => cellSpace.openOn(space, worker));
  for (const { worker, members } of choice.plan) {
    open[worker] = Math.max(0, (open[worker] ?? 0) - members * perMember);
  }
  return choice.victims.every(({ record }) => {
    const plan = gangFit.findGang(space, record.spec, {
      open: (worker) => open[worker] ?? 0,
      setAside: NOTHING_SET_ASIDE,
    });
    for (const { worker, members } of plan ?? []) {
      const taken = members * record.spec.acceleratorsPerMember;
      open[worker] = (open[worker] ?? 0) - taken;
    }
    return plan !== undefined;
  });
};

const tryYield = (round: planningRound.PlanningRound, record: job.JobRecord): boolean => {
  const failed = planningRound.failedOn(round, record);
  const per = record.spec.acceleratorsPerMember;
  const choice = reclaim.chooseVictims(round.space, record.spec, {
    limit: (worker) => (failed.has(worker) ? 0 : Number.POSITIVE_INFINITY),
    canStop: (it) => yieldsTo(round, record, it.record),
  });
  if (choice === undefined) return false;
  planningRound.makeRoom(round, choice.plan, per, choice.victims, {
    cause: 'reclaimed',
    why: `started beneath the reservation of large job ${record.spec.jobId}`,
  });
  planningRound.wait(round, record, 'reserved: waits for jobs beneath it to stop');
  return true;
};

const tryCompaction = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
  savedMs: number,
): boolean => {
  const failed = planningRound.failedOn(round, record);
  const per = record.spec.acceleratorsPerMember;
  const choice = reclaim.chooseVictims(round.space, record.spec, {
    limit: (worker) => (failed.has(worker) ? 0 : Number.POSITIVE_INFINITY),
    canStop: (it) => canYield(it.record) && !isLarge(round, it.record),
  });
  if (choice === undefined) return false;
  const lossMs = choice.victims.reduce(
    (sum, it) => sum + workLoss.CHECKPOINT_LOSS_MS * job.acceleratorsOf(it.record),
    0,
  );
  const gainMs = savedMs * job.acceleratorsOf(record);
  if (gainMs < COMPACTION_GAIN * lossMs || !canMove(round, choice, per)) return false;
  planningRound.makeRoom(round, choice.plan, per, choice.victims, {
    cause: 'compacted',
    why: `moves to make adjacent room for large job ${record.spec.jobId}`,
  });
  planningRound.wait(round, record, 'reserved: waits for smaller jobs to move');
  return true;
};

/**
 * Stops the customer's own smaller jobs where they use up what its rules allow: otherwise a customer
 * that always has small jobs could never run a large one. None is stopped before all together free
 * enough, since the large job could not start then and the stops would be for nothing.
 *
 * @param round - the round; changed
 * @param record - a large job that no rule has room for
 * @param missing - accelerators that must be given back before a rule has room
 * @returns whether enough of them yield
 */
export const yieldAllowance = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
  missing: number,
): boolean => {
  const own = new Set<cellSpace.Borrower>();
  for (const borrowers of round.space.borrowers) {
    for (const it of borrowers) {
      if (it.record.spec.customerId === record.spec.customerId) own.add(it);
    }
  }
  const victims: cellSpace.Borrower[] = [];
  let given = 0;
  for (const it of [...own].sort((a, b) => a.lossMs - b.lossMs)) {
    if (given >= missing) break;
    if (!it.isLeaving && !yieldsTo(round, record, it.record)) continue;
    given += job.acceleratorsOf(it.record);
    if (!it.isLeaving) victims.push(it);
  }
  planningRound.wait(round, record, 'waits until its spare rule allows it enough accelerators');
  if (given < missing) return false;
  planningRound.makeRoom(round, [], 0, victims, {
    cause: 'reclaimed',
    why: `uses up the allowance that large job ${record.spec.jobId} of its customer waits for`,
  });
  return true;
};

/**
 * Reserves for a large job that could not be placed now.
 *
 * @param round - the round; changed
 * @param record - the job
 */
export const reserve = (round: planningRound.PlanningRound, record: job.JobRecord): void => {
  if (tryYield(round, record)) return;
  const reservation = earliestFit(round, record);
  const savedMs = (reservation?.atMs ?? Number.POSITIVE_INFINITY) - round.view.nowMs;
  if (tryCompaction(round, record, savedMs)) return;
  if (reservation === undefined) {
    planningRound.wait(round, record, 'no workers that are ready could hold it, even when empty');
    return;
  }
  round.reservedAtMs.push(reservation.atMs);
  for (const { worker } of reservation.plan) {
    const untilMs = round.backfillUntilMs[worker] ?? Number.POSITIVE_INFINITY;
    round.backfillUntilMs[worker] = Math.min(untilMs, reservation.atMs);
  }
  const inMs = Math.round(reservation.atMs - round.view.nowMs);
  planningRound.wait(round, record, `reserved: expected to start within ${inMs} ms`);
};
