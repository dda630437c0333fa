/**
 * Invariants of the leadership model, and the keys that identify equivalent states.
 */
import * as job from '../../../state/common/job.js';
import * as task from '../../../state/common/task.js';
import * as workerRegistry from '../workerRegistry.js';

import * as model from './leadershipModel.js';
import type * as scenarios from './leadershipScenario.js';

const forgetBefore = (atMs: number, limitMs: number): number =>
  atMs > limitMs ? atMs : Number.NEGATIVE_INFINITY;

/** Times too far in the past to affect a decision are equivalent to never. */
const settledEntry = (
  it: workerRegistry.RegisteredWorker,
  nowMs: number,
): workerRegistry.RegisteredWorker => ({
  ...it,
  leaseUntilMs: forgetBefore(it.leaseUntilMs, nowMs),
  confirmedAtMs: forgetBefore(it.confirmedAtMs, nowMs - model.LEASE_MS),
});

const keyOfEntry = (it: workerRegistry.RegisteredWorker, index: number, leader: number): string => {
  const isWorker = index < 2;
  // The second leader always holds the store's lease, so confirmations do not affect it.
  const confirmedAtMs = leader === 0 ? it.confirmedAtMs : 0;
  const leaseUntilMs = isWorker && (leader === 1 || index === 0) ? it.leaseUntilMs : 0;
  return `${it.isFenced ? it.bootId : '-'},${leaseUntilMs},${confirmedAtMs},${it.commandCount}`;
};

const keyOfRecord = (it: job.JobRecord): string =>
  `${it.state} ${it.attempt} ${it.epoch} ${it.stopCause ?? ''} ${it.placement.map((p) => p.workerId).join()}`;

const keyOfLeader = (it: model.Leader, nowMs: number, leader: number): string =>
  it.isActive
    ? [
        keyOfRecord(it.runtime.record),
        it.runtime.members.join(),
        it.isCommitting,
        it.majorityFencedAtMs,
        ...it.entries.map((entry, at) => keyOfEntry(settledEntry(entry, nowMs), at, leader)),
      ].join(';')
    : 'off';

const keyOfAgent = (it: model.Agent, nowMs: number, index: number): string =>
  [
    it.boot,
    forgetBefore(it.bootedAtMs, nowMs - workerRegistry.votingDelayMs(model.LEASE_MS)),
    it.tasks.acceptedEpoch,
    it.highestEpoch,
    index < 2 ? forgetBefore(it.leaseUntilMs, nowMs) : 0,
    it.tasks.acceptedEpoch === 1
      ? forgetBefore(it.stampMs ?? Number.NEGATIVE_INFINITY, nowMs - model.LEASE_MS)
      : 0,
    it.commandCount,
    [...it.tasks.held].map(([key, held]) => `${key}${held.phase}${held.reservedUntilMs}`).join(),
    [...it.tasks.stopped.keys()].join(),
    it.running.map((run) => `${task.tokenKey(run.token)}<${run.untilMs}`).join(),
  ].join(';');

/**
 * @param state - a state
 * @returns a key that is equal for states without a difference that affects decisions
 */
export const keyOf = (state: model.ModelState): string =>
  [
    state.nowMs,
    keyOfRecord(state.stored),
    state.writerEpoch,
    ...state.leaders.map((it, at) => keyOfLeader(it, state.nowMs, at)),
    ...state.agents.map((it, at) => keyOfAgent(it, state.nowMs, at)),
    state.commands
      .map(
        (it) =>
          `${it.leader}${it.agent}${it.boot}${it.attempt}${it.effect.type}${it.effect.member}`,
      )
      .sort()
      .join(),
    state.isCancelled,
    state.restarts,
    state.violation,
  ].join('|');

/**
 * @param state - the current state
 * @returns the violated invariant, or an empty text
 */
export const violationOf = (state: model.ModelState): string => {
  if (state.violation !== '') return state.violation;
  const running = state.agents.flatMap((it) => it.running);
  if (new Set(running.map((it) => it.token.attempt)).size > 1) return 'two attempts overlap';
  if (new Set(running.map((it) => it.token.member)).size < running.length) {
    return 'a member runs twice';
  }
  if (state.agents.some((it) => it.running.length > 1)) return 'an accelerator is allocated twice';
  const writer = state.leaders[state.writerEpoch - 1];
  const ended = [state.stored, ...(writer?.isActive === true ? [writer.runtime.record] : [])];
  const isEnded = ended.some((it) => job.isTerminal(it.state));
  if (isEnded && running.length > 0) return 'an ended job runs';
  const isIncomplete = state.leaders.some(
    ({ runtime }) =>
      runtime.record.state === job.JobState.running && runtime.members.some((it) => it === 'gone'),
  );
  return isIncomplete ? 'a running gang is incomplete' : '';
};

/**
 * Where the first placement is committed initially and only one attempt follows it, two attempts
 * can overlap only while the first still runs or has a reservation.
 *
 * @param state - the current state
 * @param scenario - bounds
 * @returns whether no violation can occur any more
 */
export const isSettled = (state: model.ModelState, scenario: scenarios.Scenario): boolean => {
  if (!scenario.isCommitted) return false;
  const isFirst = (token: task.TaskToken): boolean => token.attempt === 1;
  return !state.agents.some(
    (agent) =>
      agent.running.some((it) => isFirst(it.token)) ||
      [...agent.tasks.held.values()].some((it) => isFirst(it.token) && it.phase === 'reserved'),
  );
};
