/**
 * How far runs are: expected time to their end, and for how long they have made no progress.
 *
 * Each member of a gang reports the progress of its own part. At 100 per cent it waits for the slowest member: it
 * neither stalls nor is its worker slow, and its end is that of the gang.
 */
import * as groupBy from '../../../base/common/groupBy.js';
import * as runPace from './runPace.js';
import * as workerTable from './workerTable.js';

/** How the remaining time is estimated. */
interface Estimation {
  /** Leader's clock up to which the progress counts as made. */
  readonly atMs: number;
  /** From this much progress on, in per cent, only the run's own speed counts; before, it is mixed with the expected one. */
  readonly conclusivePercent: number;
}

/** Below it, the own speed was further off than the learnt one: a run takes some time to begin. */
const CONCLUSIVE_PERCENT = 25;

/** The same for plans, which lose more by a time that is too short. */
const CAUTIOUS_CONCLUSIVE_PERCENT = 5;

/** Share of the remaining time below which it does not fall until the worker reports again. */
const MIN_LEFT_SHARE = 0.25;

const estimateMs = (
  run: workerTable.ActiveRun,
  { atMs, conclusivePercent }: Estimation,
): number => {
  const { percent, isResumed, firstProgress } = run;
  const expectedMs = (run.expectedMs * (runPace.DONE_PERCENT - percent)) / runPace.DONE_PERCENT;
  // The percentage of a resumed run includes earlier runs: only progress since its first report shows its own speed.
  const since = isResumed ? firstProgress : { percent: 0, atMs: run.startedAtMs };
  const madePercent = since === undefined ? 0 : percent - since.percent;
  if (since === undefined || madePercent <= 0 || expectedMs === 0) return expectedMs;
  const ownMs = ((atMs - since.atMs) * (runPace.DONE_PERCENT - percent)) / madePercent;
  if (ownMs <= 0) return expectedMs;
  // A geometric mean, since speeds are off by factors: a task may take ten times what it declares.
  const weight = madePercent / conclusivePercent;
  if (weight >= 1) return ownMs;
  return ownMs ** weight * expectedMs ** (1 - weight);
};

/**
 * @param run - a run
 * @param nowMs - the leader's clock
 * @returns expected time until its own part is done
 */
export const remainingMsOf = (run: workerTable.ActiveRun, nowMs: number): number => {
  const atReportMs = estimateMs(run, {
    atMs: run.reportedAtMs,
    conclusivePercent: CONCLUSIVE_PERCENT,
  });
  const sinceMs = Math.max(0, nowMs - run.reportedAtMs);
  return Math.max(atReportMs - sinceMs, atReportMs * MIN_LEFT_SHARE);
};

/**
 * A task that lasts reports 100 per cent while it is at work: taken for nearly done, it would be waited for without end.
 *
 * @param run - a run
 * @param nowMs - the leader's clock
 * @returns expected time until its own part is done, if it has made no progress since its worker's last report; infinite
 *   for a task that lasts
 */
const cautiousRemainingMsOf = (run: workerTable.ActiveRun, nowMs: number): number =>
  run.step.isLongRunning
    ? Infinity
    : estimateMs(run, { atMs: nowMs, conclusivePercent: CAUTIOUS_CONCLUSIVE_PERCENT });

/** Progress of runs with the members of their gangs on all workers. */
export interface GroupProgress {
  /** @returns expected time to the end of the run, and so to that of its gang's slowest member */
  readonly remainingMsOf: (run: workerTable.ActiveRun) => number;
  /**
   * @returns the same, as if no run had made progress since its last report, for plans that wait for the end: a unit
   *   that waits in vain loses more than one that starts elsewhere; infinite for a task that lasts
   */
  readonly cautiousRemainingMsOf: (run: workerTable.ActiveRun) => number;
  /** @returns for how long the run has made no progress; 0 while it waits for other members of its gang */
  readonly stalledMsOf: (run: workerTable.ActiveRun) => number;
}

const isActive = ({ phase }: workerTable.ActiveRun): boolean =>
  phase === workerTable.RunPhase.ordering || phase === workerTable.RunPhase.present;

const indexGangs = (
  workers: Iterable<workerTable.WorkerEntry>,
): ReadonlyMap<string, readonly workerTable.ActiveRun[]> => {
  const runs: workerTable.ActiveRun[] = [];
  for (const worker of workers) {
    for (const run of worker.runs.values()) if (run.step.isGang && isActive(run)) runs.push(run);
  }
  return groupBy.groupBy(runs, ({ groupKey }) => groupKey);
};

/**
 * @param workers - all workers with their runs; looked through once, when a gang is asked for
 * @param nowMs - the leader's clock
 * @returns the progress of their runs now
 */
export const createGroupProgress = (
  workers: Iterable<workerTable.WorkerEntry>,
  nowMs: number,
): GroupProgress => {
  let gangs: ReturnType<typeof indexGangs> | undefined;
  const membersOf = (run: workerTable.ActiveRun): readonly workerTable.ActiveRun[] => {
    gangs ??= indexGangs(workers);
    return gangs.get(run.groupKey) ?? [run];
  };

  /** Computed once for each gang. */
  const ofSlowest = (
    remainingOf: (run: workerTable.ActiveRun) => number,
  ): ((run: workerTable.ActiveRun) => number) => {
    const remainingByGang = new Map<string, number>();
    return (run) => {
      if (!run.step.isGang) return remainingOf(run);
      const known = remainingByGang.get(run.groupKey);
      if (known !== undefined) return known;
      const remainingMs = Math.max(...membersOf(run).map(remainingOf));
      remainingByGang.set(run.groupKey, remainingMs);
      return remainingMs;
    };
  };

  return {
    remainingMsOf: ofSlowest((run) => remainingMsOf(run, nowMs)),
    cautiousRemainingMsOf: ofSlowest((run) => cautiousRemainingMsOf(run, nowMs)),
    stalledMsOf: (run) => {
      if (run.percent < runPace.DONE_PERCENT) return nowMs - run.progressedAtMs;
      const members = run.step.isGang ? membersOf(run) : [run];
      if (members.some(({ percent }) => percent < runPace.DONE_PERCENT)) return 0;
      return nowMs - Math.max(...members.map(({ progressedAtMs }) => progressedAtMs));
    },
  };
};
