/**
 * The programs as separate processes, some of which are killed.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as http from '../../base/common/http.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as configurationStore from '../../coordination/node/configurationStore.js';
import * as memoryStore from '../../standins/memoryStore.js';
import * as memoryWorker from '../../standins/memoryWorker.js';
import * as storeServer from '../../standins/storeServer.js';
import * as upstream from '../../standins/upstream.js';
import * as until from '../../standins/test/until.js';
import * as workerServer from '../../standins/workerServer.js';
import type * as job from '../../state/common/job.js';
import * as httpClient from '../../transport/node/httpClient.js';

import * as childPrograms from './childPrograms.js';
import * as smallConfiguration from './smallConfiguration.js';

const LOOPBACK = { host: '127.0.0.1', port: 0 } as const;
const PEER_SECRET = 'a-secret-of-this-test-only';
const VMS = 3;
const JOB_RUN_MS = 6000;

const common = {
  region: 'region-a',
  zone: 'zone-a',
  peers: LOOPBACK,
  peerSecret: PEER_SECRET,
  logLevel: 'info',
  drainMs: 3000,
};

const gangOf = (jobId: string): job.JobSpec => ({
  jobId,
  customerId: 'customer-a',
  kind: 'plan',
  cell: 'zone-a',
  claim: 'spare',
  members: VMS,
  acceleratorsPerMember: 8,
  adjacency: 'zone',
  declaredRunMs: JOB_RUN_MS,
  isCheckpointable: true,
  payload: JSON.stringify({ runMs: JOB_RUN_MS }),
});

/**
 * An entry VM and the scheduler that leads the cell are lost simultaneously while a gang runs. Callers
 * reach the other entry through the balancer; the other scheduler takes over the cell. Users must see
 * requests still answered, and the gang must start once and end once.
 */
test.test('work continues when an entry and the leading scheduler are killed', async () => {
  const clock = systemClock.systemClock;
  const store = memoryStore.createMemoryStore(clock);
  const storeHttp = await storeServer.serveStore(store);
  const client = httpClient.createHttpClient({
    clock,
    maxConnections: 16,
    maxIdleMs: 20_000,
    maxReplyBytes: 1_048_576,
  });
  const programs = childPrograms.createChildPrograms();
  const workers: memoryWorker.MemoryWorker[] = [];
  const upstreams: upstream.Upstream[] = [];
  const servers = [storeHttp];
  const storeAccess = {
    storeUrl: http.formatAddress(storeHttp.address),
    storeTimeoutMs: 1000,
    leaseMs: 1500,
  };
  const send = async (url: string, method: string, path: string, body?: object) => {
    const reply = await client.call({
      address: http.parseAddress(url),
      method,
      path,
      headers: { 'content-type': 'application/json', 'auburnlift-customer': 'customer-a' },
      body: body === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(body)),
      timeoutMs: 5000,
    });
    const text = Buffer.from(reply.body).toString('utf8');
    return { status: reply.status, body: JSON.parse(text) as Record<string, unknown> };
  };
  try {
    await configurationStore.writeConfiguration(
      store,
      {
        baseVersion: 0,
        writeId: 'first',
        author: 'test',
        reason: 'first',
        document: smallConfiguration.smallConfiguration(VMS),
      },
      0,
    );
    const startEntry = (processId: string) =>
      programs.start('auburnliftEntry', {
        ...common,
        ...storeAccess,
        processId,
        callers: LOOPBACK,
        operators: LOOPBACK,
        operatorTokens: [],
        maxBodyBytes: 1_048_576,
        maxOpenRequests: 100,
      });
    const startScheduler = (processId: string) =>
      programs.start('auburnliftScheduler', { ...common, ...storeAccess, processId });
    const entries = await Promise.all([startEntry('entry-1'), startEntry('entry-2')]);
    const schedulers = new Map([
      ['scheduler-1', await startScheduler('scheduler-1')],
      ['scheduler-2', await startScheduler('scheduler-2')],
    ]);
    for (let index = 0; index < VMS; index += 1) {
      const worker = memoryWorker.createMemoryWorker(clock);
      const workerHttp = await workerServer.serveWorker(worker);
      workers.push(worker);
      servers.push(workerHttp);
      const agent = await programs.start('auburnliftAgent', {
        ...common,
        processId: `agent-${index}`,
        entryUrls: entries.map((it) => it.started.get('url')),
        worker: {
          workerId: `worker-${index}`,
          url: http.formatAddress(workerHttp.address),
          rack: 'rack-a',
          accelerators: 8,
          cores: 64,
          memoryBytes: 1_073_741_824,
        },
        reportMs: 300,
        maxQueued: 32,
        maxBodyBytes: 1_048_576,
      });
      upstreams.push(
        await upstream.startUpstream({
          upstreamId: `upstream-${index}`,
          slots: 8,
          connections: 64,
          agentUrl: agent.started.get('url') ?? '',
          serviceMs: 5,
          clock,
          call: client.call,
        }),
      );
    }
    const callersUrls = entries.map((it) => it.started.get('callersUrl') ?? '');
    const [first = '', second = ''] = callersUrls;
    const gang = gangOf('gang-1');
    const showState = async (url: string): Promise<unknown> => {
      const { body } = await send(url, 'GET', '/v1/jobs/zone-a/gang-1');
      return (body.job as { state?: unknown } | undefined)?.state;
    };
    await until.until(
      'a request answered by the first entry',
      async () => (await send(first, 'POST', '/call/plan', { n: 1 })).status === 200,
    );
    await until.until(
      'the gang accepted',
      async () => (await send(first, 'POST', '/v1/jobs', gang)).status === 201,
    );
    await until.until('the gang running', async () => (await showState(first)) === 'running');

    const leader = JSON.parse((await store.get('live/leaders/zone-a'))?.value ?? '{}') as {
      leaderId: string;
      epoch: number;
    };
    await Promise.all([entries[0].kill(), schedulers.get(leader.leaderId)?.kill()]);

    await until.until(
      'a request answered by the other entry',
      async () => (await send(second, 'POST', '/call/plan', { n: 2 })).status === 200,
    );
    await until.until('the gang done', async () => (await showState(second)) === 'done');
    const runs = workers.flatMap((it) => it.runs());
    assert.deepEqual(runs.map((it) => it.key).sort(), ['gang-1/1/0', 'gang-1/1/1', 'gang-1/1/2']);
    const after = JSON.parse((await store.get('live/leaders/zone-a'))?.value ?? '{}') as {
      leaderId: string;
      epoch: number;
    };
    assert.notEqual(after.leaderId, leader.leaderId);
    assert.ok(after.epoch > leader.epoch);
    assert.equal(await entries[1].terminate(), 0);
  } finally {
    await programs.dispose();
    for (const it of upstreams) await it.dispose();
    for (const it of workers) await it.dispose();
    for (const it of servers) await it.dispose();
    await client.dispose();
  }
});

