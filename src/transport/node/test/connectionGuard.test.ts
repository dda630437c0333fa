/**
 * Tests over real sockets of the limits on clients: time limits with a clock of the test, and data that no client
 * should send.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as clock from '../../../base/common/clock.js';
import * as logging from '../../../base/common/logging.js';
import * as metrics from '../../../base/common/metrics.js';
import * as clientLimits from '../../../state/common/clientLimits.js';
import * as connectionGuard from '../connectionGuard.js';
import * as httpServer from '../httpServer.js';

const MAX_BODY_BYTES = 100_000;

interface Served {
  readonly port: number;
  readonly time: ReturnType<typeof clock.createFakeClock>;
  readonly counters: metrics.Metrics;
  readonly server: httpServer.HttpServer;
}

const serve = async (
  settings: clientLimits.ClientLimitSettings,
  handler: httpServer.Handler = ({ body }) =>
    Promise.resolve({ status: 200, body: `${body.byteLength} bytes` }),
  listenerOptions: httpServer.ListenerOptions = {},
): Promise<Served> => {
  const time = clock.createFakeClock();
  const counters = metrics.createMetrics();
  const guard = connectionGuard.createConnectionGuard({
    limits: clientLimits.deriveClientLimits({ heapBytes: 1e8 }, settings),
    clock: time,
    log: logging.silentLog,
    metrics: counters,
  });
  const server = await httpServer.listen(
    { host: '127.0.0.1', port: 0, maxBodyBytes: MAX_BODY_BYTES, maxConnections: 100, guard },
    httpServer.toListener(handler, MAX_BODY_BYTES, listenerOptions),
  );
  return { port: server.address.port, time, counters, server };
};

const pause = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 30);
  });

interface Client {
  readonly socket: net.Socket;
  readonly text: () => string;
  readonly isClosed: () => boolean;
}

const connect = async (port: number, sent: string | Buffer): Promise<Client> => {
  const socket = net.connect(port, '127.0.0.1');
  let text = '';
  let isClosed = false;
  socket.on('data', (piece: Buffer) => {
    text += piece.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    isClosed = true;
  });
  socket.write(sent);
  await pause();
  return { socket, text: () => text, isClosed: () => isClosed };
};

const untilTrue = async (isTrue: () => boolean): Promise<void> => {
  for (let count = 0; count < 100 && !isTrue(); count += 1) await pause();
};

const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\n';

interface TimeCase {
  readonly name: string;
  readonly limit: string;
  readonly sent: string;
  /** Start of what the client gets before it is closed; empty for nothing. */
  readonly answer: string;
}

const TIME_CASES: readonly TimeCase[] = [
  { name: 'a head', limit: 'headTime', sent: HEAD, answer: '' },
  {
    name: 'a body',
    limit: 'bodyTime',
    sent: `${HEAD}Content-Length: 10\r\n\r\n12345`,
    answer: 'HTTP/1.1 503',
  },
  {
    name: 'a chunked body',
    limit: 'bodyTime',
    sent: `${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\n12\r\n`,
    answer: 'HTTP/1.1 503',
  },
];

test.describe('a client has a limited time for', () => {
  for (const { name, limit, sent, answer } of TIME_CASES) {
    // Guards against clients that hold a place with a byte now and then.
    test.it(`${name}, and progress by a byte doesn't extend it`, async () => {
      const served = await serve({ headTimeoutMs: 3000, bodyTimeoutMs: 3000 });
      const client = await connect(served.port, sent);
      for (let count = 0; count < 2; count += 1) {
        await served.time.advance(1000);
        client.socket.write(limit === 'headTime' ? 'x' : '');
        await pause();
      }
      assert.equal(client.isClosed(), false);
      await served.time.advance(1000);
      await served.time.advance(1000);
      await untilTrue(client.isClosed);
      await served.time.advance(3000);
      await untilTrue(client.isClosed);
      assert.equal(client.isClosed(), true);
      assert.ok(client.text().startsWith(answer));
      assert.equal(served.counters.read('auburnlift_client_limits_total', { limit }), 1);
      await served.server.dispose();
    });
  }

  test.it('a body until the deadline that it announces', async () => {
    const served = await serve({ bodyTimeoutMs: 1000 }, undefined, { deadlineMs: () => 60_000 });
    const client = await connect(served.port, `${HEAD}Content-Length: 4\r\n\r\n12`);
    await served.time.advance(30_000);
    client.socket.write('34');
    await untilTrue(() => client.text().includes('4 bytes'));
    assert.match(client.text(), /4 bytes/);
    client.socket.destroy();
    await served.server.dispose();
  });
});

