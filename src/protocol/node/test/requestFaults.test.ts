/**
 * An entry's router and agents' hosts over a faulty line, on a fake clock: what callers get and how
 * often the upstreams run a request.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import * as http from '../../../base/common/http.js';
import * as metrics from '../../../base/common/metrics.js';
import * as random from '../../../base/common/random.js';
import * as admission from '../../../coordination/common/admission.js';
import * as agentDirectory from '../../../coordination/common/agentDirectory.js';
import * as exchange from '../../common/exchange.js';
import * as requestHost from '../requestHost.js';
import * as requestRouter from '../requestRouter.js';

const SERVICE_MS = 100;
const DEADLINE_MS = 10_000;

/** What the line does with the messages of one exchange, in turn; then it is sound. */
type Fault =
  | 'sound'
  /** Nothing arrives. */
  | 'silentBefore'
  /** The agent gets it; its answer never arrives. */
  | 'silentAfter'
  | 'cutAfter'
  | 'refusedConnection'
  /** The agent dies while it runs it and comes back at once. */
  | 'restart'
  /** The answer to another exchange arrives. */
  | 'swapped';

interface World {
  readonly time: clock.FakeClock;
  readonly router: requestRouter.RequestRouter;
  readonly runs: string[];
  readonly hosts: Map<string, requestHost.RequestHost>;
  readonly settles: () => number;
}

const URLS = ['http://a:1', 'http://b:1'];

const createWorld = (faults: Fault[], isUpstreamLost = false): World => {
  const time = clock.createFakeClock(1000);
  const runs: string[] = [];
  const hosts = new Map<string, requestHost.RequestHost>();
  const counters = metrics.createMetrics();
  const sleep = (durationMs: number): Promise<void> =>
    new Promise((resolve) => {
      time.after(durationMs, resolve);
    });
  const callUpstream: http.HttpCall = async (request) => {
    runs.push(String(request.headers['request-id']));
    await sleep(SERVICE_MS);
    if (isUpstreamLost) {
      throw new http.HttpCallError(http.HttpFailure.lost, 'the answer was cut short');
    }
    return { status: 200, headers: {}, body: request.body };
  };
  let boots = 0;
  const boot = (url: string): void => {
    boots += 1;
    const host = requestHost.createRequestHost({
      bootId: `boot-${boots}`,
      clock: time,
      metrics: metrics.createMetrics(),
      call: callUpstream,
      maxQueued: 4,
      shareOf: () => admission.DEFAULT_SHARE,
    });
    const upstream = { upstreamId: url.slice(7, 8), url: 'http://u:1', slots: 2, connections: 64 };
    host.announce({ ...upstream, isLeaving: false });
    hosts.set(url, host);
  };
  URLS.forEach(boot);
  const directory = agentDirectory.createAgentDirectory();
  const register = (url: string, host: requestHost.RequestHost): void =>
    directory.register(
      {
        agentId: url.slice(7, 8),
        bootId: host.bootId,
        clockMs: host.clockMs(),
        url,
        zone: 'z',
        region: 'r',
        isLeaving: false,
        configVersion: 1,
        upstream: {
          upstreamId: url.slice(7, 8),
          slots: 2,
          connections: 64,
          ...host.load(),
        },
      },
      time.monotonicMs(),
    );
  hosts.forEach((host, url) => register(url, host));

  const ask = async (request: http.HttpRequest, isSwapped: boolean): Promise<http.HttpReply> => {
    const host = hosts.get(http.formatAddress(request.address));
    const head = JSON.parse(
      String(request.headers[exchange.REQUEST_HEADER]),
    ) as exchange.ExchangeRequest;
    const outcome = await host?.exchange(head, request.body);
    if (host === undefined || outcome === undefined) throw new Error('no host');
    const isAnswer = outcome.type === 'answer';
    const reply: exchange.ExchangeReply = {
      from: head.from,
      requestId: head.requestId,
      attemptId: isSwapped ? 'other' : head.attemptId,
      bootId: host.bootId,
      clockMs: host.clockMs(),
      kind: isAnswer ? 'answer' : 'error',
      status: isAnswer ? outcome.answer.status : 0,
      contentType: 'text/plain',
      ...host.load(),
    };
    return {
      status: 200,
      headers: { [exchange.REPLY_HEADER]: JSON.stringify(reply) },
      body: isAnswer ? outcome.answer.body : Buffer.from(JSON.stringify(outcome.error)),
    };
  };
  const never = async (request: http.HttpRequest): Promise<never> => {
    await sleep(request.timeoutMs);
    throw new http.HttpCallError(http.HttpFailure.timeout, 'silent');
  };
  const call: http.HttpCall = async (request) => {
    const fault = faults.shift() ?? 'sound';
    if (fault === 'refusedConnection') {
      throw new http.HttpCallError(http.HttpFailure.notSent, 'connection refused');
    }
    if (fault === 'silentBefore') return never(request);
    const answer = ask(request, fault === 'swapped');
    if (fault === 'silentAfter') return never(request);
    if (fault === 'restart') {
      await sleep(SERVICE_MS / 2);
      boot(http.formatAddress(request.address));
      throw new http.HttpCallError(http.HttpFailure.lost, 'connection reset');
    }
    const reply = await answer;
    if (fault === 'cutAfter') throw new http.HttpCallError(http.HttpFailure.lost, 'cut short');
    return reply;
  };
  let ids = 0;
  const router = requestRouter.createRequestRouter({
    zone: 'z',
    region: 'r',
    clock: time,
    random: random.createRandom(5),
    metrics: counters,
    directory,
    call,
    newId: () => {
      ids += 1;
      return `attempt-${ids}`;
    },
    sender: () => ({ processId: 'entry', role: 'entry', configVersion: 1 }),
    policy: () => ({
      crossRegionPriceMs: 250,
      crossRegionMaxShare: 0.05,
      retryBudgetShare: 0.1,
      ejectionCapShare: 0.5,
      defaultDeadlineMs: DEADLINE_MS,
    }),
    peerSecretHeaders: {},
  });
  return { time, router, runs, hosts, settles: () => counters.read('auburnlift_settles_total') };
};

