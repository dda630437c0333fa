/**
 * Measures the cost of a planning round by number of workers and queue length.
 */
import * as hdr from 'hdr-histogram-js';

import * as random from '../base/common/random.js';
import * as placement from '../coordination/common/placement.js';
import type * as planTypes from '../coordination/common/planTypes.js';
import type * as configuration from '../state/common/configuration.js';
import type * as job from '../state/common/job.js';

import type * as jobsReport from './jobsReport.js';

const PER_WORKER = 8;
const PER_RACK = 3;
const TEAMS = 52;
const ROUNDS = 150;
const WARM_UP = 40;
const MICROSECONDS_PER_MS = 1000;
const NOW_MS = 86_400_000;

const SIZES = [
  { workers: 28, queued: 1000 },
  { workers: 112, queued: 250 },
  { workers: 112, queued: 1000, barMs: 5 },
  { workers: 112, queued: 4000 },
  { workers: 335, queued: 1000 },
  { workers: 670, queued: 1000, barMs: 20 },
  { workers: 670, queued: 4000 },
] as const;

const documentOf = (workers: number): configuration.ConfigurationDocument => {
  const teams = Array.from({ length: TEAMS }, (_unused, index) => `team-${index}`);
  return {
    customers: teams.map((customerId) => ({
      customerId,
      name: customerId,
      requestWeight: 1,
      guaranteedSlots: 0,
      quotaAccelerators: 10_000,
    })),
    shapes: teams.map((customerId, index) => ({
      shapeId: `shape-${index}`,
      customerId,
      cell: 'cell',
      accelerators: index % 4 === 0 ? 2 * PER_WORKER : 4,
      adjacency: index % 4 === 0 ? ('rack' as const) : ('worker' as const),
      count: Math.max(1, Math.floor(workers / 112)),
    })),
    rules: [
      {
        ruleId: 'all',
        customerIds: teams,
        cells: [],
        weight: 1,
        maxAccelerators: 10_000,
        throttleFirst: false,
      },
    ],
    cells: [
      {
        cell: 'cell',
        region: 'region',
        workers,
        acceleratorsPerWorker: PER_WORKER,
        workersPerRack: PER_RACK,
      },
    ],
    placement: {
      completionWeight: 0.7,
      reclaimGraceMs: 1000,
      largeJobAccelerators: 16,
      largeJobWaitMs: 600_000,
      quarantineFailures: 3,
      quarantineCapShare: 0.25,
      unrunnableFailures: 3,
      taskLeaseMs: 15_000,
    },
    routing: {
      crossRegionPriceMs: 250,
      crossRegionMaxShare: 0.05,
      retryBudgetShare: 0.1,
      ejectionCapShare: 0.34,
      defaultDeadlineMs: 30_000,
    },
    objectives: [],
  };
};

const recordOf = (next: random.Random, index: number): job.JobRecord => {
  const isClaim = index % 100 === 7;
  const isLarge = !isClaim && index % 25 === 3;
  const team = random.integerBelow(next, TEAMS);
  const claimedTeam = team - (team % 4) + 1;
  const spec: job.JobSpec = {
    jobId: `job-${index}`,
    customerId: `team-${isClaim ? claimedTeam : team}`,
    kind: isLarge ? 'large' : 'small',
    cell: 'cell',
    claim: isClaim ? 'guaranteed' : 'spare',
    ...(isClaim ? { shapeId: `shape-${claimedTeam}` } : {}),
    members: isLarge ? 2 + random.integerBelow(next, 7) : 1,
    acceleratorsPerMember: isLarge ? PER_WORKER : 1 + random.integerBelow(next, 4),
    adjacency: isLarge ? 'zone' : 'worker',
    declaredRunMs: 60_000 + random.integerBelow(next, 3_600_000),
    isCheckpointable: next() < 0.7,
    payload: '',
  };
  return {
    spec,
    state: 'queued',
    submittedAtMs: NOW_MS - random.integerBelow(next, 3_600_000),
    attempt: 0,
    epoch: 1,
    placement: [],
    checkpointMs: 0,
    failures: [],
    decisions: [],
  };
};

