/**
 * One planning round of a cell: which queued jobs get which accelerators, and which borrowed jobs
 * must give theirs back. Pure: a view of the cell goes in, a plan comes out.
 */
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';

import * as blame from './blame.js';
import type * as planTypes from './planTypes.js';

/** Free accelerators by worker. */
type FreeMap = Map<string, number[]>;

const freeOf = (
  view: planTypes.PlanView,
  isHolding: (record: job.JobRecord) => boolean,
): FreeMap => {
  const free: FreeMap = new Map();
  for (const it of view.workers) {
    if (it.health !== 'ready') continue;
    free.set(
      it.workerId,
      Array.from({ length: it.accelerators }, (_unused, index) => index),
    );
  }
  for (const record of view.jobs) {
    if (!isHolding(record)) continue;
    for (const held of record.placement) {
      const left = free.get(held.workerId)?.filter((it) => !held.accelerators.includes(it));
      if (left !== undefined) free.set(held.workerId, left);
    }
  }
  return free;
};

const take = (free: FreeMap, placement: readonly job.MemberPlacement[]): void => {
  for (const held of placement) {
    const left = free.get(held.workerId)?.filter((it) => !held.accelerators.includes(it));
    if (left !== undefined) free.set(held.workerId, left);
  }
};

/** Places all members on the given workers, fullest worker first, or gives up. */
const placeOn = (
  free: FreeMap,
  workerIds: readonly string[],
  spec: job.JobSpec,
): job.MemberPlacement[] | undefined => {
  const placement: job.MemberPlacement[] = [];
  const order = [...workerIds].sort(
    (a, b) => (free.get(a)?.length ?? 0) - (free.get(b)?.length ?? 0) || a.localeCompare(b),
  );
  for (const workerId of order) {
    const left = [...(free.get(workerId) ?? [])];
    while (left.length >= spec.acceleratorsPerMember && placement.length < spec.members) {
      const accelerators = left.splice(0, spec.acceleratorsPerMember);
      placement.push({ member: placement.length, workerId, accelerators });
    }
  }
  return placement.length === spec.members ? placement : undefined;
};

const groupsFor = (
  workers: readonly planTypes.PlanWorker[],
  adjacency: configuration.Adjacency,
): string[][] => {
  const groups = new Map<string, string[]>();
  for (const it of workers) {
    const keys = { worker: it.workerId, rack: it.rack, zone: 'zone' };
    const key = keys[adjacency];
    groups.set(key, [...(groups.get(key) ?? []), it.workerId]);
  }
  return [...groups.values()];
};

const sizeOf = (free: FreeMap, group: readonly string[]): number =>
  group.reduce((sum, id) => sum + (free.get(id)?.length ?? 0), 0);

/**
 * Best fit: the group with the fewest free accelerators that holds the whole gang.
 *
 * @param free - free accelerators by worker
 * @param workers - workers of the cell
 * @param spec - the job
 * @returns a place for every member, or undefined where no group holds them all
 */
const findPlacement = (
  free: FreeMap,
  workers: readonly planTypes.PlanWorker[],
  spec: job.JobSpec,
): job.MemberPlacement[] | undefined => {
  const groups = groupsFor(workers, spec.adjacency).sort(
    (a, b) => sizeOf(free, a) - sizeOf(free, b),
  );
  for (const group of groups) {
    const placement = placeOn(free, group, spec);
    if (placement !== undefined) return placement;
  }
  return undefined;
};

const holdsAccelerators = (record: job.JobRecord): boolean => record.placement.length > 0;

const isBorrowed = (record: job.JobRecord): boolean =>
  record.spec.claim === job.Claim.spare && holdsAccelerators(record);

interface Round {
  readonly view: planTypes.PlanView;
  readonly free: FreeMap;
  readonly placements: planTypes.PlannedPlacement[];
  readonly stops: planTypes.PlannedStop[];
  readonly waits: planTypes.PlannedWait[];
}

const accept = (
  round: Round,
  record: job.JobRecord,
  placement: readonly job.MemberPlacement[],
  ruleId: string | undefined,
  why: string,
): void => {
  take(round.free, placement);
  round.placements.push({ jobId: record.spec.jobId, placement, ruleId, why });
};

