/**
 * Baselines for the planning round: two simple planners that place the same units.
 */
import * as gangPlacement from '../../coordination/common/pool/gangPlacement.js';
import type * as planTypes from '../../coordination/common/pool/planTypes.js';
import type * as poolReplay from './poolReplay.js';

const placeInOrder = (
  workers: readonly planTypes.PlanWorker[],
  units: readonly planTypes.PlanUnit[],
  skipsUnfit: boolean,
): planTypes.RoundPlan => {
  const starts: planTypes.Placement[] = [];
  const waits: planTypes.Wait[] = [];
  for (const unit of units) {
    const isBlocked = !skipsUnfit && waits.length > 0;
    const suitable = workers.filter((it) => gangPlacement.isSuitable(it, unit));
    const placement = isBlocked ? undefined : gangPlacement.placeNow([suitable], unit);
    if (placement === undefined) {
      waits.push({ unit, reason: 'no room' });
    } else {
      gangPlacement.reserveCapacity(placement);
      starts.push(placement);
    }
  }
  return { starts, preemptions: new Map(), waits, relocations: [] };
};

const arrivalOf = (unit: planTypes.PlanUnit): number => unit.unit.entry.job.acceptedAtMs;

/** Places units in arrival order; the first unit that doesn't fit blocks all later ones. */
export const firstFitFifo: poolReplay.Planner = ({ workers, units }) => {
  const ordered = [...units].sort((a, b) => arrivalOf(a) - arrivalOf(b));
  return placeInOrder(workers, ordered, false);
};

/** Places units by priority, then arrival; units that don't fit are skipped. */
export const priorityBestFit: poolReplay.Planner = ({ workers, units }) => {
  const ordered = [...units].sort((a, b) => a.priority - b.priority || arrivalOf(a) - arrivalOf(b));
  return placeInOrder(workers, ordered, true);
};
