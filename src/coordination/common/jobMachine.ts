/**
 * The life of one job as its cell's leader drives it: a table of what each event does in each state.
 *
 * A gang starts in two phases. Members are reserved; when all are, the placement is committed to the
 * store; only after the commit is any member started. What fails before the commit releases all.
 * A member lost after the start stops the rest, and the whole job goes back to the queue.
 */
import * as job from '../../state/common/job.js';

/** Where one member of the gang is. */
export const MemberPhase = {
  reserving: 'reserving',
  reserved: 'reserved',
  starting: 'starting',
  running: 'running',
  done: 'done',
  /** Stopped, failed, or its lease has certainly lapsed: it holds nothing. */
  gone: 'gone',
} as const;

/** One of the values of {@link MemberPhase}. */
export type MemberPhase = (typeof MemberPhase)[keyof typeof MemberPhase];

/** A job with what only its leader's memory holds. */
export interface JobRuntime {
  readonly record: job.JobRecord;
  /** One for each placed member; empty while nothing is placed. */
  readonly members: readonly MemberPhase[];
}

/** Moment and rules under which an event is handled. */
export interface JobContext {
  readonly nowMs: number;
  readonly configVersion: number;
  /** Epoch of the leader that handles the event. */
  readonly epoch: number;
  /** Distinct good workers on which a job must fail before it is given up. */
  readonly unrunnableFailures: number;
  readonly reclaimGraceMs: number;
}

/** What can happen to a job. */
export type JobEvent =
  | {
      readonly type: 'planned';
      readonly placement: readonly job.MemberPlacement[];
      readonly ruleId: string | undefined;
      readonly why: string;
    }
  | { readonly type: 'reserved'; readonly member: number }
  | { readonly type: 'reserveRefused'; readonly member: number; readonly reason: string }
  | { readonly type: 'committed' }
  | { readonly type: 'commitFailed'; readonly reason: string }
  | { readonly type: 'started'; readonly member: number }
  | { readonly type: 'startRefused'; readonly member: number; readonly reason: string }
  | { readonly type: 'memberDone'; readonly member: number }
  | { readonly type: 'memberFailed'; readonly member: number; readonly reason: string }
  | { readonly type: 'memberStopped'; readonly member: number; readonly checkpointMs: number }
  /** The member's lease has certainly lapsed: nothing of it can run any more. */
  | { readonly type: 'memberLost'; readonly member: number; readonly reason: string }
  | { readonly type: 'cancel' }
  | {
      readonly type: 'stop';
      readonly cause: 'reclaimed' | 'compacted';
      readonly why: string;
    };

/** What the leader has to do after an event. */
export type JobEffect =
  | { readonly type: 'reserve'; readonly member: number }
  | { readonly type: 'release'; readonly member: number }
  /** Makes the record durable and answers with `committed` or `commitFailed`. */
  | { readonly type: 'commit' }
  | { readonly type: 'start'; readonly member: number }
  | { readonly type: 'stop'; readonly member: number; readonly graceMs: number }
  /** Makes the record durable with the next group commit; nothing waits for it. */
  | { readonly type: 'persist' };

/** The job after an event and what has to be done. */
export interface JobStep {
  readonly next: JobRuntime;
  readonly effects: readonly JobEffect[];
}

const NOTHING: readonly JobEffect[] = [];
const PERSIST: readonly JobEffect[] = [{ type: 'persist' }];

const withMember = (
  members: readonly MemberPhase[],
  index: number,
  phase: MemberPhase,
): readonly MemberPhase[] => members.map((it, at) => (at === index ? phase : it));

const decide = (
  record: job.JobRecord,
  context: JobContext,
  what: string,
  why: string,
): job.JobRecord =>
  job.withDecision(record, {
    atMs: context.nowMs,
    what,
    why: why.slice(0, 400),
    configVersion: context.configVersion,
  });

const unplaced = (record: job.JobRecord, state: job.JobState): job.JobRecord => {
  const { ruleId: _rule, stopCause: _cause, startedAtMs: _started, ...rest } = record;
  return { ...rest, state, placement: [] };
};

const ended = (
  record: job.JobRecord,
  state: job.JobState,
  context: JobContext,
  why: string,
): JobStep => {
  const { stopCause: _, ...rest } = record;
  const at = { ...rest, state, endedAtMs: context.nowMs, placement: [] };
  return { next: { record: decide(at, context, state, why), members: [] }, effects: PERSIST };
};

const requeue = (record: job.JobRecord, context: JobContext, why: string): JobStep => ({
  next: {
    record: decide(unplaced(record, job.JobState.queued), context, 'requeued', why),
    members: [],
  },
  effects: PERSIST,
});

const holds = (phase: MemberPhase): boolean =>
  phase !== MemberPhase.gone && phase !== MemberPhase.done;

const indexesOf = (
  members: readonly MemberPhase[],
  isWanted: (phase: MemberPhase) => boolean,
): number[] => members.flatMap((phase, index) => (isWanted(phase) ? [index] : []));

