/**
 * Planning inputs besides the current jobs and workers: run time estimates, and since when each
 * worker has been quarantined by planning itself.
 */
import type * as clock from '../../base/common/clock.js';
import type * as logging from '../../base/common/logging.js';
import type * as job from '../../state/common/job.js';
import type * as planTypes from '../common/planTypes.js';
import * as runEstimates from '../common/runEstimates.js';

import type * as cellWorkerRegistry from './cellWorkerRegistry.js';

/** Options of {@link createPlanInputs}. */
export interface PlanInputsOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly workers: Pick<cellWorkerRegistry.CellWorkerRegistry, 'noteQuarantine'>;
}

/** Inputs of planning rounds, held in the leader's memory. */
export interface PlanInputs {
  readonly estimates: () => runEstimates.RunEstimates;
  /** Updates the estimates from a job whose state has changed. */
  readonly updateEstimates: (record: job.JobRecord) => void;
  /** The cell's workers in the form that planning uses. */
  readonly toPlanWorkers: (
    statuses: readonly cellWorkerRegistry.WorkerStatus[],
  ) => planTypes.PlanWorker[];
  /** Applies the decision of a planning round: quarantines with a reason, releases without one. */
  readonly setQuarantine: (workerId: string, why: string | undefined) => void;
  /** Records an operator's decision, which overrides planning's own. */
  readonly recordOperatorDecision: (workerId: string, isQuarantined: boolean) => void;
}

/**
 * @param options - options
 * @returns inputs without estimates
 */
export const createPlanInputs = (options: PlanInputsOptions): PlanInputs => {
  /** Time of each quarantine by planning; quarantines by operators are not included. */
  const quarantinedAtMs = new Map<string, number>();
  /** Time of each worker's last release: earlier failures no longer count against it. */
  const releasedAtMs = new Map<string, number>();
  let estimates = runEstimates.NO_ESTIMATES;
  const quarantineStateOf = (workerId: string): Partial<planTypes.PlanWorker> => {
    const sinceMs = quarantinedAtMs.get(workerId);
    const blameFromMs = releasedAtMs.get(workerId) ?? 0;
    return sinceMs === undefined
      ? { ignoreFailuresUntilMs: blameFromMs }
      : { ignoreFailuresUntilMs: blameFromMs, autoQuarantinedSinceMs: sinceMs };
  };
  return {
    estimates: () => estimates,
    updateEstimates: (record) => {
      estimates = runEstimates.addFinishedRun(estimates, record);
    },
    toPlanWorkers: (statuses) =>
      statuses.map((it) => ({
        workerId: it.worker.workerId,
        rack: it.worker.rack,
        accelerators: it.worker.accelerators,
        health: it.health,
        ...quarantineStateOf(it.worker.workerId),
      })),
    setQuarantine: (workerId, why) => {
      const isQuarantined = why !== undefined;
      if (!options.workers.noteQuarantine(workerId, isQuarantined, why ?? '')) return;
      if (isQuarantined) quarantinedAtMs.set(workerId, options.clock.wallMs());
      else {
        quarantinedAtMs.delete(workerId);
        releasedAtMs.set(workerId, options.clock.wallMs());
      }
      options.log('warn', 'quarantine', { workerId, isQuarantined, reason: why ?? 'released' });
    },
    recordOperatorDecision: (workerId, isQuarantined) => {
      quarantinedAtMs.delete(workerId);
      if (!isQuarantined) releasedAtMs.set(workerId, options.clock.wallMs());
    },
  };
};
