/**
 * Jobs: what a customer asks for, and the record that the cell's leader keeps in the store.
 */
import * as Schema from 'effect/Schema';

import * as configuration from './configuration.js';
import * as units from './units.js';

/** Whether a job claims a guaranteed shape or borrows spare accelerators. */
export const Claim = { guaranteed: 'guaranteed', spare: 'spare' } as const;

/** One of the values of {@link Claim}. */
export type Claim = (typeof Claim)[keyof typeof Claim];

/** What a customer asks for. All members of the gang run together or none does. */
export const JobSpec = Schema.Struct({
  /** Chosen by the submitter: submitting the same id again changes nothing. */
  jobId: units.CallerKey,
  customerId: units.Id,
  /** Jobs of one kind have like run times; estimates are learned for each customer and kind. */
  kind: units.Id,
  cell: units.Id,
  claim: Schema.Literals(['guaranteed', 'spare']),
  /** The shape that a guaranteed job claims. */
  shapeId: Schema.optionalKey(units.Id),
  members: units.integerBetween(1, 64),
  acceleratorsPerMember: units.integerBetween(1, 64),
  /** How close the members must lie to each other. */
  adjacency: configuration.AdjacencySchema,
  /** What the submitter believes; far from the truth as often as not. */
  declaredRunMs: units.DurationMs,
  /** Whether the job can be stopped at a checkpoint and go on from it. */
  isCheckpointable: Schema.Boolean,
  /** Handed to the worker's tasks as it is. */
  payload: Schema.String.check(Schema.isMaxLength(4096)),
});

/** See {@link JobSpec}. */
export type JobSpec = typeof JobSpec.Type;

/** Where a job is in its life. `coordination/common/jobMachine` has the table of transitions. */
export const JobState = {
  /** Accepted and waiting. */
  queued: 'queued',
  /** Its members hold reservations; nothing is committed. Kept in memory only. */
  reserving: 'reserving',
  /** The placement is committed; its members are being started. */
  starting: 'starting',
  /** All members run. */
  running: 'running',
  /** Its members are being stopped; `stopping` says why and what follows. */
  stopping: 'stopping',
  done: 'done',
  /** It failed for a reason of its own. */
  failed: 'failed',
  cancelled: 'cancelled',
  /** It failed on several good workers, or nothing could ever hold it. */
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

/** One member's place. */
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
  /** Another customer claims the accelerators that were lent. */
  reclaimed: 'reclaimed',
  /** Placements get better if the job moves. */
  compacted: 'compacted',
  /** A worker or task was lost. */
  memberLost: 'memberLost',
  /** A member ended with an error. */
  memberFailed: 'memberFailed',
} as const;

/** One of the values of {@link StopCause}. */
export type StopCause = (typeof StopCause)[keyof typeof StopCause];

/** Why accelerators were held, for the ledger. */
export const HoldReason = {
  guarantee: 'guarantee',
  spare: 'spare',
  reclaimGrace: 'reclaimGrace',
  lostToFailure: 'lostToFailure',
  quarantined: 'quarantined',
  idle: 'idle',
  /** The worker or its cell's leader did not answer, so nobody can say. */
  unreachable: 'unreachable',
} as const;

/** One of the values of {@link HoldReason}. */
export type HoldReason = (typeof HoldReason)[keyof typeof HoldReason];

/** One decision on a job, kept so that `explain` can tell it later. */
export const JobDecision = Schema.Struct({
  atMs: units.Count,
  /** Name of the decision: `queued`, `placed`, `reclaimed` and so on. */
  what: units.Id,
  /** One sentence for people. */
  why: units.ShortText,
  configVersion: units.Count,
});

/** See {@link JobDecision}. */
export type JobDecision = typeof JobDecision.Type;

/** Decisions kept for each job; the oldest go first, but the first one stays. */
export const MAX_DECISIONS = 24;

/** One failure of a member, for telling bad workers from bad jobs. */
export const MemberFailure = Schema.Struct({
  atMs: units.Count,
  workerId: units.Id,
  reason: units.ShortText,
});

/** See {@link MemberFailure}. */
export type MemberFailure = typeof MemberFailure.Type;

/** What the cell's leader keeps of a job. */
export const JobRecord = Schema.Struct({
  spec: JobSpec,
  state: Schema.Literals(JOB_STATES),
  submittedAtMs: units.Count,
  /** Counts the starts; a token of an earlier attempt is refused. */
  attempt: units.Count,
  /** Epoch of the leader that committed the placement. */
  epoch: units.Count,
  /** Empty unless the job holds accelerators. */
  placement: Schema.Array(MemberPlacement),
  /** The spare rule it borrows by. */
  ruleId: Schema.optionalKey(units.Id),
  stopCause: Schema.optionalKey(
    Schema.Literals(['cancelled', 'reclaimed', 'compacted', 'memberLost', 'memberFailed']),
  ),
  startedAtMs: Schema.optionalKey(units.Count),
  endedAtMs: Schema.optionalKey(units.Count),
  /** Work kept by the last checkpoint. */
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
 * @param state - where the job is
 * @returns whether nothing can happen to it any more
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
 * @param decision - what was decided about it
 * @returns the job with the decision appended, within {@link MAX_DECISIONS}
 */
export const withDecision = (record: JobRecord, decision: JobDecision): JobRecord => {
  const [first, ...rest] = [...record.decisions, decision];
  const kept = rest.slice(-(MAX_DECISIONS - 1));
  return { ...record, decisions: first === undefined ? [] : [first, ...kept] };
};
