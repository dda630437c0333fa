/**
 * The units that are ready to start, with the properties that a planning round needs.
 */
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as crashAttribution from './crashAttribution.js';
import type * as stragglers from './stragglers.js';
import * as runtimeEstimates from './runtimeEstimates.js';
import * as jobState from './jobState.js';
import * as jobChain from './jobChain.js';
import * as jobOutcome from './jobOutcome.js';
import type * as planTypes from './planTypes.js';
import * as workerTable from './workerTable.js';
import * as readyUnits from './readyUnits.js';

/** Tracks since when each unit has been ready. */
export interface ReadyQueue {
  /**
   * @param entries - the jobs
   * @param nowMs - the leader's clock
   * @param wallMs - Unix milliseconds now
   * @param slotsOf - the pool's slots
   * @param openStartsOf - starts of a step, by its key, that no worker has answered yet; none by default
   * @returns the units that may start now; of a large step only some, and the others once these have started
   */
  readonly units: (
    entries: Iterable<jobState.JobEntry>,
    nowMs: number,
    wallMs: number,
    slotsOf?: jobChain.SlotsOf,
    openStartsOf?: (stepKey: string) => number,
  ) => planTypes.PlanUnit[];
  /**
   * @param groups - stragglers
   * @param nowMs - the leader's clock
   * @param wallMs - Unix milliseconds now
   * @returns the groups as units that would start again now
   */
  readonly stragglerUnits: (
    groups: readonly stragglers.StragglerGroup[],
    nowMs: number,
    wallMs: number,
  ) => planTypes.StragglerUnit[];
}

interface JobTiming {
  readonly objectiveMs: number;
  readonly chainMs: number;
}

const timingOf = (
  job: poolJob.PoolJob,
  estimates: runtimeEstimates.RuntimeEstimates,
  slotsOf: jobChain.SlotsOf,
): JobTiming => {
  const { queue } = job.policy;
  const workOf: jobChain.WorkOf = (step) =>
    runtimeEstimates.expectedWorkMs(estimates, queue, step.estimatedMs);
  return {
    chainMs: jobChain.longestChainMs(job, workOf),
    objectiveMs: jobChain.objectiveMs(job, jobChain.longestChainInWavesMs(job, workOf, slotsOf)),
  };
};

/**
 * Starts of one step that are on their way at a time. All at once, those of a job of thousands of tasks kept the leader
 * longer than its lease, and the next leader began anew; urgent work that came meanwhile waited for all of them.
 */
export const MAX_OPEN_STARTS = 256;

const noOpenStarts = (): number => 0;

/**
 * @param estimates - runtime estimates of tasks
 * @returns a queue in which no unit has been ready yet
 */
export const createReadyQueue = (estimates: runtimeEstimates.RuntimeEstimates): ReadyQueue => {
  let readySinceMs = new Map<string, number>();

  const toPlanUnit = (
    unit: jobState.ReadyUnit,
    timing: JobTiming,
    nowMs: number,
    wallMs: number,
  ): planTypes.PlanUnit => {
    const { job } = unit.entry;
    const [first] = unit.tasks;
    const { stepKey, groupKey } = workerTable.keysOf(unit.entry, first as jobState.TaskEntry);
    const releaseMs = nowMs - wallMs + jobOutcome.releaseTimeMs(job, unit.occurrence);
    const { objectiveMs, chainMs } = timing;
    return {
      unit,
      groupKey,
      stepKey,
      priority: job.policy.priority,
      customerId: job.customerId,
      room: poolJob.consumedResources(unit.step),
      latestStartMs: releaseMs + objectiveMs - chainMs,
      latestUsefulStartMs: releaseMs + jobOutcome.LATE_MULTIPLE * objectiveMs - chainMs,
      releaseTimeMs: releaseMs,
      waitedMs: nowMs - (readySinceMs.get(groupKey) ?? nowMs),
      expectedMs: runtimeEstimates.expectedWorkMs(
        estimates,
        job.policy.queue,
        unit.step.estimatedMs,
      ),
      isIsolated: unit.tasks.some(crashAttribution.needsIsolation),
    };
  };

  return {
    stragglerUnits: (groups, nowMs, wallMs) =>
      groups.map(({ unit, workerIds }) => ({
        unit: toPlanUnit(
          unit,
          timingOf(unit.entry.job, estimates, jobChain.unlimitedSlots),
          nowMs,
          wallMs,
        ),
        workerIds,
      })),
    units: (
      entries,
      nowMs,
      wallMs,
      slotsOf = jobChain.unlimitedSlots,
      openStartsOf = noOpenStarts,
    ) => {
      const sinceMs = new Map<string, number>();
      const units: planTypes.PlanUnit[] = [];
      for (const entry of entries) {
        const ready = readyUnits.readyUnits(entry, {
          nowMs,
          maxTasksOf: (occurrence, stepIndex) =>
            MAX_OPEN_STARTS -
            openStartsOf(workerTable.stepKeyOf(entry.job.jobId, occurrence, stepIndex)),
        });
        if (ready.length === 0) continue;
        const timing = timingOf(entry.job, estimates, slotsOf);
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
