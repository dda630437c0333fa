/**
 * Cells, workers and jobs for tests of planning.
 */
import type * as configuration from '../../../state/common/configuration.js';
import type * as job from '../../../state/common/job.js';
import type * as planTypes from '../planTypes.js';

/** Accelerators of every worker. */
export const PER_WORKER = 8;
/** Time of the round. */
export const NOW_MS = 100_000_000;

/** Shape by id, size, adjacency, count; `holder` holds it. */
export type ShapeOf = readonly [string, number, configuration.Adjacency, number];

/**
 * @param workers - workers of the cell
 * @param shapes - guaranteed shapes, held by `holder`
 * @param rest - changes to the placement policy
 * @returns a document with two customers that borrow with weights 3 and 1
 */
export const documentOf = (
  workers: number,
  shapes: readonly ShapeOf[] = [],
  rest: Partial<configuration.PlacementPolicy> = {},
): configuration.ConfigurationDocument => ({
  customers: ['holder', 'heavy', 'light'].map((customerId) => ({
    customerId,
    name: customerId,
    requestWeight: 1,
    guaranteedSlots: 0,
    quotaAccelerators: 1000,
  })),
  shapes: shapes.map(([shapeId, accelerators, adjacency, count]) => ({
    shapeId,
    customerId: 'holder',
    cell: 'cell',
    accelerators,
    adjacency,
    count,
  })),
  rules: [
    { ruleId: 'three', customerIds: ['heavy'], weight: 3 },
    { ruleId: 'one', customerIds: ['light'], weight: 1 },
  ].map((it) => ({ ...it, cells: [], maxAccelerators: 1000, throttleFirst: false })),
  cells: [
    { cell: 'cell', region: 'r', workers, acceleratorsPerWorker: PER_WORKER, workersPerRack: 3 },
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
    ...rest,
  },
  routing: {
    crossRegionPriceMs: 250,
    crossRegionMaxShare: 0.05,
    retryBudgetShare: 0.1,
    ejectionCapShare: 0.3,
    defaultDeadlineMs: 30_000,
  },
  objectives: [],
});

/**
 * @param count - how many
 * @returns ready workers `w0`, `w1` and so on, three to a rack
 */
export const workersOf = (count: number): planTypes.PlanWorker[] =>
  Array.from({ length: count }, (_unused, index) => ({
    workerId: `w${index}`,
    rack: `rack-${Math.floor(index / 3)}`,
    accelerators: PER_WORKER,
    health: 'ready' as const,
  }));

/**
 * @param jobId - its id
 * @param spec - changes to a spare job of `heavy` with one member of one accelerator
 * @param record - changes to a record that was just queued
 * @returns the record
 */
export const jobOf = (
  jobId: string,
  spec: Partial<job.JobSpec> = {},
  record: Partial<job.JobRecord> = {},
): job.JobRecord => ({
  spec: {
    jobId,
    customerId: 'heavy',
    kind: 'plan',
    cell: 'cell',
    claim: 'spare',
    members: 1,
    acceleratorsPerMember: 1,
    adjacency: 'worker',
    declaredRunMs: 60_000,
    isCheckpointable: true,
    payload: '',
    ...spec,
  },
  state: 'queued',
  submittedAtMs: NOW_MS,
  attempt: 0,
  epoch: 1,
  placement: [],
  checkpointMs: 0,
  failures: [],
  decisions: [],
  ...record,
});

/** Allocation of a member: worker index, first accelerator, count. */
export type Held = readonly [number, number, number];

/**
 * @param held - allocations of the members
 * @param startedMsAgo - time since the start
 * @returns fields of a running job's record
 */
export const running = (held: readonly Held[], startedMsAgo: number): Partial<job.JobRecord> => ({
  state: 'running',
  attempt: 1,
  ruleId: 'three',
  startedAtMs: NOW_MS - startedMsAgo,
  submittedAtMs: NOW_MS - startedMsAgo,
  placement: held.map(([worker, first, count], member) => ({
    member,
    workerId: `w${worker}`,
    accelerators: Array.from({ length: count }, (_unused, index) => first + index),
  })),
});

/**
 * @param document - the configuration
 * @param workers - the workers
 * @param jobs - all jobs
 * @param rest - further parts of the view
 * @returns the view
 */
export const viewOf = (
  document: configuration.ConfigurationDocument,
  workers: readonly planTypes.PlanWorker[],
  jobs: readonly job.JobRecord[],
  rest: Partial<planTypes.PlanView> = {},
): planTypes.PlanView => ({
  nowMs: NOW_MS,
  cell: 'cell',
  configVersion: 1,
  document,
  workers,
  jobs,
  ...rest,
});