const VALID_SCHEDULER = {
  ...common,
  processId: 'scheduler-1',
  storeUrl: 'http://127.0.0.1:1',
  storeTimeoutMs: 1000,
  leaseMs: 1500,
};

const REFUSED_SETTINGS = [
  {
    name: 'an unknown field',
    text: JSON.stringify({ ...VALID_SCHEDULER, colour: 'red' }, null, 2),
    says: /settings-\d+\.jsonc:\d+: colour: /,
  },
  {
    name: 'a missing field',
    text: JSON.stringify({ ...VALID_SCHEDULER, leaseMs: undefined }, null, 2),
    says: /settings-\d+\.jsonc:1: leaseMs: /,
  },
  {
    name: 'a wrong type',
    text: JSON.stringify({ ...VALID_SCHEDULER, drainMs: '3s' }, null, 2),
    says: /settings-\d+\.jsonc:10: drainMs: /,
  },
  {
    name: 'a value outside its limits',
    text: JSON.stringify({ ...VALID_SCHEDULER, leaseMs: 1 }, null, 2),
    says: /settings-\d+\.jsonc:\d+: leaseMs: .*500 to 600000/,
  },
  {
    name: 'broken JSON',
    text: '{\n  "processId": \n',
    says: /settings-\d+\.jsonc:\d+: not JSON with comments: /,
  },
  {
    name: 'a secret that is too short, without showing it',
    text: JSON.stringify({ ...VALID_SCHEDULER, peerSecret: 'hunter2' }, null, 2),
    says: /^(?!.*hunter2).*peerSecret: .*16 to 256/s,
  },
];

test.test('invalid settings are rejected at start, naming file, line and field', () => {
  const programs = childPrograms.createChildPrograms();
  for (const { name, text, says } of REFUSED_SETTINGS) {
    const { status, stderr } = programs.run('auburnliftScheduler', text);
    assert.match(stderr, says, name);
    assert.equal(status, 10, name);
  }
  return programs.dispose();
});