const requestOf = (requestId: string, isIdempotent = false): requestRouter.CallerRequest => ({
  customerId: 'festivals',
  requestId,
  isIdempotent,
  deadlineMs: DEADLINE_MS,
  method: 'POST',
  path: '/plan',
  contentType: 'text/plain',
  body: Buffer.from(`body of ${requestId}`),
});

interface End {
  readonly word: string;
  readonly tookMs: number;
}

const send = async (world: World, request: requestRouter.CallerRequest): Promise<End> => {
  const startedMs = world.time.monotonicMs();
  const end = world.router.route(request).then(
    (answer) => Buffer.from(answer.body).toString('utf8'),
    (thrown: unknown) => errors.normalize(thrown).kind,
  );
  let tookMs = 0;
  void end.then(() => {
    tookMs = world.time.monotonicMs() - startedMs;
  });
  await world.time.advance(DEADLINE_MS * 2);
  return { word: await end, tookMs };
};

interface FaultCase {
  readonly name: string;
  readonly faults: Fault[];
  readonly isIdempotent?: boolean;
  readonly isUpstreamLost?: boolean;
  readonly word: string;
  readonly runs: number;
}

const ANSWER = 'body of r1';

const CASES: readonly FaultCase[] = [
  { name: 'a sound line', faults: [], word: ANSWER, runs: 1 },
  { name: 'silent on the way there', faults: ['silentBefore'], word: ANSWER, runs: 1 },
  { name: 'silent on the way back', faults: ['silentAfter'], word: ANSWER, runs: 1 },
  { name: 'the answer cut short', faults: ['cutAfter'], word: ANSWER, runs: 1 },
  { name: "another attempt's answer", faults: ['swapped'], word: ANSWER, runs: 1 },
  {
    name: 'no connection to the first agent',
    faults: ['refusedConnection'],
    word: ANSWER,
    runs: 1,
  },
  { name: 'the agent restarted', faults: ['restart'], word: 'outcomeUnknown', runs: 1 },
  { name: 'the agent restarted', faults: ['restart'], isIdempotent: true, word: ANSWER, runs: 2 },
  {
    name: 'silent for the question too',
    faults: ['silentAfter', 'silentBefore'],
    word: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'the agent is gone for the question',
    faults: ['cutAfter', 'refusedConnection'],
    word: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'the upstream dies after it ran',
    faults: [],
    isUpstreamLost: true,
    word: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'every connection is refused',
    faults: ['refusedConnection', 'refusedConnection'],
    word: 'noUpstream',
    runs: 0,
  },
];

