/**
 * What planning needs besides the jobs and workers of the moment: learned run times, and which
 * workers planning itself has quarantined since when.
 */
import type * as clock from '../../base/common/clock.js';
import type * as logging from '../../base/common/logging.js';
import type * as job from '../../state/common/job.js';
import type * as planTypes from '../common/planTypes.js';
import * as runEstimates from '../common/runEstimates.js';

import type * as leaderRoster from './leaderRoster.js';

/** What the inputs need. */
export interface PlanInputsOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly workers: Pick<leaderRoster.LeaderRoster, 'noteQuarantine'>;
}

/** Inputs of planning rounds, kept by the leader in memory. */
export interface PlanInputs {
  readonly estimates: () => runEstimates.RunEstimates;
  /** Learns from a job that has changed its state. */
  readonly learn: (record: job.JobRecord) => void;
  /** The cell's workers as planning sees them. */
  readonly workersOf: (views: readonly leaderRoster.WorkerView[]) => planTypes.PlanWorker[];
  /** Carries out what a round decided: a reason quarantines, none releases. */
  readonly setQuarantine: (workerId: string, why: string | undefined) => void;
  /** An operator decided; planning's own decision no longer counts. */
  readonly noteOperator: (workerId: string, isQuarantined: boolean) => void;
}

/**
 * @param options - what the inputs need
 * @returns inputs of a leader that has learned nothing
 */
export const createPlanInputs = (options: PlanInputsOptions): PlanInputs => {
  /** Workers that planning quarantined, with the moment; operators' quarantines are not in it. */
  const quarantinedAtMs = new Map<string, number>();
  /** Moment of each worker's last release: earlier failures no longer count against it. */
  const releasedAtMs = new Map<string, number>();
  let estimates = runEstimates.NO_ESTIMATES;
  const quarantineOf = (workerId: string): Partial<planTypes.PlanWorker> => {
    const sinceMs = quarantinedAtMs.get(workerId);
    const blameFromMs = releasedAtMs.get(workerId) ?? 0;
    return sinceMs === undefined
      ? { blameFromMs }
      : { blameFromMs, autoQuarantinedSinceMs: sinceMs };
  };
  return {
    estimates: () => estimates,
    learn: (record) => {
      estimates = runEstimates.learn(estimates, record);
    },
    workersOf: (views) =>
      views.map((it) => ({
        workerId: it.worker.workerId,
        rack: it.worker.rack,
        accelerators: it.worker.accelerators,
        health: it.health,
        ...quarantineOf(it.worker.workerId),
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
    noteOperator: (workerId, isQuarantined) => {
      quarantinedAtMs.delete(workerId);
      if (!isQuarantined) releasedAtMs.set(workerId, options.clock.wallMs());
    },
  };
};
