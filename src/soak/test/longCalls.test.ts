/**
 * Long calls of the store on a narrow line.
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
import * as lineProxy from '../lineProxy.js';

const KEY = 'configuration';
const ENTRY_TIMEOUT_MS = 450;
const RELAY_TIMEOUT_MS = 700;
const ATTEMPTS = 4;
const SENDER = { processId: 'edge-1.entry', role: 'entry', configVersion: 0 } as const;

interface Rig extends disposable.Disposable {
  readonly memory: memoryStore.MemoryStore;
  /** By the entry's own narrow line. */
  readonly direct: recordStore.RecordStore;
  /** By another entry, whose line to the store is the narrow one. */
  readonly relayed: recordStore.RecordStore;
}

const createRig = async (): Promise<Rig> => {
  const owned = disposable.createDisposableStore();
  const memory = memoryStore.createMemoryStore(systemClock.systemClock);
  const served = owned.add(await storeServer.serveStore(memory));
  const line = owned.add(await lineProxy.openLine(served.address.port, true));
  const address = { host: '127.0.0.1', port: line.port };
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
  const nothing = httpServer.toListener(() => {
    throw errors.fail('notFound', 'nothing');
  }, rpcServer.MAX_RPC_BYTES);
  const peer = owned.add(
    await httpServer.listen(
      { host: '127.0.0.1', port: 0, maxBodyBytes: rpcServer.MAX_RPC_BYTES, maxConnections: 64 },
      rpcServer.createRpcListener(router, '', nothing),
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

/** How attempts one after the other end. */
const attempts = async (deed: () => Promise<unknown>): Promise<string[]> => {
  const seen: string[] = [];
  for (let tries = 0; tries < ATTEMPTS; tries += 1) {
    try {
      await deed();
      return [...seen, 'done'];
    } catch (thrown) {
      seen.push(errors.normalize(thrown).message);
    }
  }
  return seen;
};

/** Below the default limit on a body. */
const JOB_BYTES = 220_000;

const BIG = 'x'.repeat(780_000);

// Guards against calls that never succeed however often they are tried.
test.describe('a long call on a line of 7 Mbit/s', () => {
  test.it('is answered by way of another entry', async () => {
    const rig = await createRig();
    try {
      await rig.memory.transact({ conditions: [], puts: [{ key: KEY, value: BIG }], removes: [] });
      const seen = await attempts(() => rig.relayed.list(KEY));
      assert.equal(seen.at(-1), 'done', seen.join('; '));
    } finally {
      await rig.dispose();
    }
  });

  test.it(
    'is answered by way of another entry where a condition on a large record fails',
    async () => {
      const rig = await createRig();
      try {
        await rig.memory.transact({
          conditions: [],
          puts: [{ key: KEY, value: BIG }],
          removes: [],
        });
        const seen = await attempts(() =>
          rig.relayed.transact({
            conditions: [{ key: KEY, revision: 999 }],
            puts: [{ key: 'job', value: 'small' }],
            removes: [],
            omitsCurrent: true,
          }),
        );
        assert.equal(seen.at(-1), 'done', seen.join('; '));
      } finally {
        await rig.dispose();
      }
    },
  );

  test.it('is answered whole beside seven others', async () => {
    const rig = await createRig();
    try {
      await rig.memory.transact({ conditions: [], puts: [{ key: KEY, value: BIG }], removes: [] });
      const lists = Array.from({ length: 8 }, () => attempts(() => rig.direct.list(KEY)));
      const seen = await Promise.all(lists);
      assert.ok(
        seen.some((it) => it.at(-1) === 'done'),
        seen.flat().join('; '),
      );
    } finally {
      await rig.dispose();
    }
  });

  test.it('stores two jobs of a size that is allowed', async () => {
    const rig = await createRig();
    try {
      const seen = await Promise.all(
        ['job-1', 'job-2'].map((key) =>
          attempts(() =>
            rig.direct.transact({
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
      await rig.dispose();
    }
  });
});
