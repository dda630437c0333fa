/**
 * What must never be in the small world of `takeOverModel`, and which of its states are the same.
 */
import * as job from '../../../state/common/job.js';
import * as task from '../../../state/common/task.js';
import * as roster from '../workerRoster.js';

import * as model from './takeOverModel.js';
import type * as scenarios from './takeOverScenario.js';

const forgetBefore = (atMs: number, limitMs: number): number =>
  atMs > limitMs ? atMs : Number.NEGATIVE_INFINITY;

/** What lies too far back to decide anything is the same as never. */
const settledEntry = (it: roster.RosterEntry, nowMs: number): roster.RosterEntry => ({
  ...it,
  leaseUntilMs: forgetBefore(it.leaseUntilMs, nowMs),
  confirmedAtMs: forgetBefore(it.confirmedAtMs, nowMs - model.LEASE_MS),
});

const keyOfEntry = (it: roster.RosterEntry, index: number, leader: number): string => {
  const isWorker = index < 2;
  // The second leader holds the store's lease throughout, so confirmations decide nothing for it.
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
    forgetBefore(it.bootedAtMs, nowMs - roster.votingDelayMs(model.LEASE_MS)),
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
 * @param world - a state
 * @returns a text that is the same for states that differ in nothing that decides
 */
export const keyOf = (world: model.World): string =>
  [
    world.nowMs,
    keyOfRecord(world.stored),
    world.writerEpoch,
    ...world.leaders.map((it, at) => keyOfLeader(it, world.nowMs, at)),
    ...world.agents.map((it, at) => keyOfAgent(it, world.nowMs, at)),
    world.commands
      .map(
        (it) =>
          `${it.leader}${it.agent}${it.boot}${it.attempt}${it.effect.type}${it.effect.member}`,
      )
      .sort()
      .join(),
    world.isCancelled,
    world.restarts,
    world.violation,
  ].join('|');

/**
 * @param world - now
 * @returns what is broken, or an empty text
 */
export const violationOf = (world: model.World): string => {
  if (world.violation !== '') return world.violation;
  const running = world.agents.flatMap((it) => it.running);
  if (new Set(running.map((it) => it.token.attempt)).size > 1) return 'two attempts run at once';
  if (new Set(running.map((it) => it.token.member)).size < running.length) {
    return 'a member runs twice';
  }
  if (world.agents.some((it) => it.running.length > 1)) return 'an accelerator is booked twice';
  const writer = world.leaders[world.writerEpoch - 1];
  const ended = [world.stored, ...(writer?.isActive === true ? [writer.runtime.record] : [])];
  const isEnded = ended.some((it) => job.isTerminal(it.state));
  if (isEnded && running.length > 0) return 'an ended job runs';
  const isPart = world.leaders.some(
    ({ runtime }) =>
      runtime.record.state === job.JobState.running && runtime.members.some((it) => it === 'gone'),
  );
  return isPart ? 'a gang runs in part' : '';
};

/**
 * Where the first placement was committed at the beginning and only one attempt follows it, two
 * attempts can meet only as long as the first still runs or holds a reservation.
 *
 * @param world - now
 * @param scenario - bounds
 * @returns whether nothing that is looked for can happen any more
 */
export const isSettled = (world: model.World, scenario: scenarios.Scenario): boolean => {
  if (!scenario.isCommitted) return false;
  const isFirst = (token: task.TaskToken): boolean => token.attempt === 1;
  return !world.agents.some(
    (agent) =>
      agent.running.some((it) => isFirst(it.token)) ||
      [...agent.tasks.held.values()].some((it) => isFirst(it.token) && it.phase === 'reserved'),
  );
};
