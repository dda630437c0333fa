/**
 * Declares runs of unreachable workers lost.
 *
 * Guards against a task that runs twice: an unreachable worker continues until its leases have expired. A new
 * incarnation of it has seen no fence, and may execute a start ordered from the previous one as long as a delayed
 * duplicate of that order can arrive.
 */
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import * as fences from '../../common/pool/fences.js';
import * as jobState from '../../common/pool/jobState.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';
import * as startPlaces from '../../common/pool/startPlaces.js';
import * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of the detection of lost runs. */
export interface LostRunDetectorOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly registry: jobRegistry.JobRegistry;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  /** Leader's clock by which every lease granted by a previous leader has expired. */
  readonly previousLeasesExpireAtMs: number;
  /** Ends a run that has certainly ended or can no longer start. */
  readonly markLost: (run: workerTable.ActiveRun, cause: string) => void;
  /** Runs of a worker that has gone silent are about to be declared lost. */
  readonly onWillLapse: (
    worker: workerTable.WorkerEntry,
    runs: readonly workerTable.ActiveRun[],
  ) => void;
}

/** Declares runs lost. */
export interface LostRunDetector {
  /** Declares all runs of a worker lost that has announced its shutdown. */
  readonly markWorkerLost: (worker: workerTable.WorkerEntry) => void;
  /** Checks workers that are unreachable, and those not seen since this leader took over. */
  readonly declareLost: () => void;
}

/**
 * @param options - its dependencies
 * @returns declares runs lost when called
 */
export const createLostRunDetector = (options: LostRunDetectorOptions): LostRunDetector => {
  const { clock: time, log } = options;
  const loggedWaits = new WeakSet<workerTable.ActiveRun>();
  const nowMs = (): number => time.monotonicMs();

  const markRunsLost = (
    worker: workerTable.WorkerEntry,
    runs: readonly workerTable.ActiveRun[],
    cause: string,
  ): void => {
    if (runs.length === 0) return;
    fences.raiseFence(worker);
    for (const run of runs) worker.runs.delete(poolWorker.runKey(run.name, run.run));
    runs.forEach((run) => options.markLost(run, cause));
  };

  const delayedMs = (task: jobState.TaskEntry): number =>
    startPlaces.delayedStartMs(options.workers, task.openOrders, clock.readClocks(time));

  /** @returns whether a delayed duplicate of a start order may still take effect */
  const mayStillStart = (worker: workerTable.WorkerEntry, run: workerTable.ActiveRun): boolean => {
    const leftMs = delayedMs(run.task);
    if (leftMs > 0 && !loggedWaits.has(run)) {
      loggedWaits.add(run);
      log('warn', 'runAwaited', {
        task: run.name,
        run: run.run,
        agent: worker.agentId,
        leftMs: Math.round(leftMs),
      });
    }
    return leftMs > 0;
  };

  const declareUnreachableLost = (): void => {
    for (const worker of options.workers.values()) {
      if (workerTable.haveRunsExpired(worker, nowMs())) {
        const lostRuns = [...worker.runs.values()].filter((run) => !mayStillStart(worker, run));
        if (lostRuns.length > 0) options.onWillLapse(worker, lostRuns);
        markRunsLost(worker, lostRuns, 'leasesLapsed');
      }
    }
  };

  const declareUnseenLostOf = (entry: jobState.JobEntry, seenAgents: ReadonlySet<string>): void => {
    for (const task of jobState.tasksOf(entry)) {
      const isLost =
        task.phase === 'assigned' && !seenAgents.has(task.agentId) && delayedMs(task) === 0;
      if (isLost) {
        const { closing } = workerTable.RunPhase;
        options.markLost(
          workerTable.createActiveRun(entry, task, closing, nowMs()),
          'workerNeverSeen',
        );
      }
    }
  };

  const declareUnseenLost = (): void => {
    if (nowMs() < options.previousLeasesExpireAtMs) return;
    const seenAgents = new Set(
      [...options.workers.values()].filter((it) => it.info !== undefined).map((it) => it.agentId),
    );
    for (const entry of options.registry.all()) {
      if (!jobState.isEnded(entry)) declareUnseenLostOf(entry, seenAgents);
    }
  };

  return {
    markWorkerLost: (worker) => markRunsLost(worker, [...worker.runs.values()], 'workerLeft'),
    declareLost: () => {
      declareUnreachableLost();
      declareUnseenLost();
    },
  };
};
