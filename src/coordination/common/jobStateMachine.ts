/**
 * State machine of one job, run by the leader of its cell: the effect of each event in each state.
 *
 * A gang starts in two phases. Its members are reserved; when all are, the placement is committed
 * to the store; only then is any member started. A failure before the commit releases all members.
 * The loss of a member after the start stops the rest, and the complete job is requeued.
 */
import * as job from '../../state/common/job.js';

import * as jobSteps from './jobSteps.js';
import * as jobTypes from './jobTypes.js';
import * as memberPhases from './memberPhases.js';

/** The events and effects of a job. */
export * from './jobTypes.js';

const { MemberPhase } = jobTypes;
const { holds, indexesOf, withMember } = memberPhases;
const {
  NOTHING,
  PERSIST,
  abandon,
  beginStop,
  recordDecision: decide,
  ended,
  settleStopping,
} = jobSteps;
type JobRuntime = jobTypes.JobRuntime;
type JobContext = jobTypes.JobContext;
type JobEvent = jobTypes.JobEvent;
type JobStep = jobTypes.JobStep;

const onPlanned = (
  runtime: JobRuntime,
  context: JobContext,
  event: Extract<JobEvent, { type: 'planned' }>,
): JobStep => {
  const { ruleId: _, ...rest } = runtime.record;
  const record = decide(
    {
      ...rest,
      state: job.JobState.reserving,
      attempt: rest.attempt + 1,
      epoch: context.epoch,
      placement: [...event.placement],
      ...(event.ruleId === undefined ? {} : { ruleId: event.ruleId }),
    },
    context,
    'placed',
    event.why,
  );
  const members = event.placement.map(() => MemberPhase.reserving);
  return {
    next: { record, members },
    effects: members.map((_phase, member) => ({ type: 'reserve', member })),
  };
};

const onReserved = (runtime: JobRuntime, member: number): JobStep => {
  if (runtime.members[member] !== MemberPhase.reserving) return { next: runtime, effects: NOTHING };
  const members = withMember(runtime.members, member, MemberPhase.reserved);
  const isComplete = members.every((it) => it === MemberPhase.reserved);
  if (!isComplete) return { next: { ...runtime, members }, effects: NOTHING };
  const record = { ...runtime.record, state: job.JobState.starting };
  return { next: { record, members }, effects: [{ type: 'commit' }] };
};

const onCommitted = (runtime: JobRuntime): JobStep => {
  const waiting = indexesOf(runtime.members, (it) => it === MemberPhase.reserved);
  const members = runtime.members.map((it) =>
    it === MemberPhase.reserved ? MemberPhase.starting : it,
  );
  return {
    next: { ...runtime, members },
    effects: waiting.map((member) => ({ type: 'start', member })),
  };
};

const onStarted = (runtime: JobRuntime, context: JobContext, member: number): JobStep => {
  if (runtime.members[member] !== MemberPhase.starting) return { next: runtime, effects: NOTHING };
  const members = withMember(runtime.members, member, MemberPhase.running);
  const isComplete = members.every((it) => it === MemberPhase.running || it === MemberPhase.done);
  if (!isComplete) return { next: { ...runtime, members }, effects: NOTHING };
  const running = {
    ...runtime.record,
    state: job.JobState.running,
    startedAtMs: context.nowMs,
  };
  const record = decide(running, context, 'started', `all ${members.length} members run`);
  return { next: { record, members }, effects: PERSIST };
};

const onMemberDone = (runtime: JobRuntime, context: JobContext, member: number): JobStep => {
  const phase = runtime.members[member];
  if (phase === undefined || !holds(phase)) return { next: runtime, effects: NOTHING };
  const members = withMember(runtime.members, member, MemberPhase.done);
  const next = { ...runtime, members };
  if (members.every((it) => it === MemberPhase.done)) {
    return ended(runtime.record, job.JobState.done, context, 'all members finished');
  }
  if (runtime.record.state === job.JobState.stopping) return settleStopping(next, context);
  return { next, effects: NOTHING };
};

const onMemberGone = (
  runtime: JobRuntime,
  context: JobContext,
  member: number,
  cause: job.StopCause,
  reason: string,
): JobStep => {
  const phase = runtime.members[member];
  if (phase === undefined || !holds(phase)) return { next: runtime, effects: NOTHING };
  const members = withMember(runtime.members, member, MemberPhase.gone);
  const next = { ...runtime, members };
  if (runtime.record.state === job.JobState.stopping) return settleStopping(next, context);
  return beginStop(next, context, cause, reason);
};

const onMemberFailed = (
  runtime: JobRuntime,
  context: JobContext,
  member: number,
  reason: string,
): JobStep => {
  const workerId = runtime.record.placement[member]?.workerId;
  if (workerId === undefined) return { next: runtime, effects: NOTHING };
  const failure = { atMs: context.nowMs, workerId, reason: reason.slice(0, 400) };
  const record = { ...runtime.record, failures: [...runtime.record.failures, failure].slice(-16) };
  const why = `member ${member} failed on ${workerId}: ${reason}`;
  return onMemberGone({ ...runtime, record }, context, member, job.StopCause.memberFailed, why);
};

const onMemberStopped = (
  runtime: JobRuntime,
  context: JobContext,
  member: number,
  checkpointMs: number,
): JobStep => {
  const record = {
    ...runtime.record,
    checkpointMs: Math.max(runtime.record.checkpointMs, checkpointMs),
  };
  const why = `member ${member} stopped without a request`;
  return onMemberGone({ ...runtime, record }, context, member, job.StopCause.memberLost, why);
};

