/**
 * Crowds of clients that don't behave at the programs of the product itself: the entry's ports for callers, operators
 * and other processes, and the agent's.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as http from '../../../base/common/http.js';
import * as systemClock from '../../../base/node/systemClock.js';
import * as configurationStore from '../../../coordination/node/configurationStore.js';
import * as memoryStore from '../../../standins/memoryStore.js';
import * as storeServer from '../../../standins/storeServer.js';
import * as until from '../../../standins/test/until.js';
import * as childPrograms from '../childPrograms.js';
import * as smallConfiguration from '../smallConfiguration.js';

import * as crowd from './crowd.js';
import * as poolSite from './poolSite.js';

const LOOPBACK = { host: '127.0.0.1', port: 0 } as const;

const FLAGS = ['--max-old-space-size=48', '--max-semi-space-size=4'];

/** As much as a process of the pool with this heap. */
const MEMORY_MB = 160;

const smallChunks = (path: string): crowd.Crowd => ({
  connections: 60,
  isReading: false,
  sending: () => ({
    head: [
      `POST ${path} HTTP/1.1\r\nHost: h\r\nAuburnlift-Customer: customer-a\r\n`,
      'Auburnlift-Idempotent: true\r\nTransfer-Encoding: chunked\r\n\r\n',
    ].join(''),
    unit: '1\r\nx\r\n',
    times: 100_000,
  }),
});

const sentAhead = (path: string): crowd.Crowd => ({
  connections: 60,
  isReading: false,
  sending: () => ({ head: '', unit: `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`, times: 20_000 }),
});

interface ProductCase {
  readonly name: string;
  /** Field of the `started` line with the port's address. */
  readonly port: 'callersUrl' | 'operatorsUrl' | 'url';
  readonly crowd: crowd.Crowd;
}

const PRODUCT_CASES: readonly ProductCase[] = [
  {
    name: 'callers: bodies in chunks of one byte',
    port: 'callersUrl',
    crowd: smallChunks('/call/plan'),
  },
  { name: 'callers: requests sent ahead', port: 'callersUrl', crowd: sentAhead('/call/plan') },
  {
    name: 'operators: bodies in chunks of one byte',
    port: 'operatorsUrl',
    crowd: smallChunks('/api/config'),
  },
  {
    name: 'other processes: calls in chunks of one byte',
    port: 'url',
    crowd: smallChunks('/rpc/register'),
  },
  { name: 'other processes: metrics sent ahead', port: 'url', crowd: sentAhead('/metrics') },
];

test.describe("the product's entry lives, stays within its memory and answers beside", () => {
  for (const { name, port, crowd: guests } of PRODUCT_CASES) {
    // Guards against limits that hold in the pool's programs only.
    test.it(name, async () => {
      const store = memoryStore.createMemoryStore(systemClock.systemClock);
      const served = await storeServer.serveStore(store);
      const programs = childPrograms.createChildPrograms();
      try {
        await configurationStore.writeConfiguration(
          store,
          {
            baseVersion: 0,
            writeId: 'first',
            author: 'test',
            reason: 'first',
            document: smallConfiguration.smallConfiguration(1),
          },
          0,
        );
        const entry = await programs.start(
          'auburnliftEntry',
          {
            processId: 'entry-1',
            region: 'region-a',
            zone: 'zone-a',
            peers: LOOPBACK,
            peerSecret: 'a-secret-of-this-test-only',
            logLevel: 'info',
            drainMs: 3000,
            storeUrl: http.formatAddress(served.address),
            storeTimeoutMs: 1000,
            leaseMs: 1500,
            callers: LOOPBACK,
            operators: LOOPBACK,
            operatorTokens: [],
            maxBodyBytes: 1_048_576,
            maxOpenRequests: 100,
            maxOpenBytes: 8_388_608,
          },
          FLAGS,
        );
        const addressOf = (field: ProductCase['port']): http.Address =>
          http.parseAddress(entry.started.get(field) ?? '');
        const connected = await crowd.connectCrowd(addressOf(port).port, guests);
        await until.until('an ordinary call is answered', async () => {
          const path = port === 'operatorsUrl' ? '/console' : '/healthz';
          const { status } = await poolSite.ask(addressOf(port).port, 'GET', path);
          return status < 500;
        });
        const memoryMb = Math.round(poolSite.peakMemoryMbOf(entry.processId));
        assert.ok(memoryMb <= MEMORY_MB, `${memoryMb} MB of ${MEMORY_MB} MB`);
        connected.dispose();
      } finally {
        await programs.dispose();
        await served.dispose();
      }
    });
  }
});
