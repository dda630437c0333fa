/**
 * Records start orders without an answer with the tasks that they start. They are stored, since the next leader has to
 * wait for them as well.
 */
import * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import * as delayedOrders from '../../common/pool/delayedOrders.js';
import type * as jobState from '../../common/pool/jobState.js';

/** A task with its job. */
export interface KnownTask {
  readonly entry: jobState.JobEntry;
  readonly task: jobState.TaskEntry;
}

/** Dependencies of the recorder. */
export interface OpenOrderRecorderOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** The job and task for a task name, if the leader knows them. */
  readonly findTask: (name: string) => KnownTask | undefined;
  /** Stores a job's progress. */
  readonly save: (jobId: string) => Promise<void>;
}

/** Records open orders. */
export interface OpenOrderRecorder {
  /** An order of this leader has a copy without an answer. */
  readonly recordOwn: (known: KnownTask, target: delayedOrders.OrderTarget) => void;
  /** An agent tells of orders of earlier leaders; it may tell of the same ones again. */
  readonly recordReported: (agentId: string, starts: readonly agentContract.OpenStart[]) => void;
}

/**
 * @param options - its dependencies
 * @returns the recorder
 */
export const createOpenOrderRecorder = (options: OpenOrderRecorderOptions): OpenOrderRecorder => {
  const { clock: time, log } = options;

  const recordReportedOne = (agentId: string, start: agentContract.OpenStart): void => {
    const { workerId, ageMs, task: name } = start;
    const known = options.findTask(name);
    if (known === undefined) return;
    const { entry, task } = known;
    const target = { agentId, workerId };
    const now = clock.readClocks(time);
    if (delayedOrders.isKnownOrder(task.openOrders, target, now, ageMs)) return;
    task.openOrders = delayedOrders.addOpenOrder(task.openOrders, target, now, ageMs);
    log('warn', 'openStartLearnt', { task: name, agent: agentId, worker: workerId, ageMs });
    void options.save(entry.job.jobId);
  };

  return {
    recordOwn: ({ entry, task }, target) => {
      task.openOrders = delayedOrders.addOpenOrder(task.openOrders, target, clock.readClocks(time));
      void options.save(entry.job.jobId);
    },
    recordReported: (agentId, starts) => {
      starts.forEach((start) => recordReportedOne(agentId, start));
    },
  };
};
