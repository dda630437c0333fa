/**
 * Acknowledges the ends of runs to their worker.
 *
 * An acknowledged end that is final for its task promises that the task does not start again. The promise is given after
 * the end is stored, and not while the worker may crash and a delayed order start the task in its new incarnation; at
 * the latest shortly before the time within which the platform expects it. Callers learn of the end before.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as poolWorker from '../../../state/common/pool/poolWorker.js';
import type * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of the acknowledgement. */
export interface EndAcknowledgementOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** The end of a run is acknowledged within this time after its worker lists it; 0 delays none. */
  readonly maxAcknowledgementMs: number;
  /** Applies an end to its job; settled once it is stored. */
  readonly applyEnd: (
    worker: workerTable.WorkerEntry,
    end: poolWorker.EndedRun,
  ) => Promise<void> | undefined;
  /** @returns for how much longer a delayed order may start the task, if it has ended; else 0 */
  readonly delayedMs: (worker: workerTable.WorkerEntry, end: poolWorker.EndedRun) => number;
}

/** Reserved for storing the end and for the agent's next two calls. */
const RESERVE_MS = 1500;

/**
 * @param options - its dependencies
 * @returns acknowledges the ends of a report; settled once they are stored
 */
export const createEndAcknowledgement = (options: EndAcknowledgementOptions) => {
  const { clock: time, log } = options;
  const longestDelayMs = Math.max(0, options.maxAcknowledgementMs - RESERVE_MS);

  return (
    worker: workerTable.WorkerEntry,
    listed: readonly poolWorker.EndedRun[],
  ): Promise<unknown> => {
    const { endTracker: ends } = worker;
    const listedAtMs = time.monotonicMs();
    listed.forEach((end) => ends.add(end.sequence));
    const acknowledge = ({ sequence }: poolWorker.EndedRun): void => {
      const upTo = ends.note(sequence);
      if (worker.endTracker === ends) worker.seenUpTo = upTo;
    };
    const acknowledgeStored = async (end: poolWorker.EndedRun): Promise<void> => {
      await options.applyEnd(worker, end);
      const leftMs = longestDelayMs - (time.monotonicMs() - listedAtMs);
      const delayMs = Math.min(leftMs, options.delayedMs(worker, end));
      if (delayMs <= 0) {
        acknowledge(end);
        return;
      }
      const { task, run } = end;
      const forMs = Math.round(delayMs);
      log('info', 'acknowledgementDelayed', { task, run, agent: worker.agentId, forMs });
      time.after(delayMs, () => acknowledge(end));
    };
    return Promise.all(listed.map(acknowledgeStored));
  };
};
