/**
 * Reconciles the leader's state of a worker's runs with the worker's own report. Pure: returns what
 * changed, the leader acts on it.
 */
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as runPace from './runPace.js';
import * as runTiming from './speed/runTiming.js';
import * as workerTable from './workerTable.js';

/** A worker's report with the fence under which it was given. */
export interface FencedReport {
  readonly view: poolWorker.WorkerReport;
  /** Fence under which the worker answered. */
  readonly viewFence: number;
}

/** A run whose progress has shown anew how long its task takes. */
export interface TimedRun {
  readonly run: workerTable.ActiveRun;
  /** Time that the entire task takes where it is. */
  readonly taskMs: number;
}

/** Changes that follow from a worker's report. */
export interface ReportChanges {
  /** Ends that were not reported before, in their order. */
  readonly ends: readonly poolWorker.EndedRun[];
  /** Runs known to the leader that are done, among the ends. */
  readonly done: readonly workerTable.ActiveRun[];
  /** Runs that the worker reports and the leader does not know. */
  readonly unknownRuns: readonly poolWorker.RunningTask[];
  /** Runs that are certainly gone without a reported end. */
  readonly gone: readonly workerTable.ActiveRun[];
  /** Runs that were present and are not reported any more; like those that are gone, none while a report may omit ends. */
  readonly missing: readonly workerTable.ActiveRun[];
  /** Runs that have a new checkpoint. */
  readonly saved: readonly workerTable.ActiveRun[];
  readonly timed: readonly TimedRun[];
}

/** @returns whether the run has a new checkpoint, and how long its task takes where its progress has shown that anew */
const updateRun = (
  run: workerTable.ActiveRun,
  listed: poolWorker.RunningTask,
  clockMs: number,
  { nowMs, reportedAtMs }: { readonly nowMs: number; readonly reportedAtMs: number },
): { readonly isSaved: boolean; readonly taskMs: number | undefined } => {
  if (run.phase === workerTable.RunPhase.ordering || run.phase === workerTable.RunPhase.closing) {
    run.phase = workerTable.RunPhase.present;
  }
  run.firstProgress ??= { percent: listed.percent, atMs: reportedAtMs };
  run.reportedAtMs = reportedAtMs;
  if (listed.percent > run.percent) run.progressedAtMs = nowMs;
  run.percent = listed.percent;
  runPace.recordProgress(run.pace, clockMs, listed.percent, run.step.estimatedMs);
  const taskMs = runTiming.recordSample(run.timing, { percent: listed.percent, clockMs });
  const isSaved = listed.saved !== '' && listed.saved !== run.saved;
  if (isSaved) run.saved = listed.saved;
  return { isSaved, taskMs };
};

/**
 * Applies a worker's report to its runs. The caller has made sure that the report is not older than the
 * last one and comes from the worker's current incarnation.
 *
 * @param worker - the worker
 * @param fenced - its report
 * @param nowMs - the leader's clock
 * @returns the changes
 */
export const applyReport = (
  worker: workerTable.WorkerEntry,
  fenced: FencedReport,
  nowMs: number,
): ReportChanges => {
  const { view, viewFence } = fenced;
  const ends: poolWorker.EndedRun[] = [];
  const done: workerTable.ActiveRun[] = [];
  for (const end of view.ended) {
    if (end.sequence > worker.appliedUpTo) {
      ends.push(end);
      const key = poolWorker.runKey(end.task, end.run);
      const run = worker.runs.get(key);
      if (run !== undefined && end.how === 'done') done.push(run);
      worker.runs.delete(key);
      worker.appliedUpTo = end.sequence;
    }
  }
  const times = { nowMs, reportedAtMs: worker.sample?.atMs ?? nowMs };
  const unknownRuns: poolWorker.RunningTask[] = [];
  const saved: workerTable.ActiveRun[] = [];
  const timed: TimedRun[] = [];
  const listed = new Set<string>();
  for (const running of view.running) {
    const key = poolWorker.runKey(running.task, running.run);
    listed.add(key);
    const run = worker.runs.get(key);
    if (run === undefined) {
      unknownRuns.push(running);
    } else {
      const { isSaved, taskMs } = updateRun(run, running, view.clockMs, times);
      if (isSaved) saved.push(run);
      if (taskMs !== undefined) timed.push({ run, taskMs });
    }
  }
  const gone: workerTable.ActiveRun[] = [];
  const missing: workerTable.ActiveRun[] = [];
  for (const [key, run] of worker.runs) {
    if (!listed.has(key) && view.mayOmitEnds !== true) {
      const isClosed = run.phase === workerTable.RunPhase.closing && viewFence >= run.closeFence;
      if (isClosed) gone.push(run);
      else if (run.phase === workerTable.RunPhase.present) missing.push(run);
    }
  }
  gone.forEach((run) => worker.runs.delete(poolWorker.runKey(run.name, run.run)));
  return { ends, done, unknownRuns, gone, missing, saved, timed };
};
