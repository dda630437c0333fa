/**
 * The leader's hold on what runs: takes agents' news into the jobs, orders starts and stops, and gives
 * a run up only when it has certainly ended or can't start any more.
 *
 * Guards, each against a task that runs twice:
 * - an order without an answer may be carried out seconds later. The run counts as gone only once the
 *   worker has answered under a higher fence, which refuses every earlier order;
 * - a worker that can't be reached runs on. Its runs count until every lease granted there has lapsed;
 * - an end is acknowledged, and so forgotten by the worker, only after the job's progress is stored.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import * as agentContract from '../../../state/common/pool/agentContract.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import type * as doneRuns from '../../common/pool/doneRuns.js';
import * as endLedger from '../../common/pool/endLedger.js';
import type * as estimateBook from '../../common/pool/estimateBook.js';
import * as jobBook from '../../common/pool/jobBook.js';
import * as jobEnds from '../../common/pool/jobEnds.js';
import type * as jobRegistry from '../../common/pool/jobRegistry.js';
import * as lateOrders from '../../common/pool/lateOrders.js';
import * as runNeed from '../../common/pool/runNeed.js';
import * as viewIntake from '../../common/pool/viewIntake.js';
import * as workerBlame from '../../common/pool/workerBlame.js';
import * as workerTable from '../../common/pool/workerTable.js';

import * as endNotes from './endNotes.js';
import * as lostRuns from './lostRuns.js';
import type * as orderDesk from './orderDesk.js';
import * as orderIntake from './orderIntake.js';
import * as runInspection from './runInspection.js';

/** What run control needs. */
export interface RunControlOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly registry: jobRegistry.JobRegistry;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  readonly desk: () => orderDesk.OrderDesk;
  /** How long leases are granted for: no lease of a younger life of a worker has lapsed. */
  readonly grantMs: number;
  /** Leader's clock by which every lease that a former leader granted has run out. */
  readonly formerLapseAtMs: number;
  /** Whose declared work can be believed; learns from what is done. */
  readonly estimates: estimateBook.EstimateBook;
  readonly doneRuns: doneRuns.DoneRuns;
  /** Stores a job's progress; settled once it is stored. */
  readonly save: (jobId: string) => Promise<void>;
  /** Settled once nothing of a job waits to be stored any more. */
  readonly whenStored: (jobId: string) => Promise<void>;
  /** A job has a new checkpoint, which is worth storing when convenient. */
  readonly onDidSave: (jobId: string) => void;
  /** Something changed that a planning round should look at. */
  readonly onDidChange: () => void;
}

/** The leader's hold on what runs. */
export interface RunControl {
  /** @returns settled once the ends among the news are stored and may be acknowledged */
  readonly takeNews: (
    worker: workerTable.WorkerEntry,
    news: agentContract.WorkerNews,
    receivedAtMs: number,
  ) => Promise<unknown>;
  readonly takeSettled: (settled: orderDesk.SettledOrders) => void;
  /** Takes what this process saw done in an earlier term and could not store. */
  readonly recallDone: () => void;
  /** Registers a run that a former leader ordered; the worker's next list settles it. */
  readonly adoptAssigned: (
    worker: workerTable.WorkerEntry,
    entry: jobBook.JobEntry,
    task: jobBook.TaskEntry,
  ) => void;
  readonly stopRun: (
    worker: workerTable.WorkerEntry,
    run: workerTable.RunHolding,
    cause: string,
  ) => void;
  /** Stops what runs of a group. */
  readonly stopGroup: (groupKey: string, cause: string) => void;
  /** Stops what is left of a job that has ended, and of gangs that lost a member. */
  readonly stopUnwanted: (entry: jobBook.JobEntry, cause: string) => void;
  /** Ends a run of which nothing is left to wait for. */
  readonly noteLost: (run: workerTable.RunHolding, cause: string) => void;
  /** Gives up what nobody can reach any more. */
  readonly giveUpLost: () => void;
  /** Sends stops again that had no effect yet. */
  readonly repeatStops: () => void;
  readonly isWanted: (run: workerTable.RunHolding) => boolean;
  /** Looks at what stands still, and at what a draining worker would take away with it. */
  readonly inspect: () => void;
}

