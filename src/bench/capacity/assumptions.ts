/**
 * Inputs of the capacity page other than measurements: deployment sizes given by the users,
 * recommended settings for each size, and assumptions of the project. {@link SOURCES} names the origin of each.
 */

import * as workerRegistry from '../../coordination/common/workerRegistry.js';

/** Origin of an input value. */
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
  /** Period of an agent's reports; the leader sets it from its number of workers and the lease duration. */
  readonly reportMs: number;
  /** Period at which an agent polls its worker. */
  readonly lookMs: number;
  /** Duration of a task lease. */
  readonly taskLeaseMs: number;
  /** Period at which an agent registers with entries. */
  readonly registerMs: number;
  /** Number of entries that an agent registers with in each period. */
  readonly entriesPerAgent: number;
}

/** A deployment of the present size. */
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

/** The target size that the design must support. */
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

/** Origin of each value of a {@link DeploymentSize}. */
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

/** Limits set by the users on the cost of the control plane for each node. */
export const BUDGET = {
  cpuShare: 0.017,
  residentMib: 256,
  bytesPerSecond: 23_000,
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2000,
  urgentStartMs: 3400,
  inForceMs: 18_000,
} as const;
