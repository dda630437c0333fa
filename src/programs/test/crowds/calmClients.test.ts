/**
 * What the limits against clients that don't behave leave as it is: one request inside the pages' limits, in calm.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as bootFile from '../../../platform/test/bootFile.js';

import * as poolSite from './poolSite.js';

const LIMITS: poolSite.SiteLimits = { memoryMb: 160, heapMb: 48, maxFds: 1000 };

const BODY_BYTES = 262_144;

const KEY = bootFile.API_KEY_LINE;

const jobOf = (bytes: number): string => {
  const bare = JSON.stringify({ spec: 'text', padding: '', steps: [{ count: 1 }] });
  const padding = 'x'.repeat(Math.max(0, bytes - bare.length));
  return JSON.stringify({ spec: 'text', padding, steps: [{ count: 1 }] });
};

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

interface Piece {
  readonly text: string;
  readonly pauseMs: number;
}

/** Far longer than any exchange takes; one without its answers ends then. */
const MAX_EXCHANGE_MS = 20_000;

/** Sends the pieces and returns what arrives until `expected` has come `count` times. */
const exchange = async (
  port: number,
  pieces: readonly Piece[],
  expected: string,
  count: number,
): Promise<string> => {
  const socket = net.connect(port, '127.0.0.1');
  let text = '';
  const done = new Promise<void>((resolve, reject) => {
    socket.on('data', (piece: Buffer) => {
      text += piece.toString('latin1');
      if (text.split(expected).length > count) resolve();
    });
    socket.on('error', reject);
    socket.on('close', () => resolve());
    socket.setTimeout(MAX_EXCHANGE_MS, () => socket.destroy());
  });
  for (const { text: sent, pauseMs } of pieces) {
    socket.write(sent);
    if (pauseMs > 0) await sleep(pauseMs);
  }
  await done;
  socket.destroy();
  return text;
};