/** With an older list the worker does not answer its agent, and is given nothing new. */
const MAX_VIEW_AGE_MS = 2500;

/** A draining worker that does not say how long it lives is taken to leave after this time. */
const DEFAULT_REMAINING_MS = 2000;

/** A worker that said it ends and has not answered since is taken to be gone after this time. */
const DEPARTED_MS = 1200;

/**
 * @param options - what run control needs
 * @returns run control
 */
export const createRunControl = (options: RunControlOptions): RunControl => {
  const { clock: time, log, metrics } = options;
  const nowMs = (): number => time.monotonicMs();
  const notes = endNotes.createEndNotes(options);

  const stopRun = (
    worker: workerTable.WorkerEntry,
    run: workerTable.RunHolding,
    cause: string,
  ): void => {
    run.phase = workerTable.RunPhase.stopping;
    run.stopSentAtMs = nowMs();
    log('info', 'runStopped', { task: run.name, run: run.run, agent: worker.agentId, cause });
    metrics.count('auburnlift_stops_total', { cause });
    options.desk().stop(worker, run);
  };

  const stopGroup = (groupKey: string, cause: string): void => {
    for (const worker of options.workers.values()) {
      for (const run of worker.runs.values()) {
        const isMember = run.groupKey === groupKey && run.phase === workerTable.RunPhase.present;
        if (isMember) stopRun(worker, run, cause);
      }
    }
  };

  const stopUnwanted = (entry: jobBook.JobEntry, cause: string): void => {
    for (const worker of options.workers.values()) {
      for (const run of worker.runs.values()) {
        const isOurs = run.entry === entry && run.phase === workerTable.RunPhase.present;
        if (isOurs && !runNeed.isWanted(run) && !runNeed.isDone(run)) stopRun(worker, run, cause);
      }
    }
  };

  /** Nothing of the run is left once the worker has answered under the next fence. */
  const close = (worker: workerTable.WorkerEntry, run: workerTable.RunHolding): void => {
    workerTable.raiseFence(worker);
    run.phase = workerTable.RunPhase.closing;
    run.closeFence = worker.fence;
  };

  const endRun = (
    entry: jobBook.JobEntry,
    task: jobBook.TaskEntry,
    outcome: jobEnds.RunOutcome,
    mayBeEarlier = false,
  ): Promise<void> => {
    const { jobId } = entry.job;
    const hadEnded = jobBook.isEnded(entry);
    // The end of another member may have changed the job already, and that may not be stored yet.
    const hasChanged =
      jobEnds.noteEnd(entry, task, outcome, time.wallMs()) ||
      (mayBeEarlier && jobEnds.noteEarlierDone(entry, task, outcome, time.wallMs()));
    if (!hasChanged) return options.whenStored(jobId);
    notes.noteRunEnd(entry, task, outcome);
    const hasEnded = jobBook.isEnded(entry);
    if (hasEnded && !hadEnded) notes.noteJobEnd(entry);
    stopUnwanted(entry, hasEnded ? 'jobEnded' : 'gangBroken');
    options.onDidChange();
    return options.save(jobId);
  };

  const noteLost = (run: workerTable.RunHolding, cause: string): void => {
    log('warn', 'runLost', { task: run.name, run: run.run, cause });
    const outcome = { run: run.run, how: 'lost', saved: run.saved } as const;
    void endRun(run.entry, run.task, outcome);
  };

  /** The job and task of a run's name, where the leader knows them. */
  const lookUp = (
    text: string,
  ): { entry: jobBook.JobEntry; task: jobBook.TaskEntry } | undefined => {
    const name = poolWorker.parseTaskName(text);
    const entry = name === undefined ? undefined : options.registry.get(name.jobId);
    if (name === undefined || entry === undefined) return undefined;
    const task = jobBook.findTask(entry, name);
    return task === undefined ? undefined : { entry, task };
  };

  const keepUntilStored = async (
    { task, run }: poolWorker.EndedRun,
    stored: Promise<void>,
  ): Promise<void> => {
    const done = { task, run };
    options.doneRuns.add(done);
    await stored;
    options.doneRuns.remove(done);
  };

  const recallDone = (): void => {
    for (const done of options.doneRuns.all()) {
      const known = lookUp(done.task);
      const stored =
        known === undefined
          ? Promise.resolve()
          : endRun(known.entry, known.task, { run: done.run, how: 'done', saved: '' });
      void stored.then(() => options.doneRuns.remove(done));
    }
  };

  const takeEnd = (
    worker: workerTable.WorkerEntry,
    end: poolWorker.EndedRun,
  ): Promise<void> | undefined => {
    const known = lookUp(end.task);
    notes.noteBlame(worker, end, known?.entry.job.jobId ?? '');
    if (known === undefined) {
      log('warn', 'endOfUnknownRun', { task: end.task, run: end.run, agent: worker.agentId });
      return undefined;
    }
    // Once the worker's lease may have lapsed, what ended before counts for nothing.
    const stored = endRun(known.entry, known.task, end, worker.viewClockMs < options.grantMs);
    return end.how === 'done' ? keepUntilStored(end, stored) : stored;
  };

  const takeStray = (worker: workerTable.WorkerEntry, listed: poolWorker.RunningTask): void => {
    const known = lookUp(listed.task);
    if (known === undefined) {
      log('error', 'unknownTaskRuns', { task: listed.task, agent: worker.agentId });
      return;
    }
    const run = {
      ...workerTable.createRun(known.entry, known.task, workerTable.RunPhase.present, nowMs()),
      run: listed.run,
      percent: listed.percent,
      saved: listed.saved,
    };
    worker.runs.set(workerTable.runKey(run.name, run.run), run);
    if (!runNeed.isWanted(run)) stopRun(worker, run, 'notWanted');
  };

  const noteSaved = (run: workerTable.RunHolding): void => {
    if (!runNeed.isWanted(run)) return;
    for (const member of jobBook.groupOf(run.entry, run.task)) member.saved = run.saved;
    options.onDidSave(run.entry.job.jobId);
  };

  const startNewLife = (worker: workerTable.WorkerEntry, info: poolWorker.WorkerInfo): void => {
    worker.info = info;
    worker.seenUpTo = 0;
    worker.appliedUpTo = 0;
    worker.ends = endLedger.createEndLedger();
    worker.viewClockMs = 0;
    worker.sample = undefined;
    worker.leasesLapseAtMs = 0;
    worker.leavesAtMs = Infinity;
    worker.blame = workerBlame.createWorkerBlame();
    // The former life ended with all it ran, but an order to it may still reach the new one, also one
    // whose second copy was carried out long ago.
    workerTable.raiseFence(worker);
    for (const run of worker.runs.values()) {
      run.phase = workerTable.RunPhase.closing;
      run.closeFence = worker.fence;
    }
  };

  const takeInfo = (
    worker: workerTable.WorkerEntry,
    info: poolWorker.WorkerInfo | undefined,
  ): void => {
    if (info === undefined) return;
    const before = worker.info;
    const isNewLife =
      before?.workerId !== info.workerId || before.incarnationMs !== info.incarnationMs;
    if (isNewLife) startNewLife(worker, info);
    worker.info = info;
    if (info.state === poolWorker.WorkerState.draining && worker.leavesAtMs === Infinity) {
      worker.leavesAtMs = nowMs() + (info.remainingMs ?? DEFAULT_REMAINING_MS);
    }
    if (isNewLife || before.state !== info.state) {
      log('info', 'workerChanged', {
        agent: worker.agentId,
        worker: info.workerId,
        incarnation: info.incarnationMs,
        state: info.state,
        remainingMs: info.remainingMs,
      });
      options.onDidChange();
    }
  };

  const acknowledge = (
    worker: workerTable.WorkerEntry,
    listed: readonly poolWorker.EndedRun[],
  ): Promise<unknown> => {
    const { ends } = worker;
    listed.forEach((end) => ends.add(end.sequence));
    return Promise.all(
      listed.map(async (end) => {
        await takeEnd(worker, end);
        const upTo = ends.note(end.sequence);
        if (worker.ends === ends) worker.seenUpTo = upTo;
      }),
    );
  };

  const takeView = (
    worker: workerTable.WorkerEntry,
    news: agentContract.WorkerNews,
    receivedAtMs: number,
  ): Promise<unknown> => {
    const { view, viewFence, viewAgeMs } = news;
    const { info } = worker;
    const isPresent = view !== undefined && view.incarnationMs === info?.incarnationMs;
    if (!isPresent || view.clockMs < worker.viewClockMs) return Promise.resolve();
    worker.viewClockMs = view.clockMs;
    worker.sample = {
      incarnationMs: view.incarnationMs,
      clockMs: view.clockMs,
      atMs: receivedAtMs - viewAgeMs,
    };
    const facts = viewIntake.takeView(worker, { view, viewFence }, nowMs());
    facts.saved.forEach(noteSaved);
    notes.learn(worker, facts.done);
    const stored = acknowledge(worker, facts.ends);
    facts.gone.forEach((run) => noteLost(run, 'notOnWorker'));
    facts.vanished.forEach((run) => close(worker, run));
    facts.strays.forEach((listed) => takeStray(worker, listed));
    for (const run of worker.runs.values()) {
      const isStale =
        run.phase === workerTable.RunPhase.present &&
        !runNeed.isWanted(run) &&
        !runNeed.isDone(run);
      if (isStale) stopRun(worker, run, 'notWanted');
    }
    if (facts.ends.length + facts.gone.length > 0) options.onDidChange();
    return stored;
  };

  const lost = lostRuns.createLostRuns({ ...options, noteLost });

  const takeNews: RunControl['takeNews'] = (worker, news, receivedAtMs) => {
    const wasReachable = worker.isReachable;
    worker.contactedAtMs = receivedAtMs;
    worker.bootId = news.bootId;
    takeInfo(worker, news.worker);
    const stored = takeView(worker, news, receivedAtMs);
    worker.isReachable = worker.sample !== undefined && news.viewAgeMs <= MAX_VIEW_AGE_MS;
    const hasDeparted =
      worker.info?.state === poolWorker.WorkerState.gone && news.viewAgeMs > DEPARTED_MS;
    if (hasDeparted && worker.runs.size > 0) lost.giveUpWorker(worker);
    if (worker.isReachable !== wasReachable) options.onDidChange();
    return stored;
  };

  const orders = orderIntake.createOrderIntake({ ...options, stopRun, close, noteLost });

  const { inspect, repeatStops } = runInspection.createRunInspection({
    clock: time,
    workers: options.workers,
    isWanted: runNeed.isWanted,
    stopRun,
    stopGroup,
  });

  return {
    isWanted: runNeed.isWanted,
    inspect,
    stopRun,
    stopGroup,
    stopUnwanted,
    noteLost,
    takeNews,
    recallDone,
    takeSettled: (settled) => {
      const { worker, news, receivedAtMs } = settled;
      settled.starts.forEach((it) => orders.takeStart(worker, it));
      if (news !== undefined) void takeNews(worker, news, receivedAtMs);
      settled.stops.forEach((it) => orders.takeStop(settled, it));
    },
    adoptAssigned: (worker, entry, task) => {
      const run = workerTable.createRun(entry, task, workerTable.RunPhase.closing, nowMs());
      workerTable.countFromStart(run, options.estimates, { nowMs: nowMs(), wallMs: time.wallMs() });
      run.closeFence = worker.fence;
      run.lateUntilMs = lateOrders.toOwnClock(task.lateUntilWallMs, {
        monotonicMs: nowMs(),
        wallMs: time.wallMs(),
      });
      worker.runs.set(workerTable.runKey(run.name, run.run), run);
    },
    giveUpLost: lost.giveUp,
    repeatStops,
  };
};
