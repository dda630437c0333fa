/**
 * The part of an entry that takes a caller's request to an upstream and its whole answer back.
 *
 * Guards against running a request twice: only a typed refusal, or the agent's word over a fresh
 * connection that it never ran, lets the request go elsewhere. Where neither can be had, a request
 * that is not idempotent ends as `outcomeUnknown`.
 */
import type * as clock from '../../base/common/clock.js';
import * as errorKinds from '../../base/common/errorKinds.js';
import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import type * as metrics from '../../base/common/metrics.js';
import type * as random from '../../base/common/random.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import type * as agentDirectory from '../../coordination/common/agentDirectory.js';
import * as routing from '../../coordination/common/routing.js';
import type * as configuration from '../../state/common/configuration.js';
import type * as envelope from '../common/envelope.js';
import * as exchange from '../common/exchange.js';

/** A caller's request. */
export interface CallerRequest {
  readonly customerId: string;
  /** The caller's idempotency key, or an id that the entry made. */
  readonly requestId: string;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** What the router needs. */
export interface RequestRouterOptions {
  readonly zone: string;
  readonly region: string;
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly metrics: metrics.Metrics;
  readonly directory: agentDirectory.AgentDirectory;
  readonly call: http.HttpCall;
  readonly sender: () => envelope.Sender;
  readonly policy: () => configuration.RoutingPolicy | undefined;
  readonly peerSecretHeaders: Readonly<Record<string, string>>;
}

/** Takes requests to upstreams. */
export interface RequestRouter {
  /** @throws AuburnliftError of a kind that says whether the request ran */
  readonly route: (request: CallerRequest) => Promise<exchange.Answer>;
  readonly openRequests: () => number;
}

/** Retries a burst may use before any request was answered. */
const INITIAL_RETRY_CREDIT = 10;

/** Time kept back from the deadline for asking what became of a request. */
const SETTLE_RESERVE_SHARE = 0.25;

/** What came of one attempt. */
type Attempt =
  | { readonly type: 'answer'; readonly answer: exchange.Answer }
  /** It did not run there and never will: it may go elsewhere. */
  | { readonly type: 'elsewhere'; readonly error: errors.AuburnliftError }
  | { readonly type: 'final'; readonly error: errors.AuburnliftError }
  /** Nobody knows: ask over a fresh connection. */
  | { readonly type: 'unknown'; readonly error: errors.AuburnliftError };

const toAttempt = (reply: http.HttpReply, requestId: string): Attempt => {
  const header = reply.headers[exchange.REPLY_HEADER];
  if (header === undefined) {
    return { type: 'unknown', error: errors.fail('outcomeUnknown', 'an answer without envelope') };
  }
  const envelopeOf = schemaIssues.decodeOrFail(
    exchange.ExchangeReply,
    JSON.parse(header),
    'exchange reply',
  );
  if (envelopeOf.requestId !== requestId) {
    return { type: 'unknown', error: errors.fail('outcomeUnknown', "another request's answer") };
  }
  if (envelopeOf.kind === 'answer') {
    const { status, contentType } = envelopeOf;
    return { type: 'answer', answer: { status, contentType, body: reply.body } };
  }
  const error = errors.fromBody(JSON.parse(Buffer.from(reply.body).toString('utf8')));
  const didNotRun = errorKinds.ERROR_TABLE[error.kind].ran === errorKinds.Ran.no;
  return { type: didNotRun ? 'elsewhere' : 'final', error };
};

/**
 * @param options - what the router needs
 * @returns a router
 */
export const createRequestRouter = (options: RequestRouterOptions): RequestRouter => {
  const { clock: timeSource, directory } = options;
  let credit = INITIAL_RETRY_CREDIT;
  let open = 0;

  const send = async (
    agentUrl: string,
    request: CallerRequest,
    mode: exchange.ExchangeMode,
    timeoutMs: number,
  ): Promise<Attempt> => {
    const head: exchange.ExchangeRequest = {
      from: options.sender(),
      mode,
      requestId: request.requestId,
      customerId: request.customerId,
      isIdempotent: request.isIdempotent,
      remainingMs: Math.floor(timeoutMs),
      method: request.method,
      path: request.path,
      contentType: request.contentType,
    };
    try {
      const reply = await options.call({
        address: http.parseAddress(agentUrl),
        method: 'POST',
        path: exchange.EXCHANGE_PATH,
        headers: {
          ...options.peerSecretHeaders,
          [exchange.REQUEST_HEADER]: JSON.stringify(head),
        },
        body: mode === 'run' ? request.body : new Uint8Array(),
        timeoutMs,
        isFreshConnection: mode === 'settle',
      });
      noteLoad(agentUrl, reply);
      return toAttempt(reply, request.requestId);
    } catch (thrown) {
      const { message } = errors.normalize(thrown);
      const isUnseen =
        thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
      if (isUnseen && mode === 'run') {
        directory.remove(agentUrl);
        return { type: 'elsewhere', error: errors.fail('noUpstream', message) };
      }
      return { type: 'unknown', error: errors.fail('outcomeUnknown', message) };
    }
  };
  const noteLoad = (agentUrl: string, reply: http.HttpReply): void => {
    const header = reply.headers[exchange.REPLY_HEADER];
    if (header === undefined) return;
    const { running, queued, serviceMs, isLeaving } = JSON.parse(header) as exchange.ExchangeReply;
    directory.noteLoad(agentUrl, { running, queued, serviceMs, isLeaving });
  };
  /** Asks what became of a request whose connection went silent or broke. */
  const settle = async (
    agentUrl: string,
    request: CallerRequest,
    leftMs: number,
  ): Promise<Attempt> => {
    options.metrics.count('auburnlift_settles_total');
    const attempt = await send(agentUrl, request, exchange.ExchangeMode.settle, leftMs);
    if (attempt.type !== 'unknown') return attempt;
    directory.remove(agentUrl);
    const error = errors.fail('outcomeUnknown', 'the agent does not say what became of it');
    return request.isIdempotent ? { type: 'elsewhere', error } : { type: 'final', error };
  };
  const tryOne = async (
    agentUrl: string,
    request: CallerRequest,
    deadlineAtMs: number,
  ): Promise<Attempt> => {
    directory.addOutstanding(agentUrl, 1);
    try {
      const leftMs = deadlineAtMs - timeSource.monotonicMs();
      const reserveMs = leftMs * SETTLE_RESERVE_SHARE;
      const first = await send(agentUrl, request, exchange.ExchangeMode.run, leftMs - reserveMs);
      if (first.type !== 'unknown') return first;
      const stillMs = Math.max(1, deadlineAtMs - timeSource.monotonicMs());
      return await settle(agentUrl, request, stillMs);
    } finally {
      directory.addOutstanding(agentUrl, -1);
    }
  };
  const takeCredit = (): boolean => {
    if (credit < 1) return false;
    credit -= 1;
    return true;
  };
  const routeUntil = async (
    request: CallerRequest,
    policy: configuration.RoutingPolicy,
    deadlineAtMs: number,
  ): Promise<exchange.Answer> => {
    const excludedUrls = new Set<string>();
    let last = errors.fail('noUpstream', 'no upstream is known', { retryAfterMs: 1000 });
    for (;;) {
      directory.expire(timeSource.monotonicMs());
      const { zone, region } = options;
      const candidates = directory.candidates();
      const chosen = routing.choose(
        { zone, region, candidates, excludedUrls, policy },
        options.random,
      );
      if (chosen === undefined) throw last;
      const attempt = await tryOne(chosen.agentUrl, request, deadlineAtMs);
      if (attempt.type === 'answer') {
        credit = Math.min(INITIAL_RETRY_CREDIT, credit + policy.retryBudgetShare);
        return attempt.answer;
      }
      if (attempt.type === 'final' || attempt.type === 'unknown') throw attempt.error;
      last = attempt.error;
      excludedUrls.add(chosen.agentUrl);
      if (timeSource.monotonicMs() >= deadlineAtMs || !takeCredit()) throw last;
      options.metrics.count('auburnlift_request_retries_total');
    }
  };
  return {
    openRequests: () => open,
    route: async (request) => {
      const policy = options.policy();
      if (policy === undefined) {
        throw errors.fail('noUpstream', 'no configuration is in force yet', { retryAfterMs: 1000 });
      }
      open += 1;
      const startedMs = timeSource.monotonicMs();
      try {
        return await routeUntil(request, policy, startedMs + request.deadlineMs);
      } finally {
        open -= 1;
        const tookMs = timeSource.monotonicMs() - startedMs;
        options.metrics.time('auburnlift_request_ms', tookMs, { customer: request.customerId });
      }
    },
  };
};
