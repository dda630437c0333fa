/**
 * Measures the overhead of entry and agent over a direct call, on loopback in one process: latency,
 * requests per second of one core (callers, entry, agent and upstream) and memory per open request.
 */
import * as hdr from 'hdr-histogram-js';

import * as clock from '../base/common/clock.js';
import * as http from '../base/common/http.js';
import * as metrics from '../base/common/metrics.js';
import * as random from '../base/common/random.js';
import * as systemClock from '../base/node/systemClock.js';
import * as admission from '../coordination/common/admission.js';
import * as agentDirectory from '../coordination/common/agentDirectory.js';
import * as requestHost from '../protocol/node/requestHost.js';
import * as requestRouter from '../protocol/node/requestRouter.js';
import * as callerApi from '../transport/node/callerApi.js';
import * as exchangeServer from '../transport/node/exchangeServer.js';
import * as httpClient from '../transport/node/httpClient.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as rpcClient from '../transport/node/rpcClient.js';

const SECRET = 'bench-secret-of-no-value';
const CALLS = 4000;
const WARM_UP = 1000;
const CONCURRENCY = 8;
const SLOTS = 64;
const OPEN_REQUESTS = 2000;
const MAX_BODY_BYTES = 1_048_576;
const MICROSECONDS_PER_MS = 1000;
const LISTEN = {
  host: '127.0.0.1',
  port: 0,
  maxBodyBytes: MAX_BODY_BYTES,
  maxConnections: 4096,
};
const POLICY = {
  crossRegionPriceMs: 250,
  crossRegionMaxShare: 0.05,
  retryBudgetShare: 0.1,
  ejectionCapShare: 0.34,
  defaultDeadlineMs: 30_000,
};

const unexpectedCall = (): never => {
  throw new Error('unexpected call in this measurement');
};

interface TestSetup {
  readonly directUrl: http.Address;
  readonly entryUrl: http.Address;
  /** Blocks later requests at the upstream until the returned function is called. */
  readonly hold: () => () => void;
  readonly dispose: () => Promise<void>;
}

const createClient = (timeSource: clock.Clock): httpClient.HttpClient =>
  httpClient.createHttpClient({
    clock: timeSource,
    maxConnections: 4096,
    maxIdleMs: 20_000,
    maxReplyBytes: MAX_BODY_BYTES,
  });

const startSetup = async (client: httpClient.HttpClient): Promise<TestSetup> => {
  const time = systemClock.systemClock;
  let gate: Promise<void> = Promise.resolve();
  const upstream = await httpServer.listen(
    LISTEN,
    httpServer.toListener(async (request) => {
      await gate;
      return { status: 200, body: request.body };
    }, MAX_BODY_BYTES),
  );
  const host = requestHost.createRequestHost({
    bootId: 'boot-1',
    clock: time,
    metrics: metrics.createMetrics(),
    call: client.call,
    maxQueued: OPEN_REQUESTS,
    shareOf: () => admission.DEFAULT_SHARE,
  });
  const upstreamUrl = http.formatAddress(upstream.address);
  const announce = (): void =>
    host.announce({
      upstreamId: 'upstream-1',
      url: upstreamUrl,
      slots: SLOTS,
      connections: 2 * SLOTS,
      isLeaving: false,
    });
  announce();
  const announcing = setInterval(announce, 1000);
  const sender = (role: 'agent' | 'entry') => ({ processId: role, role, configVersion: 1 });
  const agent = await httpServer.listen(
    LISTEN,
    exchangeServer.createExchangeListener({
      peerSecret: SECRET,
      maxBodyBytes: MAX_BODY_BYTES,
      sender: () => sender('agent'),
      host,
      recordVersion: () => {},
      fallback: unexpectedCall,
    }),
  );
  const directory = agentDirectory.createAgentDirectory();
  const { running, queued, serviceMs, isLeaving } = host.load();
  directory.register(
    {
      agentId: 'agent',
      bootId: host.bootId,
      clockMs: host.clockMs(),
      url: http.formatAddress(agent.address),
      zone: 'z',
      region: 'r',
      isLeaving,
      configVersion: 1,
      upstream: {
        upstreamId: 'upstream-1',
        slots: SLOTS,
        connections: 2 * SLOTS,
        isLeaving,
        running,
        queued,
        serviceMs,
      },
    },
    time.monotonicMs(),
  );
  let ids = 0;
  const newId = (): string => {
    ids += 1;
    return `id-${ids}`;
  };
  const entryMetrics = metrics.createMetrics();
  const router = requestRouter.createRequestRouter({
    zone: 'z',
    region: 'r',
    clock: time,
    random: random.createRandom(1),
    metrics: entryMetrics,
    directory,
    call: client.call,
    newId,
    sender: () => sender('entry'),
    policy: () => POLICY,
    peerSecretHeaders: { [rpcClient.PEER_SECRET_HEADER]: SECRET },
  });
  const entry = await httpServer.listen(
    LISTEN,
    httpServer.toListener(
      callerApi.createCallerApi({
        health: { notReadyReason: () => undefined, metrics: entryMetrics },
        router,
        jobs: { submit: unexpectedCall, show: unexpectedCall, cancel: unexpectedCall },
        defaultDeadlineMs: () => POLICY.defaultDeadlineMs,
        isKnownCustomer: () => true,
        newId,
        maxOpenRequests: 2 * OPEN_REQUESTS,
        isDraining: () => false,
      }),
      MAX_BODY_BYTES,
    ),
  );
  return {
    directUrl: upstream.address,
    entryUrl: entry.address,
    hold: () => {
      let release = (): void => {};
      gate = new Promise((resolve) => {
        release = resolve;
      });
      return release;
    },
    dispose: async () => {
      clearInterval(announcing);
      await Promise.all([entry.dispose(), agent.dispose(), upstream.dispose()]);
    },
  };
};

