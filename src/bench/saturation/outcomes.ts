/**
 * Value that callers gained from a load, as shares of the worth of their jobs: in total and by kind,
 * size and customer.
 */
import * as groupBy from '../../base/common/groupBy.js';
import * as statistics from '../../base/common/statistics.js';
import * as jobChain from '../../coordination/common/pool/jobChain.js';
import * as jobOutcome from '../../coordination/common/pool/jobOutcome.js';
import * as poolJob from '../../state/common/pool/poolJob.js';
import type * as mixes from './mixes.js';
import type * as poolReplay from './poolReplay.js';
import type * as workload from './workload.js';

/** Shares of the worth of jobs, 0 to 1. */
export interface Outcome {
  readonly served: number;
  /** `served` minus the cost of wasted work. */
  readonly net: number;
  readonly byKind: ReadonlyMap<string, number>;
  /** Share served of the largest tenth of the jobs of each kind. */
  readonly largest: number;
  readonly worstCustomer: number;
  /** Mean over the replays of the two worst arrival intervals of two seconds. */
  readonly worstSpans: number;
  readonly wastedShare: number;
}

/** Cost of a wasted core-second, in the unit of job worth. */
const WASTE_PER_CORE_SECOND = 0.0025;

/** A job's worth is its kind's times 0.3 + 0.7 * work / mean work of the kind, at most four times the kind's. */
const BASE_SHARE = 0.3;
const MAX_MULTIPLE = 4;

const LARGEST_SHARE = 0.1;
const SPAN_MS = 2000;

interface Credit {
  readonly job: poolReplay.ReplayedJob;
  readonly owed: number;
  readonly earned: number;
}

/**
 * @param arrival - a job
 * @param mix - the user's load
 * @returns its longest chain of work in waves, from the actual durations
 */
export const owedChainMs = (arrival: workload.Arrival, mix: mixes.Mix): number => {
  const slotsOf: jobChain.SlotsOf = (_, step) =>
    mix.workers * poolJob.countFittingTasks(mix.capacity, poolJob.consumedResources(step));
  const workOf: jobChain.WorkOf = (_, index) => Math.max(...(arrival.workMs[index] ?? []));
  return jobChain.longestChainInWavesMs(arrival.job, workOf, slotsOf);
};

const earnedShare = (job: poolReplay.ReplayedJob, mix: mixes.Mix): number => {
  const { kind, isPoison } = job.arrival;
  const isServed = job.state === 'complete' || (isPoison && job.state === 'failed');
  if (!isServed) return 0;
  const runs = isPoison ? kind.attempts : 1;
  const objectiveMs = kind.stretch * owedChainMs(job.arrival, mix) * runs + kind.objectiveMs;
  if (job.durationMs <= objectiveMs) return 1;
  return job.durationMs <= jobOutcome.LATE_MULTIPLE * objectiveMs ? kind.lateWorth / kind.worth : 0;
};

const shareOf = (credits: readonly Credit[]): number => {
  const owed = credits.reduce((sum, it) => sum + it.owed, 0);
  return owed === 0 ? 1 : credits.reduce((sum, it) => sum + it.earned, 0) / owed;
};

/**
 * @param mix - the user's load
 * @param arrivals - its jobs that are not cancelled
 * @returns the worth of each by job id
 */
export const owedOf = (
  mix: mixes.Mix,
  arrivals: readonly workload.Arrival[],
): ReadonlyMap<string, number> =>
  new Map(
    mix.kinds.flatMap((kind) => {
      const its = arrivals.filter((it) => it.kind === kind);
      const meanMs = its.reduce((sum, it) => sum + it.coreMs, 0) / Math.max(1, its.length);
      return its.map(({ job, coreMs }): [string, number] => {
        const size = BASE_SHARE + (1 - BASE_SHARE) * (coreMs / meanMs);
        return [job.jobId, kind.worth * Math.min(MAX_MULTIPLE, size)];
      });
    }),
  );

const creditsOf = (mix: mixes.Mix, { jobs }: poolReplay.ReplayResult): Credit[] => {
  const its = jobs.filter((it) => it.state !== 'cancelled');
  const owedByJob = owedOf(
    mix,
    its.map((it) => it.arrival),
  );
  return its.map((job) => {
    const owed = owedByJob.get(job.arrival.job.jobId) ?? 0;
    return { job, owed, earned: owed * earnedShare(job, mix) };
  });
};

const largestOf = (credits: readonly Credit[]): Credit[] =>
  [...groupBy.groupBy(credits, (it) => it.job.arrival.kind.name).values()].flatMap((its) =>
    [...its]
      .sort((a, b) => b.job.arrival.coreMs - a.job.arrival.coreMs)
      .slice(0, Math.ceil(its.length * LARGEST_SHARE)),
  );

const worstSpansOf = (credits: readonly Credit[]): number => {
  const spans = groupBy.groupBy(credits, (it) => String(Math.floor(it.job.arrival.atMs / SPAN_MS)));
  const [first = 1, second = 1] = [...spans.values()].map(shareOf).sort((a, b) => a - b);
  return (first + second) / 2;
};

/**
 * @param mix - the user's load
 * @param results - replays of the load
 * @returns the outcome over all replays
 */
export const outcomeOf = (mix: mixes.Mix, results: readonly poolReplay.ReplayResult[]): Outcome => {
  const each = results.map((it) => creditsOf(mix, it));
  const credits = each.flat();
  const owed = credits.reduce((sum, it) => sum + it.owed, 0);
  const wastedCoreMs = results.reduce((sum, it) => sum + it.wastedCoreMs, 0);
  const usedCoreMs = results.reduce((sum, it) => sum + it.usedCoreMs, 0);
  const served = shareOf(credits);
  const byKind = groupBy.groupBy(credits, (it) => it.job.arrival.kind.name);
  const byCustomer = groupBy.groupBy(credits, (it) => it.job.arrival.job.customerId);
  return {
    served,
    net: served - ((wastedCoreMs / 1000) * WASTE_PER_CORE_SECOND) / owed,
    byKind: new Map([...byKind].map(([kind, its]) => [kind, shareOf(its)])),
    largest: shareOf(largestOf(credits)),
    worstCustomer: Math.min(...[...byCustomer.values()].map(shareOf)),
    worstSpans: statistics.mean(each.map(worstSpansOf)),
    wastedShare: wastedCoreMs / Math.max(1, usedCoreMs),
  };
};
