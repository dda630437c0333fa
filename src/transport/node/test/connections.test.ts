/**
 * Tests over real sockets: stalled, old and cut connections, and servers that drain.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as clock from '../../../base/common/clock.js';
import * as http from '../../../base/common/http.js';
import * as systemClock from '../../../base/node/systemClock.js';
import * as httpClient from '../httpClient.js';
import * as httpServer from '../httpServer.js';

const LIMITS = { maxConnections: 8, maxIdleMs: 20_000, maxReplyBytes: 1_048_576 };

const requestTo = (address: http.Address, timeoutMs = 5000): http.HttpRequest => ({
  address,
  method: 'GET',
  path: '/',
  headers: {},
  body: new Uint8Array(),
  timeoutMs,
});

const LISTEN = { host: '127.0.0.1', port: 0, maxBodyBytes: 1024, maxConnections: 64 };

const serve = (handler: httpServer.Handler): Promise<httpServer.HttpServer> =>
  httpServer.listen(LISTEN, httpServer.toListener(handler, LISTEN.maxBodyBytes));

/** TCP proxy between client and server; `forget` stops forwarding on its current connections without closing them. */
const createProxy = async (
  target: http.Address,
): Promise<{
  address: http.Address;
  forget: () => void;
  connectionCount: () => number;
  close: () => void;
}> => {
  const pairs: net.Socket[] = [];
  let connectionCount = 0;
  const server = net.createServer((clientSocket) => {
    connectionCount += 1;
    const serverSocket = net.connect(target.port, target.host);
    [clientSocket, serverSocket].forEach((it) => it.on('error', () => {}));
    clientSocket.pipe(serverSocket).pipe(clientSocket);
    clientSocket.on('close', () => serverSocket.destroy());
    serverSocket.on('close', () => clientSocket.destroy());
    pairs.push(clientSocket, serverSocket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    address: { host: '127.0.0.1', port },
    forget: () =>
      pairs.forEach((it) => {
        it.unpipe();
        it.pause();
      }),
    connectionCount: () => connectionCount,
    close: () => {
      server.close();
      pairs.forEach((it) => it.destroy());
    },
  };
};

test.test('after one exchange without a response every idle connection is replaced', async () => {
  // A firewall drops the state of the connections between entry and agent: each looks open but
  // carries no data. If only the connection that timed out were closed, each of the others would
  // make one more caller miss its deadline.
  const server = await serve(() => Promise.resolve({ status: 200 }));
  const proxy = await createProxy(server.address);
  const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
  const sendFour = () => Promise.all([1, 2, 3, 4].map(() => client.call(requestTo(proxy.address))));
  await sendFour();
  proxy.forget();
  await assert.rejects(client.call(requestTo(proxy.address, 100)), { failure: 'timeout' });
  const replies = await sendFour();
  assert.deepEqual(
    replies.map((it) => it.status),
    [200, 200, 200, 200],
  );
  proxy.close();
  await client.dispose();
  await server.dispose();
});

interface UnreadCase {
  readonly name: string;
  readonly bodyBytes: number;
  readonly status: number;
  readonly readBytes: number;
}

const UNREAD_CASES: readonly UnreadCase[] = [
  {
    name: 'a long body with an unneeded status is not read',
    bodyBytes: 900_000,
    status: 412,
    readBytes: 0,
  },
  {
    name: 'a short body with an unneeded status is read',
    bodyBytes: 100,
    status: 412,
    readBytes: 100,
  },
  {
    name: 'a long body with another status is read',
    bodyBytes: 900_000,
    status: 200,
    readBytes: 900_000,
  },
];

for (const { name, bodyBytes, status, readBytes } of UNREAD_CASES) {
  // Guards against low-bandwidth links filled by refusals that carry a copy of a large record each.
  test.test(`${name}, and the next exchange works`, async () => {
    const server = await serve(() =>
      Promise.resolve({ status, body: Buffer.alloc(bodyBytes, 'x') }),
    );
    const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
    for (let turn = 0; turn < 3; turn += 1) {
      const reply = await client.call({
        ...requestTo(server.address),
        unreadStatuses: [412],
      });
      assert.deepEqual([reply.status, reply.body.byteLength], [status, readBytes]);
    }
    await client.dispose();
    await server.dispose();
  });
}

test.test('a connection gets no new exchange after its maximum age', async () => {
  const server = await serve(() => Promise.resolve({ status: 200 }));
  const proxy = await createProxy(server.address);
  const time = clock.createFakeClock();
  const client = httpClient.createHttpClient({ ...LIMITS, clock: time, maxAgeMs: 1000 });
  await client.call(requestTo(proxy.address));
  await client.call(requestTo(proxy.address));
  assert.equal(proxy.connectionCount(), 1);
  await time.advance(1000);
  await client.call(requestTo(proxy.address));
  assert.equal(proxy.connectionCount(), 2);
  proxy.close();
  await client.dispose();
  await server.dispose();
});

const CUT_ANSWERS = [
  { name: 'in its body', bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf' },
  { name: 'in its head', bytes: 'HTTP/1.1 200 OK\r\ncontent-le' },
  { name: 'before its first byte', bytes: '' },
];

for (const { name, bytes } of CUT_ANSWERS) {
  test.test(`a response that is cut off ${name} is reported as lost`, async () => {
    const server = net.createServer((socket) => {
      socket.once('data', () => socket.end(bytes));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
    await assert.rejects(client.call(requestTo({ host: '127.0.0.1', port })), { failure: 'lost' });
    await client.dispose();
    server.close();
  });
}

test.test(
  'a draining server answers open requests and asks callers to close their connections',
  async () => {
    // An entry is replaced while it handles a request. The caller must get the complete response, and
    // its next call must go to another entry.
    let markEntered = (): void => {};
    const handlerEntered = new Promise<void>((resolve) => {
      markEntered = resolve;
    });
    let answer = (): void => {};
    const server = await serve(async () => {
      await new Promise<void>((resolve) => {
        answer = resolve;
        markEntered();
      });
      return { status: 200, body: 'the whole plan' };
    });
    const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
    const open = client.call(requestTo(server.address));
    await handlerEntered;
    server.requestConnectionClose();
    const drained = server.drain(5000);
    answer();
    const reply = await open;
    assert.equal(Buffer.from(reply.body).toString('utf8'), 'the whole plan');
    assert.equal(reply.headers.connection, 'close');
    await drained;
    await assert.rejects(client.call(requestTo(server.address)), { failure: 'notSent' });
    await client.dispose();
  },
);

test.test(
  'buffered bodies are bounded, and capacity is free again after the response',
  async () => {
    // A burst of large bodies arrives at an entry with little memory. What exceeds the limit is refused
    // without running; once the first request is answered, new bodies are accepted.
    let answer = (): void => {};
    let runs = 0;
    const handler: httpServer.Handler = async () => {
      runs += 1;
      if (runs === 1) {
        await new Promise<void>((resolve) => {
          answer = resolve;
        });
      }
      return { status: 200 };
    };
    const server = await httpServer.listen(
      LISTEN,
      httpServer.toListener(handler, 1000, { maxBufferedBytes: 1500 }),
    );
    const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
    const send = () =>
      client.call({ ...requestTo(server.address), method: 'POST', body: new Uint8Array(900) });
    const first = send();
    while (runs === 0) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    const refused = await send();
    assert.deepEqual([refused.status, runs], [503, 1]);
    answer();
    assert.equal((await first).status, 200);
    assert.equal((await send()).status, 200);
    await client.dispose();
    await server.dispose();
  },
);

test.test('a drain is bounded: requests still open at its timeout are cut off', async () => {
  const server = await serve(() => new Promise(() => {}));
  const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
  const open = assert.rejects(client.call(requestTo(server.address)), { failure: 'lost' });
  while (server.openRequests() === 0) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  await server.drain(50);
  await open;
  await client.dispose();
});

// A call whose signal was already aborted ended the process with exit code 1: the request was created and
// destroyed, and its error was emitted before a listener was attached.
test.test('a call aborted before it is sent is rejected without an uncaught error', async () => {
  const server = await serve(() => Promise.reject(new Error('nothing may arrive')));
  const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
  const uncaught: Error[] = [];
  const recordError = (error: Error): void => {
    uncaught.push(error);
  };
  process.on('uncaughtException', recordError);
  const call = { ...requestTo(server.address), signal: AbortSignal.abort() };
  await assert.rejects(client.call(call), { failure: 'aborted' });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  process.off('uncaughtException', recordError);
  assert.deepEqual(uncaught, []);
  await client.dispose();
  await server.dispose();
});
