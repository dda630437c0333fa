/**
 * Computes the cost of each role at a deployment size from measured slopes. The functions are pure,
 * so that a test can check the capacity page against the committed measurements.
 */
import type * as assumptions from './assumptions.js';
import type * as measurement from './measurement.js';
import * as slopes from './slopes.js';

/** Control-plane cost of one node of a role under ordinary load. */
export interface RoleCost {
  readonly messagesPerSecond: number;
  readonly cpuShare: number;
  readonly residentMib: number;
  readonly bytesPerSecond: number;
}

/** Load on the platform's store. */
export interface StoreLoad {
  readonly idleCallsPerSecond: number;
  readonly jobWritesPerSecond: number;
}

/** Cost for one node of events that affect all nodes or jobs concurrently. */
export interface BurstCost {
  readonly entryReregisterCpuMs: number;
  readonly leaderTakeOverCpuMs: number;
  readonly leaderTakeOverMs: number;
  readonly leaderRequeueCpuMs: number;
}

const MS_PER_SECOND = 1000;

/** One report in this many carries every task; the others carry only changes. */
const REPORTS_PER_FULL = 9;

/** Planning rounds per second that are triggered by the timer alone. */
const PERIODIC_ROUNDS_PER_SECOND = 0.5;
const SECONDS_A_DAY = 86_400;

const slopeOf = (measured: measurement.Measurements, name: string): slopes.Slope => {
  const slope = measured.slopes[name];
  if (slope === undefined) throw new Error(`not measured: ${name}`);
  return slope;
};

const read = (measured: measurement.Measurements, name: string, size: number): number =>
  slopes.valueAt(slopeOf(measured, name), size);

const figure = (measured: measurement.Measurements, name: string): number => {
  const value = measured.figures[name];
  if (value === undefined) throw new Error(`not measured: ${name}`);
  return value;
};

const perSecond = (periodMs: number): number => MS_PER_SECOND / periodMs;

/**
 * @param measured - the committed measurements
 * @param size - a deployment
 * @returns the control-plane cost of one agent
 */
export const agentCost = (
  measured: measurement.Measurements,
  size: assumptions.DeploymentSize,
): RoleCost => {
  const tasks = size.tasks / size.workers / REPORTS_PER_FULL;
  const reports = perSecond(size.reportMs);
  const registrations = perSecond(size.registerMs) * size.entriesPerAgent;
  const cpuMs =
    reports * read(measured, 'reportSenderCpuMs by tasks', tasks) +
    registrations * read(measured, 'registrationSenderCpuMs by agents', size.agents) +
    perSecond(size.lookMs) * figure(measured, 'agentLookCpuMs');
  return {
    messagesPerSecond: reports + registrations,
    cpuShare: cpuMs / MS_PER_SECOND,
    residentMib: figure(measured, 'agentResidentMib'),
    bytesPerSecond:
      reports * read(measured, 'reportBytes by tasks', tasks) +
      registrations * read(measured, 'registrationBytes by agents', size.agents),
  };
};

/**
 * @param measured - the committed measurements
 * @param size - a deployment
 * @returns the control-plane cost of a scheduler that leads one cell
 */
export const schedulerCost = (
  measured: measurement.Measurements,
  size: assumptions.DeploymentSize,
): RoleCost => {
  const workers = size.workers / size.cells;
  const tasks = size.tasks / size.workers / REPORTS_PER_FULL;
  const reports = workers * perSecond(size.reportMs);
  const jobs = size.jobsADay / size.cells / SECONDS_A_DAY;
  const rounds = PERIODIC_ROUNDS_PER_SECOND + jobs * figure(measured, 'planRoundsPerJob');
  const roundCpuMs = read(measured, 'planRoundCpuMs by jobs', size.queuedJobs / size.cells);
  const idleCalls = figure(measured, 'schedulerIdleStoreCallsPerSecond');
  const cpuMs =
    reports * read(measured, 'reportReceiverCpuMs by tasks', tasks) +
    rounds * roundCpuMs +
    jobs * read(measured, 'submitToRunningCpuMs by burst', 1) +
    figure(measured, 'schedulerIdleCpuMsPerSecond');
  return {
    messagesPerSecond: reports + jobs + idleCalls,
    cpuShare: cpuMs / MS_PER_SECOND,
    residentMib:
      read(measured, 'schedulerResidentMib by agents', workers) +
      slopeOf(measured, 'schedulerResidentMib by jobs').perUnit *
        ((size.queuedJobs + size.runningJobs) / size.cells),
    bytesPerSecond: reports * read(measured, 'reportBytes by tasks', tasks),
  };
};

/**
 * @param measured - the committed measurements
 * @param size - a deployment
 * @returns the control-plane cost of an entry; serving callers' requests is not counted
 */
export const entryCost = (
  measured: measurement.Measurements,
  size: assumptions.DeploymentSize,
): RoleCost => {
  const agentsHere = (size.agents * size.entriesPerAgent) / size.entries;
  const registrations = agentsHere * perSecond(size.registerMs);
  const cpuMs =
    registrations * read(measured, 'registrationReceiverCpuMs by agents', size.agents) +
    figure(measured, 'entryIdleCpuMsPerSecond');
  return {
    messagesPerSecond: registrations + figure(measured, 'entryIdleStoreCallsPerSecond'),
    cpuShare: cpuMs / MS_PER_SECOND,
    residentMib: read(measured, 'entryResidentMib by agents', agentsHere),
    bytesPerSecond: registrations * read(measured, 'registrationBytes by agents', size.agents),
  };
};

/**
 * @param measured - the committed measurements
 * @param size - a deployment
 * @returns the load on the platform's store
 */
export const storeLoad = (
  measured: measurement.Measurements,
  size: assumptions.DeploymentSize,
): StoreLoad => {
  const { points } = slopeOf(measured, 'storeWrites by burst');
  const writesPerJob = Math.max(...points.map((it) => it.value / it.size));
  return {
    idleCallsPerSecond:
      size.entries * figure(measured, 'entryIdleStoreCallsPerSecond') +
      size.schedulers * figure(measured, 'schedulerIdleStoreCallsPerSecond'),
    jobWritesPerSecond: (size.jobsADay / SECONDS_A_DAY) * writesPerJob,
  };
};

/**
 * @param measured - the committed measurements
 * @param size - a deployment
 * @returns the cost of re-registration, leader takeover and requeueing for the affected node
 */
export const burstCost = (
  measured: measurement.Measurements,
  size: assumptions.DeploymentSize,
): BurstCost => {
  const workers = size.workers / size.cells;
  const agentsHere = (size.agents * size.entriesPerAgent) / size.entries;
  const jobs = size.runningJobs / size.cells;
  const tasks = size.tasks / size.workers;
  return {
    entryReregisterCpuMs:
      agentsHere * read(measured, 'registrationReceiverCpuMs by agents', size.agents),
    leaderTakeOverCpuMs: workers * read(measured, 'reportReceiverCpuMs by tasks', tasks),
    leaderTakeOverMs: read(measured, 'takeOverAfterReleaseMs by workers', workers),
    leaderRequeueCpuMs: jobs * read(measured, 'submitToRunningCpuMs by burst', 1),
  };
};