const wait = (round: Round, record: job.JobRecord, why: string): void => {
  round.waits.push({ jobId: record.spec.jobId, why });
};

/** Borrowed jobs that are already giving their accelerators back. */
const isGivingBack = (record: job.JobRecord): boolean =>
  isBorrowed(record) && record.state === job.JobState.stopping;

/** Stops borrowed jobs, least work lost first, until the claim would fit. */
const reclaimFor = (round: Round, record: job.JobRecord): void => {
  const { view } = round;
  const stopped = new Set(round.stops.map((it) => it.jobId));
  const trial: FreeMap = new Map([...round.free].map(([id, left]) => [id, [...left]]));
  const giveBack = (it: job.JobRecord): void => {
    for (const held of it.placement) trial.get(held.workerId)?.push(...held.accelerators);
  };
  view.jobs.filter((it) => isGivingBack(it) || stopped.has(it.spec.jobId)).forEach(giveBack);
  const fits = (): boolean => findPlacement(trial, view.workers, record.spec) !== undefined;
  const lossMs = (it: job.JobRecord): number =>
    (view.nowMs - (it.startedAtMs ?? view.nowMs)) * job.acceleratorsOf(it);
  const candidates = view.jobs
    .filter((it) => isBorrowed(it) && !isGivingBack(it) && !stopped.has(it.spec.jobId))
    .sort((a, b) => lossMs(a) - lossMs(b));
  for (const victim of candidates) {
    if (fits()) return;
    giveBack(victim);
    const why = `claimed back for ${record.spec.customerId} by job ${record.spec.jobId}`;
    round.stops.push({ jobId: victim.spec.jobId, cause: 'reclaimed', why });
  }
};

const planGuaranteed = (round: Round, record: job.JobRecord): void => {
  const placement = findPlacement(round.free, round.view.workers, record.spec);
  if (placement !== undefined) {
    accept(round, record, placement, undefined, `claims shape ${record.spec.shapeId ?? ''}`);
    return;
  }
  reclaimFor(round, record);
  wait(round, record, 'waits for borrowed accelerators to be given back');
};

const ruleFor = (
  view: planTypes.PlanView,
  record: job.JobRecord,
): configuration.SpareRule | undefined => {
  const borrowedBy = (rule: configuration.SpareRule): number =>
    view.jobs
      .filter(
        (it) =>
          isBorrowed(it) &&
          it.ruleId === rule.ruleId &&
          it.spec.customerId === record.spec.customerId,
      )
      .reduce((sum, it) => sum + job.acceleratorsOf(it), 0);
  return view.document.rules.find(
    (rule) =>
      rule.customerIds.includes(record.spec.customerId) &&
      (rule.cells.length === 0 || rule.cells.includes(view.cell)) &&
      borrowedBy(rule) + job.acceleratorsOf(record) <= rule.maxAccelerators,
  );
};

const planSpare = (round: Round, record: job.JobRecord): void => {
  const rule = ruleFor(round.view, record);
  if (rule === undefined) {
    wait(round, record, 'no spare rule allows it more accelerators now');
    return;
  }
  const placement = findPlacement(round.free, round.view.workers, record.spec);
  if (placement === undefined) {
    wait(round, record, 'no free accelerators lie close enough together');
    return;
  }
  accept(round, record, placement, rule.ruleId, `borrows by rule ${rule.ruleId}`);
};

/**
 * @param view - the cell now
 * @returns what to place, what to take back and why the rest waits
 */
export const planRound = (view: planTypes.PlanView): planTypes.Plan => {
  const round: Round = {
    view,
    free: freeOf(view, holdsAccelerators),
    placements: [],
    stops: [],
    waits: [],
  };
  const queued = view.jobs.filter((it) => it.state === job.JobState.queued);
  for (const record of queued) {
    if (record.spec.claim === job.Claim.guaranteed) planGuaranteed(round, record);
  }
  const isClaimWaiting = round.waits.length > 0;
  for (const record of queued) {
    if (record.spec.claim === job.Claim.guaranteed) continue;
    if (isClaimWaiting) wait(round, record, 'a guaranteed claim goes first');
    else planSpare(round, record);
  }
  const { placements, stops, waits } = round;
  const { quarantines, releases, warnings } = blame.judge(view);
  return { placements, stops, waits, quarantines, releases, warnings };
};
