/**
 * Events of a job and the effects that its leader has to carry out.
 */
import type * as job from '../../state/common/job.js';

/** Phase of one member of a gang. */
export const MemberPhase = {
  reserving: 'reserving',
  reserved: 'reserved',
  starting: 'starting',
  running: 'running',
  done: 'done',
  /** Stopped, failed, or its lease has certainly expired: it holds no accelerators. */
  gone: 'gone',
} as const;

/** One of the values of {@link MemberPhase}. */
export type MemberPhase = (typeof MemberPhase)[keyof typeof MemberPhase];

/** A job record with the state that only its leader has in memory. */
export interface JobRuntime {
  readonly record: job.JobRecord;
  /** One phase per placed member; empty while the job has no placement. */
  readonly members: readonly MemberPhase[];
}

/** Time and rules for handling an event. */
export interface JobContext {
  readonly nowMs: number;
  readonly configVersion: number;
  /** Epoch of the leader that handles the event. */
  readonly epoch: number;
  /** Distinct healthy workers on which a job must fail before it becomes unrunnable. */
  readonly unrunnableFailures: number;
  /** Quarantined workers: failures there don't count against a job. */
  readonly badWorkerIds: ReadonlySet<string>;
  readonly reclaimGraceMs: number;
}

/** Event of a job. */
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
  /** The member's lease has certainly expired, so it can no longer run. */
  | { readonly type: 'memberLost'; readonly member: number; readonly reason: string }
  | { readonly type: 'cancel' }
  | {
      readonly type: 'stop';
      readonly cause: 'reclaimed' | 'compacted';
      readonly why: string;
    };

/** Effect that the leader has to carry out after an event. */
export type JobEffect =
  | { readonly type: 'reserve'; readonly member: number }
  | { readonly type: 'release'; readonly member: number }
  /** Makes the record durable and results in `committed` or `commitFailed`. */
  | { readonly type: 'commit' }
  | { readonly type: 'start'; readonly member: number }
  | { readonly type: 'stop'; readonly member: number; readonly graceMs: number }
  /** Makes the record durable with the next group commit, without waiting for it. */
  | { readonly type: 'persist' };

/** The job after an event, with the effects to carry out. */
export interface JobStep {
  readonly next: JobRuntime;
  readonly effects: readonly JobEffect[];
}
