/**
 * Long store calls over a low-bandwidth link.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import * as metrics from '../../base/common/metrics.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as platformStore from '../../platform/platformStore.js';
import * as storeServer from '../../platform/test/storeServer.js';
import * as relayRpc from '../../programs/relayRpc.js';
import * as poolRouters from '../../protocol/node/poolRouters.js';
import type * as recordStore from '../../state/common/pool/recordStore.js';
import * as memoryStore from '../../standins/memoryStore.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as httpServer from '../../transport/node/httpServer.js';
import * as rpcClient from '../../transport/node/rpcClient.js';
import * as rpcServer from '../../transport/node/rpcServer.js';
import * as linkProxy from '../linkProxy.js';

const KEY = 'configuration';
const ENTRY_TIMEOUT_MS = 450;
const RELAY_TIMEOUT_MS = 700;
const ATTEMPTS = 4;
const SENDER = { processId: 'edge-1.entry', role: 'entry', configVersion: 0 } as const;

interface Harness extends disposable.Disposable {
  readonly memory: memoryStore.MemoryStore;
  /** Through the entry's own low-bandwidth link. */
  readonly direct: recordStore.RecordStore;
  /** Through another entry, whose link to the store is the low-bandwidth one. */
  readonly relayed: recordStore.RecordStore;
}

const createHarness = async (): Promise<Harness> => {
  const owned = disposable.createDisposableStore();
  const memory = memoryStore.createMemoryStore(systemClock.systemClock);
  const storeHttp = owned.add(await storeServer.serveStore(memory));
  const link = owned.add(await linkProxy.openLink(storeHttp.address.port, true));
  const address = { host: '127.0.0.1', port: link.port };
  const client = owned.add(
    httpClient.createHttpClient({
      clock: systemClock.systemClock,
      maxConnections: 64,
      maxIdleMs: 5000,
      maxReplyBytes: 8_388_608,
    }),
  );
  const router = poolRouters.createPoolEntryRouter({
    configuration: () => Promise.reject(errors.fail('storeUnavailable', 'none')),
    relay: async (message) => ({
      from: SENDER,
      ...(await relayRpc.serveRelay(message, address, client.call)),
    }),
  });
  const rejectAll = httpServer.toListener(() => {
    throw errors.fail('notFound', 'nothing');
  }, rpcServer.MAX_RPC_BYTES);
  const peer = owned.add(
    await httpServer.listen(
      { host: '127.0.0.1', port: 0, maxBodyBytes: rpcServer.MAX_RPC_BYTES, maxConnections: 64 },
      rpcServer.createRpcListener(router, '', rejectAll),
    ),
  );
  const entry = rpcClient
    .createRpcClients({
      call: client.call,
      timeoutMs: RELAY_TIMEOUT_MS,
      transfer: platformStore.TRANSFER_LIMITS,
      peerSecret: '',
    })
    .poolEntry(`http://127.0.0.1:${peer.address.port}`);
  const common = {
    address: () => address,
    metrics: metrics.createMetrics(),
    timeoutMs: ENTRY_TIMEOUT_MS,
  };
  return {
    memory,
    direct: platformStore.createPlatformStore({ ...common, call: client.call }),
    relayed: platformStore.createPlatformStore({
      ...common,
      call: (request) => relayRpc.askRelay(entry, SENDER, request),
    }),
    dispose: () => owned.dispose(),
  };
};

/** Retries an operation and returns the outcome of each attempt. */
const retry = async (operation: () => Promise<unknown>): Promise<string[]> => {
  const seen: string[] = [];
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    try {
      await operation();
      return [...seen, 'done'];
    } catch (thrown) {
      seen.push(errors.normalize(thrown).message);
    }
  }
  return seen;
};

/** Below the default limit on the size of a body. */
const JOB_BYTES = 220_000;

const LARGE_VALUE = 'x'.repeat(780_000);

// Guards against calls that fail on every retry.
test.describe('a long call on a link of 7 Mbit/s', () => {
  test.it('is answered through another entry', async () => {
    const harness = await createHarness();
    try {
      await harness.memory.transact({
        conditions: [],
        puts: [{ key: KEY, value: LARGE_VALUE }],
        removes: [],
      });
      const seen = await retry(() => harness.relayed.list(KEY));
      assert.equal(seen.at(-1), 'done', seen.join('; '));
    } finally {
      await harness.dispose();
    }
  });

  test.it(
    'is answered through another entry when a condition on a large record fails',
    async () => {
      const harness = await createHarness();
      try {
        await harness.memory.transact({
          conditions: [],
          puts: [{ key: KEY, value: LARGE_VALUE }],
          removes: [],
        });
        const seen = await retry(() =>
          harness.relayed.transact({
            conditions: [{ key: KEY, revision: 999 }],
            puts: [{ key: 'job', value: 'small' }],
            removes: [],
            omitsCurrent: true,
          }),
        );
        assert.equal(seen.at(-1), 'done', seen.join('; '));
      } finally {
        await harness.dispose();
      }
    },
  );

  test.it('is answered completely beside seven concurrent calls', async () => {
    const harness = await createHarness();
    try {
      await harness.memory.transact({
        conditions: [],
        puts: [{ key: KEY, value: LARGE_VALUE }],
        removes: [],
      });
      const lists = Array.from({ length: 8 }, () => retry(() => harness.direct.list(KEY)));
      const seen = await Promise.all(lists);
      assert.ok(
        seen.some((it) => it.at(-1) === 'done'),
        seen.flat().join('; '),
      );
    } finally {
      await harness.dispose();
    }
  });

  test.it('stores two jobs of an allowed size', async () => {
    const harness = await createHarness();
    try {
      const seen = await Promise.all(
        ['job-1', 'job-2'].map((key) =>
          retry(() =>
            harness.direct.transact({
              conditions: [],
              puts: [{ key, value: 'x'.repeat(JOB_BYTES) }],
              removes: [],
            }),
          ),
        ),
      );
      assert.ok(
        seen.every((it) => it.at(-1) === 'done'),
        seen.flat().join('; '),
      );
    } finally {
      await harness.dispose();
    }
  });
});
