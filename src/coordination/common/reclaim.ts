/**
 * Chooses which borrowed jobs give their accelerators back so that a gang fits.
 *
 * Made for a claim on a full cell that must start within 3.4 s: stopping any jobs until the claim
 * happens to fit loses work for nothing when they lie apart. The choice is made per group of
 * adjacent workers, and the set that loses the least accelerator-time wins.
 */
import type * as job from '../../state/common/job.js';

import * as cellSpace from './cellSpace.js';

/** Accelerators for a gang, and the jobs that must leave first. */
export interface ReclaimChoice {
  readonly plan: cellSpace.GangPlan;
  readonly victims: readonly cellSpace.Borrower[];
  readonly lossMs: number;
}

/** What one choice may use. */
export interface ReclaimRules {
  /** Most accelerators that the gang may take on a worker. */
  readonly limit: (worker: number) => number;
  /** Which borrowers may be stopped; those that leave already are always counted as free. */
  readonly canStop: (borrower: cellSpace.Borrower) => boolean;
  /** Accelerator-milliseconds of work that stopping the job loses. */
  readonly lossMs: (record: job.JobRecord) => number;
}

/** Work that a checkpointable job loses: it writes a checkpoint in the grace, then starts again. */
export const CHECKPOINT_LOSS_MS = 30_000;

/**
 * @param record - a borrowed job
 * @param nowMs - the time now
 * @returns accelerator-milliseconds lost by stopping it: all since its start, unless it can
 *   checkpoint
 */
export const lossOf = (record: job.JobRecord, nowMs: number): number => {
  const ranMs = Math.max(0, nowMs - (record.startedAtMs ?? nowMs));
  const lostMs = record.spec.isCheckpointable ? Math.min(ranMs, CHECKPOINT_LOSS_MS) : ranMs;
  return lostMs * record.spec.members * record.spec.acceleratorsPerMember;
};

interface Trial {
  readonly chosen: Set<cellSpace.Borrower>;
  lossMs: number;
}

const openWith = (
  space: cellSpace.CellSpace,
  worker: number,
  chosen: ReadonlySet<cellSpace.Borrower>,
): number => {
  if (space.workers[worker]?.health !== 'ready') return 0;
  let open = cellSpace.openOn(space, worker);
  for (const it of space.borrowers[worker] ?? []) {
    if (it.isLeaving || chosen.has(it)) open += it.held.get(worker) ?? 0;
  }
  // What a claim of this round keeps may lie on accelerators that are not free yet.
  const overdrawn = Math.max(0, (space.kept[worker] ?? 0) - (space.free[worker] ?? 0));
  return Math.max(0, open - overdrawn);
};

/** The cheapest further victims that free so many accelerators on a worker. */
const victimsOn = (
  space: cellSpace.CellSpace,
  rules: ReclaimRules,
  worker: number,
  need: number,
  chosen: ReadonlySet<cellSpace.Borrower>,
): { readonly victims: cellSpace.Borrower[]; readonly lossMs: number } | undefined => {
  if (space.workers[worker]?.health !== 'ready') return undefined;
  let open = openWith(space, worker, chosen);
  const victims: cellSpace.Borrower[] = [];
  let lossMs = 0;
  if (open >= need) return { victims, lossMs };
  const most = (space.borrowers[worker] ?? []).filter(
    (it) => !it.isLeaving && !chosen.has(it) && rules.canStop(it),
  );
  if (open + most.reduce((sum, it) => sum + (it.held.get(worker) ?? 0), 0) < need) return undefined;
  const candidates = most
    .map((it) => ({ it, loss: rules.lossMs(it.record) }))
    .sort(
      (a, b) => a.loss - b.loss || a.it.record.spec.jobId.localeCompare(b.it.record.spec.jobId),
    );
  for (const { it, loss } of candidates) {
    if (open >= need) break;
    victims.push(it);
    lossMs += loss;
    open += it.held.get(worker) ?? 0;
  }
  return open >= need ? { victims, lossMs } : undefined;
};

const chooseInGroup = (
  space: cellSpace.CellSpace,
  group: readonly number[],
  spec: job.JobSpec,
  rules: ReclaimRules,
  worseThanMs: number,
): ReclaimChoice | undefined => {
  const per = spec.acceleratorsPerMember;
  const trial: Trial = { chosen: new Set(), lossMs: 0 };
  const members = new Map<number, number>();
  const costs = new Map<number, number>();
  const priceOf = (worker: number): number => {
    const need = ((members.get(worker) ?? 0) + 1) * per;
    if (need > rules.limit(worker)) return Number.POSITIVE_INFINITY;
    const step = victimsOn(space, rules, worker, need, trial.chosen);
    return step?.lossMs ?? Number.POSITIVE_INFINITY;
  };
  for (const worker of group) {
    const price = priceOf(worker);
    if (price < Number.POSITIVE_INFINITY) costs.set(worker, price);
  }
  for (let placed = 0; placed < spec.members; placed += 1) {
    let best: number | undefined;
    for (const [worker, price] of costs) {
      if (best === undefined || price < (costs.get(best) ?? 0)) best = worker;
    }
    if (best === undefined) return undefined;
    const need = ((members.get(best) ?? 0) + 1) * per;
    const step = victimsOn(space, rules, best, need, trial.chosen);
    if (step === undefined) return undefined;
    step.victims.forEach((it) => trial.chosen.add(it));
    trial.lossMs += step.lossMs;
    if (trial.lossMs >= worseThanMs) return undefined;
    members.set(best, need / per);
    const price = priceOf(best);
    if (price < Number.POSITIVE_INFINITY) costs.set(best, price);
    else costs.delete(best);
  }
  const plan = [...members].map(([worker, count]) => ({ worker, members: count }));
  return { plan, ...pruned(space, plan, per, trial.chosen, rules) };
};

/** Lets off every victim without which the gang still fits, the dearest first. */
const pruned = (
  space: cellSpace.CellSpace,
  plan: cellSpace.GangPlan,
  per: number,
  chosen: ReadonlySet<cellSpace.Borrower>,
  rules: ReclaimRules,
): { readonly victims: cellSpace.Borrower[]; readonly lossMs: number } => {
  const kept = new Set(chosen);
  const dearest = [...chosen].sort((a, b) => rules.lossMs(b.record) - rules.lossMs(a.record));
  for (const victim of dearest) {
    kept.delete(victim);
    const fits = plan.every((it) => openWith(space, it.worker, kept) >= it.members * per);
    if (!fits) kept.add(victim);
  }
  const victims = [...kept];
  return { victims, lossMs: victims.reduce((sum, it) => sum + rules.lossMs(it.record), 0) };
};

/**
 * @param space - the cell
 * @param spec - the job that must fit
 * @param rules - which workers and borrowers may be used
 * @returns the choice that loses the least work, or undefined where none makes the gang fit
 */
export const chooseVictims = (
  space: cellSpace.CellSpace,
  spec: job.JobSpec,
  rules: ReclaimRules,
): ReclaimChoice | undefined => {
  let best: ReclaimChoice | undefined;
  for (const group of cellSpace.groupsFor(space, spec)) {
    const worseThanMs = best?.lossMs ?? Number.POSITIVE_INFINITY;
    const choice = chooseInGroup(space, group, spec, rules, worseThanMs);
    if (choice !== undefined && choice.lossMs < worseThanMs) best = choice;
    if (best?.lossMs === 0) break;
  }
  return best;
};
