/**
 * The pool programs as separate processes, against stand-ins of the platform that implement its API.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as systemClock from '../../base/node/systemClock.js';
import * as bootFile from '../../platform/test/bootFile.js';
import * as storeServer from '../../platform/test/storeServer.js';
import * as workerServer from '../../platform/test/workerServer.js';
import * as memoryPoolWorker from '../../standins/memoryPoolWorker.js';
import * as memoryStore from '../../standins/memoryStore.js';
import * as portBlock from '../../standins/test/portBlock.js';
import * as until from '../../standins/test/until.js';

const BIN = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../bin');
const ID = '5c0e7a21d94b36f8';

/** Distance between the ports of two programs. */
const PORTS_PER_PROGRAM = 12;

interface Answer {
  readonly status: number;
  readonly body: string;
}

const ask = (port: number, method: string, target: string, body = ''): Promise<Answer> =>
  new Promise((resolve, reject) => {
    const request = http.request({
      host: '127.0.0.1',
      port,
      method,
      path: target,
      agent: false,
      headers: bootFile.API_KEY_HEADERS,
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () => {
        resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8') });
      });
    });
    request.end(body);
  });

interface PoolHarness {
  readonly store: memoryStore.MemoryStore;
  readonly worker: memoryPoolWorker.MemoryPoolWorker;
  readonly frontPort: number;
  readonly readyPort: number;
  readonly start: (program: string, env: Record<string, string>) => childProcess.ChildProcess;
  readonly startScheduler: (nodeId: string) => Promise<childProcess.ChildProcess>;
  readonly entry: childProcess.ChildProcess;
  readonly dispose: () => Promise<void>;
}

