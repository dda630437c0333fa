/**
 * Applies what a worker tells of itself: a new incarnation, and the start of its drain.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as endTracker from '../../common/pool/endTracker.js';
import * as fences from '../../common/pool/fences.js';
import * as workerSuspicion from '../../common/pool/workerSuspicion.js';
import * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of the handler. */
export interface WorkerInfoHandlerOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Something changed that requires a planning round. */
  readonly onDidChange: () => void;
}

/** Applies a worker's information about itself; undefined where its agent has none yet. */
export type ApplyInfo = (
  worker: workerTable.WorkerEntry,
  info: poolWorker.WorkerInfo | undefined,
) => void;

/** A draining worker that does not report its remaining time is assumed to shut down after this time. */
const DEFAULT_REMAINING_MS = 2000;

/** Nothing that is known of the previous incarnation holds for the next one. */
const startIncarnation = (worker: workerTable.WorkerEntry, info: poolWorker.WorkerInfo): void => {
  worker.info = info;
  worker.seenUpTo = 0;
  worker.appliedUpTo = 0;
  worker.endTracker = endTracker.createEndTracker();
  worker.viewClockMs = 0;
  worker.sample = undefined;
  worker.leasesExpireAtMs = 0;
  worker.drainEndsAtMs = Infinity;
  worker.suspicion = workerSuspicion.createWorkerSuspicion();
  // The previous incarnation ended with all its runs, but an order to it may still reach the new one, even a
  // duplicate of an order that was executed long ago.
  fences.raiseFence(worker);
  for (const run of worker.runs.values()) {
    run.phase = workerTable.RunPhase.closing;
    run.closeFence = worker.fence;
  }
};

/**
 * @param options - its dependencies
 * @returns the handler
 */
export const createWorkerInfoHandler = (options: WorkerInfoHandlerOptions): ApplyInfo => {
  const { log } = options;
  const nowMs = (): number => options.clock.monotonicMs();

  return (worker, info) => {
    if (info === undefined) return;
    const before = worker.info;
    const isNewIncarnation =
      before?.workerId !== info.workerId || before.incarnationMs !== info.incarnationMs;
    if (isNewIncarnation) startIncarnation(worker, info);
    worker.info = info;
    if (info.state === poolWorker.WorkerState.draining && worker.drainEndsAtMs === Infinity) {
      worker.drainEndsAtMs = nowMs() + (info.remainingMs ?? DEFAULT_REMAINING_MS);
    }
    const isResized =
      before !== undefined && !poolJob.areSameResources(before.capacity, info.capacity);
    if (isNewIncarnation || isResized || before.state !== info.state) {
      log('info', 'workerChanged', {
        agent: worker.agentId,
        worker: info.workerId,
        incarnation: info.incarnationMs,
        state: info.state,
        remainingMs: info.remainingMs,
        accelerators: info.capacity.accelerators,
        cpuMillicores: info.capacity.cpuMillicores,
      });
      options.onDidChange();
    }
  };
};
