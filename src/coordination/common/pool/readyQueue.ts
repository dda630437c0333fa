/**
 * What stands ready to start, with what a planning round wants to know of it.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import type * as heldUpRuns from './heldUpRuns.js';
import * as jobBook from './jobBook.js';
import * as jobChain from './jobChain.js';
import * as jobOutcome from './jobOutcome.js';
import type * as planTypes from './planTypes.js';
import * as workerTable from './workerTable.js';

/** Remembers since when each unit has been ready. */
export interface ReadyQueue {
  /**
   * @param entries - the jobs
   * @param nowMs - the leader's clock
   * @param wallMs - Unix milliseconds now
   * @returns what may start now
   */
  readonly units: (
    entries: Iterable<jobBook.JobEntry>,
    nowMs: number,
    wallMs: number,
  ) => planTypes.PlanUnit[];
  /**
   * @param groups - running groups that are held up
   * @param nowMs - the leader's clock
   * @param wallMs - Unix milliseconds now
   * @returns the groups as they would be planned, were they to start again now
   */
  readonly heldUpUnits: (
    groups: readonly heldUpRuns.HeldUpGroup[],
    nowMs: number,
    wallMs: number,
  ) => planTypes.HeldUpUnit[];
}

interface JobTiming {
  readonly objectiveMs: number;
  readonly chainMs: number;
}

const timingOf = (job: poolJob.PoolJob): JobTiming => ({
  objectiveMs: jobChain.objectiveMs(job),
  chainMs: jobChain.longestChainMs(job),
});

const isDue = (unit: jobBook.ReadyUnit, nowMs: number): boolean =>
  unit.tasks.every((task) => task.notBeforeMs <= nowMs);

/**
 * @returns a queue that has seen nothing yet
 */
export const createReadyQueue = (): ReadyQueue => {
  let readySinceMs = new Map<string, number>();

  const toPlanUnit = (
    unit: jobBook.ReadyUnit,
    timing: JobTiming,
    nowMs: number,
    wallMs: number,
  ): planTypes.PlanUnit => {
    const { job } = unit.entry;
    const [first] = unit.tasks;
    const { stepKey, groupKey } = workerTable.keysOf(unit.entry, first as jobBook.TaskEntry);
    const startedAtMs = nowMs - wallMs + jobOutcome.countedFromMs(job, unit.occurrence);
    const { objectiveMs, chainMs } = timing;
    return {
      unit,
      groupKey,
      stepKey,
      priority: job.policy.priority,
      customerId: job.customerId,
      room: poolJob.roomOf(unit.step),
      latestStartMs: startedAtMs + objectiveMs - chainMs,
      uselessAfterMs: startedAtMs + jobOutcome.LATE_MULTIPLE * objectiveMs - chainMs,
      waitedMs: nowMs - (readySinceMs.get(groupKey) ?? nowMs),
      expectedMs: unit.step.estimatedMs,
    };
  };

  return {
    heldUpUnits: (groups, nowMs, wallMs) =>
      groups.map(({ unit, workerIds }) => ({
        unit: toPlanUnit(unit, timingOf(unit.entry.job), nowMs, wallMs),
        workerIds,
      })),
    units: (entries, nowMs, wallMs) => {
      const sinceMs = new Map<string, number>();
      const units: planTypes.PlanUnit[] = [];
      for (const entry of entries) {
        const ready = jobBook.readyUnits(entry).filter((it) => isDue(it, nowMs));
        if (ready.length === 0) continue;
        const timing = timingOf(entry.job);
        for (const it of ready) {
          const unit = toPlanUnit(it, timing, nowMs, wallMs);
          sinceMs.set(unit.groupKey, readySinceMs.get(unit.groupKey) ?? nowMs);
          units.push(unit);
        }
      }
      readySinceMs = sinceMs;
      return units;
    },
  };
};
