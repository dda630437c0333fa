/**
 * Records crashes of workers with the tasks whose runs ended by them, before these tasks start again, and gives up a task
 * that is proven to be the cause.
 *
 * A crash is an incarnation that ended without an announcement. What its agent knows tells whose fault it is; where the
 * agent was restarted as well, the crash still counts against the limit of starts.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import * as crashAttribution from '../../common/pool/crashAttribution.js';
import * as jobState from '../../common/pool/jobState.js';
import * as jobTransitions from '../../common/pool/jobTransitions.js';
import * as widespreadCrash from '../../common/pool/widespreadCrash.js';
import * as workerTable from '../../common/pool/workerTable.js';
import type * as openOrderRecorder from './openOrderRecorder.js';

/** Dependencies of the recorder. */
export interface CrashRecorderOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly workers: ReadonlyMap<string, workerTable.WorkerEntry>;
  /** The job and task for a task name, if the leader knows them. */
  readonly findTask: (name: string) => openOrderRecorder.KnownTask | undefined;
  /** Stores a job's progress. */
  readonly save: (jobId: string) => Promise<void>;
  /** A job has failed since one of its tasks was given up. */
  readonly onDidGiveUp: (entry: jobState.JobEntry) => void;
}

/** Records crashes. */
export interface CrashRecorder {
  /** Called with each update of an agent, before the update ends runs of the worker's former incarnations. */
  readonly recordUpdate: (
    worker: workerTable.WorkerEntry,
    news: agentContract.WorkerUpdate,
    receivedAtMs: number,
  ) => void;
  /**
   * Called before runs are declared lost since their leases have expired. A worker that does not answer its own agent has
   * most likely crashed; the crashes are withdrawn if it answers again.
   */
  readonly recordLapse: (
    worker: workerTable.WorkerEntry,
    runs: readonly workerTable.ActiveRun[],
  ) => void;
}

/** Workers that lost power together are back within about this time of each other. */
const JUDGE_AFTER_MS = 2000;

/** An agent reports at least this often. */
const MAX_AGENT_SILENCE_MS = 2000;

/** An incarnation of a worker. */
type Incarnation = Pick<agentContract.FormerIncarnation, 'workerId' | 'incarnationMs'>;

const isSame = (a: Incarnation, b: Incarnation): boolean =>
  a.workerId === b.workerId && a.incarnationMs === b.incarnationMs;

/**
 * @param options - its dependencies
 * @returns the recorder
 */
