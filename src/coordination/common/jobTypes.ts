/**
 * What can happen to a job and what its leader has to do then; `jobMachine` has the table.
 */
import type * as job from '../../state/common/job.js';

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
  /** Quarantined workers: what failed there says nothing against a job. */
  readonly badWorkerIds: ReadonlySet<string>;
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
