/**
 * Crowds of clients that don't behave at an entry: the process lives, its memory and sockets stay under its limits,
 * and an ordinary caller is answered while the crowd is still connected.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as bootFile from '../../../platform/test/bootFile.js';
import * as until from '../../../standins/test/until.js';

import * as crowd from './crowd.js';
import * as poolSite from './poolSite.js';

const JOB = JSON.stringify({ spec: 'text', steps: [{ count: 2, gpu: 1, est_ms: 500 }] });

/** An entry with less than half of the memory and heap that it usually has. */
const LIMITS: poolSite.SiteLimits = { memoryMb: 160, heapMb: 48, maxFds: 1000 };

/** An entry whose sockets are used up by a crowd of 300. */
const FEW_SOCKETS: poolSite.SiteLimits = { ...LIMITS, maxFds: 400 };

/** The largest body that the configuration of the tests allows. */
const BODY_BYTES = 262_144;

const KEY = bootFile.API_KEY_LINE;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const idOf = (index: number): string => index.toString(16).padStart(16, '0');

const headOf = (method: string, path: string, ...headers: readonly string[]): string =>
  `${method} ${path} HTTP/1.1\r\nHost: h\r\n${headers.join('')}\r\n`;

const chunkOf = (bytes: number): string => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

const lengthOf = (bytes: number): string => `Content-Length: ${bytes}\r\n`;

interface CrowdCase {
  readonly name: string;
  /** Which failure the case guards against. */
  readonly failure: string;
  readonly limits?: poolSite.SiteLimits;
  readonly storeDelayMs?: number;
  readonly crowd: crowd.Crowd;
}

