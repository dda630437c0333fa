/**
 * Runs that start and end together in a replay, and their progress in virtual time.
 */
import * as runPace from '../../coordination/common/pool/runPace.js';
import type * as reportReconciliation from '../../coordination/common/pool/reportReconciliation.js';
import * as runTiming from '../../coordination/common/pool/speed/runTiming.js';
import type * as workerTable from '../../coordination/common/pool/workerTable.js';

/** A run with its worker. */
export interface ReplayedRun {
  readonly worker: workerTable.WorkerEntry;
  readonly run: workerTable.ActiveRun;
  readonly group: Group;
  readonly startedAtMs: number;
  /** Work done of the member's own part. */
  doneMs: number;
}

/** The runs of a unit, which start together. */
export interface Group {
  readonly members: ReplayedRun[];
  /** Work left at the start, with local data. */
  readonly workMs: number;
  /** Work saved by previous runs. */
  readonly savedMs: number;
  /** Slowdown by remote placement. */
  readonly factor: number;
  advancedAtMs: number;
  isEnded: boolean;
}

/** Time of a task on a worker now relative to its work. */
export type SlownessOf = (worker: workerTable.WorkerEntry) => number;

/**
 * Advances each member's own part to the present time.
 *
 * @param group - a group
 * @param nowMs - virtual time
 * @param slownessOf - how slow its workers have been since it was advanced last
 */
export const advance = (group: Group, nowMs: number, slownessOf: SlownessOf): void => {
  const spanMs = Math.max(0, nowMs - group.advancedAtMs) / group.factor;
  for (const member of group.members) member.doneMs += spanMs / slownessOf(member.worker);
  group.advancedAtMs = Math.max(nowMs, group.advancedAtMs);
};

/**
 * @param group - a group
 * @returns work done of the part that is furthest from its end
 */
export const doneMsOf = ({ members, workMs }: Group): number =>
  Math.min(workMs, ...members.map(({ doneMs }) => doneMs));

/**
 * Updates the leader's state with what the members' workers report.
 *
 * @param group - a group, advanced to the present time
 * @param nowMs - virtual time
 * @returns runs whose progress has shown anew how long their tasks take
 */
export const report = (group: Group, nowMs: number): reportReconciliation.TimedRun[] =>
  group.members.flatMap(({ run, doneMs }) => {
    const share = Math.min(1, (group.savedMs + doneMs) / (group.savedMs + group.workMs));
    const percent = Math.floor(100 * share);
    run.firstProgress ??= { percent, atMs: nowMs };
    if (percent > run.percent) run.progressedAtMs = nowMs;
    run.percent = percent;
    run.reportedAtMs = nowMs;
    runPace.recordProgress(run.pace, nowMs, percent, run.step.estimatedMs);
    const taskMs = runTiming.recordSample(run.timing, { percent, clockMs: nowMs });
    return taskMs === undefined ? [] : [{ run, taskMs }];
  });
