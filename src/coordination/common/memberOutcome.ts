/**
 * What the answer to a command means for the job it was sent for: pure, as `reportIntake` is.
 */
import * as job from '../../state/common/job.js';

import type * as jobMachine from './jobMachine.js';

/** An effect that is a command to one member's agent. */
export type MemberEffect = Exclude<jobMachine.JobEffect, { type: 'persist' | 'commit' }>;

/** What became of a command; undefined where no answer came. */
export type CommandOutcome =
  | {
      readonly isAccepted: boolean;
      /** Nothing of the token runs, and nothing of it ever will. */
      readonly isGone: boolean;
      readonly reason: string;
    }
  | undefined;

/** What follows from an outcome. */
export type OutcomeReading =
  | { readonly type: 'nothing' }
  | { readonly type: 'resend' }
  | { readonly type: 'event'; readonly event: jobMachine.JobEvent };

const NOTHING: OutcomeReading = { type: 'nothing' };

/** A member that never ran is over with the answer; one that runs is over when its agent says so. */
const afterStop = (member: number, outcome: Exclude<CommandOutcome, undefined>): OutcomeReading => {
  if (!outcome.isAccepted) return { type: 'resend' };
  return outcome.isGone
    ? { type: 'event', event: { type: 'memberStopped', member, checkpointMs: 0 } }
    : NOTHING;
};

/**
 * @param effect - the command that was sent
 * @param outcome - what became of it
 * @returns what the leader does; a lost start or stop is sent again, since both are idempotent
 */
export const readOutcome = (effect: MemberEffect, outcome: CommandOutcome): OutcomeReading => {
  const { member } = effect;
  const reason = outcome?.reason ?? 'the agent does not answer';
  if (effect.type === 'release') return NOTHING;
  if (effect.type === 'reserve') {
    return outcome?.isAccepted === true
      ? { type: 'event', event: { type: 'reserved', member } }
      : { type: 'event', event: { type: 'reserveRefused', member, reason } };
  }
  if (outcome === undefined) return { type: 'resend' };
  if (effect.type === 'stop') return afterStop(member, outcome);
  return outcome.isAccepted
    ? { type: 'event', event: { type: 'started', member } }
    : { type: 'event', event: { type: 'startRefused', member, reason } };
};

/**
 * @param runtime - the job as it is now
 * @param attempt - the attempt that the command was sent for
 * @param effect - the command
 * @returns whether the job still wants the command
 */
export const isStillWanted = (
  runtime: jobMachine.JobRuntime | undefined,
  attempt: number,
  effect: MemberEffect,
): boolean => {
  const phase = runtime?.members[effect.member];
  if (runtime === undefined || runtime.record.attempt !== attempt) return false;
  if (phase === undefined || phase === 'gone' || phase === 'done') return false;
  const isStopping = runtime.record.state === job.JobState.stopping;
  return effect.type === 'stop' ? isStopping : !isStopping;
};