const CROWD_CASES: readonly CrowdCase[] = [
  {
    name: 'open bodies in chunks of one byte, with a known key and path',
    failure: 'each chunk held an object and a slice of a receive buffer until the body ended',
    crowd: {
      connections: 60,
      isReading: false,
      sending: (index) => ({
        head: headOf('POST', `/q/${idOf(index)}`, KEY, CHUNKED),
        unit: chunkOf(1),
        times: 100_000,
      }),
    },
  },
  {
    name: 'open bodies in chunks of one byte, without a key to an unknown path',
    failure: 'bodies were kept before anything that refuses the request was looked at',
    crowd: {
      connections: 60,
      isReading: false,
      sending: (index) => ({
        head: headOf('POST', `/none/${idOf(index)}`, CHUNKED),
        unit: chunkOf(1),
        times: 100_000,
      }),
    },
  },
  {
    name: 'chunked bodies in large chunks that stop short of their end',
    failure: 'bodies up to the built-in limit were kept for as many connections as there were',
    crowd: {
      connections: 150,
      isReading: false,
      sending: (index) => ({
        head: headOf('POST', `/q/${idOf(index)}`, KEY, CHUNKED),
        unit: chunkOf(50_000),
        times: 20,
      }),
    },
  },
  {
    name: 'announced bodies inside the limit that stop just short of their end',
    failure: 'the bytes of all open bodies together had no limit on the ports of an entry',
    crowd: {
      connections: 500,
      isReading: false,
      sending: (index) => ({
        head: headOf('POST', `/q/${idOf(index)}`, KEY, lengthOf(BODY_BYTES)),
        unit: 'x'.repeat(BODY_BYTES - 10),
        times: 1,
      }),
    },
  },
  {
    name: 'announced bodies far over the limit that are sent on',
    failure: 'what is known from the head has to be refused before the body is taken',
    crowd: {
      connections: 100,
      isReading: false,
      sending: (index) => ({
        head: headOf('POST', `/q/${idOf(index)}`, KEY, lengthOf(1_000_000_000)),
        unit: 'x'.repeat(50_000),
        times: 100,
      }),
    },
  },
  {
    name: 'requests sent ahead with a known key, their answers unread',
    failure: 'all requests of a received piece were worked on at once',
    crowd: {
      connections: 60,
      isReading: false,
      sending: () => ({ head: '', unit: headOf('GET', `/q/${idOf(1)}`, KEY), times: 20_000 }),
    },
  },
  {
    name: 'requests sent ahead that name nothing known, their answers unread',
    failure: 'refusals of a received piece were all made at once and waited to be read',
    crowd: {
      connections: 60,
      isReading: false,
      sending: () => ({ head: '', unit: headOf('GET', '/none'), times: 20_000 }),
    },
  },
  {
    name: 'requests sent ahead without a Host, their answers unread',
    failure: 'the HTTP library answers such requests by itself, past every limit of the server',
    crowd: {
      connections: 60,
      isReading: false,
      sending: () => ({ head: '', unit: 'GET / HTTP/1.1\r\n\r\n', times: 60_000 }),
    },
  },
  {
    name: 'requests sent ahead that expect what nobody offers, their answers unread',
    failure: 'the HTTP library answers such requests by itself, past every limit of the server',
    crowd: {
      connections: 60,
      isReading: false,
      sending: () => ({ head: '', unit: headOf('GET', '/', 'Expect: x\r\n'), times: 30_000 }),
    },
  },
  {
    name: 'bodies of many small steps with a known key',
    failure: 'a decoded body takes many times its bytes, and all were decoded and kept at once',
    storeDelayMs: 300,
    crowd: {
      connections: 60,
      isReading: false,
      sending: (index) => {
        const body = `{"steps":[${'{"count":1},'.repeat(20_000)}{"count":1}]}`;
        const head = headOf('POST', `/q/${idOf(index)}`, KEY, lengthOf(body.length));
        return { head: '', unit: head + body, times: 4 };
      },
    },
  },
  {
    name: 'callers that leave as soon as their job is sent, while the store is slow',
    failure: 'work for callers who had left was bounded by no limit on connections',
    storeDelayMs: 700,
    crowd: {
      connections: 600,
      isReading: false,
      isLeaving: true,
      sending: (index) => {
        const body = JSON.stringify({
          spec: 'text',
          padding: 'x'.repeat(250_000),
          steps: [{ count: 1 }],
        });
        const head = headOf('POST', `/q/${idOf(index + 100)}`, KEY, lengthOf(body.length));
        return { head, unit: body, times: 1 };
      },
    },
  },
  {
    name: 'heads that never end',
    failure: 'connections without a whole request held the places of ordinary callers',
    limits: FEW_SOCKETS,
    crowd: {
      connections: 300,
      isReading: false,
      sending: () => ({ head: 'GET /q/ HTTP/1.1\r\nHost: h\r\n', unit: 'x: y\r\n', times: 3 }),
    },
  },
  {
    name: 'connections that say nothing',
    failure: 'connections without a request held the places of ordinary callers',
    limits: FEW_SOCKETS,
    crowd: {
      connections: 300,
      isReading: false,
      sending: () => ({ head: '', unit: '', times: 0 }),
    },
  },
  {
    name: 'connections that stay idle after an answer',
    failure: 'idle connections held the places of ordinary callers for over a minute',
    limits: FEW_SOCKETS,
    crowd: {
      connections: 300,
      isReading: true,
      sending: () => ({ head: headOf('GET', `/q/${idOf(1)}`, KEY), unit: '', times: 0 }),
    },
  },
];

const submitUntilStored = (site: poolSite.PoolSite): Promise<void> =>
  poolSite.untilAnswered(site, 'an ordinary job is accepted', async () => {
    const answer = await poolSite.ask(site.ports.front, 'POST', '/q/5c0e7a21d94b36f8', JOB);
    return answer.status === 200;
  });

test.describe('an entry lives, stays within its limits and answers ordinary callers beside', () => {
  for (const { name, failure, limits = LIMITS, storeDelayMs = 0, crowd: guests } of CROWD_CASES) {
    test.it(`${name} (${failure})`, async () => {
      const site = await poolSite.startPoolSite({ program: 'poolEntry', limits });
      try {
        site.store.faults.delayMs = storeDelayMs;
        const connected = await crowd.connectCrowd(site.ports.front, guests);
        site.store.faults.delayMs = 0;
        poolSite.assertWithinLimits(site, limits);
        await submitUntilStored(site);
        poolSite.assertWithinLimits(site, limits);
        connected.dispose();
      } finally {
        await site.dispose();
      }
    });
  }
});

