/**
 * What an agent's statement means for the jobs of a cell: pure, so that the exploration of every
 * order of events runs the very decisions that the leader takes.
 */
import * as job from '../../state/common/job.js';
import * as task from '../../state/common/task.js';

import * as agentTasks from './agentTasks.js';
import * as jobMachine from './jobMachine.js';

/** What follows from one reported task. */
export type TaskReading =
  | { readonly type: 'nothing' }
  /** No job wants the task: it is of an earlier attempt, or of a job that has ended. */
  | { readonly type: 'stopStray' }
  /** The job is being stopped, yet the member goes on: the stop is lost or was never sent. */
  | { readonly type: 'stopOwed'; readonly member: number }
  /** The placement is committed, yet the member only holds its reservation. */
  | { readonly type: 'startOwed'; readonly member: number }
  | { readonly type: 'event'; readonly event: jobMachine.JobEvent };

/** A member that should be on a worker and is not. */
export interface MissingMember {
  readonly jobId: string;
  readonly member: number;
}

const NOTHING: TaskReading = { type: 'nothing' };

const eventOf = (report: task.TaskReport): TaskReading => {
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
 * @param runtime - the job that the report names; undefined where there is none
 * @param report - what the agent says of one task
 * @param isTakeOver - whether the agent answers a leader that has just fenced it
 * @returns what the leader does about it
 */
export const readTask = (
  runtime: jobMachine.JobRuntime | undefined,
  report: task.TaskReport,
  isTakeOver: boolean,
): TaskReading => {
  const { attempt, member } = report.token;
  const isWanted = runtime?.record.attempt === attempt && runtime.members[member] !== undefined;
  if (!isWanted) return agentTasks.isEnded(report.phase) ? NOTHING : { type: 'stopStray' };
  const isLive =
    report.phase === task.TaskPhase.running || report.phase === task.TaskPhase.reserved;
  const { state } = runtime.record;
  // The leader that decided to stop may have died before its command was sent, and an agent that
  // was asked to stop a reservation reports it as stopped: whatever is still live was never asked.
  if (state === job.JobState.stopping && isLive) return { type: 'stopOwed', member };
  const isStartLost =
    isTakeOver && state === job.JobState.starting && report.phase === task.TaskPhase.reserved;
  // The leader that committed died before its start was sent. Without this the reservation lapses
  // and the gang stays in part; the start is idempotent by its token.
  if (isStartLost) return { type: 'startOwed', member };
  return eventOf(report);
};

/**
 * Members that a whole and current statement of a worker's agent does not name.
 *
 * A member that is being started was reserved before, and a reservation is reported too; so a
 * statement without it, written after the reservation was answered, shows that the reservation has
 * lapsed or that the agent has restarted.
 *
 * @param runtimes - the jobs of the cell
 * @param workerId - whose agent speaks
 * @param tasks - everything that the agent holds
 * @returns the members that hold nothing any more
 */
export const missingMembers = (
  runtimes: Iterable<jobMachine.JobRuntime>,
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
 * Which members have ended is not written to the store. So an agent keeps the end of its task until
 * the attempt is over and the store says so; otherwise a new leader would miss the task and run the
 * whole gang again although one member had finished.
 *
 * @param runtime - the job that the report names
 * @param report - what the agent says of one task
 * @param isDurable - whether what is known of the job is in the store
 * @returns whether the agent may forget the task
 */
export const isAcknowledgeable = (
  runtime: jobMachine.JobRuntime | undefined,
  report: task.TaskReport,
  isDurable: boolean,
): boolean => {
  if (!agentTasks.isEnded(report.phase)) return false;
  if (runtime === undefined || runtime.record.attempt !== report.token.attempt) return true;
  return runtime.members.length === 0 && isDurable;
};
