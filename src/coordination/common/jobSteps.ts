/**
 * Steps that several job events share: ending a job, requeuing it, stopping it.
 */
import * as job from '../../state/common/job.js';

import * as failureAttribution from './failureAttribution.js';
import type * as jobTypes from './jobTypes.js';
import * as memberPhases from './memberPhases.js';

const { holds, indexesOf } = memberPhases;
type JobRuntime = jobTypes.JobRuntime;
type JobContext = jobTypes.JobContext;
type JobEffect = jobTypes.JobEffect;
type JobStep = jobTypes.JobStep;

/** No effects. */
export const NOTHING: readonly JobEffect[] = [];
/** The record is written with the next group commit. */
export const PERSIST: readonly JobEffect[] = [{ type: 'persist' }];

/**
 * @param record - a job
 * @param context - time and rules
 * @param what - name of the decision
 * @param why - reason, one sentence
 * @returns the job with the decision recorded
 */
export const recordDecision = (
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

const withoutPlacement = (record: job.JobRecord, state: job.JobState): job.JobRecord => {
  const { ruleId: _rule, stopCause: _cause, startedAtMs: _started, ...rest } = record;
  return { ...rest, state, placement: [] };
};

/**
 * @param record - a job that ends
 * @param state - its final state
 * @param context - time and rules
 * @param why - reason, one sentence
 * @returns the step that ends it and clears its placement
 */
export const ended = (
  record: job.JobRecord,
  state: job.JobState,
  context: JobContext,
  why: string,
): JobStep => {
  const { stopCause: _, ...rest } = record;
  const at = { ...rest, state, endedAtMs: context.nowMs, placement: [] };
  return {
    next: { record: recordDecision(at, context, state, why), members: [] },
    effects: PERSIST,
  };
};

const requeue = (record: job.JobRecord, context: JobContext, why: string): JobStep => ({
  next: {
    record: recordDecision(withoutPlacement(record, job.JobState.queued), context, 'requeued', why),
    members: [],
  },
  effects: PERSIST,
});

/**
 * Abandons a placement that was never committed: no member was started, so all are released.
 *
 * @param runtime - a job with no member beyond its reservation
 * @param context - time and rules
 * @param why - reason, one sentence
 * @returns the job back in the queue
 */
export const abandon = (runtime: JobRuntime, context: JobContext, why: string): JobStep => {
  const step = requeue(runtime.record, context, why);
  const held = indexesOf(runtime.members, holds);
  return { next: step.next, effects: held.map((member) => ({ type: 'release', member })) };
};

/** Next step once the last member of a stopping job has released its accelerators. */
const afterStop = (runtime: JobRuntime, context: JobContext): JobStep => {
  const { record } = runtime;
  const cause = record.stopCause ?? job.StopCause.memberLost;
  if (cause === job.StopCause.cancelled) {
    return ended(record, job.JobState.cancelled, context, 'cancelled on request');
  }
  const failedOn = failureAttribution.countHealthyWorkerFailures(record, context.badWorkerIds);
  if (cause === job.StopCause.memberFailed && failedOn >= context.unrunnableFailures) {
    const why = `failed on ${failedOn} different healthy workers`;
    return ended(record, job.JobState.unrunnable, context, why);
  }
  return requeue(record, context, `all members stopped after: ${cause}`);
};

/**
 * @param runtime - a job that is stopping
 * @param context - time and rules
 * @returns the next step; the same job, persisted, while a member may hold accelerators
 */
export const settleStopping = (runtime: JobRuntime, context: JobContext): JobStep =>
  runtime.members.some(holds) ? { next: runtime, effects: PERSIST } : afterStop(runtime, context);

/**
 * @param record - a job that is being stopped
 * @param reclaimGraceMs - configured grace period for a checkpoint
 * @returns the grace period of its members; 0 for a cancelled job, whose work is discarded
 */
export const graceMsOf = (record: job.JobRecord, reclaimGraceMs: number): number => {
  const isCancelled = record.stopCause === job.StopCause.cancelled;
  return record.spec.isCheckpointable && !isCancelled ? reclaimGraceMs : 0;
};

/**
 * Starts stopping every member that may still hold accelerators.
 *
 * @param runtime - a job whose placement was committed
 * @param context - time and rules
 * @param cause - determines the step after the stop
 * @param why - reason, one sentence
 * @returns the stopping job with a stop for each such member
 */
export const beginStop = (
  runtime: JobRuntime,
  context: JobContext,
  cause: job.StopCause,
  why: string,
): JobStep => {
  const record = recordDecision(
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
