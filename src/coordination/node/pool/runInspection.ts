/**
 * Finds stalled runs and runs that cannot finish before their worker shuts down.
 */
import type * as clock from '../../../base/common/clock.js';
import * as crashAttribution from '../../common/pool/crashAttribution.js';
import * as jobState from '../../common/pool/jobState.js';
import * as runProgress from '../../common/pool/runProgress.js';
import * as workerSuspicion from '../../common/pool/workerSuspicion.js';
import * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of the inspection. */
export interface RunInspectionOptions {
  readonly clock: clock.Clock;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  readonly isWanted: (run: workerTable.ActiveRun) => boolean;
  readonly stopRun: (
    worker: workerTable.WorkerEntry,
    run: workerTable.ActiveRun,
    cause: string,
  ) => void;
  /** Stops the present runs of a group. */
  readonly stopGroup: (groupKey: string, cause: string) => void;
}

/** Periodic checks of the runs. */
export interface RunInspection {
  /** Stops runs that should continue on another worker. */
  readonly inspect: () => void;
  /** Repeats stop orders that have had no effect yet. */
  readonly repeatStops: () => void;
}

/** A stop takes a few hundred milliseconds; one without effect is repeated after this time. */
const REPEAT_STOP_MS = 700;

/**
 * Part of a draining worker's remaining time reserved for the stop of a run that saves a checkpoint by it, with its
 * round trip. Other runs lose all their work by a stop, so they may use the time to its end.
 */
const CHECKPOINT_RESERVE_MS = 800;

/**
 * A run counts as stalled after this time plus this share of its declared work without any progress: its worker
 * receives no more tasks, and after the longer time the run is relocated. Most stalled workers continue within
 * six seconds, and a relocated run loses all unsaved work.
 */
const STALL = {
  suspectMs: 1500,
  suspectShare: 0.05,
  relocateMs: 6500,
  relocateShare: 0.15,
} as const;

/** @returns whether the run has ended, and its worker lists so many earlier ends that it does not list this one yet */
const hasUnlistedEnd = (
  { sample }: workerTable.WorkerEntry,
  { reportedAtMs }: workerTable.ActiveRun,
): boolean => sample !== undefined && reportedAtMs < sample.atMs;

/**
 * @param options - its dependencies
 * @returns the inspection, which checks when called
 */
export const createRunInspection = (options: RunInspectionOptions): RunInspection => {
  const nowMs = (): number => options.clock.monotonicMs();

  const inspectRun = (
    worker: workerTable.WorkerEntry,
    run: workerTable.ActiveRun,
    progress: runProgress.GroupProgress,
  ): void => {
    if (run.phase !== workerTable.RunPhase.present || !options.isWanted(run)) return;
    if (hasUnlistedEnd(worker, run)) return;
    const { estimatedMs, isLongRunning, isCheckpointing } = run.step;
    const reserveMs = isCheckpointing || isLongRunning ? CHECKPOINT_RESERVE_MS : 0;
    const leftMs = worker.drainEndsAtMs - reserveMs - nowMs();
    if (workerTable.isDraining(worker) && progress.remainingMsOf(run) > leftMs) {
      // It would be killed with its worker; if stopped now it can resume elsewhere from a checkpoint.
      options.stopGroup(run.groupKey, 'workerLeaves');
      return;
    }
    if (isLongRunning) {
      const isCleared = crashAttribution.isCleared(run.task, nowMs() - run.startedAtMs);
      if (isCleared) jobState.forgetCrashes(run.task);
      return;
    }
    const stalledMs = progress.stalledMsOf(run);
    if (stalledMs > STALL.suspectMs + STALL.suspectShare * estimatedMs) {
      workerSuspicion.recordStall(worker.suspicion, nowMs());
    }
    if (stalledMs > STALL.relocateMs + STALL.relocateShare * estimatedMs) {
      run.task.avoidedWorkerIds.push(worker.info?.workerId ?? '');
      options.stopGroup(run.groupKey, 'standsStill');
    }
  };

  return {
    inspect: () => {
      const progress = runProgress.createGroupProgress(options.workers.values(), nowMs());
      for (const worker of options.workers.values()) {
        if (worker.isReachable) {
          for (const run of [...worker.runs.values()]) inspectRun(worker, run, progress);
        }
      }
    },
    repeatStops: () => {
      const dueMs = nowMs() - REPEAT_STOP_MS;
      for (const worker of options.workers.values()) {
        for (const run of worker.runs.values()) {
          const isDue = run.phase === workerTable.RunPhase.stopping && run.stopSentAtMs < dueMs;
          if (isDue) options.stopRun(worker, run, 'repeated');
        }
      }
    },
  };
};
