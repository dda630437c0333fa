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
}

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

interface VictimStep {
  readonly victims: readonly cellSpace.Borrower[];
  readonly lossMs: number;
}

const NO_VICTIMS: VictimStep = { victims: [], lossMs: 0 };

/** The cheapest further victims that free so many accelerators on a worker. */
const victimsOn = (
  space: cellSpace.CellSpace,
  rules: ReclaimRules,
  worker: number,
  need: number,
  chosen: ReadonlySet<cellSpace.Borrower>,
): VictimStep | undefined => {
  if (space.workers[worker]?.health !== 'ready') return undefined;
  let open = openWith(space, worker, chosen);
  if (open >= need) return NO_VICTIMS;
  const victims: cellSpace.Borrower[] = [];
  let lossMs = 0;
  for (const it of space.borrowers[worker] ?? []) {
    if (it.isLeaving || chosen.has(it) || !rules.canStop(it)) continue;
    victims.push(it);
    lossMs += it.lossMs;
    open += it.held.get(worker) ?? 0;
    if (open >= need) return { victims, lossMs };
  }
  return undefined;
};

const chooseOnWorker = (
  space: cellSpace.CellSpace,
  worker: number,
  spec: job.JobSpec,
  rules: ReclaimRules,
  worseThanMs: number,
): ReclaimChoice | undefined => {
  const need = spec.members * spec.acceleratorsPerMember;
  if (need > rules.limit(worker)) return undefined;
  const step = victimsOn(space, rules, worker, need, new Set());
  // A set that is pruned loses at least nothing, and few are: the rest is not worth a look.
  if (step === undefined || step.lossMs >= worseThanMs) return undefined;
  const plan = [{ worker, members: spec.members }];
  const chosen = new Set(step.victims);
  return { plan, ...pruned(space, plan, spec.acceleratorsPerMember, chosen) };
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
  return { plan, ...pruned(space, plan, per, trial.chosen) };
};

/** Lets off every victim without which the gang still fits, the dearest first. */
const pruned = (
  space: cellSpace.CellSpace,
  plan: cellSpace.GangPlan,
  per: number,
  chosen: ReadonlySet<cellSpace.Borrower>,
): { readonly victims: cellSpace.Borrower[]; readonly lossMs: number } => {
  const kept = new Set(chosen);
  const dearest = [...chosen].sort((a, b) => b.lossMs - a.lossMs);
  for (const victim of dearest) {
    kept.delete(victim);
    const fits = plan.every((it) => openWith(space, it.worker, kept) >= it.members * per);
    if (!fits) kept.add(victim);
  }
  const victims = [...kept];
  return { victims, lossMs: victims.reduce((sum, it) => sum + it.lossMs, 0) };
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
    const [only] = group;
    const choice =
      group.length === 1 && only !== undefined
        ? chooseOnWorker(space, only, spec, rules, worseThanMs)
        : chooseInGroup(space, group, spec, rules, worseThanMs);
    if (choice !== undefined && choice.lossMs < worseThanMs) best = choice;
    if (best?.lossMs === 0) break;
  }
  return best;
};
