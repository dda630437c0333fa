/**
 * Sends a job's commands to its members' agents and dispatches the outcomes as job events.
 */
import type * as clock from '../../base/common/clock.js';
import * as disposable from '../../base/common/disposable.js';
import type * as job from '../../state/common/job.js';
import type * as task from '../../state/common/task.js';
import type * as jobStateMachine from '../common/jobStateMachine.js';
import * as memberOutcome from '../common/memberOutcome.js';

import type * as commandOutbox from './commandOutbox.js';

/** Options of {@link createMemberCommands}. */
export interface MemberCommandsOptions {
  readonly clock: clock.Clock;
  readonly outbox: commandOutbox.CommandOutbox;
  readonly agentUrlOf: (workerId: string) => string | undefined;
  readonly runtimeOf: (jobId: string) => jobStateMachine.JobRuntime | undefined;
  readonly dispatch: (jobId: string, event: jobStateMachine.JobEvent) => void;
}

/** Commands to the members of a cell's jobs. */
export interface MemberCommands extends disposable.Disposable {
  /** Sends a command to the member's agent; starts and stops are resent until acknowledged. */
  readonly send: (record: job.JobRecord, effect: memberOutcome.MemberEffect) => void;
  /** Stops a task that belongs to no active job. */
  readonly stopStray: (agentUrl: string, token: task.TaskToken) => void;
}

/** Delay before an unacknowledged start or stop is sent again. */
const RESEND_MS = 500;

/** Reservations outlive a slow commit; a start after they expire is rejected. */
const RESERVATION_LEASE_MS = 10_000;

const toCommand = (record: job.JobRecord, effect: memberOutcome.MemberEffect): task.TaskCommand => {
  const { spec, attempt, checkpointMs } = record;
  const token = { jobId: spec.jobId, attempt, member: effect.member };
  const accelerators = record.placement[effect.member]?.accelerators ?? [];
  switch (effect.type) {
    case 'reserve':
      return { type: 'reserve', token, accelerators, leaseMs: RESERVATION_LEASE_MS };
    case 'start':
      return { type: 'start', token, resumeFromMs: checkpointMs, payload: spec.payload };
    case 'stop':
      return { type: 'stop', token, graceMs: effect.graceMs };
    default:
      return { type: 'release', token };
  }
};

/**
 * @param options - options
 * @returns a sender without commands in flight
 */
export const createMemberCommands = (options: MemberCommandsOptions): MemberCommands => {
  const resendTimers = new Set<disposable.Disposable>();
  let isDisposed = false;

  const send = (record: job.JobRecord, effect: memberOutcome.MemberEffect): void => {
    const agentUrl = options.agentUrlOf(record.placement[effect.member]?.workerId ?? '');
    if (agentUrl === undefined) {
      onOutcome(record, effect, undefined);
      return;
    }
    options.outbox.enqueue(agentUrl, toCommand(record, effect), (outcome) =>
      onOutcome(record, effect, outcome),
    );
  };
  const onOutcome = (
    record: job.JobRecord,
    effect: memberOutcome.MemberEffect,
    outcome: memberOutcome.CommandOutcome,
  ): void => {
    const { jobId } = record.spec;
    if (isDisposed || options.runtimeOf(jobId)?.record.attempt !== record.attempt) return;
    const reading = memberOutcome.interpretOutcome(effect, outcome);
    if (reading.type === 'event') options.dispatch(jobId, reading.event);
    if (reading.type === 'resend') scheduleResend(record, effect);
  };
  const scheduleResend = (record: job.JobRecord, effect: memberOutcome.MemberEffect): void => {
    const timer = options.clock.after(RESEND_MS, () => {
      resendTimers.delete(timer);
      const runtime = options.runtimeOf(record.spec.jobId);
      if (memberOutcome.stillApplies(runtime, record.attempt, effect)) send(record, effect);
    });
    resendTimers.add(timer);
  };
  return {
    send,
    stopStray: (agentUrl, token) => {
      options.outbox.enqueue(agentUrl, { type: 'stop', token, graceMs: 0 }, () => undefined);
    },
    dispose: () => {
      isDisposed = true;
      for (const timer of resendTimers) void timer.dispose();
    },
  };
};