interface Measured {
  readonly histogram: hdr.Histogram;
  readonly cpuMsPerCall: number;
}

const measure = async (
  calls: number,
  lanes: number,
  one: () => Promise<unknown>,
): Promise<Measured> => {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  const lane = async (): Promise<void> => {
    for (let index = 0; index < calls / lanes; index += 1) {
      const startedMs = performance.now();
      await one();
      histogram.recordValue(Math.round((performance.now() - startedMs) * MICROSECONDS_PER_MS));
    }
  };
  const before = process.cpuUsage();
  await Promise.all(Array.from({ length: lanes }, lane));
  const { user, system } = process.cpuUsage(before);
  return { histogram, cpuMsPerCall: (user + system) / MICROSECONDS_PER_MS / calls };
};

const quantileMs = ({ histogram }: Measured, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;

/**
 * @param print - called with each line of the results
 */
export const measureLoopback = async (print: (line: string) => void): Promise<void> => {
  const client = createClient(systemClock.systemClock);
  const bed = await startSetup(client);
  const body = Buffer.alloc(1024, 'x');
  const send = (address: http.Address, path: string) => async (): Promise<void> => {
    const headers = { 'auburnlift-customer': 'festivals', 'content-type': 'text/plain' };
    const timeoutMs = 30_000;
    const reply = await client.call({ address, method: 'POST', path, headers, body, timeoutMs });
    if (reply.status !== 200) throw new Error(`status ${reply.status}`);
  };
  const direct = send(bed.directUrl, '/');
  const through = send(bed.entryUrl, '/call/');
  await measure(WARM_UP, CONCURRENCY, direct);
  await measure(WARM_UP, CONCURRENCY, through);
  const alone = await measure(CALLS / 4, 1, direct);
  const passedAlone = await measure(CALLS / 4, 1, through);
  const directly = await measure(CALLS, CONCURRENCY, direct);
  const passed = await measure(CALLS, CONCURRENCY, through);
  const describe = (name: string, it: Measured): void => {
    const [p50, p99] = [50, 99].map((one) => quantileMs(it, one).toFixed(2));
    const cpu = it.cpuMsPerCall.toFixed(3);
    print(`${name}: p50 ${p50} ms, p99 ${p99} ms, ${cpu} ms of CPU, callers included`);
  };
  describe('direct, one at a time', alone);
  describe('through entry and agent, one at a time', passedAlone);
  describe(`direct, ${CONCURRENCY} at once`, directly);
  describe(`through entry and agent, ${CONCURRENCY} at once`, passed);
  const [p50, p99] = [50, 99].map((it) =>
    (quantileMs(passedAlone, it) - quantileMs(alone, it)).toFixed(2),
  );
  print(`added by entry and agent, one at a time: p50 ${p50} ms, p99 ${p99} ms`);
  const addedMs = passed.cpuMsPerCall - directly.cpuMsPerCall;
  print(`entry and agent: ${(1000 / addedMs).toFixed(0)} requests per second of one core`);
  const release = bed.hold();
  globalThis.gc?.();
  const beforeBytes = process.memoryUsage().rss;
  const open = Array.from({ length: OPEN_REQUESTS }, through);
  await new Promise((resolve) => {
    setTimeout(resolve, 1500);
  });
  const bytes = (process.memoryUsage().rss - beforeBytes) / OPEN_REQUESTS;
  print(
    `resident memory for each of ${OPEN_REQUESTS} open requests of 1 KB, callers included: ${(bytes / 1024).toFixed(1)} KB`,
  );
  release();
  const ends = await Promise.allSettled(open);
  print(`of these answered: ${ends.filter((it) => it.status === 'fulfilled').length}`);
  await bed.dispose();
  await client.dispose();
};
