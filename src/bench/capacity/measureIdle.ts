/**
 * Measures the cost of each program when idle: processor time, memory and store calls.
 */
import * as http from '../../base/common/http.js';
import * as systemClock from '../../base/node/systemClock.js';
import type * as childPrograms from '../../programs/test/childPrograms.js';
import * as memoryWorker from '../../standins/memoryWorker.js';
import * as workerServer from '../../standins/workerServer.js';

import type * as measurement from './measurement.js';
import * as processUse from './processUse.js';
import type * as rigs from './rig.js';
import * as rig from './rig.js';

const IDLE_MS = 12_000;

/** The first seconds go to loading and compiling and don't represent the idle cost. */
const SETTLE_MS = 16_000;
const MS_PER_SECOND = 1000;
const BYTES_PER_MIB = 1_048_576;

interface Idle {
  readonly cpuMsPerSecond: number;
  readonly storeCallsPerSecond: number;
}

const callsOf = (parts: rigs.Rig): number =>
  Object.values(parts.store.calls()).reduce((sum, it) => sum + it, 0);

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const measureIdleUse = async (
  parts: rigs.Rig,
  program: childPrograms.ChildProgram,
): Promise<Idle> => {
  await sleep(SETTLE_MS);
  const callsBefore = callsOf(parts);
  const cpuBefore = processUse.cpuMsOf(program.processId);
  await sleep(IDLE_MS);
  const cpuMs = processUse.cpuMsOf(program.processId) - cpuBefore;
  return {
    cpuMsPerSecond: (cpuMs / IDLE_MS) * MS_PER_SECOND,
    storeCallsPerSecond: ((callsOf(parts) - callsBefore) / IDLE_MS) * MS_PER_SECOND,
  };
};

const measureEntry = async (recorder: measurement.Recorder): Promise<void> => {
  const parts = await rig.startRig(1);
  const idle = await measureIdleUse(parts, await parts.startEntry('entry-idle'));
  recorder.figure('entryIdleStoreCallsPerSecond', idle.storeCallsPerSecond);
  recorder.figure('entryIdleCpuMsPerSecond', idle.cpuMsPerSecond);
  await parts.dispose();
};

const measureScheduler = async (recorder: measurement.Recorder): Promise<void> => {
  const parts = await rig.startRig(1);
  const idle = await measureIdleUse(parts, await parts.startScheduler('scheduler-idle'));
  recorder.figure('schedulerIdleStoreCallsPerSecond', idle.storeCallsPerSecond);
  recorder.figure('schedulerIdleCpuMsPerSecond', idle.cpuMsPerSecond);
  await parts.dispose();
};

const measureAgent = async (recorder: measurement.Recorder): Promise<void> => {
  const parts = await rig.startRig(1);
  const entry = await parts.startEntry('entry-of-agent');
  const worker = memoryWorker.createMemoryWorker(systemClock.systemClock);
  const workerHttp = await workerServer.serveWorker(worker);
  const entryUrl = entry.started.get('url') ?? '';
  const workerUrl = http.formatAddress(workerHttp.address);
  const agent = await parts.startAgent('agent-idle', entryUrl, workerUrl);
  const idle = await measureIdleUse(parts, agent);
  const pollsPerSecond = MS_PER_SECOND / rig.WORKER_POLL_MS;
  recorder.figure('agentLookCpuMs', idle.cpuMsPerSecond / pollsPerSecond);
  const residentMib = processUse.residentBytesOf(agent.processId) / BYTES_PER_MIB;
  recorder.figure('agentResidentMib', residentMib);
  await parts.dispose();
  await workerHttp.dispose();
  await worker.dispose();
};

/**
 * @param recorder - collects the measurements
 */
export const measureIdle = async (recorder: measurement.Recorder): Promise<void> => {
  await Promise.all([measureEntry(recorder), measureScheduler(recorder), measureAgent(recorder)]);
};
