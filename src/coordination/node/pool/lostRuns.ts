/**
 * Declares runs of unreachable workers lost.
 *
 * Guards against a task that runs twice: an unreachable worker continues until its leases have expired. A new
 * incarnation of it has seen no fence, and may execute a start ordered from the previous one as long as a delayed
 * duplicate of that order can arrive.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import * as jobBook from '../../common/pool/jobBook.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';
import * as lateOrders from '../../common/pool/lateOrders.js';
import * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of the detection of lost runs. */
export interface LostRunsOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly registry: jobRegistry.JobRegistry;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  /** Leader's clock by which every lease granted by a previous leader has expired. */
  readonly formerLapseAtMs: number;
  /** Ends a run that has certainly ended or can no longer start. */
  readonly noteLost: (run: workerTable.RunHolding, cause: string) => void;
}

/** Declares runs lost. */
export interface LostRuns {
  /** Declares all runs of a worker lost that has announced its shutdown. */
  readonly giveUpWorker: (worker: workerTable.WorkerEntry) => void;
  /** Checks workers that are unreachable, and those not seen since this leader took over. */
  readonly giveUp: () => void;
}

/**
 * @param options - its dependencies
 * @returns declares runs lost when called
 */
export const createLostRuns = (options: LostRunsOptions): LostRuns => {
  const { clock: time, log } = options;
  const awaited = new WeakSet<workerTable.RunHolding>();
  const nowMs = (): number => time.monotonicMs();

  const giveUpRuns = (
    worker: workerTable.WorkerEntry,
    runs: readonly workerTable.RunHolding[],
    cause: string,
  ): void => {
    if (runs.length === 0) return;
    workerTable.raiseFence(worker);
    for (const run of runs) worker.runs.delete(workerTable.runKey(run.name, run.run));
    runs.forEach((run) => options.noteLost(run, cause));
  };

  /** @returns whether a delayed duplicate of its start order may still take effect */
  const isAwaited = (worker: workerTable.WorkerEntry, run: workerTable.RunHolding): boolean => {
    const leftMs = run.lateUntilMs - nowMs();
    if (leftMs > 0 && !awaited.has(run)) {
      awaited.add(run);
      log('warn', 'runAwaited', {
        task: run.name,
        run: run.run,
        agent: worker.agentId,
        leftMs: Math.round(leftMs),
      });
    }
    return leftMs > 0;
  };

  const giveUpSilent = (): void => {
    for (const worker of options.workers.values()) {
      if (workerTable.isLapsed(worker, nowMs())) {
        const over = [...worker.runs.values()].filter((run) => !isAwaited(worker, run));
        giveUpRuns(worker, over, 'leasesLapsed');
      }
    }
  };

  const giveUpUnseenOf = (entry: jobBook.JobEntry, seenAgents: ReadonlySet<string>): void => {
    const now = { monotonicMs: nowMs(), wallMs: time.wallMs() };
    for (const task of jobBook.tasksOf(entry)) {
      const isOver =
        task.phase === 'assigned' &&
        !seenAgents.has(task.agentId) &&
        lateOrders.toOwnClock(task.lateUntilWallMs, now) <= now.monotonicMs;
      if (isOver) {
        const { closing } = workerTable.RunPhase;
        options.noteLost(workerTable.createRun(entry, task, closing, nowMs()), 'workerNeverSeen');
      }
    }
  };

  const giveUpUnseen = (): void => {
    if (nowMs() < options.formerLapseAtMs) return;
    const seenAgents = new Set(
      [...options.workers.values()].filter((it) => it.info !== undefined).map((it) => it.agentId),
    );
    for (const entry of options.registry.all()) {
      if (!jobBook.isEnded(entry)) giveUpUnseenOf(entry, seenAgents);
    }
  };

  return {
    giveUpWorker: (worker) => giveUpRuns(worker, [...worker.runs.values()], 'workerLeft'),
    giveUp: () => {
      giveUpSilent();
      giveUpUnseen();
    },
  };
};
