/**
 * The leader's control of the runs: applies updates of agents to the jobs, orders stops, and declares a run lost
 * only when it has certainly ended or can no longer start.
 *
 * Guards against a task that runs twice in three ways:
 * - an unanswered order may be executed seconds later. The run counts as gone only once the worker has answered
 *   under a higher fence, under which it refuses all earlier orders;
 * - an unreachable worker continues. Its runs count as running until all leases granted to it have expired;
 * - a run end is acknowledged, and so dropped by the worker, only after the job's progress is stored.
 */
import * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import type * as doneRuns from '../../common/pool/doneRuns.js';
import type * as runtimeEstimates from '../../common/pool/runtimeEstimates.js';
import * as jobState from '../../common/pool/jobState.js';
import * as jobTransitions from '../../common/pool/jobTransitions.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';
import * as delayedOrders from '../../common/pool/delayedOrders.js';
import * as fences from '../../common/pool/fences.js';
import * as runState from '../../common/pool/runState.js';
import * as reportReconciliation from '../../common/pool/reportReconciliation.js';
import * as workerTable from '../../common/pool/workerTable.js';

import * as crashRecorder from './crashRecorder.js';
import * as endAcknowledgement from './endAcknowledgement.js';
import * as endRecorder from './endRecorder.js';
import * as lostRunDetector from './lostRunDetector.js';
import * as openOrderRecorder from './openOrderRecorder.js';
import type * as orderSender from './orderSender.js';
import * as orderResultHandler from './orderResultHandler.js';
import * as reachability from './reachability.js';
import * as runAdoption from './runAdoption.js';
import * as runInspection from './runInspection.js';
import * as runStops from './runStops.js';
import type * as speedRecorder from './speed/speedRecorder.js';
import * as workerInfoHandler from './workerInfoHandler.js';

/** Dependencies of run control. */
export interface RunControlOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly registry: jobRegistry.JobRegistry;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  readonly orderSender: () => orderSender.OrderSender;
  /** Duration of leases: on a worker whose incarnation is younger, no lease can have expired. */
  readonly grantMs: number;
  /** The end of a run is acknowledged within this time. */
  readonly maxAcknowledgementMs: number;
  /** Leader's clock by which every lease granted by a previous leader has expired. */
  readonly previousLeasesExpireAtMs: number;
  /** Runtime estimates, updated from completed runs. */
  readonly estimates: runtimeEstimates.RuntimeEstimates;
  readonly speeds: speedRecorder.SpeedRecorder;
  readonly doneRuns: doneRuns.DoneRuns;
  /** Stores a job's progress; settled once it is stored. */
  readonly save: (jobId: string) => Promise<void>;
  /** Settled once no change of a job is waiting to be stored. */
  readonly whenStored: (jobId: string) => Promise<void>;
  /** A job has begun or has a new checkpoint, which can be stored later in a batch. */
  readonly onDidProgress: (jobId: string) => void;
  /** Something changed that requires a planning round. */
  readonly onDidChange: () => void;
}

/** The leader's control of the runs. */
export interface RunControl {
  /** @returns settled once the run ends in the update are stored and may be acknowledged */
  readonly applyUpdate: (
    worker: workerTable.WorkerEntry,
    news: agentContract.WorkerUpdate,
    receivedAtMs: number,
  ) => Promise<unknown>;
  readonly applyOrderResults: (settled: orderSender.SettledOrders) => void;
  /** Applies completed runs that this process received in an earlier term and could not store. */
  readonly applyDoneRuns: () => void;
  readonly adoptAssigned: runAdoption.RunAdoption['adoptAssigned'];
  readonly stopRun: runStops.RunStops['stopRun'];
  readonly stopGroup: runStops.RunStops['stopGroup'];
  readonly stopUnwanted: runStops.RunStops['stopUnwanted'];
  /** Gives back the room of a job's starts that are not stored and so not sent. */
  readonly dropUnsentStarts: (entry: jobState.JobEntry) => void;
  /** Ends a run that has certainly ended or can no longer start. */
  readonly markLost: (run: workerTable.ActiveRun, cause: string) => void;
  /** Declares the runs of unreachable workers lost once all their leases have expired. */
  readonly declareLost: () => void;
  /** Repeats stop orders that have had no effect yet. */
  readonly repeatStops: () => void;
  readonly isWanted: (run: workerTable.ActiveRun) => boolean;
  /** Stops stalled runs, and runs that cannot finish before their draining worker shuts down. */
  readonly inspect: () => void;
}

