/**
 * Collects the figures of the jobs bench: completion by size class, waits, fragmentation,
 * utilisation, lost work, cost of decisions and violations of guarantees.
 */
import * as hdr from 'hdr-histogram-js';

import * as guaranteeCheck from '../coordination/common/guaranteeCheck.js';
import type * as planTypes from '../coordination/common/planTypes.js';
import type * as configuration from '../state/common/configuration.js';
import * as job from '../state/common/job.js';

/** Time within which a claim must start, including the grace period. */
export const CLAIM_START_MS = 3400;

const MICROSECONDS_PER_MS = 1000;

/** The size classes of the report. */
export const SIZE_CLASSES = ['small', 'medium', 'large', 'claim', 'all'] as const;

/** One of {@link SIZE_CLASSES}. */
export type SizeClass = (typeof SIZE_CLASSES)[number];

/** Figures of one planner on one workload over all cells. */
export interface Figures {
  readonly completion: ReadonlyMap<SizeClass, hdr.Histogram>;
  readonly planMicroseconds: hdr.Histogram;
  /** Time that each large job waits until its first start. */
  readonly largeWaitMs: Map<string, number>;
  /** Invalid placements by the planner. */
  readonly faults: string[];
  readonly counts: FigureCounts;
  readonly ended: (record: job.JobRecord, nowMs: number) => void;
  readonly unfinished: (record: job.JobRecord) => void;
  readonly started: (record: job.JobRecord, nowMs: number) => void;
  readonly stopped: () => void;
  readonly lost: (acceleratorMs: number) => void;
  readonly quarantined: (workerId: string, isBad: boolean) => void;
  readonly planTook: (durationMs: number) => void;
  readonly beforePlan: (view: planTypes.PlanView) => void;
  readonly checkPlan: (view: planTypes.PlanView, plan: planTypes.Plan) => void;
  readonly afterPlan: (
    nowMs: number,
    workers: readonly planTypes.PlanWorker[],
    jobs: readonly job.JobRecord[],
  ) => void;
  readonly advance: (fromMs: number, toMs: number) => void;
}

/** Counters and sums. */
export interface FigureCounts {
  unfinished: number;
  unrunnable: number;
  stops: number;
  lostAcceleratorMs: number;
  claims: number;
  violations: number;
  /** Late claims that waited while a worker wasn't ready, which is announced; not violations. */
  excused: number;
  quarantines: number;
  heldAcceleratorMs: number;
  capacityAcceleratorMs: number;
  freeAcceleratorMs: number;
  fragmentedAcceleratorMs: number;
}

const noCounts = (): FigureCounts => ({
  unfinished: 0,
  unrunnable: 0,
  stops: 0,
  lostAcceleratorMs: 0,
  claims: 0,
  violations: 0,
  excused: 0,
  quarantines: 0,
  heldAcceleratorMs: 0,
  capacityAcceleratorMs: 0,
  freeAcceleratorMs: 0,
  fragmentedAcceleratorMs: 0,
});

interface CellUse {
  readonly capacity: number;
  readonly held: number;
  readonly free: number;
  /** Free accelerators that can't be used for the largest shape because of fragmentation. */
  readonly broken: number;
}

/** Number of free accelerators that complete instances of the shape could use. */
const servable = (
  freeByRack: ReadonlyMap<string, readonly number[]>,
  accelerators: number,
  perWorker: number,
): number => {
  const { wholes, remainder } = guaranteeCheck.canonicalForm(accelerators, perWorker);
  let sum = 0;
  for (const rack of freeByRack.values()) {
    if (wholes === 0) {
      sum += rack.reduce((all, free) => all + Math.floor(free / remainder) * remainder, 0);
      continue;
    }
    const whole = rack.filter((free) => free === perWorker).length;
    const instances = Math.floor(whole / (wholes + Number(remainder > 0)));
    sum += instances * accelerators;
  }
  return sum;
};

const useOf = (
  workers: readonly planTypes.PlanWorker[],
  jobs: readonly job.JobRecord[],
  largest: number,
  perWorker: number,
): CellUse => {
  const heldBy = new Map<string, number>();
  for (const { placement } of jobs) {
    for (const { workerId, accelerators } of placement) {
      heldBy.set(workerId, (heldBy.get(workerId) ?? 0) + accelerators.length);
    }
  }
  const freeByRack = new Map<string, number[]>();
  let [capacity, held, free] = [0, 0, 0];
  for (const it of workers) {
    if (it.health !== 'ready') continue;
    const used = heldBy.get(it.workerId) ?? 0;
    capacity += it.accelerators;
    held += used;
    free += it.accelerators - used;
    freeByRack.set(it.rack, [...(freeByRack.get(it.rack) ?? []), it.accelerators - used]);
  }
  if (largest === 0) return { capacity, held, free: 0, broken: 0 };
  return { capacity, held, free, broken: free - servable(freeByRack, largest, perWorker) };
};

