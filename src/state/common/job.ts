/**
 * Jobs: what a customer requests, and the record that the cell's leader stores.
 */
import * as Schema from 'effect/Schema';

import * as configuration from './configuration.js';
import * as units from './units.js';

/** Whether a job claims a guaranteed shape or borrows spare accelerators. */
export const Claim = { guaranteed: 'guaranteed', spare: 'spare' } as const;

/** One of the values of {@link Claim}. */
export type Claim = (typeof Claim)[keyof typeof Claim];

/** What a customer requests. Either all members of the gang run at the same time or none does. */
export const JobSpec = Schema.Struct({
  /** Chosen by the submitter; submitting the same id again has no effect. */
  jobId: units.CallerKey,
  customerId: units.Id,
  /** Jobs of one kind have similar run times; run times are estimated per customer and kind. */
  kind: units.Id,
  cell: units.Id,
  claim: Schema.Literals(['guaranteed', 'spare']),
  /** The shape that a guaranteed job claims. */
  shapeId: Schema.optionalKey(units.Id),
  members: units.integerBetween(1, 64),
  acceleratorsPerMember: units.integerBetween(1, 64),
  /** How close together the members must be. */
  adjacency: configuration.AdjacencySchema,
  /** Run time estimated by the submitter; often far off. */
  declaredRunMs: units.DurationMs,
  /** Whether the job can be stopped at a checkpoint and resumed from it. */
  isCheckpointable: Schema.Boolean,
  /** Passed unchanged to the worker's tasks. */
  payload: Schema.String.check(Schema.isMaxLength(4096)),
});

/** See {@link JobSpec}. */
export type JobSpec = typeof JobSpec.Type;

/** Lifecycle state of a job. `coordination/common/jobMachine` has the transition table. */
export const JobState = {
  /** Accepted and waiting. */
  queued: 'queued',
  /** Its members hold reservations; nothing is committed yet. Never stored. */
  reserving: 'reserving',
  /** The placement is committed; its members are being started. */
  starting: 'starting',
  /** All members run. */
  running: 'running',
  /** Its members are being stopped; `stopCause` says why. */
  stopping: 'stopping',
  done: 'done',
  /** The failure was caused by the job itself. */
  failed: 'failed',
  cancelled: 'cancelled',
  /** It failed on several healthy workers, or it can never be placed. */
  unrunnable: 'unrunnable',
} as const;

/** One of the values of {@link JobState}. */
export type JobState = (typeof JobState)[keyof typeof JobState];

const JOB_STATES = [
  'queued',
  'reserving',
  'starting',
  'running',
  'stopping',
  'done',
  'failed',
  'cancelled',
  'unrunnable',
] as const;

/** Placement of one member. */
export const MemberPlacement = Schema.Struct({
  member: units.integerBetween(0, 63),
  workerId: units.Id,
  /** Indexes of the accelerators on that worker. */
  accelerators: Schema.Array(units.integerBetween(0, 63)),
});

/** See {@link MemberPlacement}. */
export type MemberPlacement = typeof MemberPlacement.Type;

/** Why the members are being stopped. */
export const StopCause = {
  cancelled: 'cancelled',
  /** Another customer reclaims the accelerators that the job borrowed. */
  reclaimed: 'reclaimed',
  /** The job is moved to free adjacent accelerators for a large job. */
  compacted: 'compacted',
  /** A worker or task was lost. */
  memberLost: 'memberLost',
  /** A member ended with an error. */
  memberFailed: 'memberFailed',
} as const;

/** One of the values of {@link StopCause}. */
export type StopCause = (typeof StopCause)[keyof typeof StopCause];

/** Why accelerators were allocated or unused, for the ledger. */
export const HoldReason = {
  guarantee: 'guarantee',
  spare: 'spare',
  reclaimGrace: 'reclaimGrace',
  lostToFailure: 'lostToFailure',
  quarantined: 'quarantined',
  idle: 'idle',
  /** The worker or its cell's leader did not answer, so the use is not known. */
  unreachable: 'unreachable',
} as const;

/** One of the values of {@link HoldReason}. */
export type HoldReason = (typeof HoldReason)[keyof typeof HoldReason];

/** A decision on a job, stored for `explain`. */
export const JobDecision = Schema.Struct({
  atMs: units.Count,
  /** Name of the decision: `queued`, `placed`, `reclaimed` and so on. */
  what: units.Id,
  /** One sentence for display. */
  why: units.ShortText,
  configVersion: units.Count,
});

/** See {@link JobDecision}. */
export type JobDecision = typeof JobDecision.Type;

/** Decisions retained per job: the first one and the most recent ones. */
export const MAX_DECISIONS = 24;

/** A failure of a member, used to attribute failures to the worker or the job. */
export const MemberFailure = Schema.Struct({
  atMs: units.Count,
  workerId: units.Id,
  reason: units.ShortText,
});

/** See {@link MemberFailure}. */
export type MemberFailure = typeof MemberFailure.Type;

/** A job's record as the cell's leader stores it. */
export const JobRecord = Schema.Struct({
  spec: JobSpec,
  state: Schema.Literals(JOB_STATES),
  submittedAtMs: units.Count,
  /** Number of starts; a token of an earlier attempt is refused. */
  attempt: units.Count,
  /** Epoch of the leader that committed the placement. */
  epoch: units.Count,
  /** Empty unless the job holds accelerators. */
  placement: Schema.Array(MemberPlacement),
  /** The spare rule under which it borrows. */
  ruleId: Schema.optionalKey(units.Id),
  stopCause: Schema.optionalKey(
    Schema.Literals(['cancelled', 'reclaimed', 'compacted', 'memberLost', 'memberFailed']),
  ),
  startedAtMs: Schema.optionalKey(units.Count),
  endedAtMs: Schema.optionalKey(units.Count),
  /** Work saved by the last checkpoint. */
  checkpointMs: units.Count,
  failures: Schema.Array(MemberFailure),
  decisions: Schema.Array(JobDecision),
});

/** See {@link JobRecord}. */
export type JobRecord = typeof JobRecord.Type;

const TERMINAL_STATES: ReadonlySet<JobState> = new Set([
  JobState.done,
  JobState.failed,
  JobState.cancelled,
  JobState.unrunnable,
]);

/**
 * @param state - a job's state
 * @returns whether the state is final
 */
export const isTerminal = (state: JobState): boolean => TERMINAL_STATES.has(state);

/**
 * @param record - a job
 * @returns the accelerators that the whole gang needs
 */
export const acceleratorsOf = (record: { readonly spec: JobSpec }): number =>
  record.spec.members * record.spec.acceleratorsPerMember;

/**
 * @param record - a job
 * @param decision - the decision to append
 * @returns the job with the decision appended, within {@link MAX_DECISIONS}
 */
export const withDecision = (record: JobRecord, decision: JobDecision): JobRecord => {
  const [first, ...rest] = [...record.decisions, decision];
  const retained = rest.slice(-(MAX_DECISIONS - 1));
  return { ...record, decisions: first === undefined ? [] : [first, ...retained] };
};
