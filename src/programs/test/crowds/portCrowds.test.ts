/**
 * Crowds at the other ports of the pool programs: readiness, the ports between processes and the port of an agent
 * for its worker.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as bootFile from '../../../platform/test/bootFile.js';

import * as crowd from './crowd.js';
import * as poolSite from './poolSite.js';

const LIMITS: poolSite.SiteLimits = { memoryMb: 160, heapMb: 48, maxFds: 1000 };

const HEARTBEAT = JSON.stringify({
  backend: 'service',
  addr: '127.0.0.1:1',
  zone: 'zone',
  state: 'ready',
  capacity: { cpu: 1000, mem_mb: 1000, gpu: 8 },
  labels: ['a', 'r1'],
  seq: 1,
  born: 1,
});

const smallChunks = (path: string): crowd.Crowd => ({
  connections: 60,
  isReading: false,
  sending: () => ({
    head: `POST ${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`,
    unit: '1\r\nx\r\n',
    times: 100_000,
  }),
});

const sentAhead = (path: string): crowd.Crowd => ({
  connections: 60,
  isReading: false,
  sending: () => ({ head: '', unit: `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`, times: 20_000 }),
});

const silent: crowd.Crowd = {
  connections: 60,
  isReading: false,
  sending: () => ({ head: 'POST / HTTP/1.1\r\n', unit: '', times: 0 }),
};

interface PortCase {
  readonly name: string;
  readonly program: poolSite.SiteOptions['program'];
  readonly port: keyof poolSite.SitePorts;
  readonly crowd: crowd.Crowd;
  /** An ordinary call to the same port, which is answered 200. */
  readonly ordinary: { readonly method: string; readonly path: string; readonly body?: string };
}

const READY = { method: 'GET', path: '/-/ready' };
const METRICS = { method: 'GET', path: '/metrics' };
const BEAT = { method: 'POST', path: bootFile.HEARTBEAT_PATH, body: HEARTBEAT };

const PORT_CASES: readonly PortCase[] = [
  {
    name: 'readiness of an entry: requests sent ahead',
    program: 'poolEntry',
    port: 'ready',
    crowd: sentAhead('/-/ready'),
    ordinary: READY,
  },
  {
    name: 'readiness of an entry: open bodies in chunks of one byte',
    program: 'poolEntry',
    port: 'ready',
    crowd: smallChunks('/-/ready'),
    ordinary: READY,
  },
  {
    name: 'other processes of an entry: metrics sent ahead',
    program: 'poolEntry',
    port: 'peers',
    crowd: sentAhead('/metrics'),
    ordinary: METRICS,
  },
  {
    name: 'other processes of an entry: relay calls in chunks of one byte',
    program: 'poolEntry',
    port: 'peers',
    crowd: smallChunks('/rpc/relay'),
    ordinary: METRICS,
  },
  {
    name: 'other processes of a scheduler: calls in chunks of one byte',
    program: 'poolScheduler',
    port: 'peers',
    crowd: smallChunks('/rpc/jobChanged'),
    ordinary: METRICS,
  },
  {
    name: 'other processes of an agent: calls in chunks of one byte',
    program: 'poolAgent',
    port: 'peers',
    crowd: smallChunks('/rpc/order'),
    ordinary: METRICS,
  },
  {
    name: 'the worker of an agent: connections that say nothing',
    program: 'poolAgent',
    port: 'control',
    crowd: silent,
    ordinary: BEAT,
  },
  {
    name: 'the worker of an agent: heartbeats in chunks of one byte',
    program: 'poolAgent',
    port: 'control',
    crowd: smallChunks(bootFile.HEARTBEAT_PATH),
    ordinary: BEAT,
  },
];

test.describe('a process lives, stays within its limits and answers beside a crowd at its port for', () => {
  for (const { name, program, port, crowd: guests, ordinary } of PORT_CASES) {
    // Guards against limits that hold at the callers' port only.
    test.it(name, async () => {
      const site = await poolSite.startPoolSite({ program, limits: LIMITS });
      try {
        const connected = await crowd.connectCrowd(site.ports[port], guests);
        poolSite.assertWithinLimits(site, LIMITS);
        await poolSite.untilAnswered(site, 'an ordinary call is answered', async () => {
          const { method, path, body } = ordinary;
          const answer = await poolSite.ask(site.ports[port], method, path, body);
          return answer.status === 200;
        });
        poolSite.assertWithinLimits(site, LIMITS);
        assert.ok(connected.answers().length > 0);
        connected.dispose();
      } finally {
        await site.dispose();
      }
    });
  }
});