/** Applies a plan to the jobs: starts placements, removes stopped jobs and ends a random share of the rest. */
const applyPlan = (
  view: planTypes.PlanView,
  plan: planTypes.Plan,
  next: random.Random,
  endShare: number,
): job.JobRecord[] => {
  const placed = new Map(plan.placements.map((it) => [it.jobId, it]));
  const stopped = new Set(plan.stops.map((it) => it.jobId));
  return view.jobs.flatMap((record) => {
    const planned = placed.get(record.spec.jobId);
    if (planned !== undefined) {
      const ruleId = planned.ruleId === undefined ? {} : { ruleId: planned.ruleId };
      return [
        {
          ...record,
          state: 'running' as const,
          attempt: record.attempt + 1,
          startedAtMs: view.nowMs,
          placement: [...planned.placement],
          ...ruleId,
        },
      ];
    }
    if (record.placement.length === 0) return [record];
    if (stopped.has(record.spec.jobId) || next() < endShare) return [];
    return [record];
  });
};

interface CostFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly meanMs: number;
  readonly placedMean: number;
}

const costOf = (workers: number, queued: number, clockMs: () => number): CostFigures => {
  const next = random.createRandom(workers * 10_000 + queued);
  const document = documentOf(workers);
  const planWorkers = Array.from({ length: workers }, (_unused, index) => ({
    workerId: `worker-${index}`,
    rack: `rack-${Math.floor(index / PER_RACK)}`,
    accelerators: PER_WORKER,
    health: 'ready' as const,
  }));
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  let jobs: job.JobRecord[] = [];
  let createdJobs = 0;
  let placed = 0;
  for (let round = 0; round < ROUNDS + WARM_UP; round += 1) {
    const waiting = jobs.filter((it) => it.state === 'queued').length;
    for (let at = waiting; at < queued; at += 1) {
      createdJobs += 1;
      jobs.push(recordOf(next, createdJobs));
    }
    const nowMs = NOW_MS + round * 1000;
    const sorted = [...jobs].sort((a, b) => a.submittedAtMs - b.submittedAtMs);
    const view: planTypes.PlanView = {
      nowMs,
      cell: 'cell',
      configVersion: 1,
      document,
      workers: planWorkers,
      jobs: sorted,
    };
    const startedMs = clockMs();
    const plan = placement.planRound(view);
    const tookMs = clockMs() - startedMs;
    if (round >= WARM_UP) {
      histogram.recordValue(Math.max(1, Math.round(tookMs * MICROSECONDS_PER_MS)));
      placed += plan.placements.length;
    }
    jobs = applyPlan(view, plan, next, 0.05);
  }
  return {
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    meanMs: histogram.mean / MICROSECONDS_PER_MS,
    placedMean: placed / ROUNDS,
  };
};

/**
 * @param clockMs - real time in milliseconds
 * @param print - called with each line of the results
 * @returns the cost limits of a round with the measured values
 */
export const measureCost = (
  clockMs: () => number,
  print: (line: string) => void,
): jobsReport.AcceptanceLimit[] => {
  const bars: jobsReport.AcceptanceLimit[] = [];
  const means = new Map<string, number>();
  print('cost of a planning round on a full cell');
  for (const size of SIZES) {
    const cost = costOf(size.workers, size.queued, clockMs);
    means.set(`${size.workers}/${size.queued}`, cost.meanMs);
    print(
      `${size.workers} workers, ${size.queued} queued: p50 ${cost.p50Ms.toFixed(2)} ms, ` +
        `p99 ${cost.p99Ms.toFixed(2)} ms, mean ${cost.meanMs.toFixed(2)} ms, ` +
        `${cost.placedMean.toFixed(0)} placed`,
    );
    if (!('barMs' in size)) continue;
    bars.push({
      name: `round p99 under ${size.barMs} ms, ${size.workers} workers, ${size.queued} queued`,
      measured: `${cost.p99Ms.toFixed(2)} ms`,
      isMet: cost.p99Ms < size.barMs,
    });
  }
  const slope = (from: string, to: string, by: number): string =>
    ((((means.get(to) ?? 0) - (means.get(from) ?? 0)) / by) * MICROSECONDS_PER_MS).toFixed(2);
  print(`slope: ${slope('112/1000', '670/1000', 558)} microseconds for each further worker`);
  print(`slope: ${slope('112/250', '112/4000', 3750)} microseconds for each further queued job`);
  print('');
  return bars;
};
