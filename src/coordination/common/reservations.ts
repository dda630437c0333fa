/**
 * Prevents starvation of large jobs: a reservation after a bounded wait, backfill under it, and
 * compaction where moving small jobs frees adjacent accelerators.
 *
 * In a steady stream of small jobs each fits into the space that the last one left, so the adjacent
 * accelerators that a gang needs never become free together. Jobs that start while a large job
 * waits are backfill: they yield when its reservation is due, and those that can't checkpoint start
 * only if they should end before it. One that exceeds its estimate also yields, so that it can't
 * block the reservation.
 */
import * as job from '../../state/common/job.js';

import * as cellCapacity from './cellCapacity.js';
import * as gangFit from './gangFit.js';
import * as guaranteeCheck from './guaranteeCheck.js';
import * as planningRound from './planningRound.js';
import * as reclaim from './reclaim.js';
import * as runEstimates from './runEstimates.js';
import * as workLoss from './workLoss.js';

/** More concurrent reservations would idle most of a small cell for jobs far back in the queue. */
export const MAX_RESERVATIONS = 2;

/** A job started this often is preempted only by a guaranteed claim. */
export const PREEMPTION_ATTEMPT_LIMIT = 3;

/** Compaction must save this many times the accelerator time it loses, or jobs only get moved. */
export const COMPACTION_GAIN = 3;

/**
 * Jobs that can't be moved count as short up to this many waits of a large job. A large job may
 * wait three times as long as alone, and one of the three is its wait for the reservation.
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
 * @returns whether it may be stopped for a reservation and resumed later
 */
export const canYield = (record: job.JobRecord): boolean =>
  record.spec.isCheckpointable && record.attempt < PREEMPTION_ATTEMPT_LIMIT;

/**
 * @param round - the round
 * @param record - a running or queued borrowing job
 * @returns whether it can't be moved and will run for much longer than a large job should wait
 */
export const isPinning = (round: planningRound.PlanningRound, record: job.JobRecord): boolean => {
  if (record.spec.isCheckpointable || isLarge(round, record)) return false;
  const { estimates, view } = round;
  const quantile = runEstimates.ORDER_QUANTILE;
  const leftMs = runEstimates.remainingMs(estimates, record, view.nowMs, quantile);
  return leftMs > PINNING_WAITS * view.document.placement.largeJobWaitMs;
};

/**
 * Keeps one place for a large job free of jobs that can't be moved: one such job on each rack of a
 * small cell would make every large job wait for its end, whichever other jobs yield.
 *
 * @param round - the round; changed
 */
