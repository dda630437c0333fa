/**
 * Measures the cost of a caller's request for the entry and the agent by request size, with the real
 * programs and a stand-in upstream.
 */
import * as http from '../../base/common/http.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as upstream from '../../standins/upstream.js';

import type * as measurement from './measurement.js';
import * as processUse from './processUse.js';
import * as rig from './rig.js';

const BODY_BYTES = [100, 8_000, 64_000] as const;
const REQUESTS = 1200;
const AT_ONCE = 8;
const TIMEOUT_MS = 10_000;

/**
 * @param recorder - collects the measurements
 */
export const measureRequests = async (recorder: measurement.Recorder): Promise<void> => {
  const parts = await rig.startRig(1);
  const entry = await parts.startEntry('entry-requests');
  const agent = await parts.startAgent('agent-requests', entry.started.get('url') ?? '');
  const instance = await upstream.startUpstream({
    upstreamId: 'upstream-requests',
    slots: AT_ONCE,
    connections: 64,
    agentUrl: agent.started.get('url') ?? '',
    serviceMs: 0,
    clock: systemClock.systemClock,
    call: parts.client.call,
  });
  const address = http.parseAddress(entry.started.get('callersUrl') ?? '');
  const send = async (body: Uint8Array): Promise<number> => {
    const reply = await parts.client.call({
      address,
      method: 'POST',
      path: '/call/plan',
      headers: { 'auburnlift-customer': 'customer-a', 'auburnlift-deadline-ms': '8000' },
      body,
      timeoutMs: TIMEOUT_MS,
    });
    return reply.status;
  };
  const lane = async (body: Uint8Array): Promise<void> => {
    for (let index = 0; index < REQUESTS / AT_ONCE; index += 1) await send(body);
  };
  const run = async (body: Uint8Array): Promise<void> => {
    await Promise.all(Array.from({ length: AT_ONCE }, () => lane(body)));
  };
  await parts.until('the first answer', async () => (await send(Buffer.from('x'))) === 200);
  await run(Buffer.from('x'));
  for (const size of BODY_BYTES) {
    const body = Buffer.alloc(size, 'x');
    const entryBefore = processUse.cpuMsOf(entry.processId);
    const agentBefore = processUse.cpuMsOf(agent.processId);
    await run(body);
    const entryCpuMs = (processUse.cpuMsOf(entry.processId) - entryBefore) / REQUESTS;
    const agentCpuMs = (processUse.cpuMsOf(agent.processId) - agentBefore) / REQUESTS;
    recorder.point('requestEntryCpuMs by bytes', size, entryCpuMs);
    recorder.point('requestAgentCpuMs by bytes', size, agentCpuMs);
  }
  await instance.dispose();
  await parts.dispose();
};
