/**
 * Measures the cost of agents' registrations and reports for sender and receiver by the number of
 * agents and tasks, with the real entry and scheduler as child processes.
 */
import * as http from '../../base/common/http.js';
import type * as childPrograms from '../../programs/test/childPrograms.js';
import type * as job from '../../state/common/job.js';

import * as byteRelay from './byteRelay.js';
import * as fakeAgents from './fakeAgents.js';
import type * as measurement from './measurement.js';
import * as processUse from './processUse.js';
import type * as rigs from './rig.js';
import * as rig from './rig.js';

const SIZES = [10, 40, 160] as const;
const CALLS = 1600;

/** Calls before measuring: daemons run for days, so only the cost of compiled code matters. */
const WARM_UP_CALLS = 4000;
const CONCURRENCY = 8;
const RELAYED_CALLS = 40;
const BYTES_PER_MIB = 1_048_576;
const TASKS_PER_WORKER = [0, 4, 8] as const;
const TASK_WORKERS = 40;

interface Cost {
  readonly senderCpuMs: number;
  readonly receiverCpuMs: number;
}

const costOf = async (
  receiver: childPrograms.ChildProgram,
  calls: number,
  callOnce: (index: number) => Promise<unknown>,
): Promise<Cost> => {
  const receiverBefore = processUse.cpuMsOf(receiver.processId);
  const ownBefore = processUse.ownCpuMs();
  const callEvery = async (first: number): Promise<void> => {
    for (let index = first; index < calls; index += CONCURRENCY) await callOnce(index);
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, (_unused, first) => callEvery(first)));
  return {
    senderCpuMs: (processUse.ownCpuMs() - ownBefore) / calls,
    receiverCpuMs: (processUse.cpuMsOf(receiver.processId) - receiverBefore) / calls,
  };
};

const bytesOf = async (
  url: string,
  callOnce: (relayUrl: string, index: number) => Promise<unknown>,
): Promise<number> => {
  const relay = await byteRelay.startByteRelay(http.parseAddress(url));
  for (let index = 0; index < RELAYED_CALLS; index += 1) await callOnce(relay.url, index);
  const bytes = relay.bytes() / RELAYED_CALLS;
  relay.dispose();
  return bytes;
};

const urlOf = (program: childPrograms.ChildProgram): string => program.started.get('url') ?? '';

const agentAt = (agents: readonly fakeAgents.FakeAgent[], index: number): fakeAgents.FakeAgent =>
  agents[index % agents.length] as fakeAgents.FakeAgent;

const measureRegistrations = async (
  parts: rigs.Rig,
  agents: readonly fakeAgents.FakeAgent[],
  recorder: measurement.Recorder,
): Promise<void> => {
  const size = agents.length;
  const entry = await parts.startEntry(`entry-${size}`);
  const url = urlOf(entry);
  const register = (index: number): Promise<unknown> =>
    parts.clients.entry(url).register(agentAt(agents, index).registration());
  await costOf(entry, WARM_UP_CALLS, register);
  const cost = await costOf(entry, CALLS, register);
  recorder.point('registrationReceiverCpuMs by agents', size, cost.receiverCpuMs);
  recorder.point('registrationSenderCpuMs by agents', size, cost.senderCpuMs);
  const residentMib = processUse.residentBytesOf(entry.processId) / BYTES_PER_MIB;
  recorder.point('entryResidentMib by agents', size, residentMib);
  const bytes = await bytesOf(url, (relayUrl) =>
    parts.clients.entry(relayUrl).register(agentAt(agents, 0).registration()),
  );
  recorder.point('registrationBytes by agents', size, bytes);
  await entry.kill();
};

const reportTo =
  (parts: rigs.Rig, url: string, agents: readonly fakeAgents.FakeAgent[]) =>
  async (index: number): Promise<unknown> => {
    const agent = agentAt(agents, index);
    const reply = await parts.clients.scheduler(url).report(agent.report());
    agent.recordReply(reply);
    return reply;
  };

const startLeader = async (
  parts: rigs.Rig,
  processId: string,
  agents: readonly fakeAgents.FakeAgent[],
): Promise<childPrograms.ChildProgram> => {
  const scheduler = await parts.startScheduler(processId);
  const report = reportTo(parts, urlOf(scheduler), agents);
  await parts.until('the cell has a leader', async () => {
    await report(0);
    return true;
  });
  for (let index = 0; index < agents.length * 2; index += 1) await report(index);
  return scheduler;
};