export const keepClearable = (round: planningRound.PlanningRound): void => {
  const { capacity, view } = round;
  const left = [...capacity.claimable];
  for (const record of round.placed) {
    if (record.spec.claim !== job.Claim.spare || !isPinning(round, record)) continue;
    for (const { workerId, accelerators } of record.placement) {
      const worker = capacity.indexOf.get(workerId) ?? -1;
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
  const packing = guaranteeCheck.packShapes(capacity, left, [form], perWorker);
  packing.setAside.forEach((size, worker) => {
    round.clearable[worker] = size;
  });
};

const exceedsEstimate = (round: planningRound.PlanningRound, record: job.JobRecord): boolean => {
  const startedAtMs = record.startedAtMs ?? round.view.nowMs;
  const safeMs = runEstimates.runMsOf(round.estimates, record.spec, runEstimates.SAFE_QUANTILE);
  return round.view.nowMs - startedAtMs + record.checkpointMs > safeMs;
};

/** Whether a borrower has to yield to the waiting job. */
const yieldsTo = (
  round: planningRound.PlanningRound,
  waiting: job.JobRecord,
  borrower: job.JobRecord,
): boolean => {
  const startedAtMs = borrower.startedAtMs ?? round.view.nowMs;
  if (isLarge(round, borrower)) return false;
  // Without the limit a job that always exceeds its estimate would be stopped forever.
  if (borrower.attempt >= PREEMPTION_ATTEMPT_LIMIT) return false;
  if (borrower.spec.isCheckpointable) return true;
  return startedAtMs >= waiting.submittedAtMs && exceedsEstimate(round, borrower);
};

interface ExpectedEnd {
  readonly atMs: number;
  readonly record: job.JobRecord;
}

const expectedEndsOf = (round: planningRound.PlanningRound): ExpectedEnd[] => {
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

/** Time and placement at which a large job is expected to fit. */
export interface Reservation {
  readonly atMs: number;
  readonly plan: cellCapacity.GangPlan;
}

/**
 * @param round - the round
 * @param record - a queued job
 * @returns the earliest time at which running jobs should have freed capacity for the gang
 */
export const earliestFit = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
): Reservation | undefined => {
  const { capacity } = round;
  const failed = planningRound.excludedWorkers(round, record);
  const expectedFree = capacity.all.map((worker) => cellCapacity.availableOn(capacity, worker));
  const isReady = capacity.workers.map((it) => it.health === 'ready');
  const open = (worker: number): number => (failed.has(worker) ? 0 : (expectedFree[worker] ?? 0));
  const groups = cellCapacity.groupsFor(capacity, record.spec);
  const { members, acceleratorsPerMember: per } = record.spec;
  const membersThatFit = (worker: number): number => Math.floor(open(worker) / per);
  const groupOf = capacity.all.map(() => 0);
  const groupCapacity = groups.map((group, index) => {
    for (const worker of group) groupOf[worker] = index;
    return group.reduce((sum, worker) => sum + membersThatFit(worker), 0);
  });
  for (const ending of expectedEndsOf(round)) {
    let fitsNow = false;
    for (const { workerId, accelerators } of ending.record.placement) {
      const worker = capacity.indexOf.get(workerId) ?? -1;
      if (isReady[worker] !== true) continue;
      const before = membersThatFit(worker);
      expectedFree[worker] = (expectedFree[worker] ?? 0) + accelerators.length;
      const group = groupOf[worker] ?? 0;
      groupCapacity[group] = (groupCapacity[group] ?? 0) + membersThatFit(worker) - before;
      fitsNow ||= (groupCapacity[group] ?? 0) >= members;
    }
    if (!fitsNow) continue;
    const rules = { open, setAside: NOTHING_SET_ASIDE, isAhead: true };
    const plan = gangFit.findGangPlan(capacity, record.spec, rules);
    if (plan !== undefined) return { atMs: ending.atMs, plan };
  }
  return undefined;
};

const NOTHING_SET_ASIDE: readonly number[] = [];

/** Whether all victims fit elsewhere while the gang's place remains free. */
const canRelocateVictims = (
  round: planningRound.PlanningRound,
  choice: reclaim.ReclaimChoice,
  perMember: number,
): boolean => {
  const { capacity } = round;
  const open = capacity.all.map((worker) => cellCapacity.availableOn(capacity, worker));
  for (const { worker, members } of choice.plan) {
    open[worker] = Math.max(0, (open[worker] ?? 0) - members * perMember);
  }
  return choice.victims.every(({ record }) => {
    const plan = gangFit.findGangPlan(capacity, record.spec, {
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

const tryPreemption = (round: planningRound.PlanningRound, record: job.JobRecord): boolean => {
  const failed = planningRound.excludedWorkers(round, record);
  const per = record.spec.acceleratorsPerMember;
  const choice = reclaim.chooseVictims(round.capacity, record.spec, {
    limit: (worker) => (failed.has(worker) ? 0 : Number.POSITIVE_INFINITY),
    canStop: (it) => yieldsTo(round, record, it.record),
  });
  if (choice === undefined) return false;
  planningRound.preemptFor(round, choice.plan, per, choice.victims, {
    cause: 'reclaimed',
    why: `yields to the reservation of large job ${record.spec.jobId}`,
  });
  planningRound.recordWait(round, record, 'reserved: waits for preempted jobs to stop');
  return true;
};

const tryCompaction = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
  savedMs: number,
): boolean => {
  const failed = planningRound.excludedWorkers(round, record);
  const per = record.spec.acceleratorsPerMember;
  const choice = reclaim.chooseVictims(round.capacity, record.spec, {
    limit: (worker) => (failed.has(worker) ? 0 : Number.POSITIVE_INFINITY),
    canStop: (it) => canYield(it.record) && !isLarge(round, it.record),
  });
  if (choice === undefined) return false;
  const lossMs = choice.victims.reduce(
    (sum, it) => sum + workLoss.CHECKPOINT_LOSS_MS * job.acceleratorsOf(it.record),
    0,
  );
  const gainMs = savedMs * job.acceleratorsOf(record);
  if (gainMs < COMPACTION_GAIN * lossMs || !canRelocateVictims(round, choice, per)) return false;
  planningRound.preemptFor(round, choice.plan, per, choice.victims, {
    cause: 'compacted',
    why: `moved to free adjacent accelerators for large job ${record.spec.jobId}`,
  });
  planningRound.recordWait(round, record, 'reserved: waits for smaller jobs to move');
  return true;
};

/**
 * Stops the customer's own smaller jobs where they use up the allowance of its rules: otherwise a
 * customer that always has small jobs could never run a large one. Stops none unless all together
 * free enough, since the large job could not start and the stops would be useless.
 *
 * @param round - the round; changed
 * @param record - a large job that exceeds the allowance of every rule
 * @param missing - accelerators that must be returned before a rule allows it
 * @returns whether enough are returned
 */
export const reclaimAllowance = (
  round: planningRound.PlanningRound,
  record: job.JobRecord,
  missing: number,
): boolean => {
  const own = new Set<cellCapacity.Borrower>();
  for (const borrowers of round.capacity.borrowers) {
    for (const it of borrowers) {
      if (it.record.spec.customerId === record.spec.customerId) own.add(it);
    }
  }
  const victims: cellCapacity.Borrower[] = [];
  let freed = 0;
  for (const it of [...own].sort((a, b) => a.lossMs - b.lossMs)) {
    if (freed >= missing) break;
    if (!it.isLeaving && !yieldsTo(round, record, it.record)) continue;
    freed += job.acceleratorsOf(it.record);
    if (!it.isLeaving) victims.push(it);
  }
  planningRound.recordWait(
    round,
    record,
    'waits until its spare rule allows it enough accelerators',
  );
  if (freed < missing) return false;
  planningRound.preemptFor(round, [], 0, victims, {
    cause: 'reclaimed',
    why: `uses the allowance that large job ${record.spec.jobId} of its customer needs`,
  });
  return true;
};

/**
 * Reserves capacity for a large job that can't be placed now.
 *
 * @param round - the round; changed
 * @param record - the job
 */
export const reserve = (round: planningRound.PlanningRound, record: job.JobRecord): void => {
  if (tryPreemption(round, record)) return;
  const reservation = earliestFit(round, record);
  const savedMs = (reservation?.atMs ?? Number.POSITIVE_INFINITY) - round.view.nowMs;
  if (tryCompaction(round, record, savedMs)) return;
  if (reservation === undefined) {
    planningRound.recordWait(
      round,
      record,
      'it would not fit on the ready workers even if they were empty',
    );
    return;
  }
  round.reservationStartsMs.push(reservation.atMs);
  for (const { worker } of reservation.plan) {
    const untilMs = round.backfillUntilMs[worker] ?? Number.POSITIVE_INFINITY;
    round.backfillUntilMs[worker] = Math.min(untilMs, reservation.atMs);
  }
  const inMs = Math.round(reservation.atMs - round.view.nowMs);
  planningRound.recordWait(round, record, `reserved: expected to start within ${inMs} ms`);
};