const onCancel = (runtime: JobRuntime, context: JobContext): JobStep => {
  const { state } = runtime.record;
  if (state === job.JobState.queued) {
    return ended(runtime.record, job.JobState.cancelled, context, 'cancelled while queued');
  }
  if (state === job.JobState.reserving) {
    const abandoned = abandon(runtime, context, 'cancelled');
    const step = ended(
      abandoned.next.record,
      job.JobState.cancelled,
      context,
      'cancelled before start',
    );
    return { next: step.next, effects: [...abandoned.effects, ...step.effects] };
  }
  if (state === job.JobState.stopping) {
    const record = { ...runtime.record, stopCause: job.StopCause.cancelled };
    return { next: { ...runtime, record }, effects: PERSIST };
  }
  return beginStop(runtime, context, job.StopCause.cancelled, 'cancelled on request');
};

const isPlaced = (state: job.JobState): boolean =>
  state === job.JobState.starting || state === job.JobState.running;

const onStop = (
  runtime: JobRuntime,
  context: JobContext,
  event: Extract<JobEvent, { type: 'stop' }>,
): JobStep => {
  if (runtime.record.state === job.JobState.reserving) return abandon(runtime, context, event.why);
  if (!isPlaced(runtime.record.state)) return { next: runtime, effects: NOTHING };
  return beginStop(runtime, context, event.cause, event.why);
};

const whileReserving = (runtime: JobRuntime, handle: () => JobStep): JobStep =>
  runtime.record.state === job.JobState.reserving ? handle() : { next: runtime, effects: NOTHING };

/** Whether the commit of the placement is still pending, so that no member was started. */
const isUncommitted = (runtime: JobRuntime): boolean =>
  runtime.record.state === job.JobState.starting &&
  runtime.members.every((it) => it === MemberPhase.reserved);

/** Whether the member may have been started; reports on other members are ignored. */
const mayBeStarted = (runtime: JobRuntime, member: number): boolean => {
  const phase = runtime.members[member];
  const isBeforeStart = runtime.record.state === job.JobState.reserving;
  return !isBeforeStart && phase !== undefined && holds(phase);
};

const onMemberEnded = (
  runtime: JobRuntime,
  context: JobContext,
  event: Extract<
    JobEvent,
    { type: 'memberLost' | 'memberDone' | 'memberFailed' | 'memberStopped' }
  >,
): JobStep => {
  switch (event.type) {
    case 'memberDone':
      return onMemberDone(runtime, context, event.member);
    case 'memberFailed':
      return onMemberFailed(runtime, context, event.member, event.reason);
    case 'memberStopped':
      return onMemberStopped(runtime, context, event.member, event.checkpointMs);
    default:
      return onMemberGone(runtime, context, event.member, job.StopCause.memberLost, event.reason);
  }
};

/**
 * @param runtime - the job before the event
 * @param event - what happened
 * @param context - time and rules
 * @returns the job after the event; an event that the state does not handle changes nothing
 */
export const step = (runtime: JobRuntime, event: JobEvent, context: JobContext): JobStep => {
  const { state } = runtime.record;
  if (job.isTerminal(state)) return { next: runtime, effects: NOTHING };
  switch (event.type) {
    case 'planned':
      return state === job.JobState.queued
        ? onPlanned(runtime, context, event)
        : { next: runtime, effects: NOTHING };
    case 'reserved':
      return whileReserving(runtime, () => onReserved(runtime, event.member));
    case 'reserveRefused':
      return whileReserving(runtime, () => abandon(runtime, context, event.reason));
    case 'committed':
      return state === job.JobState.starting
        ? onCommitted(runtime)
        : { next: runtime, effects: NOTHING };
    case 'commitFailed':
      return isUncommitted(runtime)
        ? abandon(runtime, context, event.reason)
        : { next: runtime, effects: NOTHING };
    case 'started':
      return state === job.JobState.starting
        ? onStarted(runtime, context, event.member)
        : { next: runtime, effects: NOTHING };
    // Ignored while the job is stopping: a duplicate of the start may have been accepted earlier,
    // and the task may still be within its grace period.
    case 'startRefused':
      return state === job.JobState.starting
        ? onMemberGone(runtime, context, event.member, job.StopCause.memberLost, event.reason)
        : { next: runtime, effects: NOTHING };
    case 'memberLost':
    case 'memberDone':
    case 'memberFailed':
    case 'memberStopped':
      return mayBeStarted(runtime, event.member)
        ? onMemberEnded(runtime, context, event)
        : { next: runtime, effects: NOTHING };
    case 'cancel':
      return onCancel(runtime, context);
    case 'stop':
      return onStop(runtime, context, event);
    default:
      return { next: runtime, effects: NOTHING };
  }
};

/**
 * @param spec - the job that the customer submits
 * @param context - time and rules
 * @returns the accepted job in the queue
 */
export const accept = (spec: job.JobSpec, context: JobContext): JobRuntime => ({
  record: decide(
    {
      spec,
      state: job.JobState.queued,
      submittedAtMs: context.nowMs,
      attempt: 0,
      epoch: context.epoch,
      placement: [],
      checkpointMs: 0,
      failures: [],
      decisions: [],
    },
    context,
    'queued',
    'accepted',
  ),
  members: [],
});

/**
 * Takes over a job from a previous leader.
 *
 * @param record - the job as the store has it
 * @returns the job with every placed member counted as starting until its agent reports otherwise
 *   or its lease has certainly expired
 */
export const takeOver = (record: job.JobRecord): JobRuntime => ({
  record,
  members: record.placement.map(() => MemberPhase.starting),
});
