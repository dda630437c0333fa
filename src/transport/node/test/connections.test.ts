/**
 * Connections that go silent or old, and servers that leave, over real sockets.
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

/** Passes bytes between client and server until it is told to lose track of what it has. */
const createLine = async (
  target: http.Address,
): Promise<{
  address: http.Address;
  forget: () => void;
  made: () => number;
  close: () => void;
}> => {
  const pairs: net.Socket[] = [];
  let made = 0;
  const server = net.createServer((near) => {
    made += 1;
    const far = net.connect(target.port, target.host);
    [near, far].forEach((it) => it.on('error', () => {}));
    near.pipe(far).pipe(near);
    near.on('close', () => far.destroy());
    far.on('close', () => near.destroy());
    pairs.push(near, far);
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
    made: () => made,
    close: () => {
      server.close();
      pairs.forEach((it) => it.destroy());
    },
  };
};

test.test('after one silent exchange every idle connection is replaced', async () => {
  // A firewall loses track of the open connections between entry and agent: each looks open and
  // carries nothing. If only the one that timed out were closed, every other would cost a caller
  // its deadline in turn.
  const server = await serve(() => Promise.resolve({ status: 200 }));
  const line = await createLine(server.address);
  const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
  const four = () => Promise.all([1, 2, 3, 4].map(() => client.call(requestTo(line.address))));
  await four();
  line.forget();
  await assert.rejects(client.call(requestTo(line.address, 100)), { failure: 'timeout' });
  const replies = await four();
  assert.deepEqual(
    replies.map((it) => it.status),
    [200, 200, 200, 200],
  );
  line.close();
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
  { name: 'a long body of no use is left unread', bodyBytes: 900_000, status: 412, readBytes: 0 },
  { name: 'a short one is read', bodyBytes: 100, status: 412, readBytes: 100 },
  { name: 'a long one of use is read', bodyBytes: 900_000, status: 200, readBytes: 900_000 },
];

for (const { name, bodyBytes, status, readBytes } of UNREAD_CASES) {
  // Guards against refusals that carry a large record, one copy a call, over a narrow line.
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

test.test('a connection gets no exchange beyond its age', async () => {
  const server = await serve(() => Promise.resolve({ status: 200 }));
  const line = await createLine(server.address);
  const time = clock.createFakeClock();
  const client = httpClient.createHttpClient({ ...LIMITS, clock: time, maxAgeMs: 1000 });
  await client.call(requestTo(line.address));
  await client.call(requestTo(line.address));
  assert.equal(line.made(), 1);
  await time.advance(1000);
  await client.call(requestTo(line.address));
  assert.equal(line.made(), 2);
  line.close();
  await client.dispose();
  await server.dispose();
});

const CUT_ANSWERS = [
  { name: 'in its body', bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf' },
  { name: 'in its head', bytes: 'HTTP/1.1 200 OK\r\ncontent-le' },
  { name: 'before its first byte', bytes: '' },
];

for (const { name, bytes } of CUT_ANSWERS) {
  test.test(`an answer that is cut ${name} is never given on`, async () => {
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

test.test('a server that leaves answers what it has and asks callers to close', async () => {
  // An entry is replaced while a plan is being made. Its caller must get the whole plan, and its
  // next call must go to another entry.
  let finish = (): void => {};
  const isReached = new Promise<void>((reached) => {
    finish = reached;
  });
  let answer = (): void => {};
  const server = await serve(async () => {
    await new Promise<void>((resolve) => {
      answer = resolve;
      finish();
    });
    return { status: 200, body: 'the whole plan' };
  });
  const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
  const open = client.call(requestTo(server.address));
  await isReached;
  server.discourage();
  const drained = server.drain(5000);
  answer();
  const reply = await open;
  assert.equal(Buffer.from(reply.body).toString('utf8'), 'the whole plan');
  assert.equal(reply.headers.connection, 'close');
  await drained;
  await assert.rejects(client.call(requestTo(server.address)), { failure: 'notSent' });
  await client.dispose();
});

test.test('bodies are held within a bound, and room comes back', async () => {
  // A burst of large plans arrives at an entry with little memory. What does not fit is refused and
  // did not run; when the first is answered there is room again.
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
  const server = await httpServer.listen(LISTEN, httpServer.toListener(handler, 1000, 1500));
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
});

test.test('a drain is bounded: what hangs is cut when its time is over', async () => {
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

// A process ended with exit code 1 because it sent a call that was withdrawn already: the request was
// made and destroyed, and its error came where nobody listened yet.
test.test('a call that is withdrawn before it is sent fails, and nothing else', async () => {
  const server = await serve(() => Promise.reject(new Error('nothing may arrive')));
  const client = httpClient.createHttpClient({ ...LIMITS, clock: systemClock.systemClock });
  const unheard: Error[] = [];
  const note = (error: Error): void => {
    unheard.push(error);
  };
  process.on('uncaughtException', note);
  const call = { ...requestTo(server.address), signal: AbortSignal.abort() };
  await assert.rejects(client.call(call), { failure: 'aborted' });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  process.off('uncaughtException', note);
  assert.deepEqual(unheard, []);
  await client.dispose();
  await server.dispose();
});
