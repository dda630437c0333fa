/**
 * The programs of one entry VM with a low-bandwidth link to the store, compared with what they read.
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
import * as linkProxy from '../linkProxy.js';

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

/** Returns a configuration with this many queues added. */
const configurationOf = (version: number, queues: number): string => {
  const [template] = FIRST.routes;
  const added = Array.from({ length: queues }, (_, index) => ({
    ...template,
    name: `r-added-${index}`,
    prefix: `/added${index}/`,
    timeout_ms: 3000,
    slo_ms: 500,
  }));
  return JSON.stringify({ ...FIRST, version, routes: [...FIRST.routes, ...added] });
};

interface Harness extends disposable.Disposable {
  readonly configure: (version: number, queues: number) => Promise<void>;
  readonly start: () => void;
  readonly status: (method: string, target: string, body?: string) => Promise<number>;
}

const createHarness = async (): Promise<Harness> => {
  const owned = disposable.createDisposableStore();
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'auburnlift-line-'));
  owned.add({ dispose: () => fs.rmSync(folder, { recursive: true, force: true }) });
  const { firstPort } = owned.add(await portBlock.reservePorts(process.pid));
  const store = memoryStore.createMemoryStore(systemClock.systemClock);
  const server = owned.add(await storeServer.serveStore(store));
  const link = owned.add(await linkProxy.openLink(server.address.port, true));
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
      const common = { peerPort: firstPort + 2, storeAddress: `127.0.0.1:${String(link.port)}` };
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

/** Number of added queues in each successive configuration. */
const CASES: readonly [name: string, queues: readonly number[]][] = [
  ['a configuration that fits into a short call', [400]],
  ['a configuration that takes longer than a short call', [2800]],
  ['a configuration that grows', [1400, 2800, 4200]],
];

/** Reads of the job after each configuration, and the pause between them. */
const READS = 20;
const READ_PAUSE_MS = 100;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

// Guards against an entry that never gets its configuration because it aborts each response that is still arriving.
test.describe('an entry VM on a low-bandwidth link', () => {
  for (const [name, growth] of CASES) {
    test.it(`reports accepted jobs with ${name}`, async () => {
      const harness = await createHarness();
      try {
        await harness.configure(1, 0);
        harness.start();
        await until.until(
          'the job is accepted',
          async () => (await harness.status('POST', `/q/${JOB_ID}`, JOB)) === 200,
        );
        for (const [step, queues] of growth.entries()) {
          await harness.configure(step + 2, queues);
          await until.until(
            `${queues} queues are known`,
            async () => (await harness.status('GET', `/added${queues - 1}/${JOB_ID}`)) === 200,
          );
          const seen: number[] = [];
          for (let read = 0; read < READS; read += 1) {
            seen.push(await harness.status('GET', `/q/${JOB_ID}`));
            await pause(READ_PAUSE_MS);
          }
          assert.deepEqual(seen, Array<number>(READS).fill(200), `with ${queues} queues`);
        }
      } finally {
        await harness.dispose();
      }
    });
  }

  test.it('starts with a large configuration', async () => {
    const harness = await createHarness();
    try {
      await harness.configure(1, 4200);
      harness.start();
      await until.until(
        'the job is accepted',
        async () => (await harness.status('POST', `/q/${JOB_ID}`, JOB)) === 200,
      );
    } finally {
      await harness.dispose();
    }
  });
});
