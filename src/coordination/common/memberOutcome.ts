/** Maps the outcome of a command to the leader's action. Pure, like the mapping of reports. */
import * as job from '../../state/common/job.js';

import type * as jobStateMachine from './jobStateMachine.js';

/** An effect that sends a command to the agent of one member. */
export type MemberEffect = Exclude<jobStateMachine.JobEffect, { type: 'persist' | 'commit' }>;

/** Outcome of a command; undefined where there was no answer. */
export type CommandOutcome =
  | {
      readonly isAccepted: boolean;
      /** Nothing runs under the token, and nothing ever will. */
      readonly isGone: boolean;
      readonly reason: string;
    }
  | undefined;

/** Action of the leader on an outcome. */
export type OutcomeAction =
  | { readonly type: 'nothing' }
  | { readonly type: 'resend' }
  | { readonly type: 'event'; readonly event: jobStateMachine.JobEvent };

const NOTHING: OutcomeAction = { type: 'nothing' };

/** The answer ends a member that never ran; one that runs ends when its agent reports it. */
const afterStop = (member: number, outcome: Exclude<CommandOutcome, undefined>): OutcomeAction => {
  if (!outcome.isAccepted) return { type: 'resend' };
  return outcome.isGone
    ? { type: 'event', event: { type: 'memberStopped', member, checkpointMs: 0 } }
    : NOTHING;
};

/**
 * @param effect - the command that was sent
 * @param outcome - its outcome
 * @returns the leader's action; an unanswered start or stop is resent, as both are idempotent
 */
export const interpretOutcome = (effect: MemberEffect, outcome: CommandOutcome): OutcomeAction => {
  const { member } = effect;
  const reason = outcome?.reason ?? 'no response from the agent';
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
 * @param runtime - the current state of the job
 * @param attempt - the attempt that the command was sent for
 * @param effect - the command
 * @returns whether the command still applies to the job
 */
export const stillApplies = (
  runtime: jobStateMachine.JobRuntime | undefined,
  attempt: number,
  effect: MemberEffect,
): boolean => {
  const phase = runtime?.members[effect.member];
  if (runtime === undefined || runtime.record.attempt !== attempt) return false;
  if (phase === undefined || phase === 'gone' || phase === 'done') return false;
  const isStopping = runtime.record.state === job.JobState.stopping;
  return effect.type === 'stop' ? isStopping : !isStopping;
};
