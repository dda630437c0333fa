/**
 * Records the ends of runs and jobs: logs and metrics, attribution of failures to workers, and updates of the
 * runtime estimates.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as runtimeEstimates from '../../common/pool/runtimeEstimates.js';
import * as jobState from '../../common/pool/jobState.js';
import type * as jobTransitions from '../../common/pool/jobTransitions.js';
import * as jobOutcome from '../../common/pool/jobOutcome.js';
import * as planRound from '../../common/pool/planRound.js';
import * as workerSuspicion from '../../common/pool/workerSuspicion.js';
import * as workerTable from '../../common/pool/workerTable.js';

import type * as speedRecorder from './speed/speedRecorder.js';

/** Dependencies of the recorder. */
export interface EndRecorderOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** The pool's workers by agent. */
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  /** Runtime estimates, updated from completed runs. */
  readonly estimates: runtimeEstimates.RuntimeEstimates;
  readonly speeds: Pick<speedRecorder.SpeedRecorder, 'slowestFactorOf'>;
}

/** Records ends. */
export interface EndRecorder {
  readonly recordJobEnd: (entry: jobState.JobEntry) => void;
  /** Called if the end of a run, or of the gang it belongs to, has changed the job's state. */
  readonly recordRunEnd: (
    entry: jobState.JobEntry,
    task: jobState.TaskEntry,
    outcome: jobTransitions.RunOutcome,
  ) => void;
  readonly updateSuspicion: (
    worker: workerTable.WorkerEntry,
    end: poolWorker.EndedRun,
    jobId: string,
  ) => void;
  /** The worker has become suspect. */
  readonly recordSuspicion: (worker: workerTable.WorkerEntry) => void;
  /** @param done - runs that the worker reported as done */
  readonly recordRuntimes: (
    worker: workerTable.WorkerEntry,
    done: readonly workerTable.ActiveRun[],
  ) => void;
}

/**
 * @param options - its dependencies
 * @returns the recorder
 */
export const createEndRecorder = (options: EndRecorderOptions): EndRecorder => {
  const { clock: time, log, metrics } = options;
  const nowMs = (): number => time.monotonicMs();

  const recordSuspicion = (worker: workerTable.WorkerEntry): void => {
    metrics.count('auburnlift_workers_suspected_total');
    log('warn', 'workerSuspected', {
      agent: worker.agentId,
      worker: worker.info?.workerId,
      forMs: Math.round(worker.suspicion.suspectUntilMs - nowMs()),
      suspicions: worker.suspicion.suspicions,
    });
  };

  return {
    recordJobEnd: (entry) => {
      const outcome = jobOutcome.outcomeOf(
        entry,
        workerTable.createSlotCounter(options.workers.values()),
      );
      const { queue } = entry.job.policy;
      metrics.count('auburnlift_jobs_ended_total', {
        queue,
        state: entry.state,
        timeliness: outcome.timeliness,
      });
      log('info', 'jobEnded', {
        job: entry.job.jobId,
        queue,
        customer: entry.job.customerId,
        state: entry.state,
        ...outcome,
      });
    },
    recordRunEnd: (entry, task, { run, how }) => {
      metrics.count('auburnlift_run_ends_total', { how });
      const { jobId, steps } = entry.job;
      const { resources, isCheckpointing } = steps[task.step] as poolJob.Step;
      const { startedAtWallMs } = task;
      const members = jobState.groupOf(entry, task);
      log('info', 'runEnded', {
        job: jobId,
        group: workerTable.keysOf(entry, task).groupKey,
        step: task.step,
        index: task.index,
        run,
        how,
        heldMs: startedAtWallMs === 0 ? undefined : time.wallMs() - startedAtWallMs,
        cores: planRound.weightInCores(resources) * members.length,
        checkpointing: isCheckpointing,
        speedFactor: Number(options.speeds.slowestFactorOf(members).toFixed(2)),
        worker: task.workerId,
        failures: task.failures,
        crashes: task.crashes.length === 0 ? undefined : task.crashes.length,
        state: entry.state,
      });
    },
    updateSuspicion: (worker, end, jobId) => {
      const { suspicion } = worker;
      if (end.how === poolWorker.EndKind.done) workerSuspicion.recordSuccess(suspicion, nowMs());
      if (end.how !== poolWorker.EndKind.failed) return;
      if (workerSuspicion.recordFailure(suspicion, jobId, nowMs())) recordSuspicion(worker);
    },
    recordSuspicion,
    recordRuntimes: (worker, done) => {
      for (const run of done) {
        const tasks = jobState.groupOf(run.entry, run.task);
        const factor = options.speeds.slowestFactorOf(tasks);
        run.task.workMs = workerTable.observedWorkMs(run, nowMs()) / factor;
        workerSuspicion.recordGoodStart(worker.suspicion, run.startedAtMs);
      }
      // The runtime on a suspected worker says more about the worker than about the declared work.
      if (workerSuspicion.isSuspect(worker.suspicion, nowMs())) return;
      for (const { entry, step, task } of done) {
        runtimeEstimates.recordTask(options.estimates, entry.job, step, task.workMs);
      }
    },
  };
};