const createHistogram = (): hdr.Histogram =>
  hdr.build({ highestTrackableValue: 400_000_000, numberOfSignificantValueDigits: 3 });

const classOf = (record: job.JobRecord): SizeClass => record.spec.kind as SizeClass;

/** Reports accelerators that would be allocated to two jobs concurrently. */
const doubleBooked = (view: planTypes.PlanView, plan: planTypes.Plan): string[] => {
  const held = new Set<string>();
  const faults: string[] = [];
  const hold = (jobId: string, placement: readonly job.MemberPlacement[]): void => {
    for (const { workerId, accelerators } of placement) {
      for (const index of accelerators) {
        const key = `${workerId}/${index}`;
        if (held.has(key)) faults.push(`${jobId} is given ${key}, which is held`);
        held.add(key);
      }
    }
  };
  view.jobs.forEach((it) => hold(it.spec.jobId, it.placement));
  plan.placements.forEach((it) => hold(it.jobId, it.placement));
  return faults;
};

/**
 * @param document - configuration of the deployment; the largest shape of each cell measures its fragmentation
 * @returns empty figures
 */
export const createFigures = (document: configuration.ConfigurationDocument): Figures => {
  const completion = new Map(SIZE_CLASSES.map((it) => [it, createHistogram()]));
  const planMicroseconds = createHistogram();
  const counts = noCounts();
  const largeWaitMs = new Map<string, number>();
  const eligibleAtMs = new Map<string, number>();
  const excused = new Set<string>();
  const faults: string[] = [];
  let use: CellUse = { capacity: 0, held: 0, free: 0, broken: 0 };
  let cell = '';
  const perWorker = (): number =>
    document.cells.find((it) => it.cell === cell)?.acceleratorsPerWorker ?? 8;
  /** Accelerators of the largest shape of a cell; 0 excludes cells without shapes from fragmentation. */
  const largestShape = (): number =>
    Math.max(0, ...document.shapes.filter((it) => it.cell === cell).map((it) => it.accelerators));
  const recordEligible = (view: planTypes.PlanView): void => {
    const claims = guaranteeCheck.countClaims(view.jobs);
    for (const record of view.jobs) {
      const { jobId, claim, shapeId } = record.spec;
      if (claim !== 'guaranteed' || record.state !== job.JobState.queued) continue;
      const count = document.shapes.find((it) => it.shapeId === shapeId)?.count ?? 0;
      const claimed = claims.get(shapeId ?? '') ?? 0;
      if (claimed >= count) continue;
      claims.set(shapeId ?? '', claimed + 1);
      if (!eligibleAtMs.has(jobId)) eligibleAtMs.set(jobId, view.nowMs);
    }
  };
  return {
    completion,
    planMicroseconds,
    largeWaitMs,
    faults,
    counts,
    ended: (record, nowMs) => {
      if (record.state !== job.JobState.done) {
        counts.unrunnable += 1;
        return;
      }
      const seconds = Math.round((nowMs - record.submittedAtMs) / 1000);
      completion.get(classOf(record))?.recordValue(seconds);
      completion.get('all')?.recordValue(seconds);
    },
    unfinished: () => {
      counts.unfinished += 1;
    },
    started: (record, nowMs) => {
      const { jobId, claim } = record.spec;
      if (record.spec.kind === 'large' && !largeWaitMs.has(jobId)) {
        largeWaitMs.set(jobId, nowMs - record.submittedAtMs);
      }
      if (claim !== 'guaranteed' || record.attempt > 0) return;
      counts.claims += 1;
      const lateMs = nowMs - (eligibleAtMs.get(jobId) ?? nowMs);
      if (lateMs <= CLAIM_START_MS) return;
      if (excused.has(jobId)) counts.excused += 1;
      else counts.violations += 1;
    },
    stopped: () => {
      counts.stops += 1;
    },
    lost: (acceleratorMs) => {
      counts.lostAcceleratorMs += acceleratorMs;
    },
    quarantined: (_workerId, isBad) => {
      if (isBad) counts.quarantines += 1;
    },
    planTook: (durationMs) => {
      planMicroseconds.recordValue(Math.round(durationMs * MICROSECONDS_PER_MS));
    },
    beforePlan: (view) => {
      cell = view.cell;
      recordEligible(view);
    },
    checkPlan: (view, plan) => {
      faults.push(...doubleBooked(view, plan));
      const isAnnounced = view.workers.some((it) => it.health !== 'ready');
      if (isAnnounced) eligibleAtMs.forEach((_at, jobId) => excused.add(jobId));
    },
    afterPlan: (_nowMs, workers, jobs) => {
      use = useOf(workers, jobs, largestShape(), perWorker());
    },
    advance: (fromMs, toMs) => {
      const spanMs = toMs - fromMs;
      counts.capacityAcceleratorMs += use.capacity * spanMs;
      counts.heldAcceleratorMs += use.held * spanMs;
      counts.freeAcceleratorMs += use.free * spanMs;
      counts.fragmentedAcceleratorMs += use.broken * spanMs;
    },
  };
};
