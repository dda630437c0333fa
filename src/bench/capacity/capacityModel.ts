/**
 * Works out what each role costs at a size, from measured slopes. Pure: the page is a function of
 * the committed measurements, and a test holds it to them.
 */
import type * as assumptions from './assumptions.js';
import type * as measurement from './measurement.js';
import * as slopes from './slopes.js';

/** What a node of a role spends for control on an ordinary day. */
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

/** What follows an event that hits everything at once, in processor time of one node. */
export interface BurstCost {
  readonly entryReregisterCpuMs: number;
  readonly leaderTakeOverCpuMs: number;
  readonly leaderTakeOverMs: number;
  readonly leaderRequeueCpuMs: number;
}

const MS_PER_SECOND = 1000;

/** Of so many reports in a row one carries every task, the others what has changed. */
const REPORTS_PER_FULL = 9;

/** Planning rounds a second that nothing but time triggers. */
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
 * @returns what one agent spends
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
 * @returns what a scheduler spends that leads one cell
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
 * @returns what an entry spends on control; callers' requests are its work and not counted here
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
 * @returns what the worst events cost the nodes that bear them
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
