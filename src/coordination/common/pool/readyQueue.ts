/**
 * What stands ready to start, with what a planning round wants to know of it.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as jobBook from './jobBook.js';
import * as jobChain from './jobChain.js';
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
}

/** A job still serves its caller in part up to this multiple of its objective. */
const LATE_MULTIPLE = 3;

const startAtMs = (unit: jobBook.ReadyUnit): number => {
  const { job } = unit.entry;
  return job.schedule === undefined ? job.acceptedAtMs : jobBook.dueAtMs(job, unit.occurrence);
};

/**
 * @returns a queue that has seen nothing yet
 */
export const createReadyQueue = (): ReadyQueue => {
  let readySinceMs = new Map<string, number>();

  const toPlanUnit = (
    unit: jobBook.ReadyUnit,
    nowMs: number,
    wallMs: number,
  ): planTypes.PlanUnit => {
    const { job } = unit.entry;
    const [first] = unit.tasks;
    const { stepKey, groupKey } = workerTable.keysOf(unit.entry, first as jobBook.TaskEntry);
    const ageMs = wallMs - startAtMs(unit);
    const objectiveMs = jobChain.objectiveMs(job);
    const chainMs = jobChain.longestChainMs(job);
    return {
      unit,
      groupKey,
      stepKey,
      priority: job.policy.priority,
      customerId: job.customerId,
      room: poolJob.roomOf(unit.step),
      latestStartMs: nowMs - ageMs + objectiveMs - chainMs,
      uselessAfterMs: nowMs - ageMs + LATE_MULTIPLE * objectiveMs - chainMs,
      waitedMs: nowMs - (readySinceMs.get(groupKey) ?? nowMs),
      expectedMs: unit.step.estimatedMs,
    };
  };

  return {
    units: (entries, nowMs, wallMs) => {
      const sinceMs = new Map<string, number>();
      const units: planTypes.PlanUnit[] = [];
      for (const entry of entries) {
        for (const ready of jobBook.readyUnits(entry)) {
          if (ready.tasks.some((task) => task.notBeforeMs > nowMs)) continue;
          const unit = toPlanUnit(ready, nowMs, wallMs);
          sinceMs.set(unit.groupKey, readySinceMs.get(unit.groupKey) ?? nowMs);
          units.push(unit);
        }
      }
      readySinceMs = sinceMs;
      return units;
    },
  };
};
