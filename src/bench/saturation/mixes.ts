/**
 * The users' loads at their worst: kinds of jobs with the sizes and rates of their deployments.
 */
/** A kind of job. */
export interface JobKind {
  readonly name: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Value to the caller of a job of mean work that ends in time; `lateWorth` if it ends late. */
  readonly worth: number;
  readonly lateWorth: number;
  readonly stretch: number;
  readonly objectiveMs: number;
  readonly attempts: number;
  readonly jobsPerSecond: number;
  /** Probability of a second step that depends on the first. */
  readonly secondStepShare: number;
  readonly tasks: { readonly mean: number; readonly spread: number; readonly max: number };
  readonly workMs: { readonly mean: number; readonly spread: number; readonly max: number };
  readonly cpuMillicores: number;
  readonly memoryMb: number;
  /** Accelerators per task, drawn with uniform probability. */
  readonly accelerators: readonly number[];
  /** Share of multi-task steps that are gangs; `sameRackShare` of the gangs need a single rack. */
  readonly gangShare: number;
  readonly sameRackShare: number;
  /** Whether only gangs that a rack can hold need a single one. */
  readonly doesSameRackFit?: boolean;
  /** Steps with more tasks, or more accelerators per task, aren't gangs; absent if there is no limit. */
  readonly gangLimit?: { readonly tasks: number; readonly accelerators: number };
  readonly checkpointShare: number;
  /** Share of the steps whose data is local to one rack; absent if none. */
  readonly dataShare?: number;
  /** Probability that a unit of a job that isn't poison fails at the end of its work. */
  readonly failShare: number;
  readonly cancelShare: number;
  /** Estimated work is wrong by up to this factor in either direction. */
  readonly estimateFactor: number;
}

/** A user's load. */
export interface Mix {
  readonly name: string;
  readonly kinds: readonly JobKind[];
  readonly workers: number;
  readonly rackSize: number;
  readonly capacity: {
    readonly cpuMillicores: number;
    readonly memoryMb: number;
    readonly accelerators: number;
  };
  readonly customers: number;
  /** Share of the accelerators that is guaranteed to all customers together. */
  readonly guaranteedShare: number;
  /** Longest work between two checkpoints. */
  readonly checkpointMs: number;
  /** Slowdown of a task that is remote from its data or its rack. */
  readonly remoteFactor: number;
  readonly stopMs: number;
  /** Time to resume from a checkpoint. */
  readonly restoreMs: number;
}

const MIXED_ACCELERATORS = [1, 2, 4, 8, 8];

/** Gangs that may need whole workers. */
export const PLACEMENT_PLAN: JobKind = {
  name: 'placement-plan',
  priority: 1,
  worth: 3,
  lateWorth: 0.3,
  stretch: 3,
  objectiveMs: 1200,
  attempts: 3,
  jobsPerSecond: 0.356,
  secondStepShare: 0,
  tasks: { mean: 2, spread: 0.8, max: 9 },
  workMs: { mean: 9714, spread: 0.3, max: 15_700 },
  cpuMillicores: 26_000,
  memoryMb: 110_000,
  accelerators: MIXED_ACCELERATORS,
  gangShare: 0.5,
  sameRackShare: 0.6,
  checkpointShare: 0.45,
  failShare: 0.05,
  cancelShare: 0.05,
  estimateFactor: 1.2,
};

/** Urgent gangs. */
export const PUMP_ROUTE: JobKind = {
  name: 'pump-route',
  priority: 0,
  worth: 4,
  lateWorth: 0.8,
  stretch: 1.5,
  objectiveMs: 500,
  attempts: 2,
  jobsPerSecond: 0.262,
  secondStepShare: 0,
  tasks: { mean: 3.4, spread: 0.8, max: 21 },
  workMs: { mean: 3571, spread: 0.5, max: 11_400 },
  cpuMillicores: 7500,
  memoryMb: 39_000,
  accelerators: MIXED_ACCELERATORS,
  gangShare: 0.5,
  sameRackShare: 0.8,
  checkpointShare: 0,
  failShare: 0.005,
  cancelShare: 0,
  estimateFactor: 1.5,
};

/** Wide steps of small tasks. */
export const CREW_ROSTER: JobKind = {
  name: 'crew-roster',
  priority: 2,
  worth: 1,
  lateWorth: 0.1,
  stretch: 3,
  objectiveMs: 3000,
  attempts: 3,
  jobsPerSecond: 0.11,
  secondStepShare: 0.3,
  tasks: { mean: 9.2, spread: 0.8, max: 55 },
  workMs: { mean: 13_571, spread: 0.3, max: 15_700 },
  cpuMillicores: 5600,
  memoryMb: 23_000,
  accelerators: [1],
  gangShare: 0,
  sameRackShare: 0,
  checkpointShare: 0.45,
  failShare: 0.02,
  cancelShare: 0.15,
  estimateFactor: 1.5,
};

