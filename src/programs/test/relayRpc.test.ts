/**
 * Store calls that an entry relays for another process.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import * as poolRouters from '../../protocol/node/poolRouters.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as httpServer from '../../transport/node/httpServer.js';
import * as rpcClient from '../../transport/node/rpcClient.js';
import * as rpcServer from '../../transport/node/rpcServer.js';
import * as relayRpc from '../relayRpc.js';

const ADDRESS: http.Address = { host: '127.0.0.1', port: 1 };
const SENDER = { processId: 'edge-1.entry', role: 'entry', configVersion: 0 } as const;

const REQUEST: http.HttpRequest = {
  address: ADDRESS,
  method: 'GET',
  path: '/',
  headers: {},
  body: Buffer.alloc(0),
  timeoutMs: 2000,
};

const bytes = (text: string): Uint8Array => Buffer.from(text);

const lost = (): never => {
  throw new http.HttpCallError(http.HttpFailure.lost, 'the answer was cut short');
};

interface Case {
  readonly name: string;
  /** The store's response to the entry. */
  readonly store: http.HttpCall;
  /** What the calling process receives: a status with a body, or how the call failed. */
  readonly got: string;
}

const CASES: readonly Case[] = [
  {
    name: 'a response in pieces arrives complete',
    store: ({ onArrival }) => {
      onArrival?.(200);
      onArrival?.(200, bytes('one '));
      onArrival?.(200, bytes('two'));
      return Promise.resolve({ status: 200, headers: {}, body: bytes('one two') });
    },
    got: '200 one two',
  },
  {
    name: 'a response that is not streamed arrives complete',
    store: () => Promise.resolve({ status: 503, headers: {}, body: bytes('busy') }),
    got: '503 busy',
  },
  {
    // Guards against a truncated response that is treated as complete.
    name: 'a truncated response is reported as lost',
    store: ({ onArrival }) => {
      onArrival?.(200, bytes('one '));
      return Promise.resolve().then(lost);
    },
    got: http.HttpFailure.lost,
  },
  {
    name: 'a call without a response is reported as lost',
    store: () => Promise.resolve().then(lost),
    got: http.HttpFailure.lost,
  },
  {
    // Guards against a write that counts as executed, or is sent twice, although the entry sent nothing.
    name: 'a call that was never sent is reported as not sent',
    store: () => Promise.reject(new http.HttpCallError(http.HttpFailure.notSent, 'refused')),
    got: http.HttpFailure.notSent,
  },
];

const listen = (store: http.HttpCall): Promise<httpServer.HttpServer> => {
  const router = poolRouters.createPoolEntryRouter({
    configuration: () => Promise.reject(errors.fail('storeUnavailable', 'none')),
    relay: async (message) => ({
      from: SENDER,
      ...(await relayRpc.serveRelay(message, ADDRESS, store)),
    }),
  });
  const nothing = httpServer.toListener(() => {
    throw errors.fail('notFound', 'nothing');
  }, rpcServer.MAX_RPC_BYTES);
  return httpServer.listen(
    { host: '127.0.0.1', port: 0, maxBodyBytes: rpcServer.MAX_RPC_BYTES, maxConnections: 8 },
    rpcServer.createRpcListener(router, '', nothing),
  );
};

const ask = async (store: http.HttpCall): Promise<string> => {
  const server = await listen(store);
  const client = httpClient.createHttpClient({
    clock: systemClock.systemClock,
    maxConnections: 8,
    maxIdleMs: 1000,
    maxReplyBytes: 1_000_000,
  });
  const entry = rpcClient
    .createRpcClients({ call: client.call, timeoutMs: REQUEST.timeoutMs, peerSecret: '' })
    .poolEntry(http.formatAddress({ host: '127.0.0.1', port: server.address.port }));
  try {
    const reply = await relayRpc.askRelay(entry, SENDER, REQUEST);
    return `${reply.status} ${Buffer.from(reply.body).toString('utf8')}`;
  } catch (thrown) {
    return thrown instanceof http.HttpCallError ? thrown.failure : String(thrown);
  } finally {
    await client.dispose();
    await server.dispose();
  }
};

test.describe('a store call relayed by an entry', () => {
  for (const it of CASES) {
    test.it(it.name, async () => {
      assert.equal(await ask(it.store), it.got);
    });
  }

  // Guards against a long response that the entry buffers until its caller has timed out.
  test.it('is answered piece by piece while the response arrives', async () => {
    let onArrival: http.HttpRequest['onArrival'];
    const message = { ...REQUEST, from: SENDER, body: '', unreadStatuses: [] };
    const served = relayRpc.serveRelay(message, ADDRESS, (request) => {
      onArrival = request.onArrival;
      return new Promise<never>(() => {});
    });
    onArrival?.(200);
    const { status, body } = await served;
    onArrival?.(200, bytes('first'));
    const pieces = body[Symbol.asyncIterator]();
    const first = await pieces.next();
    assert.equal(status, 200);
    assert.equal(Buffer.from(String(first.value), 'base64').toString('utf8'), 'first');
  });
});
