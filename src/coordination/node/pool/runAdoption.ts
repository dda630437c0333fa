/**
 * Takes up runs that the leader did not order in its own term: those that a previous leader assigned, and those that a
 * worker reports and the leader does not know.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import type * as jobState from '../../common/pool/jobState.js';
import * as runState from '../../common/pool/runState.js';
import type * as runtimeEstimates from '../../common/pool/runtimeEstimates.js';
import * as workerTable from '../../common/pool/workerTable.js';
import type * as openOrderRecorder from './openOrderRecorder.js';
import type * as speedRecorder from './speed/speedRecorder.js';

/** Dependencies of the adoption. */
export interface RunAdoptionOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly estimates: runtimeEstimates.RuntimeEstimates;
  readonly speeds: Pick<speedRecorder.SpeedRecorder, 'factorOf'>;
  /** The job and task for a task name, if the leader knows them. */
  readonly findTask: (text: string) => openOrderRecorder.KnownTask | undefined;
  readonly stopRun: (
    worker: workerTable.WorkerEntry,
    run: workerTable.ActiveRun,
    cause: string,
  ) => void;
}

/** Takes up runs. */
export interface RunAdoption {
  /** Registers a run that a previous leader ordered; the worker's next report shows whether it exists. */
  readonly adoptAssigned: (
    worker: workerTable.WorkerEntry,
    entry: jobState.JobEntry,
    task: jobState.TaskEntry,
  ) => void;
  /** Registers a run that the worker reports and the leader does not know; stops it where it is not wanted. */
  readonly adoptUnknown: (worker: workerTable.WorkerEntry, listed: poolWorker.RunningTask) => void;
}

/**
 * @param options - its dependencies
 * @returns the adoption of runs
 */
export const createRunAdoption = (options: RunAdoptionOptions): RunAdoption => {
  const { clock: time, log } = options;
  const nowMs = (): number => time.monotonicMs();

  return {
    adoptAssigned: (worker, entry, task) => {
      const run = workerTable.createActiveRun(entry, task, workerTable.RunPhase.closing, nowMs());
      const now = { nowMs: nowMs(), wallMs: time.wallMs() };
      const factor = options.speeds.factorOf(worker);
      workerTable.restoreStartTime(run, options.estimates, now, factor);
      run.closeFence = worker.fence;
      worker.runs.set(poolWorker.runKey(run.name, run.run), run);
    },
    adoptUnknown: (worker, listed) => {
      const known = options.findTask(listed.task);
      if (known === undefined) {
        log('error', 'unknownTaskRuns', { task: listed.task, agent: worker.agentId });
        return;
      }
      const { present } = workerTable.RunPhase;
      const run = {
        ...workerTable.createActiveRun(known.entry, known.task, present, nowMs()),
        run: listed.run,
        percent: listed.percent,
        saved: listed.saved,
      };
      worker.runs.set(poolWorker.runKey(run.name, run.run), run);
      if (!runState.isWanted(run)) options.stopRun(worker, run, 'notWanted');
    },
  };
};