// Guards against a slow client whose connection is taken for one that says nothing while its request is worked on.
test.test('a request that is worked on keeps its connection, however long it takes', async () => {
  let answer = (): void => undefined;
  const waiting = new Promise<void>((resolve) => {
    answer = resolve;
  });
  const served = await serve({ maxConnections: 8, idleTimeoutMs: 1000 }, async () => {
    await waiting;
    return { status: 200, body: 'late' };
  });
  const client = await connect(served.port, 'GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  await served.time.advance(100_000);
  const crowd = [];
  for (let count = 0; count < 20; count += 1) crowd.push(await connect(served.port, 'GET'));
  answer();
  await untilTrue(() => client.text().includes('late'));
  assert.match(client.text(), /late/);
  [client, ...crowd].forEach((it) => it.socket.destroy());
  await served.server.dispose();
});

// Guards against a head whose parts come in different pieces and is taken for the data between two requests.
test.test(
  'requests sent ahead at different cuts of the data are each answered in order',
  async () => {
    const requests = [
      `${HEAD}Content-Length: 3\r\n\r\nabc`,
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n`,
      '\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n',
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nt: x\r\n\r\n`,
      `${HEAD}Content-Length: 5\r\n\r\n\n\r\n\r\n`,
    ].join('');
    const served = await serve({ maxAheadPerS: 10_000 });
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.uniqueArray(fastCheck.nat(requests.length), { maxLength: 6 }),
        async (cuts) => {
          const bounds = [0, ...cuts.sort((a, b) => a - b), requests.length];
          const client = await connect(served.port, '');
          for (let index = 1; index < bounds.length; index += 1) {
            client.socket.write(requests.slice(bounds[index - 1], bounds[index]));
            await new Promise((resolve) => {
              setImmediate(resolve);
            });
          }
          const lengths = (): string[] =>
            [...client.text().matchAll(/(\d) bytes/g)].map((it) => it[1] ?? '');
          await untilTrue(() => lengths().length === 5);
          assert.deepEqual(lengths(), ['3', '2', '0', '1', '5']);
          client.socket.destroy();
        },
      ),
      { numRuns: 30, seed: 67, interruptAfterTimeLimit: 20_000 },
    );
    await served.server.dispose();
  },
);

const FUZZ_PARTS = [
  'GET / HTTP/1.1\r\n',
  'POST / HTTP/1.1\r\n',
  'CONNECT h:1 HTTP/1.1\r\n',
  'OPTIONS * HTTP/1.0\r\n',
  'Host: h\r\n',
  'Content-Length: 5\r\n',
  'Content-Length: -1\r\n',
  'Content-Length: 99999999999999999999\r\n',
  'Transfer-Encoding: chunked\r\n',
  'Transfer-Encoding: gzip\r\n',
  'Expect: 100-continue\r\n',
  'Expect: x\r\n',
  'Connection: upgrade\r\nUpgrade: x\r\n',
  `x: ${'y'.repeat(20_000)}\r\n`,
  '\r\n',
  '\n',
  '5\r\nabcde\r\n',
  '0\r\n\r\n',
  'ffffffffffffffff\r\n',
  '\0',
];

const fuzzed = fastCheck.array(
  fastCheck.oneof(
    { weight: 4, arbitrary: fastCheck.constantFrom(...FUZZ_PARTS).map((it) => Buffer.from(it)) },
    { weight: 1, arbitrary: fastCheck.uint8Array({ maxLength: 40 }).map((it) => Buffer.from(it)) },
  ),
  { maxLength: 12 },
);

// Guards against data that ends the process, or that keeps what it held after its connection is gone.
test.test(
  'whatever clients send, the next request is answered and nothing stays held',
  async () => {
    const served = await serve({ maxAheadPerS: 10_000 });
    await fastCheck.assert(
      fastCheck.asyncProperty(fuzzed, async (parts) => {
        const client = await connect(served.port, Buffer.concat(parts));
        client.socket.destroy();
        const ordinary = await connect(served.port, `${HEAD}Content-Length: 3\r\n\r\nabc`);
        await untilTrue(() => ordinary.text().includes('3 bytes'));
        assert.match(ordinary.text(), /3 bytes/);
        ordinary.socket.destroy();
      }),
      { numRuns: 60, seed: 67, interruptAfterTimeLimit: 20_000 },
    );
    await pause();
    await served.time.advance(1000);
    assert.equal(served.counters.read('auburnlift_client_buffered_bytes'), 0);
    assert.equal(served.counters.read('auburnlift_client_requests'), 0);
    assert.equal(served.server.openRequests(), 0);
    await served.server.dispose();
  },
);
