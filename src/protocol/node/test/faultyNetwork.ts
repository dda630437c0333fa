/**
 * Test harness: an entry's router and agents' hosts over a faulty network, on a fake clock. Tests
 * check the callers' results and how often the upstreams run a request.
 */
import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import * as http from '../../../base/common/http.js';
import * as metrics from '../../../base/common/metrics.js';
import * as random from '../../../base/common/random.js';
import * as admission from '../../../coordination/common/admission.js';
import * as agentDirectory from '../../../coordination/common/agentDirectory.js';
import type * as requestClaims from '../../../coordination/node/requestClaims.js';
import * as exchange from '../../common/exchange.js';
import * as requestHost from '../requestHost.js';
import * as requestRouter from '../requestRouter.js';

/** Time that an upstream takes for a request. */
export const SERVICE_MS = 100;
/** Deadline of the requests. */
export const DEADLINE_MS = 10_000;

/** Fault of one exchange; once the list of faults is used up, all exchanges succeed. */
export type Fault =
  | 'sound'
  /** The message is lost. */
  | 'silentBefore'
  /** The reply is lost. */
  | 'silentAfter'
  | 'cutAfter'
  | 'refusedConnection'
  /** The agent crashes while it runs the request and restarts immediately. */
  | 'restart'
  /** The reply to another exchange arrives. */
  | 'swapped';

interface FakeClaims extends requestClaims.RequestClaims {
  isDown: boolean;
}

const createFakeClaims = (): FakeClaims => {
  const held = new Map<string, { claim: requestClaims.Claim; revision: number }>();
  let revision = 0;
  const claims: FakeClaims = {
    isDown: false,
    take: (key, expectedRevision, claim) => {
      const current = held.get(key);
      if (claims.isDown) return Promise.reject(errors.fail('storeUnavailable', 'down'));
      if ((current?.revision ?? 0) !== expectedRevision && current !== undefined) {
        return Promise.resolve({ type: 'held', ...current });
      }
      revision += 1;
      held.set(key, { claim, revision });
      return Promise.resolve({ type: 'taken', revision });
    },
  };
  return claims;
};

/** Entries, agents and the ids of the requests that the upstreams ran. */
export interface Harness {
  readonly time: clock.FakeClock;
  readonly router: requestRouter.RequestRouter;
  /** Router of another entry with the same agents and the same store. */
  readonly otherRouter: requestRouter.RequestRouter;
  readonly claims: FakeClaims;
  readonly runs: string[];
  readonly hosts: Map<string, requestHost.RequestHost>;
  readonly settles: () => number;
  /** Restarts the agent at the URL. */
  readonly boot: (url: string) => void;
}

/** URLs of the two agents. */
export const URLS = ['http://a:1', 'http://b:1'];

/**
 * @param faults - faults of the exchanges, in order
 * @param isUpstreamLost - whether upstreams run requests and then lose their answers
 * @returns two entries and two agents
 */
export const createHarness = (faults: Fault[], isUpstreamLost = false): Harness => {
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

  const exchangeWithHost = async (
    request: http.HttpRequest,
    isSwapped: boolean,
  ): Promise<http.HttpReply> => {
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
  const timeOut = async (request: http.HttpRequest): Promise<never> => {
    await sleep(request.timeoutMs);
    throw new http.HttpCallError(http.HttpFailure.timeout, 'silent');
  };
  const call: http.HttpCall = async (request) => {
    const fault = faults.shift() ?? 'sound';
    if (fault === 'refusedConnection') {
      throw new http.HttpCallError(http.HttpFailure.notSent, 'connection refused');
    }
    if (fault === 'silentBefore') return timeOut(request);
    const answer = exchangeWithHost(request, fault === 'swapped');
    if (fault === 'silentAfter') return timeOut(request);
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
  const claims = createFakeClaims();
  const createRouter = (): requestRouter.RequestRouter =>
    requestRouter.createRequestRouter({
      claims,
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
  const [router, otherRouter] = [createRouter(), createRouter()];
  return {
    time,
    router,
    otherRouter,
    claims,
    boot,
    runs,
    hosts,
    settles: () => counters.read('auburnlift_settles_total'),
  };
};

/**
 * @param requestId - the idempotency key
 * @param isIdempotent - whether a second run does no harm
 * @returns a request
 */
export const requestOf = (
  requestId: string,
  isIdempotent = false,
): requestRouter.CallerRequest => ({
  customerId: 'festivals',
  requestId,
  isIdempotent,
  deadlineMs: DEADLINE_MS,
  method: 'POST',
  path: '/plan',
  contentType: 'text/plain',
  body: Buffer.from(`body of ${requestId}`),
});

/** Result of a request. */
export interface RequestResult {
  readonly outcome: string;
  readonly tookMs: number;
}

/**
 * @param harness - routers and agents
 * @param request - the request
 * @returns its result for the caller
 */
export const send = async (
  harness: Harness,
  request: requestRouter.CallerRequest,
): Promise<RequestResult> => {
  const startedMs = harness.time.monotonicMs();
  const end = harness.router.route(request).then(
    (answer) => Buffer.from(answer.body).toString('utf8'),
    (thrown: unknown) => errors.normalize(thrown).kind,
  );
  let tookMs = 0;
  void end.then(() => {
    tookMs = harness.time.monotonicMs() - startedMs;
  });
  await harness.time.advance(DEADLINE_MS * 2);
  return { outcome: await end, tookMs };
};