/** Gives up a placement that was never committed: no member was started, so all are released. */
const abandon = (runtime: JobRuntime, context: JobContext, why: string): JobStep => {
  const step = requeue(runtime.record, context, why);
  const held = indexesOf(runtime.members, holds);
  return { next: step.next, effects: held.map((member) => ({ type: 'release', member })) };
};

const distinctFailedWorkers = (record: job.JobRecord): number =>
  new Set(record.failures.map((it) => it.workerId)).size;

/** What follows when the last member of a stopping job holds nothing any more. */
const afterStop = (runtime: JobRuntime, context: JobContext): JobStep => {
  const { record } = runtime;
  const cause = record.stopCause ?? job.StopCause.memberLost;
  if (cause === job.StopCause.cancelled) {
    return ended(record, job.JobState.cancelled, context, 'cancelled on request');
  }
  const failedOn = distinctFailedWorkers(record);
  if (cause === job.StopCause.memberFailed && failedOn >= context.unrunnableFailures) {
    const why = `failed on ${failedOn} different workers`;
    return ended(record, job.JobState.unrunnable, context, why);
  }
  return requeue(record, context, `all members stopped after: ${cause}`);
};

const settleStopping = (runtime: JobRuntime, context: JobContext): JobStep =>
  runtime.members.some(holds) ? { next: runtime, effects: PERSIST } : afterStop(runtime, context);

/**
 * @param record - a job that is being stopped
 * @param reclaimGraceMs - time that the configuration gives for a checkpoint
 * @returns the time that its members get; nothing is kept of a cancelled job
 */
export const graceMsOf = (record: job.JobRecord, reclaimGraceMs: number): number => {
  const isCancelled = record.stopCause === job.StopCause.cancelled;
  return record.spec.isCheckpointable && !isCancelled ? reclaimGraceMs : 0;
};

/** Starts stopping every member that still holds something. */
const beginStop = (
  runtime: JobRuntime,
  context: JobContext,
  cause: job.StopCause,
  why: string,
): JobStep => {
  const record = decide(
    { ...runtime.record, state: job.JobState.stopping, stopCause: cause },
    context,
    'stopping',
    why,
  );
  const graceMs = graceMsOf(record, context.reclaimGraceMs);
  const stops: JobEffect[] = indexesOf(runtime.members, holds).map((member) => ({
    type: 'stop',
    member,
    graceMs,
  }));
  const settled = settleStopping({ record, members: runtime.members }, context);
  return { next: settled.next, effects: [...stops, ...settled.effects] };
};

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
  const isWhole = members.every((it) => it === MemberPhase.running || it === MemberPhase.done);
  if (!isWhole) return { next: { ...runtime, members }, effects: NOTHING };
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
  const why = `member ${member} stopped by itself`;
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

const reserving = (runtime: JobRuntime, handle: () => JobStep): JobStep =>
  runtime.record.state === job.JobState.reserving ? handle() : { next: runtime, effects: NOTHING };

/**
 * @param runtime - the job before the event
 * @param event - what happened
 * @param context - moment and rules
 * @returns the job after the event; an event that the state does not know changes nothing
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
      return reserving(runtime, () => onReserved(runtime, event.member));
    case 'reserveRefused':
      return reserving(runtime, () => abandon(runtime, context, event.reason));
    case 'committed':
      return state === job.JobState.starting
        ? onCommitted(runtime)
        : { next: runtime, effects: NOTHING };
    case 'commitFailed':
      return state === job.JobState.starting
        ? abandon(runtime, context, event.reason)
        : { next: runtime, effects: NOTHING };
    case 'started':
      return state === job.JobState.starting
        ? onStarted(runtime, context, event.member)
        : { next: runtime, effects: NOTHING };
    // Once the member is being stopped, a refused start says nothing: an earlier copy of it may have
    // been taken, and the task may still be within its grace.
    case 'startRefused':
      return state === job.JobState.starting
        ? onMemberGone(runtime, context, event.member, job.StopCause.memberLost, event.reason)
        : { next: runtime, effects: NOTHING };
    case 'memberLost':
      return onMemberGone(runtime, context, event.member, job.StopCause.memberLost, event.reason);
    case 'memberDone':
      return onMemberDone(runtime, context, event.member);
    case 'memberFailed':
      return onMemberFailed(runtime, context, event.member, event.reason);
    case 'memberStopped':
      return onMemberStopped(runtime, context, event.member, event.checkpointMs);
    case 'cancel':
      return onCancel(runtime, context);
    case 'stop':
      return onStop(runtime, context, event);
    default:
      return { next: runtime, effects: NOTHING };
  }
};

/**
 * @param spec - what the customer asks for
 * @param context - moment and rules
 * @returns a job that was just accepted
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
 * Takes a job over from an earlier leader.
 *
 * @param record - the job as the store has it
 * @returns the job with every placed member counted as running until its agent says otherwise or
 *   its lease has certainly lapsed
 */
export const takeOver = (record: job.JobRecord): JobRuntime => ({
  record,
  members: record.placement.map(() => MemberPhase.starting),
});
