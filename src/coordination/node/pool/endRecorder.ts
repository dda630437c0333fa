/**
 * Records the ends of runs and jobs: logs and metrics, attribution of failures to workers, and updates of the
 * runtime estimates.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as estimateBook from '../../common/pool/estimateBook.js';
import * as jobBook from '../../common/pool/jobBook.js';
import type * as jobEnds from '../../common/pool/jobEnds.js';
import * as jobOutcome from '../../common/pool/jobOutcome.js';
import * as planRound from '../../common/pool/planRound.js';
import * as workerBlame from '../../common/pool/workerBlame.js';
import * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of the recorder. */
export interface EndRecorderOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** The pool's workers by agent. */
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  /** Runtime estimates, updated from completed runs. */
  readonly estimates: estimateBook.EstimateBook;
}

/** Records ends. */
export interface EndRecorder {
  readonly recordJobEnd: (entry: jobBook.JobEntry) => void;
  /** Called if the end of a run, or of the gang it belongs to, has changed the job's state. */
  readonly recordRunEnd: (
    entry: jobBook.JobEntry,
    task: jobBook.TaskEntry,
    outcome: jobEnds.RunOutcome,
  ) => void;
  readonly updateSuspicion: (
    worker: workerTable.WorkerEntry,
    end: poolWorker.EndedRun,
    jobId: string,
  ) => void;
  /** @param done - runs that the worker reported as done */
  readonly recordRuntimes: (
    worker: workerTable.WorkerEntry,
    done: readonly workerTable.RunHolding[],
  ) => void;
}

/**
 * @param options - its dependencies
 * @returns the recorder
 */
export const createEndRecorder = (options: EndRecorderOptions): EndRecorder => {
  const { clock: time, log, metrics } = options;
  const nowMs = (): number => time.monotonicMs();
  return {
    recordJobEnd: (entry) => {
      const outcome = jobOutcome.outcomeOf(
        entry,
        workerTable.createSlotCount(options.workers.values()),
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
      log('info', 'runEnded', {
        job: jobId,
        group: workerTable.keysOf(entry, task).groupKey,
        step: task.step,
        index: task.index,
        run,
        how,
        heldMs: startedAtWallMs === 0 ? undefined : time.wallMs() - startedAtWallMs,
        cores: planRound.weightInCores(resources) * jobBook.groupOf(entry, task).length,
        checkpointing: isCheckpointing,
        worker: task.workerId,
        failures: task.failures,
        state: entry.state,
      });
    },
    updateSuspicion: (worker, end, jobId) => {
      if (end.how === poolWorker.EndKind.done) workerBlame.noteSuccess(worker.blame);
      if (end.how !== poolWorker.EndKind.failed) return;
      if (!workerBlame.noteFailure(worker.blame, jobId, nowMs())) return;
      metrics.count('auburnlift_workers_suspected_total');
      log('warn', 'workerSuspected', {
        agent: worker.agentId,
        worker: worker.info?.workerId,
        forMs: Math.round(worker.blame.suspectUntilMs - nowMs()),
        suspicions: worker.blame.suspicions,
      });
    },
    recordRuntimes: (worker, done) => {
      for (const run of done) run.task.workMs = workerTable.observedWorkMs(run, nowMs());
      // The runtime on a suspected worker says more about the worker than about the declared work.
      if (workerBlame.isSuspect(worker.blame, nowMs())) return;
      for (const { entry, step, task } of done) {
        estimateBook.noteDone(options.estimates, entry.job, step, task.workMs);
      }
    },
  };
};
