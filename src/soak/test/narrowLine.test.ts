/**
 * The programs of one entry VM on a line to the store that is narrow for what they read.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as disposable from '../../base/common/disposable.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as bootFile from '../../platform/test/bootFile.js';
import * as storeServer from '../../platform/test/storeServer.js';
import * as memoryStore from '../../standins/memoryStore.js';
import * as portBlock from '../../standins/test/portBlock.js';
import * as until from '../../standins/test/until.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as lineProxy from '../lineProxy.js';

const BIN = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../bin');
const JOB_ID = '5c0e7a21d94b36f8';
const JOB = JSON.stringify({ steps: [{ count: 1, gpu: 1, est_ms: 500 }] });

interface Route {
  readonly name: string;
  readonly prefix: string;
}

interface Configuration {
  readonly routes: readonly Route[];
}

const FIRST = JSON.parse(bootFile.CONFIGURATION.value) as Configuration;

/** A configuration with so many queues beside the first one. */
const configurationOf = (version: number, queues: number): string => {
  const [model] = FIRST.routes;
  const added = Array.from({ length: queues }, (_, index) => ({
    ...model,
    name: `r-added-${index}`,
    prefix: `/added${index}/`,
    timeout_ms: 3000,
    slo_ms: 500,
  }));
  return JSON.stringify({ ...FIRST, version, routes: [...FIRST.routes, ...added] });
};

interface Rig extends disposable.Disposable {
  readonly configure: (version: number, queues: number) => Promise<void>;
  readonly start: () => void;
  readonly status: (method: string, target: string, body?: string) => Promise<number>;
}

const createRig = async (): Promise<Rig> => {
  const owned = disposable.createDisposableStore();
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'auburnlift-line-'));
  owned.add({ dispose: () => fs.rmSync(folder, { recursive: true, force: true }) });
  const { firstPort } = owned.add(await portBlock.takePorts(process.pid));
  const store = memoryStore.createMemoryStore(systemClock.systemClock);
  const served = owned.add(await storeServer.serveStore(store));
  const line = owned.add(await lineProxy.openLine(served.address.port, true));
  const client = owned.add(
    httpClient.createHttpClient({
      clock: systemClock.systemClock,
      maxConnections: 8,
      maxIdleMs: 5000,
      maxReplyBytes: 65_536,
    }),
  );
  const run = (program: string, file: bootFile.BootFile): void => {
    const child = childProcess.spawn(process.execPath, [path.join(BIN, `${program}.js`)], {
      env: { ...process.env, ...bootFile.writeBootFile(folder, file) },
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    owned.add({
      dispose: () => {
        child.kill('SIGKILL');
      },
    });
  };
  return {
    configure: async (version, queues) => {
      const { key } = bootFile.CONFIGURATION;
      const value = configurationOf(version, queues);
      await store.transact({ conditions: [], puts: [{ key, value }], removes: [] });
    },
    start: () => {
      const common = { peerPort: firstPort + 2, storeAddress: `127.0.0.1:${String(line.port)}` };
      const addresses = { front: firstPort, ready: firstPort + 1 };
      run('poolEntry', { nodeId: 'edge-1', ...addresses, ...common });
      run('poolScheduler', { nodeId: 'edge-1s', ...common });
    },
    status: async (method, target, body = '') => {
      const reply = await client.call({
        address: { host: '127.0.0.1', port: firstPort },
        method,
        path: target,
        headers: bootFile.API_KEY_HEADERS,
        body: Buffer.from(body),
        timeoutMs: 3000,
      });
      return reply.status;
    },
    dispose: () => owned.dispose(),
  };
};

/** Queues that a configuration adds, one configuration after the other. */
const CASES: readonly [name: string, queues: readonly number[]][] = [
  ['a configuration that fits into a short call', [400]],
  ['a configuration that takes longer than a short call', [2800]],
  ['a configuration that grows', [1400, 2800, 4200]],
];

/** Calls about the job after each configuration, and the pause between them. */
const LOOKS = 20;
const LOOK_PAUSE_MS = 100;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

// Guards against an entry that never has its configuration, since it gives up each answer that is still coming.
test.describe('an entry VM on a narrow line', () => {
  for (const [name, growth] of CASES) {
    test.it(`tells of accepted jobs with ${name}`, async () => {
      const rig = await createRig();
      try {
        await rig.configure(1, 0);
        rig.start();
        await until.until(
          'the job is accepted',
          async () => (await rig.status('POST', `/q/${JOB_ID}`, JOB)) === 200,
        );
        for (const [step, queues] of growth.entries()) {
          await rig.configure(step + 2, queues);
          await until.until(
            `${queues} queues are known`,
            async () => (await rig.status('GET', `/added${queues - 1}/${JOB_ID}`)) === 200,
          );
          const seen: number[] = [];
          for (let look = 0; look < LOOKS; look += 1) {
            seen.push(await rig.status('GET', `/q/${JOB_ID}`));
            await pause(LOOK_PAUSE_MS);
          }
          assert.deepEqual(seen, Array<number>(LOOKS).fill(200), `with ${queues} queues`);
        }
      } finally {
        await rig.dispose();
      }
    });
  }

  test.it('begins with a large configuration', async () => {
    const rig = await createRig();
    try {
      await rig.configure(1, 4200);
      rig.start();
      await until.until(
        'the job is accepted',
        async () => (await rig.status('POST', `/q/${JOB_ID}`, JOB)) === 200,
      );
    } finally {
      await rig.dispose();
    }
  });
});