for (const it of CASES) {
  const kind = it.isIdempotent === true ? 'idempotent' : 'not idempotent';
  test.test(`${it.name}, ${kind}: ${it.word}, ${it.runs} runs`, async () => {
    const world = createWorld([...it.faults], it.isUpstreamLost);
    const end = await send(world, requestOf('r1', it.isIdempotent));
    assert.equal(end.word, it.word);
    assert.equal(world.runs.length, it.runs);
    assert.ok(end.tookMs <= DEADLINE_MS, 'the caller has its answer within the deadline');
  });
}

test.test('a burst: what is refused says so at once and never runs', async () => {
  // Many organisers call in the same second. Some are answered, the rest hear at once when to come
  // back; none that was refused is found among the runs.
  const world = createWorld([]);
  const kinds: string[] = [];
  for (let index = 0; index < 60; index += 1) {
    world.router.route(requestOf(`r${index}`)).then(
      () => kinds.push('answered'),
      (thrown: unknown) => kinds.push(errors.normalize(thrown).kind),
    );
  }
  await world.time.advance(SERVICE_MS);
  const refusedAtOnce = kinds.filter((it) => it === 'overloaded').length;
  await world.time.advance(DEADLINE_MS);
  assert.ok(refusedAtOnce >= 40, String(refusedAtOnce));
  assert.equal(kinds.filter((it) => it === 'answered').length, world.runs.length);
  assert.equal(new Set(world.runs).size, world.runs.length);
});

test.test('an upstream has at most half of its connections in use', async () => {
  const world = createWorld([]);
  const upstream = { upstreamId: 'u', url: 'http://u:1', slots: 8, connections: 4 };
  world.hosts.forEach((it) => it.announce({ ...upstream, isLeaving: false }));
  const sent = Array.from({ length: 9 }, (_, index) =>
    world.router.route(requestOf(`r${index}`)).catch(errors.normalize),
  );
  await world.time.advance(SERVICE_MS / 2);
  const running = [...world.hosts.values()].map((it) => it.load().running);
  assert.deepEqual(running, [2, 2]);
  await world.time.advance(DEADLINE_MS);
  await Promise.all(sent);
});

test.test('an upstream that leaves finishes what it has and gets nothing new', async () => {
  const world = createWorld([]);
  const first = world.router.route(requestOf('r1'));
  await world.time.advance(1);
  world.hosts.forEach((host) => host.leave());
  const second = world.router.route(requestOf('r2')).catch(errors.normalize);
  await world.time.advance(DEADLINE_MS);
  assert.equal(Buffer.from((await first).body).toString('utf8'), ANSWER);
  assert.equal(((await second) as errors.AuburnliftError).kind, 'draining');
  assert.deepEqual(world.runs, ['r1']);
});

test.test(
  'a caller that repeats its key at the same agent gets the first answer again',
  async () => {
    const world = createWorld([]);
    const [url] = URLS;
    world.hosts.get(URLS[1] ?? '')?.leave();
    const answers = [await send(world, requestOf('r1')), await send(world, requestOf('r1'))];
    assert.deepEqual(
      answers.map((it) => it.word),
      [ANSWER, ANSWER],
    );
    assert.deepEqual([world.runs.length, world.hosts.has(url ?? '')], [1, true]);
  },
);