test.describe('an entry at the edges of time', () => {
  const bodies: crowd.Crowd = {
    connections: 150,
    isReading: false,
    sending: (index) => ({
      head: headOf('POST', `/q/${idOf(index)}`, KEY, lengthOf(1_000_000)),
      unit: 'x'.repeat(999_000),
      times: 1,
    }),
  };

  const EDGE_CASES = [
    { name: 'before it has a configuration', hasConfiguration: false, hasStore: true },
    { name: 'without the store', hasConfiguration: true, hasStore: false },
  ];
  for (const { name, hasConfiguration, hasStore } of EDGE_CASES) {
    // Guards against bodies that were kept although no request could be served.
    test.it(`${name} keeps no bodies of a crowd, and refuses with when to return`, async () => {
      const site = await poolSite.startPoolSite({
        program: 'poolEntry',
        limits: LIMITS,
        hasConfiguration,
      });
      try {
        if (!hasStore) await site.stopStore();
        const connected = await crowd.connectCrowd(site.ports.front, bodies);
        poolSite.assertWithinLimits(site, LIMITS);
        await poolSite.untilAnswered(site, 'an ordinary caller is refused', async () => {
          const path = '/q/5c0e7a21d94b36f8';
          const { status, headers } = await poolSite.ask(site.ports.front, 'POST', path, JOB);
          return status === 503 && Number(headers['retry-after']) > 0;
        });
        poolSite.assertWithinLimits(site, LIMITS);
        connected.dispose();
      } finally {
        await site.dispose();
      }
    });
  }

  // Guards against a shutdown that waits up to its limit for bodies that nobody sends.
  test.it('ends long before its limit although open bodies say nothing', async () => {
    const site = await poolSite.startPoolSite({
      program: 'poolEntry',
      limits: LIMITS,
      graceS: 600,
    });
    try {
      const connected = await crowd.connectCrowd(site.ports.front, {
        connections: 50,
        isReading: false,
        sending: (index) => ({
          head: headOf('POST', `/q/${idOf(index)}`, KEY, lengthOf(1000)),
          unit: 'x'.repeat(900),
          times: 1,
        }),
      });
      site.child.kill('SIGTERM');
      await until.until('the process has ended', () => Promise.resolve(site.child.exitCode === 0));
      connected.dispose();
    } finally {
      await site.dispose();
    }
  });
});

test.describe('what a crowd leaves in logs and metrics of an entry', () => {
  // Guards against a crowd without a key that fills the log with a line for each refusal.
  test.it('is a small part of a line for each refused request', async () => {
    const requests = 20_000;
    const site = await poolSite.startPoolSite({ program: 'poolEntry', limits: LIMITS });
    try {
      const connected = await crowd.connectCrowd(site.ports.front, {
        connections: 20,
        isReading: true,
        sending: () => ({ head: '', unit: headOf('GET', '/none'), times: requests / 20 }),
      });
      await submitUntilStored(site);
      const lines = site.logLines().length;
      assert.ok(lines <= requests / 10, `${lines} lines for ${requests} refused requests`);
      connected.dispose();
    } finally {
      await site.dispose();
    }
  });

  // Guards against a histogram for each method that a client can name.
  test.it('is a bounded number of series, whatever methods are named', async () => {
    const methods = ['ACL', 'BIND', 'COPY', 'LINK', 'LOCK', 'MERGE', 'MKCOL', 'MOVE', 'NOTIFY'];
    const site = await poolSite.startPoolSite({ program: 'poolEntry', limits: LIMITS });
    try {
      for (const method of methods) await poolSite.ask(site.ports.front, method, '/none');
      const { body } = await poolSite.ask(site.ports.peers, 'GET', '/metrics');
      const named = methods.filter((method) => body.includes(`method="${method}"`));
      assert.deepEqual(named, []);
    } finally {
      await site.dispose();
    }
  });
});