export const createCrashRecorder = (options: CrashRecorderOptions): CrashRecorder => {
  const { clock: time, log, metrics } = options;
  const judgedRuns = new WeakSet<workerTable.ActiveRun>();
  /** By former incarnation of a worker, whether most workers crashed together with it. */
  const verdicts = new WeakMap<workerTable.WorkerEntry, Map<number, boolean>>();
  const lapsedRuns = new Map<workerTable.WorkerEntry, workerTable.ActiveRun[]>();

  const isWidespread = (
    worker: workerTable.WorkerEntry,
    crash: widespreadCrash.CrashTime,
  ): boolean =>
    widespreadCrash.isWidespread(options.workers.values(), worker, crash, time.monotonicMs());

  const recordCrash = (
    { entry, task }: openOrderRecorder.KnownTask,
    crash: progressRecord.WorkerCrash,
    besides: logging.LogFields,
  ): void => {
    const hadEnded = jobState.isEnded(entry);
    if (!jobTransitions.recordCrash(entry, task, crash, time.wallMs())) return;
    const { name } = workerTable.keysOf(entry, task);
    const isGivenUp = task.phase === progressRecord.TaskPhase.failed;
    metrics.count('auburnlift_crashes_under_runs_total', { evidence: crash.evidence });
    log('warn', 'workerCrashedUnder', {
      task: name,
      run: crash.run,
      evidence: crash.evidence,
      ranMs: crash.ranMs,
      crashes: task.crashes.length,
      limitedStarts: task.limitedStarts,
      isGivenUp,
      ...besides,
    });
    if (jobState.isEnded(entry) && !hadEnded) options.onDidGiveUp(entry);
    void options.save(entry.job.jobId);
  };

  /** Judges each former incarnation once: later the other workers have moved on. */
  const judge = (
    worker: workerTable.WorkerEntry,
    formerIncarnations: readonly agentContract.FormerIncarnation[],
    receivedAtMs: number,
  ): ReadonlyMap<number, boolean> => {
    const known = verdicts.get(worker);
    const judged = formerIncarnations.map(({ incarnationMs, endedAgoMs }) => {
      const crash = { atMs: receivedAtMs - endedAgoMs, toleranceMs: widespreadCrash.SAME_TIME_MS };
      return [incarnationMs, known?.get(incarnationMs) ?? isWidespread(worker, crash)] as const;
    });
    const verdict = new Map(judged);
    verdicts.set(worker, verdict);
    return verdict;
  };

  /** From the record of its start, where the agent did not see it. */
  const ranMsOf = (
    { task, run, ranMs }: agentContract.InterruptedRun,
    { endedAgoMs }: agentContract.FormerIncarnation,
  ): number => {
    if (ranMs !== undefined) return ranMs;
    const known = options.findTask(task)?.task;
    const startedAtWallMs = known?.run === run ? known.startedAtWallMs : 0;
    return startedAtWallMs === 0 ? 0 : Math.max(0, time.wallMs() - endedAgoMs - startedAtWallMs);
  };

  const recordEnded = (
    worker: workerTable.WorkerEntry,
    former: agentContract.FormerIncarnation,
    isCommon: boolean,
  ): void => {
    const interrupted = former.runs.map((it) => ({
      ...it,
      jobId: poolWorker.parseTaskName(it.task)?.jobId ?? '',
      ranMs: ranMsOf(it, former),
    }));
    for (const it of interrupted) {
      const known = options.findTask(it.task);
      const evidence = crashAttribution.evidenceOf(it, interrupted, isCommon);
      const crash = { run: it.run, ranMs: it.ranMs, evidence };
      const besides = { agent: worker.agentId, worker: former.workerId, runs: interrupted.length };
      if (known !== undefined) recordCrash(known, crash, besides);
    }
  };

  /** A run that the agent did not see begin in its incarnation does not count against a limit of starts. */
  const recordNotBegun = (
    worker: workerTable.WorkerEntry,
    former: agentContract.FormerIncarnation,
  ): void => {
    for (const it of worker.runs.values()) {
      const isListed = former.runs.some(({ task, run }) => task === it.name && run === it.run);
      const isThere = isSame(it.task, former) && it.task.run === it.run;
      if (isThere && !isListed) jobState.recordNotBegun(it.task, it.run);
    }
  };

  /** Crashes that the agent has seen; it reports the same ones again and again. */
  const recordSeen = (
    worker: workerTable.WorkerEntry,
    { formerIncarnations = [] }: agentContract.WorkerUpdate,
    receivedAtMs: number,
  ): void => {
    const crashed = formerIncarnations.filter(({ hasCrashed }) => hasCrashed);
    for (const { endedAgoMs } of crashed) {
      widespreadCrash.recordCrashTime(worker, receivedAtMs - endedAgoMs);
    }
    const verdict = judge(worker, crashed, receivedAtMs);
    for (const it of crashed) {
      recordNotBegun(worker, it);
      recordEnded(worker, it, verdict.get(it.incarnationMs) === true);
    }
  };

  const recordUnseenRuns = (
    worker: workerTable.WorkerEntry,
    runs: readonly workerTable.ActiveRun[],
  ): void => {
    for (const { entry, task, run } of runs) {
      const crash = { run, ranMs: 0, evidence: progressRecord.CrashEvidence.unseen };
      recordCrash({ entry, task }, crash, { agent: worker.agentId, worker: task.workerId });
    }
  };

  /**
   * Runs of an incarnation of whose end the agent does not know, since it was restarted as well. Where most workers did
   * so, they lost power.
   */
  const recordUnseen = (
    worker: workerTable.WorkerEntry,
    { worker: info, formerIncarnations = [] }: agentContract.WorkerUpdate,
    receivedAtMs: number,
  ): void => {
    if (info === undefined) return;
    const before = worker.info;
    const hasLeft = before !== undefined && before.state !== poolWorker.WorkerState.ready;
    const explained: Incarnation[] = [info, ...formerIncarnations, ...(hasLeft ? [before] : [])];
    const isSeen = (it: Incarnation): boolean => explained.some((known) => isSame(known, it));
    const runs = [...worker.runs.values()].filter(
      (it) =>
        it.task.run === it.run &&
        it.phase !== workerTable.RunPhase.ordering &&
        !judgedRuns.has(it) &&
        !isSeen(it.task),
    );
    if (runs.length === 0) return;
    runs.forEach((it) => judgedRuns.add(it));
    const atMs = worker.sample?.atMs ?? receivedAtMs;
    widespreadCrash.recordCrashTime(worker, atMs);
    // A leader that has just taken over has not heard of the other workers yet.
    time.after(JUDGE_AFTER_MS, () => {
      const crash = { atMs, toleranceMs: widespreadCrash.SAME_TIME_UNSEEN_MS };
      if (!isWidespread(worker, crash)) recordUnseenRuns(worker, runs);
    });
  };

  const withdraw = (worker: workerTable.WorkerEntry): void => {
    for (const { entry, task, run, name } of lapsedRuns.get(worker) ?? []) {
      if (jobTransitions.withdrawCrash(entry, task, run)) {
        log('info', 'crashWithdrawn', { task: name, run, crashes: task.crashes.length });
        void options.save(entry.job.jobId);
      }
    }
    lapsedRuns.delete(worker);
  };

  /** Settles whether a worker crashed whose leases have expired. */
  const settleLapse = (
    worker: workerTable.WorkerEntry,
    { worker: info, silentForMs, view }: agentContract.WorkerUpdate,
  ): void => {
    if (info === undefined || worker.info === undefined || !lapsedRuns.has(worker)) return;
    if (!isSame(info, worker.info)) lapsedRuns.delete(worker);
    else if (silentForMs === undefined && view?.incarnationMs === info.incarnationMs) {
      withdraw(worker);
    }
  };

  return {
    recordLapse: (worker, runs) => {
      const { silentSinceMs } = worker;
      const isAgentThere = time.monotonicMs() - worker.contactedAtMs <= MAX_AGENT_SILENCE_MS;
      if (silentSinceMs === undefined || !isAgentThere) return;
      const crash = { atMs: silentSinceMs, toleranceMs: widespreadCrash.SAME_TIME_UNSEEN_MS };
      if (isWidespread(worker, crash)) return;
      const begun = runs.filter(
        ({ task, run, phase }) => task.run === run && phase !== workerTable.RunPhase.ordering,
      );
      lapsedRuns.set(worker, begun);
      recordUnseenRuns(worker, begun);
    },
    recordUpdate: (worker, news, receivedAtMs) => {
      settleLapse(worker, news);
      const { silentForMs } = news;
      worker.silentSinceMs = silentForMs === undefined ? undefined : receivedAtMs - silentForMs;
      recordSeen(worker, news, receivedAtMs);
      recordUnseen(worker, news, receivedAtMs);
    },
  };
};