/** A pool of eleven workers. */
export const KAMARVAKI: Mix = {
  name: 'kamarvaki',
  workers: 11,
  rackSize: 3,
  capacity: { cpuMillicores: 64_000, memoryMb: 262_144, accelerators: 8 },
  customers: 4,
  guaranteedShare: 0.62,
  checkpointMs: 2000,
  remoteFactor: 3,
  stopMs: 300,
  restoreMs: 250,
  kinds: [PLACEMENT_PLAN, PUMP_ROUTE, CREW_ROSTER],
};

const vanuaPaws: Mix = {
  ...KAMARVAKI,
  name: 'vanua-paws',
  capacity: { cpuMillicores: 128_000, memoryMb: 524_288, accelerators: 8 },
  checkpointMs: 500,
  kinds: [
    {
      name: 'litter-match',
      priority: 1,
      worth: 3,
      lateWorth: 0.9,
      stretch: 3,
      objectiveMs: 1200,
      attempts: 4,
      jobsPerSecond: 0.319,
      secondStepShare: 0,
      tasks: { mean: 2, spread: 0.8, max: 9 },
      workMs: { mean: 12_143, spread: 0.3, max: 15_700 },
      cpuMillicores: 52_000,
      memoryMb: 270_000,
      accelerators: MIXED_ACCELERATORS,
      gangShare: 0.5,
      sameRackShare: 0.6,
      checkpointShare: 0.45,
      failShare: 0.005,
      cancelShare: 0.05,
      estimateFactor: 1.2,
    },
    {
      name: 'vet-booking',
      priority: 0,
      worth: 4,
      lateWorth: 0.8,
      stretch: 1.5,
      objectiveMs: 500,
      attempts: 3,
      jobsPerSecond: 0.417,
      secondStepShare: 0,
      tasks: { mean: 3, spread: 0.8, max: 18 },
      workMs: { mean: 3571, spread: 0.5, max: 11_400 },
      cpuMillicores: 15_000,
      memoryMb: 79_000,
      accelerators: MIXED_ACCELERATORS,
      gangShare: 0.5,
      sameRackShare: 0.8,
      checkpointShare: 0,
      failShare: 0.05,
      cancelShare: 0,
      estimateFactor: 1.2,
    },
    {
      name: 'weekly-plan',
      priority: 2,
      worth: 1,
      lateWorth: 0.3,
      stretch: 3,
      objectiveMs: 3000,
      attempts: 2,
      jobsPerSecond: 0.193,
      secondStepShare: 0.3,
      tasks: { mean: 9.2, spread: 0.8, max: 55 },
      workMs: { mean: 8714, spread: 0.3, max: 15_700 },
      cpuMillicores: 11_000,
      memoryMb: 59_000,
      accelerators: [1],
      gangShare: 0,
      sameRackShare: 0,
      checkpointShare: 0.45,
      failShare: 0.05,
      cancelShare: 0.15,
      estimateFactor: 1.9,
    },
  ],
};

const fjordhavn: Mix = {
  ...vanuaPaws,
  name: 'fjordhavn',
  checkpointMs: 2000,
  kinds: [
    {
      name: 'tank-reconcile',
      priority: 1,
      worth: 3,
      lateWorth: 1.5,
      stretch: 3,
      objectiveMs: 1200,
      attempts: 3,
      jobsPerSecond: 0.285,
      secondStepShare: 0,
      tasks: { mean: 1.8, spread: 0.8, max: 9 },
      workMs: { mean: 12_143, spread: 0.3, max: 15_700 },
      cpuMillicores: 52_000,
      memoryMb: 270_000,
      accelerators: MIXED_ACCELERATORS,
      gangShare: 0,
      sameRackShare: 0,
      checkpointShare: 0.45,
      dataShare: 0.3,
      failShare: 0.02,
      cancelShare: 0.05,
      estimateFactor: 4.7,
    },
    {
      name: 'berth-invoice',
      priority: 0,
      worth: 4,
      lateWorth: 0.8,
      stretch: 1.5,
      objectiveMs: 500,
      attempts: 4,
      jobsPerSecond: 0.262,
      secondStepShare: 0,
      tasks: { mean: 3.4, spread: 0.8, max: 21 },
      workMs: { mean: 3571, spread: 0.5, max: 11_400 },
      cpuMillicores: 15_000,
      memoryMb: 61_000,
      accelerators: MIXED_ACCELERATORS,
      gangShare: 1,
      sameRackShare: 0.8,
      gangLimit: { tasks: 4, accelerators: 4 },
      checkpointShare: 0,
      failShare: 0.02,
      cancelShare: 0,
      estimateFactor: 4.7,
    },
    {
      name: 'meter-rollup',
      priority: 2,
      worth: 1,
      lateWorth: 0.5,
      stretch: 3,
      objectiveMs: 3000,
      attempts: 3,
      jobsPerSecond: 0.11,
      secondStepShare: 0.3,
      tasks: { mean: 9.2, spread: 0.8, max: 55 },
      workMs: { mean: 13_571, spread: 0.3, max: 15_700 },
      cpuMillicores: 11_000,
      memoryMb: 59_000,
      accelerators: [1],
      gangShare: 0,
      sameRackShare: 0,
      checkpointShare: 0.45,
      dataShare: 0.12,
      failShare: 0.005,
      cancelShare: 0.15,
      estimateFactor: 2.4,
    },
  ],
};

