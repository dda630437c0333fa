/**
 * Orders stops of runs, of groups of them, and of those that their job does not need any more.
 */
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import * as jobState from '../../common/pool/jobState.js';
import * as runState from '../../common/pool/runState.js';
import * as workerTable from '../../common/pool/workerTable.js';
import type * as orderSender from './orderSender.js';

/** Dependencies of the stops. */
export interface RunStopsOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  readonly orderSender: () => orderSender.OrderSender;
}

/** Orders stops. */
export interface RunStops {
  readonly stopRun: (
    worker: workerTable.WorkerEntry,
    run: workerTable.ActiveRun,
    cause: string,
  ) => void;
  /** Stops the present runs of a group. */
  readonly stopGroup: (groupKey: string, cause: string) => void;
  /** Stops the remaining runs of an ended job, and of gangs that lost a member. */
  readonly stopUnwanted: (entry: jobState.JobEntry, cause: string) => void;
  /** Stops what the end of a task's run has made unnecessary. */
  readonly stopAfterEnd: (entry: jobState.JobEntry, task: jobState.TaskEntry) => void;
}

/** With more runs of a task, a search through all runs of the pool takes less time than a look for each. */
const MAX_LOOKED_UP_RUNS = 16;

/**
 * @param options - their dependencies
 * @returns orders stops when called
 */
export const createRunStops = (options: RunStopsOptions): RunStops => {
  const { log, metrics } = options;

  const stopRun: RunStops['stopRun'] = (worker, run, cause) => {
    run.phase = workerTable.RunPhase.stopping;
    run.stopSentAtMs = options.clock.monotonicMs();
    log('info', 'runStopped', { task: run.name, run: run.run, agent: worker.agentId, cause });
    metrics.count('auburnlift_stops_total', { cause });
    options.orderSender().stop(worker, run);
  };

  const stopIfUnwanted: RunStops['stopRun'] = (worker, run, cause) => {
    const isPresent = run.phase === workerTable.RunPhase.present;
    if (isPresent && !runState.isWanted(run) && !runState.isDone(run)) stopRun(worker, run, cause);
  };

  const stopUnwanted: RunStops['stopUnwanted'] = (entry, cause) => {
    for (const worker of options.workers.values()) {
      for (const run of worker.runs.values()) {
        if (run.entry === entry) stopIfUnwanted(worker, run, cause);
      }
    }
  };

  /** Only runs of the same task are concerned: a search through all runs takes seconds for a job of thousands of tasks. */
  const stopUnwantedOf = (entry: jobState.JobEntry, task: jobState.TaskEntry): void => {
    const { name } = workerTable.keysOf(entry, task);
    for (const worker of options.workers.values()) {
      for (let number = 1; number <= task.run; number += 1) {
        const run = worker.runs.get(poolWorker.runKey(name, number));
        if (run !== undefined) stopIfUnwanted(worker, run, 'taskEnded');
      }
    }
  };

  return {
    stopRun,
    stopGroup: (groupKey, cause) => {
      for (const worker of options.workers.values()) {
        for (const run of worker.runs.values()) {
          const isMember = run.groupKey === groupKey && run.phase === workerTable.RunPhase.present;
          if (isMember) stopRun(worker, run, cause);
        }
      }
    },
    stopUnwanted,
    stopAfterEnd: (entry, task) => {
      if (jobState.isEnded(entry)) stopUnwanted(entry, 'jobEnded');
      else if (jobState.groupOf(entry, task).length > 1) stopUnwanted(entry, 'gangBroken');
      else if (task.run > MAX_LOOKED_UP_RUNS) stopUnwanted(entry, 'taskEnded');
      else stopUnwantedOf(entry, task);
    },
  };
};
