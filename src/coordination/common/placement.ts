/**
 * One planning round of a cell: allocates accelerators to queued jobs, stops borrowing jobs to
 * reclaim theirs, and quarantines or releases workers. Pure: a snapshot of the cell goes in, a plan
 * comes out.
 */
import * as failureAttribution from './failureAttribution.js';
import * as claimPlanning from './claimPlanning.js';
import * as planningRound from './planningRound.js';
import type * as planTypes from './planTypes.js';
import * as sparePlanning from './sparePlanning.js';

const withoutQuarantined = (
  view: planTypes.PlanView,
  quarantines: readonly planTypes.PlannedHealthChange[],
): planTypes.PlanView => {
  if (quarantines.length === 0) return view;
  const ids = new Set(quarantines.map((it) => it.workerId));
  const workers = view.workers.map((it) =>
    ids.has(it.workerId) ? { ...it, health: 'quarantined' as const } : it,
  );
  return { ...view, workers };
};

/**
 * Plans claims before borrowing: what a waiting claim needs is withheld from borrowers, the rest is
 * lent, so that a waiting claim does not leave the cell idle.
 *
 * @param view - the current state of the cell
 * @returns what to place, what to stop, and why the other jobs wait
 */
export const planRound = (view: planTypes.PlanView): planTypes.Plan => {
  const verdict = failureAttribution.attributeFailures(view);
  const round = planningRound.beginRound(withoutQuarantined(view, verdict.quarantines));
  for (const record of round.queuedClaims) claimPlanning.planClaim(round, record);
  sparePlanning.planSpare(round, verdict.probeWorkerIds);
  return {
    placements: round.placements,
    stops: round.stops,
    waits: round.waits,
    quarantines: verdict.quarantines,
    releases: verdict.releases,
    warnings: [...verdict.warnings, ...round.warnings],
  };
};
