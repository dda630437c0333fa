/**
 * Chooses the borrowing jobs to preempt so that a gang fits.
 *
 * A claim on a full cell must start within 3.4 s. Stopping arbitrary jobs until the claim happens
 * to fit would lose work for nothing when they are not adjacent. The choice is made per group of
 * adjacent workers, and the set that loses the least accelerator time wins.
 */
import type * as job from '../../state/common/job.js';

import * as cellCapacity from './cellCapacity.js';

/** Placement of a gang, and the jobs to be preempted for it. */
export interface ReclaimChoice {
  readonly plan: cellCapacity.GangPlan;
  readonly victims: readonly cellCapacity.Borrower[];
  readonly lossMs: number;
}

/** Constraints of one choice. */
export interface ReclaimRules {
  /** Maximum accelerators that the gang may use on a worker. */
  readonly limit: (worker: number) => number;
  /** Whether a borrower may be stopped; those already stopping always count as free. */
  readonly canStop: (borrower: cellCapacity.Borrower) => boolean;
}

interface Selection {
  readonly chosen: Set<cellCapacity.Borrower>;
  lossMs: number;
}

const availableWith = (
  capacity: cellCapacity.CellCapacity,
  worker: number,
  chosen: ReadonlySet<cellCapacity.Borrower>,
): number => {
  if (capacity.workers[worker]?.health !== 'ready') return 0;
  let open = cellCapacity.availableOn(capacity, worker);
  for (const it of capacity.borrowers[worker] ?? []) {
    if (it.isLeaving || chosen.has(it)) open += it.held.get(worker) ?? 0;
  }
  // A claim of this round may hold back accelerators that are not free yet.
  const heldBackBeyondFree = Math.max(
    0,
    (capacity.kept[worker] ?? 0) - (capacity.free[worker] ?? 0),
  );
  return Math.max(0, open - heldBackBeyondFree);
};

interface VictimSet {
  readonly victims: readonly cellCapacity.Borrower[];
  readonly lossMs: number;
}

const NO_VICTIMS: VictimSet = { victims: [], lossMs: 0 };

/** Lowest-loss further victims that free the needed accelerators on a worker. */
const victimsOn = (
  capacity: cellCapacity.CellCapacity,
  rules: ReclaimRules,
  worker: number,
  need: number,
  chosen: ReadonlySet<cellCapacity.Borrower>,
): VictimSet | undefined => {
  if (capacity.workers[worker]?.health !== 'ready') return undefined;
  let open = availableWith(capacity, worker, chosen);
  if (open >= need) return NO_VICTIMS;
  const victims: cellCapacity.Borrower[] = [];
  let lossMs = 0;
  for (const it of capacity.borrowers[worker] ?? []) {
    if (it.isLeaving || chosen.has(it) || !rules.canStop(it)) continue;
    victims.push(it);
    lossMs += it.lossMs;
    open += it.held.get(worker) ?? 0;
    if (open >= need) return { victims, lossMs };
  }
  return undefined;
};

const chooseOnWorker = (
  capacity: cellCapacity.CellCapacity,
  worker: number,
  spec: job.JobSpec,
  rules: ReclaimRules,
  maxLossMs: number,
): ReclaimChoice | undefined => {
  const need = spec.members * spec.acceleratorsPerMember;
  if (need > rules.limit(worker)) return undefined;
  const step = victimsOn(capacity, rules, worker, need, new Set());
  // Skips sets that lose no less than the best before pruning: pruning rarely reduces the loss.
  if (step === undefined || step.lossMs >= maxLossMs) return undefined;
  const plan = [{ worker, members: spec.members }];
  const chosen = new Set(step.victims);
  return { plan, ...pruneVictims(capacity, plan, spec.acceleratorsPerMember, chosen) };
};

const chooseInGroup = (
  capacity: cellCapacity.CellCapacity,
  group: readonly number[],
  spec: job.JobSpec,
  rules: ReclaimRules,
  maxLossMs: number,
): ReclaimChoice | undefined => {
  const per = spec.acceleratorsPerMember;
  const selection: Selection = { chosen: new Set(), lossMs: 0 };
  const members = new Map<number, number>();
  const costs = new Map<number, number>();
  const lossOf = (worker: number): number => {
    const need = ((members.get(worker) ?? 0) + 1) * per;
    if (need > rules.limit(worker)) return Number.POSITIVE_INFINITY;
    const step = victimsOn(capacity, rules, worker, need, selection.chosen);
    return step?.lossMs ?? Number.POSITIVE_INFINITY;
  };
  for (const worker of group) {
    const lossMs = lossOf(worker);
    if (lossMs < Number.POSITIVE_INFINITY) costs.set(worker, lossMs);
  }
  for (let placed = 0; placed < spec.members; placed += 1) {
    let best: number | undefined;
    for (const [worker, lossMs] of costs) {
      if (best === undefined || lossMs < (costs.get(best) ?? 0)) best = worker;
    }
    if (best === undefined) return undefined;
    const need = ((members.get(best) ?? 0) + 1) * per;
    const step = victimsOn(capacity, rules, best, need, selection.chosen);
    if (step === undefined) return undefined;
    step.victims.forEach((it) => selection.chosen.add(it));
    selection.lossMs += step.lossMs;
    if (selection.lossMs >= maxLossMs) return undefined;
    members.set(best, need / per);
    const lossMs = lossOf(best);
    if (lossMs < Number.POSITIVE_INFINITY) costs.set(best, lossMs);
    else costs.delete(best);
  }
  const plan = [...members].map(([worker, count]) => ({ worker, members: count }));
  return { plan, ...pruneVictims(capacity, plan, per, selection.chosen) };
};

/** Removes each victim without which the gang still fits, highest loss first. */
const pruneVictims = (
  capacity: cellCapacity.CellCapacity,
  plan: cellCapacity.GangPlan,
  per: number,
  chosen: ReadonlySet<cellCapacity.Borrower>,
): { readonly victims: cellCapacity.Borrower[]; readonly lossMs: number } => {
  const remaining = new Set(chosen);
  const byDescendingLoss = [...chosen].sort((a, b) => b.lossMs - a.lossMs);
  for (const victim of byDescendingLoss) {
    remaining.delete(victim);
    const fits = plan.every(
      (it) => availableWith(capacity, it.worker, remaining) >= it.members * per,
    );
    if (!fits) remaining.add(victim);
  }
  const victims = [...remaining];
  return { victims, lossMs: victims.reduce((sum, it) => sum + it.lossMs, 0) };
};

/**
 * @param capacity - the cell
 * @param spec - the job that must fit
 * @param rules - workers and borrowers that may be used
 * @returns the choice with the least loss, or undefined where none makes the gang fit
 */
export const chooseVictims = (
  capacity: cellCapacity.CellCapacity,
  spec: job.JobSpec,
  rules: ReclaimRules,
): ReclaimChoice | undefined => {
  let best: ReclaimChoice | undefined;
  for (const group of cellCapacity.groupsFor(capacity, spec)) {
    const maxLossMs = best?.lossMs ?? Number.POSITIVE_INFINITY;
    const [only] = group;
    const choice =
      group.length === 1 && only !== undefined
        ? chooseOnWorker(capacity, only, spec, rules, maxLossMs)
        : chooseInGroup(capacity, group, spec, rules, maxLossMs);
    if (choice !== undefined && choice.lossMs < maxLossMs) best = choice;
    if (best?.lossMs === 0) break;
  }
  return best;
};