const createPoolHarness = async (workMs: number): Promise<PoolHarness> => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'auburnlift-pool-'));
  const children: childProcess.ChildProcess[] = [];
  const ports = await portBlock.reservePorts(process.pid);
  let taken = 0;
  const takePort = (): number => {
    taken += 1;
    return ports.firstPort + taken * PORTS_PER_PROGRAM;
  };
  const store = memoryStore.createMemoryStore(systemClock.systemClock);
  await store.transact({ conditions: [], puts: [bootFile.CONFIGURATION], removes: [] });
  const served = await storeServer.serveStore(store);
  const storeAddress = storeServer.formatServerAddress(served);
  const worker = memoryPoolWorker.createMemoryPoolWorker(
    {
      clock: systemClock.systemClock,
      info: {
        workerId: 'i-1',
        incarnationMs: 1,
        service: 'service',
        zone: 'zone',
        state: 'ready',
        capacity: { cpuMillicores: 8000, memoryMb: 8000, accelerators: 8 },
        labels: ['a', 'r1'],
      },
      workMs: () => workMs,
      gangOf: () => 1,
      maxLeaseMs: 6000,
      gangMs: 3000,
    },
    memoryPoolWorker.createGangRegistry(),
  );
  const start = (program: string, env: Record<string, string>): childProcess.ChildProcess => {
    const child = childProcess.spawn(process.execPath, [path.join(BIN, `${program}.js`)], {
      env: { ...process.env, ...env },
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    children.push(child);
    return child;
  };
  const control = takePort();
  const workerSide = await workerServer.serveWorker(worker, control);
  const [frontPort, readyPort] = [takePort(), takePort()];
  const agentEnv = bootFile.writeBootFile(folder, {
    nodeId: 'side-1',
    peerPort: takePort(),
    storeAddress,
    control,
    workerAddress: storeServer.formatServerAddress(workerSide.server),
  });
  start('poolAgent', agentEnv);
  const entryEnv = bootFile.writeBootFile(folder, {
    nodeId: 'edge-1',
    peerPort: takePort(),
    storeAddress,
    front: frontPort,
    ready: readyPort,
  });
  const entry = start('poolEntry', entryEnv);
  const startScheduler = async (nodeId: string): Promise<childProcess.ChildProcess> => {
    const peerPort = takePort();
    return start(
      'poolScheduler',
      bootFile.writeBootFile(folder, { nodeId, peerPort, storeAddress }),
    );
  };
  await until.until(
    'the entry is ready',
    async () => (await ask(readyPort, 'GET', '/-/ready')).status === 200,
  );
  return {
    store,
    worker,
    frontPort,
    readyPort,
    start,
    startScheduler,
    entry,
    dispose: async () => {
      for (const child of children) child.kill('SIGKILL');
      worker.dispose();
      await workerSide.dispose();
      await served.dispose();
      await ports.dispose();
      fs.rmSync(folder, { recursive: true, force: true });
    },
  };
};

const JOB = JSON.stringify({ spec: 'text', steps: [{ count: 2, gpu: 1, est_ms: 500 }] });

const stateOf = async (harness: PoolHarness, id = ID): Promise<string> => {
  const { body } = await ask(harness.frontPort, 'GET', `/q/${id}`);
  return (JSON.parse(body) as { state?: string }).state ?? body;
};

const exitOf = (child: childProcess.ChildProcess): Promise<number | null> =>
  new Promise((resolve) => {
    if (child.exitCode !== null) resolve(child.exitCode);
    else child.once('exit', resolve);
  });

test.describe('the pool programs', () => {
  test.it('accept a job, run it and report its state', async () => {
    const harness = await createPoolHarness(300);
    try {
      await harness.startScheduler('edge-1');
      assert.equal((await ask(harness.frontPort, 'POST', `/q/${ID}`, JOB)).status, 200);
      await until.until('the job is complete', async () => (await stateOf(harness)) === 'complete');
      assert.deepEqual(
        harness.worker.runs.map((it) => [it.how, it.payload]),
        [
          ['done', 'text'],
          ['done', 'text'],
        ],
      );
      assert.equal((await ask(harness.frontPort, 'GET', '/q/0000000000000000')).status, 410);
      assert.equal((await ask(harness.frontPort, 'GET', '/other/')).status, 404);
    } finally {
      await harness.dispose();
    }
  });

  // The leader is killed while tasks run: they continue, and the other scheduler records their ends.
  test.it('continue after the leader was killed', async () => {
    const harness = await createPoolHarness(4000);
    try {
      const first = await harness.startScheduler('edge-1');
      assert.equal((await ask(harness.frontPort, 'POST', `/q/${ID}`, JOB)).status, 200);
      await until.until('the tasks run', () => Promise.resolve(harness.worker.runs.length === 2));
      await harness.startScheduler('edge-2');
      first.kill('SIGKILL');
      await until.until('the job is complete', async () => (await stateOf(harness)) === 'complete');
      assert.equal(harness.worker.runs.length, 2);
    } finally {
      await harness.dispose();
    }
  });

  // An entry is stopped while callers submit jobs. Each request that it has read gets its complete response,
  // the readiness check fails first, and the process exits on its own.
  test.it('an entry that is stopped answers every request that it has read', async () => {
    const harness = await createPoolHarness(300);
    try {
      let isOver = false;
      const answers: Promise<Answer>[] = [];
      const submitting = (async () => {
        for (let count = 0; !isOver && count < 200; count += 1) {
          const id = count.toString(16).padStart(16, '0');
          answers.push(ask(harness.frontPort, 'POST', `/q/${id}`, JOB));
          await new Promise((resolve) => {
            setTimeout(resolve, 10);
          });
        }
      })();
      await new Promise((resolve) => {
        setTimeout(resolve, 200);
      });
      harness.entry.kill('SIGTERM');
      await until.until(
        'the entry is out of rotation',
        async () => (await ask(harness.readyPort, 'GET', '/-/ready')).status === 503,
      );
      isOver = true;
      await submitting;
      const settled = await Promise.allSettled(answers);
      assert.deepEqual(
        settled.filter((it) => it.status === 'rejected' || it.value.status !== 200),
        [],
      );
      assert.equal(await exitOf(harness.entry), 0);
    } finally {
      await harness.dispose();
    }
  });

  test.it('a program without settings reports what is missing', () => {
    const { status, stderr } = childProcess.spawnSync(
      process.execPath,
      [path.join(BIN, 'poolAgent.js')],
      { env: { PATH: process.env.PATH }, encoding: 'utf8' },
    );
    assert.equal(status, 10);
    assert.match(stderr, /must name the settings file/);
  });
});
