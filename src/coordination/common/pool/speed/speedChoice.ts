/**
 * Which workers a unit uses, by their speed.
 *
 * Urgent work is owed in little more than the time that it takes on a worker of mean speed. On a slow one it is late from
 * its start, and a gang is as slow as its slowest member. So urgent work goes to fast workers first, work with slack to
 * those that are slow and still in time for it, and gangs to workers of like speed. Work with slack also goes to workers
 * of unknown speed first, which shows how fast they are.
 */
import type * as planTypes from '../planTypes.js';

/** Decisions of one round that rest on the workers' speeds. */
export interface SpeedChoice {
  /** @returns preferred workers of a unit, most preferred ones first; empty where all workers are equally fast */
  readonly tiersOf: (unit: planTypes.PlanUnit) => readonly planTypes.Preference[];
  /** @returns whether its job is in time if the unit starts there now */
  readonly isInTime: (placement: planTypes.Placement) => boolean;
  /** @returns latest start of a unit on the placement's workers with which its job is in time */
  readonly latestStartMs: (placement: planTypes.Placement) => number;
  /** @returns latest start of a unit on any worker with which its job is in time */
  readonly latestStartAnywhereMs: (unit: planTypes.PlanUnit) => number;
  /** @returns the groups with only the sound workers on which the unit is in time; undefined where all are fast enough */
  readonly inTimeGroups: (
    unit: planTypes.PlanUnit,
    groups: planTypes.CandidateGroups,
  ) => planTypes.CandidateGroups | undefined;
}

/** Runs of work with slack take up to this much longer than expected on a slow worker that still counts as in time. */
const SLACK_MARGIN = 1.2;

/**
 * @param unit - a unit
 * @param speedFactor - factor of the slowest worker that it would use
 * @returns latest start with which its job is in time
 */
const latestStartWith = (unit: planTypes.PlanUnit, speedFactor: number): number =>
  unit.latestStartMs - (speedFactor - 1) * unit.expectedMs;

const isFast: planTypes.Preference = ({ speedFactor }) => speedFactor < 1;

/**
 * @param placement - a placement
 * @returns factor of its slowest worker, at whose speed a gang goes
 */
export const slowestFactor = ({ workers }: planTypes.Placement): number =>
  Math.max(...workers.map(({ speedFactor }) => speedFactor));

/**
 * @param workers - workers of a round
 * @param nowMs - the leader's clock
 * @returns the choice for this round
 */
export const createSpeedChoice = (
  workers: readonly planTypes.PlanWorker[],
  nowMs: number,
): SpeedChoice => {
  const fastest = Math.min(1, ...workers.map(({ speedFactor }) => speedFactor));
  const areEqual = workers.every(({ speedFactor }) => speedFactor === 1);
  const latestStartMs = (placement: planTypes.Placement): number =>
    latestStartWith(placement.unit, slowestFactor(placement));

  return {
    tiersOf: (unit) => {
      if (areEqual) return [];
      const margin = unit.priority === 0 ? 1 : SLACK_MARGIN;
      const isInTime: planTypes.Preference = ({ speedFactor }) =>
        nowMs <= latestStartWith(unit, speedFactor * margin);
      const isFastAndInTime: planTypes.Preference = (worker) => isFast(worker) && isInTime(worker);
      if (unit.priority === 0) return [isFastAndInTime, isInTime, isFast];
      return [
        (worker) => !isFast(worker) && isInTime(worker),
        isFastAndInTime,
        isInTime,
        (worker) => !isFast(worker),
      ];
    },
    isInTime: (placement) => nowMs <= latestStartMs(placement),
    latestStartMs,
    latestStartAnywhereMs: (unit) => latestStartWith(unit, fastest),
    inTimeGroups: (unit, groups) => {
      if (areEqual) return undefined;
      const isInTime: planTypes.Preference = ({ speedFactor }) =>
        nowMs <= latestStartWith(unit, speedFactor);
      if (groups.every((its) => its.every(isInTime))) return undefined;
      return groups
        .map((its) => its.filter((worker) => isInTime(worker) && !worker.isDoubtful))
        .filter((its) => its.length > 0);
    },
  };
};