/** The users' loads on a few workers. */
export const MIXES: readonly Mix[] = [KAMARVAKI, vanuaPaws, fjordhavn];

/** A scenario of overload or faults that is applied to a load. */
export interface Strain {
  readonly name: string;
  /** Arrival rate as a multiple of the ordinary rate. */
  readonly load: number;
  /** Urgent jobs arrive at this multiple of their rate for six seconds. */
  readonly urgentBurst: number;
  /** Share of the jobs of priority 2 that always fail. */
  readonly poisonShare: number;
  /** Jobs of priority 1 arrive at this multiple of their rate for four seconds of that; 1 if absent. */
  readonly gangBurst?: number;
  /** Share of the workers that shut down after a short notice; none if absent. */
  readonly takenShare?: number;
  /** Share of the workers that are slow for seven seconds; `slowFactor` is their slowdown. */
  readonly slowShare: number;
  readonly slowFactor: number;
  /** Times of a task on a worker relative to its work, one of which each worker has for good; 1 if absent. */
  readonly lastingFactors?: readonly number[];
  /** Share of the workers that fail all their tasks for six seconds. */
  readonly failingShare: number;
  /** Intervals without planning: there is no leader, or the store is unavailable. */
  readonly gaps: readonly DecisionGap[];
}

/** An interval without planning. */
export interface DecisionGap {
  readonly fromMs: number;
  readonly untilMs: number;
  /** A new leader follows, which knows only the stored state of runs. */
  readonly isTakeOver: boolean;
}

const ORDINARY: Strain = {
  name: 'ordinary',
  load: 1,
  urgentBurst: 1,
  poisonShare: 0,
  slowShare: 0,
  slowFactor: 6,
  failingShare: 0,
  gaps: [],
};

/** A killed leader, whose lease has to expire first, and a planned leader change. */
const LEADER_CHANGES: readonly DecisionGap[] = [
  { fromMs: 11_000, untilMs: 12_500, isTakeOver: true },
  { fromMs: 24_000, untilMs: 24_400, isTakeOver: true },
];

const STORE_OUTAGE: readonly DecisionGap[] = [
  { fromMs: 10_000, untilMs: 14_500, isTakeOver: false },
];

/** Slowdown of a stalled worker, which makes almost no progress. */
const STALLED_FACTOR = 1000;

/** The scenarios that are replayed. */
export const STRAINS: readonly Strain[] = [
  ORDINARY,
  { ...ORDINARY, name: 'urgent burst', load: 1, urgentBurst: 2.4 },
  { ...ORDINARY, name: '1.5 times', load: 1.5, urgentBurst: 2.2 },
  { ...ORDINARY, name: '2.5 times', load: 2.5 },
  { ...ORDINARY, name: 'poison', load: 1.2, poisonShare: 0.1 },
  { ...ORDINARY, name: 'slow workers', load: 1, urgentBurst: 2, slowShare: 0.17 },
  { ...ORDINARY, name: 'failing workers', load: 1, urgentBurst: 2, failingShare: 0.09 },
  {
    ...ORDINARY,
    name: 'workers standing still',
    urgentBurst: 2,
    slowShare: 0.1,
    slowFactor: STALLED_FACTOR,
  },
  { ...ORDINARY, name: 'leader changes', urgentBurst: 2, gaps: LEADER_CHANGES },
  { ...ORDINARY, name: 'store away', urgentBurst: 2, gaps: STORE_OUTAGE },
  {
    ...ORDINARY,
    name: 'bursts as workers leave',
    urgentBurst: 2.4,
    gangBurst: 2.8,
    takenShare: 0.15,
    failingShare: 0.08,
  },
  { ...ORDINARY, name: 'unequal workers', lastingFactors: [0.7, 0.7, 1.7] },
  {
    ...ORDINARY,
    name: 'urgent burst on unequal workers',
    urgentBurst: 2.4,
    lastingFactors: [0.7, 0.7, 1.7],
  },
];
