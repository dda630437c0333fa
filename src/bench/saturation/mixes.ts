/**
 * The loads of both users at their worst: kinds of jobs with the sizes and rates of their deployments.
 */

/** A kind of job. */
export interface JobKind {
  readonly name: string;
  /** 0 comes first. */
  readonly priority: number;
  /** What a job of mean work is worth to its caller in time, and what it is worth late. */
  readonly worth: number;
  readonly lateWorth: number;
  readonly stretch: number;
  readonly objectiveMs: number;
  readonly attempts: number;
  readonly jobsPerSecond: number;
  /** Chance of a second step that waits for the first. */
  readonly secondStepShare: number;
  readonly tasks: { readonly mean: number; readonly spread: number; readonly max: number };
  readonly workMs: { readonly mean: number; readonly spread: number; readonly max: number };
  readonly cpuMillicores: number;
  readonly memoryMb: number;
  /** Drawn evenly. */
  readonly accelerators: readonly number[];
  /** Share of steps of several tasks that are gangs, and of gangs that need one rack. */
  readonly gangShare: number;
  readonly sameRackShare: number;
  /** Wider steps, or tasks of more accelerators, are no gangs; absent where any may be one. */
  readonly gangLimit?: { readonly tasks: number; readonly accelerators: number };
  readonly checkpointShare: number;
  /** Share of the steps whose data lies on one rack; absent where none does. */
  readonly dataShare?: number;
  /** Chance that a sound task fails once. */
  readonly failShare: number;
  readonly cancelShare: number;
  /** Declared work is off by up to this factor, either way. */
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
  /** Share of the accelerators that is guaranteed to customers together. */
  readonly guaranteedShare: number;
  /** Longest work that is saved at a time. */
  readonly checkpointMs: number;
  /** How much longer a task takes away from its data or its rack. */
  readonly farFactor: number;
  readonly stopMs: number;
}

const MIXED_ACCELERATORS = [1, 2, 4, 8, 8];

const kamarvaki: Mix = {
  name: 'kamarvaki',
  workers: 11,
  rackSize: 3,
  capacity: { cpuMillicores: 64_000, memoryMb: 262_144, accelerators: 8 },
  customers: 4,
  guaranteedShare: 0.62,
  checkpointMs: 2000,
  farFactor: 3,
  stopMs: 300,
  kinds: [
    {
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
    },
    {
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
    },
    {
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
    },
  ],
};

const vanuaPaws: Mix = {
  ...kamarvaki,
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

/** The users' loads. */
export const MIXES: readonly Mix[] = [kamarvaki, vanuaPaws, fjordhavn];

/** Trouble that comes with a load. */
export interface Strain {
  readonly name: string;
  /** Rate against that of an ordinary day. */
  readonly load: number;
  /** Urgent work comes at this multiple for six seconds. */
  readonly urgentBurst: number;
  /** Share of the jobs of the second kind that can never be done. */
  readonly poisonShare: number;
  /** Share of the workers that turn slow for seven seconds, and how slow. */
  readonly slowShare: number;
  readonly slowFactor: number;
  /** Share of the workers that fail all they start for six seconds. */
  readonly failingShare: number;
  /** Times at which nothing is decided: nobody leads, or the store is away. */
  readonly gaps: readonly DecisionGap[];
}

/** A time at which nothing is decided. */
export interface DecisionGap {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Another leader follows, which knows of runs only what is stored. */
  readonly isTakeOver: boolean;
}

const CALM: Strain = {
  name: 'ordinary',
  load: 1,
  urgentBurst: 1,
  poisonShare: 0,
  slowShare: 0,
  slowFactor: 6,
  failingShare: 0,
  gaps: [],
};

/** One that was killed, whose term had to lapse, and a planned one. */
const LEADER_CHANGES: readonly DecisionGap[] = [
  { fromMs: 11_000, untilMs: 12_500, isTakeOver: true },
  { fromMs: 24_000, untilMs: 24_400, isTakeOver: true },
];

const STORE_AWAY: readonly DecisionGap[] = [{ fromMs: 10_000, untilMs: 14_500, isTakeOver: false }];

/** A worker that stands still does next to nothing. */
const STANDING_STILL = 1000;

/** The loads that are replayed. */
export const STRAINS: readonly Strain[] = [
  CALM,
  { ...CALM, name: 'urgent burst', load: 1, urgentBurst: 2.4 },
  { ...CALM, name: '1.5 times', load: 1.5, urgentBurst: 2.2 },
  { ...CALM, name: '2.5 times', load: 2.5 },
  { ...CALM, name: 'poison', load: 1.2, poisonShare: 0.1 },
  { ...CALM, name: 'slow workers', load: 1, urgentBurst: 2, slowShare: 0.17 },
  { ...CALM, name: 'failing workers', load: 1, urgentBurst: 2, failingShare: 0.09 },
  {
    ...CALM,
    name: 'workers standing still',
    urgentBurst: 2,
    slowShare: 0.1,
    slowFactor: STANDING_STILL,
  },
  { ...CALM, name: 'leader changes', urgentBurst: 2, gaps: LEADER_CHANGES },
  { ...CALM, name: 'store away', urgentBurst: 2, gaps: STORE_AWAY },
];
