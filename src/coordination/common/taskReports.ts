/**
 * Determines what an agent's report means for the jobs of a cell. Pure, so that the exploration of
 * every order of events runs the same decisions as the leader.
 */
import * as job from '../../state/common/job.js';
import * as task from '../../state/common/task.js';

import * as agentTasks from './agentTasks.js';
import * as jobStateMachine from './jobStateMachine.js';

/** Action of the leader on one reported task. */
export type TaskReportAction =
  | { readonly type: 'nothing' }
  /** No job expects the task: it belongs to an earlier attempt or to a job that has ended. */
  | { readonly type: 'stopStray' }
  /** The job is stopping but the member still runs: the stop was lost or never sent. */
  | { readonly type: 'stopOwed'; readonly member: number }
  /** The placement is committed but the member is only reserved. */
  | { readonly type: 'startOwed'; readonly member: number }
  | { readonly type: 'event'; readonly event: jobStateMachine.JobEvent };

/** A member that is expected on a worker but missing there. */
export interface MissingMember {
  readonly jobId: string;
  readonly member: number;
}

const NOTHING: TaskReportAction = { type: 'nothing' };

const eventOf = (report: task.TaskReport): TaskReportAction => {
  const { member } = report.token;
  const reason = report.reason ?? 'no reason given';
  switch (report.phase) {
    case 'running':
      return { type: 'event', event: { type: 'started', member } };
    case 'done':
      return { type: 'event', event: { type: 'memberDone', member } };
    case 'failed':
      return { type: 'event', event: { type: 'memberFailed', member, reason } };
    case 'stopped':
      return {
        type: 'event',
        event: { type: 'memberStopped', member, checkpointMs: report.checkpointMs },
      };
    default:
      return NOTHING;
  }
};

/**
 * @param runtime - the job that the report refers to; undefined where there is none
 * @param report - the agent's report on one task
 * @param isTakeOver - whether the report answers a leader that has just fenced the agent
 * @returns the leader's action
 */
export const interpretTaskReport = (
  runtime: jobStateMachine.JobRuntime | undefined,
  report: task.TaskReport,
  isTakeOver: boolean,
): TaskReportAction => {
  const { attempt, member } = report.token;
  const isWanted = runtime?.record.attempt === attempt && runtime.members[member] !== undefined;
  if (!isWanted) return agentTasks.isEnded(report.phase) ? NOTHING : { type: 'stopStray' };
  const isLive =
    report.phase === task.TaskPhase.running || report.phase === task.TaskPhase.reserved;
  const { state } = runtime.record;
  // The leader that decided to stop may have failed before sending the command, and an agent
  // reports a reservation as stopped once it was told to stop it. So a member that is still live
  // was never told.
  if (state === job.JobState.stopping && isLive) return { type: 'stopOwed', member };
  const isStartLost =
    isTakeOver && state === job.JobState.starting && report.phase === task.TaskPhase.reserved;
  // The leader that committed failed before its start was sent. Without this the reservation
  // expires and the gang stays incomplete; the start is idempotent by its token.
  if (isStartLost) return { type: 'startOwed', member };
  return eventOf(report);
};

/**
 * Finds members that a complete and current report of a worker's agent does not contain.
 *
 * A member that is starting was reserved before, and reservations are reported too. So a report
 * without it, written after the reservation was acknowledged, shows that the reservation has
 * expired or that the agent has restarted.
 *
 * @param runtimes - the jobs of the cell
 * @param workerId - worker of the reporting agent
 * @param tasks - all tasks of the agent
 * @returns the members that no longer hold accelerators there
 */
export const missingMembers = (
  runtimes: Iterable<jobStateMachine.JobRuntime>,
  workerId: string,
  tasks: readonly task.TaskReport[],
): readonly MissingMember[] => {
  const present = new Set(tasks.map((it) => task.tokenKey(it.token)));
  const missing: MissingMember[] = [];
  for (const { record, members } of runtimes) {
    record.placement.forEach((place, member) => {
      const { jobId } = record.spec;
      const isExpected = members[member] === 'running' || members[member] === 'starting';
      if (place.workerId !== workerId || !isExpected) return;
      if (!present.has(task.tokenKey({ jobId, attempt: record.attempt, member }))) {
        missing.push({ jobId, member });
      }
    });
  }
  return missing;
};

/**
 * Ended members are not recorded in the store, so an agent retains the end of its task until the
 * attempt is over and stored; otherwise a new leader would miss the task and run the complete gang
 * again although one member had finished.
 *
 * @param runtime - the job that the report refers to
 * @param report - the agent's report on one task
 * @param isDurable - whether the current state of the job is in the store
 * @returns whether the agent may forget the task
 */
export const isAcknowledgeable = (
  runtime: jobStateMachine.JobRuntime | undefined,
  report: task.TaskReport,
  isDurable: boolean,
): boolean => {
  if (!agentTasks.isEnded(report.phase)) return false;
  if (runtime === undefined || runtime.record.attempt !== report.token.attempt) return true;
  return runtime.members.length === 0 && isDurable;
};
