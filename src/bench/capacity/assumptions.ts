/**
 * What the capacity page works from besides measurements: sizes that the users give, settings that
 * are recommended at each size, and assumptions of the project, each marked as such.
 */

import * as workerRegistry from '../../coordination/common/workerRegistry.js';

/** Where a number comes from. */
export const Source = { given: 'given', setting: 'setting', assumed: 'assumed' } as const;

/** One of the values of {@link Source}. */
export type Source = (typeof Source)[keyof typeof Source];

/** One deployment size. */
export interface DeploymentSize {
  readonly workers: number;
  readonly agents: number;
  readonly regions: number;
  readonly cells: number;
  readonly entries: number;
  readonly schedulers: number;
  readonly tasks: number;
  readonly jobsADay: number;
  readonly queuedJobs: number;
  readonly runningJobs: number;
  readonly customers: number;
  /** Period of an agent's report to its leader, which the leader sets by its workers and lease. */
  readonly reportMs: number;
  /** Period of an agent's look at its worker. */
  readonly lookMs: number;
  /** Term of a task lease. */
  readonly taskLeaseMs: number;
  /** Period of an agent's registration. */
  readonly registerMs: number;
  /** Entries that one agent registers with in each period. */
  readonly entriesPerAgent: number;
}

/** Sizes of one of today's deployments. */
export const TODAY: DeploymentSize = {
  workers: 11,
  agents: 11,
  regions: 3,
  cells: 3,
  entries: 6,
  schedulers: 6,
  tasks: 88,
  jobsADay: 100,
  queuedJobs: 20,
  runningJobs: 20,
  customers: 4,
  reportMs: workerRegistry.reportPeriodMs(4, 15_000),
  lookMs: 1000,
  taskLeaseMs: 15_000,
  registerMs: 60_000,
  entriesPerAgent: 2,
};

/** The size that decides the design. */
export const TARGET: DeploymentSize = {
  workers: 670,
  agents: 736,
  regions: 2,
  cells: 6,
  entries: 12,
  schedulers: 12,
  tasks: 9300,
  jobsADay: 790,
  queuedJobs: 400,
  runningJobs: 264,
  customers: 52,
  reportMs: workerRegistry.reportPeriodMs(112, 60_000),
  lookMs: 1000,
  taskLeaseMs: 60_000,
  registerMs: 60_000,
  entriesPerAgent: 6,
};

/** Where the numbers of a size come from. */
export const SOURCES: Readonly<Record<keyof DeploymentSize, Source>> = {
  workers: 'given',
  agents: 'assumed',
  regions: 'given',
  cells: 'given',
  entries: 'assumed',
  schedulers: 'assumed',
  tasks: 'given',
  jobsADay: 'given',
  queuedJobs: 'assumed',
  runningJobs: 'assumed',
  customers: 'given',
  reportMs: 'setting',
  lookMs: 'setting',
  taskLeaseMs: 'setting',
  registerMs: 'setting',
  entriesPerAgent: 'setting',
};

/** What control may cost a node, as the users give it. */
export const BUDGET = {
  cpuShare: 0.017,
  residentMib: 256,
  bytesPerSecond: 23_000,
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2000,
  urgentStartMs: 3400,
  inForceMs: 18_000,
} as const;