/** A worker that announced its shutdown is assumed gone once it has not answered for this long. */
const DEPARTED_MS = 1200;

/**
 * @param options - its dependencies
 * @returns run control
 */
export const createRunControl = (options: RunControlOptions): RunControl => {
  const { clock: time, log } = options;
  const nowMs = (): number => time.monotonicMs();
  const recorder = endRecorder.createEndRecorder(options);

  const stops = runStops.createRunStops(options);
  const { stopRun, stopGroup, stopUnwanted } = stops;

  /** Marks a run as closing: it counts as gone once the worker has answered under a higher fence. */
  const markClosing = (worker: workerTable.WorkerEntry, run: workerTable.ActiveRun): void => {
    fences.raiseFence(worker);
    run.phase = workerTable.RunPhase.closing;
    run.closeFence = worker.fence;
  };

  const endRun = (
    entry: jobState.JobEntry,
    task: jobState.TaskEntry,
    outcome: jobTransitions.RunOutcome,
    mayBeOfLostRun = false,
  ): Promise<void> => {
    const { jobId } = entry.job;
    const { state } = entry;
    const hadEnded = jobState.isEnded(entry);
    // The end of another gang member may already have changed the job, and that change may not be stored yet.
    const hasChanged =
      jobTransitions.recordRunEnd(entry, task, outcome, time.wallMs()) ||
      (mayBeOfLostRun && jobTransitions.recordEarlierRunDone(entry, task, outcome, time.wallMs()));
    if (!hasChanged) {
      if (entry.state !== state) options.onDidProgress(jobId);
      return options.whenStored(jobId);
    }
    recorder.recordRunEnd(entry, task, outcome);
    const hasEnded = jobState.isEnded(entry);
    if (hasEnded && !hadEnded) recorder.recordJobEnd(entry);
    stops.stopAfterEnd(entry, task);
    options.onDidChange();
    return options.save(jobId);
  };

  /** @param run - a run that its worker has accepted or reports */
  const recordBegun = ({ entry, name, run }: workerTable.ActiveRun): void => {
    if (!jobState.recordBegun(entry)) return;
    log('info', 'jobBegun', { job: entry.job.jobId, task: name, run });
    options.onDidProgress(entry.job.jobId);
  };

  const markLost = (run: workerTable.ActiveRun, cause: string): void => {
    log('warn', 'runLost', { task: run.name, run: run.run, cause });
    const outcome = { run: run.run, how: 'lost', saved: run.saved } as const;
    void endRun(run.entry, run.task, outcome);
  };

  const dropUnsentStarts = (entry: jobState.JobEntry): void => {
    for (const worker of options.workers.values()) {
      for (const [key, run] of worker.runs) {
        const isOrdering = run.entry === entry && run.phase === workerTable.RunPhase.ordering;
        if (isOrdering && run.task.orderedRun !== run.run) {
          worker.runs.delete(key);
          // Whoever waits to send it sees by the phase that it is given up.
          run.phase = workerTable.RunPhase.closing;
          jobState.recordNotBegun(run.task, run.run);
          markLost(run, 'notStored');
        }
      }
    }
  };

  const causeOfLoss = ({ task, run }: workerTable.ActiveRun): string =>
    task.crashes.some((it) => it.run === run) ? 'workerCrashed' : 'notOnWorker';

  /** The job and task for a task name, if the leader knows them. */
  const findTask = (text: string): openOrderRecorder.KnownTask | undefined => {
    const name = poolWorker.parseTaskName(text);
    const entry = name === undefined ? undefined : options.registry.get(name.jobId);
    if (name === undefined || entry === undefined) return undefined;
    const task = jobState.findTask(entry, name);
    return task === undefined ? undefined : { entry, task };
  };

  const trackUntilStored = async (
    { task, run }: poolWorker.EndedRun,
    stored: Promise<void>,
  ): Promise<void> => {
    const done = { task, run };
    options.doneRuns.add(done);
    await stored;
    options.doneRuns.remove(done);
  };

  const applyDoneRuns = (): void => {
    for (const done of options.doneRuns.all()) {
      const known = findTask(done.task);
      const stored =
        known === undefined
          ? Promise.resolve()
          : endRun(known.entry, known.task, { run: done.run, how: 'done', saved: '' });
      void stored.then(() => options.doneRuns.remove(done));
    }
  };

  const applyEnd = (
    worker: workerTable.WorkerEntry,
    end: poolWorker.EndedRun,
  ): Promise<void> | undefined => {
    const known = findTask(end.task);
    recorder.updateSuspicion(worker, end, known?.entry.job.jobId ?? '');
    if (known === undefined) {
      log('warn', 'endOfUnknownRun', { task: end.task, run: end.run, agent: worker.agentId });
      return undefined;
    }
    // The end of a run already declared lost counts only while no lease of this incarnation can have expired.
    const stored = endRun(known.entry, known.task, end, worker.viewClockMs < options.grantMs);
    return end.how === 'done' ? trackUntilStored(end, stored) : stored;
  };

  const { adoptAssigned, adoptUnknown } = runAdoption.createRunAdoption({
    ...options,
    findTask,
    stopRun,
  });

  const recordCheckpoint = (run: workerTable.ActiveRun): void => {
    if (!runState.isWanted(run)) return;
    for (const member of jobState.groupOf(run.entry, run.task)) member.saved = run.saved;
    options.onDidProgress(run.entry.job.jobId);
  };

  const applyInfo = workerInfoHandler.createWorkerInfoHandler(options);

  /**
   * Only the end of a task promises that it does not start again. An order to another worker is not waited for: this
   * worker's end would be acknowledged all the same, after the start.
   */
  const delayedStartAfterEndMs = (
    { agentId }: workerTable.WorkerEntry,
    end: poolWorker.EndedRun,
  ): number => {
    const task = findTask(end.task)?.task;
    if (task === undefined || !jobState.isTaskEnded(task)) return 0;
    if (task.orderedRun === end.run) return delayedOrders.MAX_ORDER_DELAY_MS;
    const orders = task.openOrders.filter((it) => it.agentId === agentId);
    return delayedOrders.remainingMs(orders, clock.readClocks(time));
  };

  const acknowledge = endAcknowledgement.createEndAcknowledgement({
    ...options,
    applyEnd,
    delayedMs: delayedStartAfterEndMs,
  });

  const applyReport = (
    worker: workerTable.WorkerEntry,
    news: agentContract.WorkerUpdate,
    receivedAtMs: number,
  ): Promise<unknown> => {
    const { view, viewFence, viewAgeMs } = news;
    const { info } = worker;
    const isCurrent = view !== undefined && view.incarnationMs === info?.incarnationMs;
    if (!isCurrent || view.clockMs < worker.viewClockMs) return Promise.resolve();
    // A silent worker's last report is sent again and again; its runs may have been declared lost since it was applied.
    const isNewer = view.clockMs > worker.viewClockMs;
    worker.viewClockMs = view.clockMs;
    worker.sample = {
      incarnationMs: view.incarnationMs,
      clockMs: view.clockMs,
      atMs: receivedAtMs - viewAgeMs,
    };
    const facts = reportReconciliation.applyReport(worker, { view, viewFence }, nowMs());
    if (facts.gone.length + facts.missing.length > 0) {
      log('info', 'runsNotListed', {
        agent: worker.agentId,
        gone: facts.gone.length,
        missing: facts.missing.length,
        running: view.running.length,
        ended: view.ended.length,
        endedUpTo: view.ended.at(-1)?.sequence,
        clockMs: view.clockMs,
        fence: viewFence,
      });
    }
    facts.saved.forEach(recordCheckpoint);
    options.speeds.recordRuns(worker, facts.timed, facts.done);
    recorder.recordRuntimes(worker, facts.done);
    const stored = acknowledge(worker, facts.ends);
    facts.gone.forEach((run) => markLost(run, causeOfLoss(run)));
    facts.missing.forEach((run) => markClosing(worker, run));
    if (isNewer) facts.unknownRuns.forEach((listed) => adoptUnknown(worker, listed));
    for (const run of worker.runs.values()) {
      if (run.phase === workerTable.RunPhase.present) recordBegun(run);
      const isStale =
        run.phase === workerTable.RunPhase.present &&
        !runState.isWanted(run) &&
        !runState.isDone(run);
      if (isStale) stopRun(worker, run, 'notWanted');
    }
    if (facts.ends.length + facts.gone.length > 0) options.onDidChange();
    return stored;
  };

  const openOrders = openOrderRecorder.createOpenOrderRecorder({ ...options, findTask });

  const crashes = crashRecorder.createCrashRecorder({
    ...options,
    findTask,
    onDidGiveUp: (entry) => {
      recorder.recordJobEnd(entry);
      stopUnwanted(entry, 'jobEnded');
      options.onDidChange();
    },
  });

  const detector = lostRunDetector.createLostRunDetector({
    ...options,
    markLost,
    onWillLapse: crashes.recordLapse,
  });

  const updateReachability = reachability.createReachability(options);

  const applyUpdate: RunControl['applyUpdate'] = (worker, news, receivedAtMs) => {
    worker.contactedAtMs = receivedAtMs;
    // A restarted agent does not know which values above the leader's fence it has used.
    if (worker.bootId !== '' && worker.bootId !== news.bootId) fences.raiseFence(worker);
    worker.bootId = news.bootId;
    openOrders.recordReported(worker.agentId, news.openStarts ?? []);
    crashes.recordUpdate(worker, news, receivedAtMs);
    const wasDraining = workerTable.isDraining(worker);
    applyInfo(worker, news.worker);
    const stored = applyReport(worker, news, receivedAtMs);
    const hasDeparted =
      worker.info?.state === poolWorker.WorkerState.gone &&
      workerTable.reportAgeMs(worker, receivedAtMs) > DEPARTED_MS;
    if (hasDeparted && worker.runs.size > 0) detector.markWorkerLost(worker);
    // At once: a run that can't end there starts again elsewhere, and urgent work tolerates less than a second.
    if (workerTable.isDraining(worker) && !wasDraining) inspect();
    updateReachability(worker, news, receivedAtMs);
    return stored;
  };

  const orderResults = orderResultHandler.createOrderResultHandler({
    ...options,
    openOrders,
    stopRun,
    recordBegun,
    recordSuspicion: recorder.recordSuspicion,
    close: markClosing,
    markLost,
  });

  const { inspect, repeatStops } = runInspection.createRunInspection({
    clock: time,
    workers: options.workers,
    isWanted: runState.isWanted,
    stopRun,
    stopGroup,
  });

  return {
    isWanted: runState.isWanted,
    inspect,
    stopRun,
    stopGroup,
    stopUnwanted,
    dropUnsentStarts,
    markLost,
    applyUpdate,
    applyDoneRuns,
    applyOrderResults: (settled) => {
      const { worker, news, receivedAtMs } = settled;
      settled.starts.forEach((it) => orderResults.handleStart(worker, it));
      if (settled.starts.some((it) => it.hasOpenCopy)) fences.recordOpenMessage(worker);
      if (news !== undefined) void applyUpdate(worker, news, receivedAtMs);
      settled.stops.forEach((it) => orderResults.handleStop(settled, it));
    },
    adoptAssigned,
    declareLost: detector.declareLost,
    repeatStops,
  };
};
