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
}

/** Workers that crash within this time of each other go down for a common reason, if they are most of the pool. */
const SAME_TIME_MS = 1500;

/** A worker answers its agent at least every 0.9 s; after this time without a report it may have crashed as well. */
const MAX_SILENCE_MS = 1500;

/** An incarnation of a worker. */
type Incarnation = Pick<agentContract.FormerIncarnation, 'workerId' | 'incarnationMs'>;

const isSame = (a: Incarnation, b: Incarnation): boolean =>
  a.workerId === b.workerId && a.incarnationMs === b.incarnationMs;

/** @returns whether the worker has crashed at about this time, or has not answered since */
const isDown = (worker: workerTable.WorkerEntry, crashedAtMs: number, nowMs: number): boolean => {
  const { lastCrashAtMs = -Infinity, sample, info } = worker;
  if (Math.abs(lastCrashAtMs - crashedAtMs) <= SAME_TIME_MS) return true;
  if (sample === undefined || info?.state !== poolWorker.WorkerState.ready) return false;
  return sample.atMs <= crashedAtMs + SAME_TIME_MS && nowMs - sample.atMs > MAX_SILENCE_MS;
};

/**
 * @param options - its dependencies
 * @returns the recorder
 */
export const createCrashRecorder = (options: CrashRecorderOptions): CrashRecorder => {
  const { clock: time, log, metrics } = options;
  const judgedRuns = new WeakSet<workerTable.ActiveRun>();

  /** @returns whether most workers of the pool went down together with this one */
  const isWidespread = (worker: workerTable.WorkerEntry, crashedAtMs: number): boolean => {
    const service = worker.info?.service;
    const others = [...options.workers.values()].filter(
      (it) => it !== worker && it.info?.service === service,
    );
    const down = others.filter((it) => isDown(it, crashedAtMs, time.monotonicMs()));
    return 2 * (down.length + 1) > others.length + 1;
  };

  /** A leader that has not heard of most workers yet can't tell whether they went down as well. */
  const isUnknown = (): boolean => {
    const workers = [...options.workers.values()];
    return 2 * workers.filter(({ info }) => info === undefined).length > workers.length;
  };

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
    receivedAtMs: number,
  ): void => {
    if (!former.hasCrashed) return;
    const crashedAtMs = receivedAtMs - former.endedAgoMs;
    worker.lastCrashAtMs = Math.max(worker.lastCrashAtMs ?? -Infinity, crashedAtMs);
    const interrupted = former.runs.map((it) => ({
      ...it,
      jobId: poolWorker.parseTaskName(it.task)?.jobId ?? '',
      ranMs: ranMsOf(it, former),
    }));
    const isCommon = isWidespread(worker, crashedAtMs);
    for (const it of interrupted) {
      const known = options.findTask(it.task);
      const evidence = crashAttribution.evidenceOf(it, interrupted, isCommon);
      const crash = { run: it.run, ranMs: it.ranMs, evidence };
      const besides = { agent: worker.agentId, worker: former.workerId, runs: interrupted.length };
      if (known !== undefined) recordCrash(known, crash, besides);
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
    const crashedAtMs = worker.sample?.atMs ?? receivedAtMs;
    worker.lastCrashAtMs = Math.max(worker.lastCrashAtMs ?? -Infinity, crashedAtMs);
    if (isUnknown() || isWidespread(worker, crashedAtMs)) return;
    for (const { entry, task, run } of runs) {
      const crash = { run, ranMs: 0, evidence: progressRecord.CrashEvidence.unclear };
      recordCrash({ entry, task }, crash, { agent: worker.agentId, worker: task.workerId });
    }
  };

  return {
    recordUpdate: (worker, news, receivedAtMs) => {
      news.formerIncarnations?.forEach((it) => recordEnded(worker, it, receivedAtMs));
      recordUnseen(worker, news, receivedAtMs);
    },
  };
};