const measureReports = async (
  parts: rigs.Rig,
  agents: readonly fakeAgents.FakeAgent[],
  recorder: measurement.Recorder,
): Promise<void> => {
  const size = agents.length;
  const scheduler = await startLeader(parts, `scheduler-${size}`, agents);
  const report = reportTo(parts, urlOf(scheduler), agents);
  await costOf(scheduler, WARM_UP_CALLS, report);
  const cost = await costOf(scheduler, CALLS, report);
  recorder.point('reportReceiverCpuMs by agents', size, cost.receiverCpuMs);
  recorder.point('reportSenderCpuMs by agents', size, cost.senderCpuMs);
  const residentMib = processUse.residentBytesOf(scheduler.processId) / BYTES_PER_MIB;
  recorder.point('schedulerResidentMib by agents', size, residentMib);
  await scheduler.terminate();
};

const jobOf = (index: number): job.JobSpec => ({
  jobId: `job-${index}`,
  customerId: 'customer-a',
  kind: 'plan',
  cell: 'zone-a',
  claim: 'spare',
  members: 1,
  acceleratorsPerMember: 1,
  adjacency: 'worker',
  declaredRunMs: 3_600_000,
  isCheckpointable: true,
  payload: '',
});

const storeWrites = (parts: rigs.Rig): number => parts.store.calls().cas ?? 0;

/** Number of planning rounds since the scheduler started, read from its metrics. */
const planRounds = async (parts: rigs.Rig, url: string): Promise<number> => {
  const reply = await parts.client.call({
    address: http.parseAddress(url),
    method: 'GET',
    path: '/metrics',
    headers: {},
    body: new Uint8Array(),
    timeoutMs: 5000,
  });
  const text = Buffer.from(reply.body).toString('utf8');
  return Number(/^auburnlift_plan_ms_count\{[^}]*\} (\d+)$/m.exec(text)?.[1] ?? 0);
};

/** Measures reports that carry tasks, and the cost of submissions, with running jobs. */
const measureTasks = async (recorder: measurement.Recorder): Promise<void> => {
  const parts = await rig.startRig(TASK_WORKERS);
  const agents = await fakeAgents.startFakeAgents(TASK_WORKERS, parts.peerSecret);
  const scheduler = await startLeader(parts, 'scheduler-tasks', agents);
  const url = urlOf(scheduler);
  const report = reportTo(parts, url, agents);
  const from = { processId: 'bench', role: 'entry', configVersion: 1 } as const;
  const submitRange = async (first: number, end: number): Promise<void> => {
    const indexes = Array.from({ length: end - first }, (_unused, index) => first + index);
    const submit = (index: number): Promise<unknown> =>
      parts.clients.scheduler(url).submit({ from, spec: jobOf(index) });
    await Promise.all(indexes.map(submit));
  };
  let submitted = 0;
  for (const tasks of TASKS_PER_WORKER) {
    const wanted = tasks * TASK_WORKERS;
    const writesBefore = storeWrites(parts);
    const cpuBefore = processUse.cpuMsOf(scheduler.processId);
    const added = wanted - submitted;
    await submitRange(submitted, wanted);
    submitted = wanted;
    const held = (): number => agents.reduce((sum, it) => sum + it.report().tasks.length, 0);
    await parts.until('agents hold all tasks', () => Promise.resolve(held() === wanted));
    if (added > 0) {
      const cpuMs = processUse.cpuMsOf(scheduler.processId) - cpuBefore;
      recorder.point('submitToRunningCpuMs by burst', added, cpuMs / added);
      recorder.point('storeWrites by burst', added, storeWrites(parts) - writesBefore);
    }
    await costOf(scheduler, WARM_UP_CALLS, report);
    const cost = await costOf(scheduler, CALLS / 2, report);
    recorder.point('reportReceiverCpuMs by tasks', tasks, cost.receiverCpuMs);
    recorder.point('reportSenderCpuMs by tasks', tasks, cost.senderCpuMs);
    const residentMib = processUse.residentBytesOf(scheduler.processId) / BYTES_PER_MIB;
    recorder.point('schedulerResidentMib by jobs', wanted, residentMib);
    const bytes = await bytesOf(url, (relayUrl, index) => reportTo(parts, relayUrl, agents)(index));
    recorder.point('reportBytes by tasks', tasks, bytes);
  }
  recorder.figure('planRoundsPerJob', (await planRounds(parts, url)) / submitted);
  for (const it of agents) await it.dispose();
  await parts.dispose();
};

/**
 * @param recorder - collects the measurements
 */
export const measureControl = async (recorder: measurement.Recorder): Promise<void> => {
  for (const size of SIZES) {
    const parts = await rig.startRig(size);
    const agents = await fakeAgents.startFakeAgents(size, parts.peerSecret);
    await measureRegistrations(parts, agents, recorder);
    await measureReports(parts, agents, recorder);
    for (const it of agents) await it.dispose();
    await parts.dispose();
  }
  await measureTasks(recorder);
};
