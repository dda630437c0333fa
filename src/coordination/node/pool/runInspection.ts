/**
 * Looks at runs that would end with their worker or stand still.
 */
import type * as clock from '../../../base/common/clock.js';
import * as workerBlame from '../../common/pool/workerBlame.js';
import * as workerTable from '../../common/pool/workerTable.js';

/** What the inspection needs. */
export interface RunInspectionOptions {
  readonly clock: clock.Clock;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  readonly isWanted: (run: workerTable.RunHolding) => boolean;
  readonly stopRun: (
    worker: workerTable.WorkerEntry,
    run: workerTable.RunHolding,
    cause: string,
  ) => void;
  /** Stops what runs of a group. */
  readonly stopGroup: (groupKey: string, cause: string) => void;
}

/** Looks at runs. */
export interface RunInspection {
  /** Stops runs that go on better elsewhere. */
  readonly inspect: () => void;
  /** Sends stops again that had no effect yet. */
  readonly repeatStops: () => void;
}

/** A stop takes a few hundred milliseconds; one without effect is sent again after this time. */
const REPEAT_STOP_MS = 700;

/** Kept of a draining worker's time for the stop itself and for the way there and back. */
const EVACUATION_MS = 800;

/**
 * Without any progress for this long, and for this part of its declared work, a run is taken to stand
 * still: its worker gets nothing more, and after a longer time the run goes elsewhere. Workers that
 * stand still mostly go on within six seconds, and a run that moves loses what it has not saved.
 */
const STALL = { suspectMs: 1500, suspectShare: 0.05, moveMs: 6500, moveShare: 0.15 } as const;

/**
 * @param options - what the inspection needs
 * @returns the inspection, which looks when it is asked
 */
export const createRunInspection = (options: RunInspectionOptions): RunInspection => {
  const nowMs = (): number => options.clock.monotonicMs();

  const inspectRun = (worker: workerTable.WorkerEntry, run: workerTable.RunHolding): void => {
    if (run.phase !== workerTable.RunPhase.present || !options.isWanted(run)) return;
    const { estimatedMs, isLongRunning } = run.step;
    if (nowMs() + workerTable.remainingMsOf(run, nowMs()) > worker.leavesAtMs - EVACUATION_MS) {
      // It would end with its worker; stopped now it can go on elsewhere, and from a checkpoint.
      options.stopGroup(run.groupKey, 'workerLeaves');
      return;
    }
    if (isLongRunning) return;
    const stillMs = nowMs() - run.movedAtMs;
    if (stillMs > STALL.suspectMs + STALL.suspectShare * estimatedMs) {
      workerBlame.noteStall(worker.blame, nowMs());
    }
    if (stillMs > STALL.moveMs + STALL.moveShare * estimatedMs) {
      run.task.avoid.push(worker.info?.workerId ?? '');
      options.stopGroup(run.groupKey, 'standsStill');
    }
  };

  return {
    inspect: () => {
      for (const worker of options.workers.values()) {
        if (worker.isReachable) {
          for (const run of [...worker.runs.values()]) inspectRun(worker, run);
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
