/**
 * Records start orders without an answer with the tasks that they start. They are stored, since the next leader has to
 * wait for them as well.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import * as delayedOrders from '../../common/pool/delayedOrders.js';
import type * as jobState from '../../common/pool/jobState.js';

/** Dependencies of the recorder. */
export interface OpenOrderRecorderOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Stores a job's progress. */
  readonly save: (jobId: string) => Promise<void>;
}

/** A task with its job. */
export interface KnownTask {
  readonly entry: jobState.JobEntry;
  readonly task: jobState.TaskEntry;
}

/** Records open orders. */
export interface OpenOrderRecorder {
  /** An order of this leader has a copy without an answer. */
  readonly recordOwn: (known: KnownTask, target: delayedOrders.OrderTarget) => void;
  /** An agent has told of an order of an earlier leader; it may tell of the same one again. */
  readonly recordReported: (
    known: KnownTask,
    agentId: string,
    start: agentContract.OpenStart,
  ) => void;
}

/**
 * @param options - its dependencies
 * @returns the recorder
 */
export const createOpenOrderRecorder = (options: OpenOrderRecorderOptions): OpenOrderRecorder => {
  const { clock: time, log } = options;
  const readClocks = (): delayedOrders.ClockReadings => ({
    monotonicMs: time.monotonicMs(),
    wallMs: time.wallMs(),
  });

  return {
    recordOwn: ({ entry, task }, target) => {
      task.openOrders = delayedOrders.addOpenOrder(task.openOrders, target, readClocks());
      void options.save(entry.job.jobId);
    },
    recordReported: ({ entry, task }, agentId, { workerId, ageMs, task: name }) => {
      const target = { agentId, workerId };
      const now = readClocks();
      if (delayedOrders.isKnownOrder(task.openOrders, target, now, ageMs)) return;
      task.openOrders = delayedOrders.addOpenOrder(task.openOrders, target, now, ageMs);
      log('warn', 'openStartLearnt', { task: name, agent: agentId, worker: workerId, ageMs });
      void options.save(entry.job.jobId);
    },
  };
};