const statusesOf = (text: string): string[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((it) => it[1] ?? '');

const postHead = (id: string, ...headers: readonly string[]): string =>
  `POST /q/${id} HTTP/1.1\r\nHost: h\r\n${KEY}${headers.join('')}\r\n`;

interface CalmCase {
  readonly name: string;
  readonly pieces: readonly Piece[];
  readonly statuses: readonly string[];
}

const LARGEST = jobOf(BODY_BYTES);
const SMALL = jobOf(0);
const SLOW_PIECES = 12;
const LONG_SPEC = JSON.stringify({ spec: 'x'.repeat(4000), steps: [{ count: 1 }] });

const inOneByteChunks = (body: string): string =>
  `${[...body].map((it) => `1\r\n${it}\r\n`).join('')}0\r\n\r\n`;

const withLength = (id: string, body: string): string =>
  `${postHead(id, `Content-Length: ${body.length}\r\n`)}${body}`;

const CALM_CASES: readonly CalmCase[] = [
  {
    name: 'the largest body',
    pieces: [{ text: withLength('0000000000000001', LARGEST), pauseMs: 0 }],
    statuses: ['200'],
  },
  {
    name: 'the largest body, a byte a chunk',
    pieces: [
      {
        text: `${postHead('0000000000000002', 'Transfer-Encoding: chunked\r\n')}${inOneByteChunks(LARGEST)}`,
        pauseMs: 0,
      },
    ],
    statuses: ['200'],
  },
  {
    name: 'the longest spec',
    pieces: [{ text: withLength('0000000000000003', LONG_SPEC), pauseMs: 0 }],
    statuses: ['200'],
  },
  {
    name: 'a body that arrives slowly, within the deadline of its caller',
    pieces: [
      {
        text: postHead(
          '0000000000000004',
          'Auburnlift-Deadline-Ms: 30000\r\n',
          `Content-Length: ${SMALL.length}\r\n`,
        ),
        pauseMs: 0,
      },
      ...Array.from({ length: SLOW_PIECES }, (_, index) => {
        const pieceBytes = Math.ceil(SMALL.length / SLOW_PIECES);
        return { text: SMALL.slice(index * pieceBytes, (index + 1) * pieceBytes), pauseMs: 400 };
      }),
    ],
    statuses: ['200'],
  },
  {
    name: 'several sent ahead, answered in order',
    pieces: [
      {
        text: [
          withLength('0000000000000005', SMALL),
          `GET /q/0000000000000005 HTTP/1.1\r\nHost: h\r\n${KEY}\r\n`,
          `GET /none HTTP/1.1\r\nHost: h\r\n\r\n`,
          `GET /q/00000000000000ff HTTP/1.1\r\nHost: h\r\n${KEY}\r\n`,
          ...Array.from(
            { length: 20 },
            () => `GET /q/0000000000000005 HTTP/1.1\r\nHost: h\r\n${KEY}\r\n`,
          ),
        ].join(''),
        pauseMs: 0,
      },
    ],
    statuses: ['200', '200', '404', '410', ...Array.from({ length: 20 }, () => '200')],
  },
  {
    name: 'a connection that is used now and then',
    pieces: Array.from({ length: 4 }, () => ({
      text: `GET /q/00000000000000ff HTTP/1.1\r\nHost: h\r\n${KEY}\r\n`,
      pauseMs: 3000,
    })),
    statuses: ['410', '410', '410', '410'],
  },
  {
    name: 'a body over the limit, as soon as its head is there',
    pieces: [
      { text: postHead('0000000000000006', `Content-Length: ${BODY_BYTES + 1}\r\n`), pauseMs: 0 },
    ],
    statuses: ['413'],
  },
  {
    name: 'a body without a key, as soon as its head is there',
    pieces: [
      {
        text: 'POST /q/0000000000000007 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n',
        pauseMs: 0,
      },
    ],
    statuses: ['401'],
  },
  {
    name: 'a body to an unknown path, as soon as its head is there',
    pieces: [
      {
        text: 'POST /none/0000000000000008 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n',
        pauseMs: 0,
      },
    ],
    statuses: ['404'],
  },
  {
    name: 'a body that is announced to be sent on once it is wanted',
    pieces: [
      {
        text: postHead(
          '0000000000000009',
          'Expect: 100-continue\r\n',
          `Content-Length: ${SMALL.length}\r\n`,
        ),
        pauseMs: 200,
      },
      { text: SMALL, pauseMs: 0 },
    ],
    statuses: ['100', '200'],
  },
];

test.describe('in calm an entry answers', () => {
  for (const { name, pieces, statuses } of CALM_CASES) {
    // Guards against limits that an ordinary client meets.
    test.it(name, async () => {
      const site = await poolSite.startPoolSite({ program: 'poolEntry', limits: LIMITS });
      try {
        const text = await exchange(site.ports.front, pieces, 'HTTP/1.1 ', statuses.length);
        assert.deepEqual(statusesOf(text), statuses);
        poolSite.assertWithinLimits(site, LIMITS);
      } finally {
        await site.dispose();
      }
    });
  }

  // Guards against connections that are reset before the refusal of a large body could be read.
  test.it('a body far over the limit that is sent on without a pause with 413', async () => {
    const site = await poolSite.startPoolSite({ program: 'poolEntry', limits: LIMITS });
    try {
      const head = postHead('000000000000000a', 'Transfer-Encoding: chunked\r\n');
      const chunk = `c350\r\n${'x'.repeat(50_000)}\r\n`;
      const pieces = Array.from({ length: 40 }, () => ({ text: chunk, pauseMs: 5 }));
      const text = await exchange(
        site.ports.front,
        [{ text: head, pauseMs: 0 }, ...pieces],
        'HTTP/1.1 ',
        1,
      );
      assert.deepEqual(statusesOf(text), ['413']);
    } finally {
      await site.dispose();
    }
  });
});
