/**
 * The part of an entry that takes a caller's request to an upstream and its whole answer back.
 *
 * Guards against running a request twice: only a typed refusal, or the agent's word over a fresh
 * connection that it never ran, lets the request go elsewhere. Where neither can be had, a request
 * that is not idempotent ends as `outcomeUnknown`.
 */
import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import type * as metrics from '../../base/common/metrics.js';
import type * as random from '../../base/common/random.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import type * as agentDirectory from '../../coordination/common/agentDirectory.js';
import * as requestBudgets from '../../coordination/common/requestBudgets.js';
import * as routing from '../../coordination/common/routing.js';
import type * as requestClaims from '../../coordination/node/requestClaims.js';
import type * as configuration from '../../state/common/configuration.js';
import * as attemptSteps from '../common/attemptSteps.js';
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
  /** Whether the key must hold through other entries too; costs a write to the store. */
  readonly isClaimed?: boolean;
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
  readonly newId: () => string;
  readonly sender: () => envelope.Sender;
  readonly policy: () => configuration.RoutingPolicy | undefined;
  readonly peerSecretHeaders: Readonly<Record<string, string>>;
  readonly claims?: requestClaims.RequestClaims;
  /** Told when home is so full that agents of other regions should be known. */
  readonly onHomeSaturated?: () => void;
}

/** Takes requests to upstreams. */
export interface RequestRouter {
  /** @throws AuburnliftError of a kind that says whether the request ran */
  readonly route: (request: CallerRequest) => Promise<exchange.Answer>;
  readonly openRequests: () => number;
}

/** Retries, and requests to other regions, that may be used before any were earned. */
const INITIAL_CREDIT = 10;

/** Part of the deadline that is kept for asking what became of a request. */
const SETTLE_RESERVE_SHARE = 0.25;

/**
 * Silence is asked about after this many times the expected answer, and not before a floor: asking
 * is harmless (a running request is attached to), but costs an exchange.
 */
const PATIENCE_FACTOR = 5;
const PATIENCE_FLOOR_MS = 2000;

/** An attempt at a request: to one boot of one agent. */
interface Attempt {
  readonly request: CallerRequest;
  readonly agent: Pick<routing.RouteCandidate, 'agentUrl' | 'region'>;
  /** Time after which silence is asked about. */
  readonly patienceMs: number;
  readonly attemptId: string;
  readonly bootId: string;
  readonly startBeforeMs: number;
  readonly deadlineAtMs: number;
}

const noWord = (message: string): attemptSteps.ExchangeResult => ({
  type: 'noWord',
  error: errors.fail('outcomeUnknown', message),
});

const parseReply = (reply: http.HttpReply): exchange.ExchangeReply | undefined => {
  const header = reply.headers[exchange.REPLY_HEADER];
  if (header === undefined) return undefined;
  try {
    const decoded = schemaIssues.decode(exchange.ExchangeReply, JSON.parse(header));
    return decoded.isValid ? decoded.value : undefined;
  } catch {
    return undefined;
  }
};

const toResult = (head: exchange.ExchangeReply, body: Uint8Array): attemptSteps.ExchangeResult => {
  if (head.kind === 'answer') {
    const { status, contentType } = head;
    return { type: 'answer', answer: { status, contentType, body } };
  }
  try {
    const error = errors.fromBody(JSON.parse(Buffer.from(body).toString('utf8')));
    return { type: 'error', error };
  } catch {
    return noWord('an error without a body');
  }
};

const SERVER_ERROR = 500;

/**
 * @param options - what the router needs
 * @returns a router
 */
export const createRequestRouter = (options: RequestRouterOptions): RequestRouter => {
  const { clock: timeSource, directory, metrics: counters } = options;
  const retries = requestBudgets.createBudget(INITIAL_CREDIT);
  const crossings = requestBudgets.createBudget(INITIAL_CREDIT);
  let open = 0;
  const nowMs = (): number => timeSource.monotonicMs();

  const countBytes = (attempt: Attempt, bytes: number, direction: 'out' | 'back'): void => {
    const { region } = attempt.agent;
    const pair = direction === 'out' ? [options.region, region] : [region, options.region];
    const labels = { from: String(pair[0]), to: String(pair[1]) };
    counters.count('auburnlift_region_bytes_total', labels, bytes);
    if (direction === 'out') counters.count('auburnlift_region_requests_total', labels);
  };
  const headOf = (
    attempt: Attempt,
    mode: exchange.ExchangeMode,
    timeoutMs: number,
  ): exchange.ExchangeRequest => {
    const { request, attemptId, bootId, startBeforeMs } = attempt;
    const { requestId, customerId, isIdempotent, method, path, contentType } = request;
    return {
      from: options.sender(),
      mode,
      requestId,
      attemptId,
      bootId,
      startBeforeMs,
      customerId,
      isIdempotent,
      remainingMs: Math.max(1, Math.floor(timeoutMs)),
      method,
      path,
      contentType,
    };
  };
  const read = (attempt: Attempt, reply: http.HttpReply): attemptSteps.ExchangeResult => {
    const head = parseReply(reply);
    if (head === undefined) return noWord('an answer without envelope');
    directory.noteAnswer(attempt.agent.agentUrl, head, nowMs());
    const isOwn =
      head.requestId === attempt.request.requestId && head.attemptId === attempt.attemptId;
    return isOwn ? toResult(head, reply.body) : noWord("another attempt's answer");
  };
  const send = async (
    attempt: Attempt,
    mode: exchange.ExchangeMode,
    leftMs: number,
    timeoutMs: number,
  ): Promise<attemptSteps.ExchangeResult> => {
    const body = mode === 'run' ? attempt.request.body : new Uint8Array();
    const header = JSON.stringify(headOf(attempt, mode, leftMs));
    countBytes(attempt, body.byteLength + header.length, 'out');
    try {
      const reply = await options.call({
        address: http.parseAddress(attempt.agent.agentUrl),
        method: 'POST',
        path: exchange.EXCHANGE_PATH,
        headers: { ...options.peerSecretHeaders, [exchange.REQUEST_HEADER]: header },
        body,
        timeoutMs: Math.max(1, timeoutMs),
        isFreshConnection: mode === 'settle',
      });
      countBytes(attempt, reply.body.byteLength, 'back');
      return read(attempt, reply);
    } catch (thrown) {
      const { message } = errors.normalize(thrown);
      const isUnseen =
        thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
      if (!isUnseen) return noWord(message);
      directory.noteSilence(attempt.agent.agentUrl, nowMs());
      return { type: 'notSent', error: errors.fail('noUpstream', message) };
    }
  };
  /** Asks what became of a request whose connection went silent or broke. */
  const settle = async (attempt: Attempt): Promise<attemptSteps.NextStep> => {
    counters.count('auburnlift_settles_total');
    const leftMs = Math.max(1, attempt.deadlineAtMs - nowMs());
    const result = await send(attempt, exchange.ExchangeMode.settle, leftMs, leftMs);
    if (result.type === 'noWord') directory.noteSilence(attempt.agent.agentUrl, nowMs());
    return attemptSteps.afterSettle(result, attempt.request.isIdempotent);
  };
  const noteEnd = (
    attempt: Attempt,
    step: attemptSteps.NextStep,
    policy: configuration.RoutingPolicy,
  ): void => {
    const url = attempt.agent.agentUrl;
    const isAnswer = step.type === 'answer';
    if (isAnswer && step.answer.status < SERVER_ERROR) directory.noteSuccess(url, nowMs());
    const hasFailed = step.type === 'fail' || (isAnswer && step.answer.status >= SERVER_ERROR);
    if (hasFailed) directory.noteFailure(url, nowMs(), policy.ejectionCapShare);
  };
  const tryOne = async (
    attempt: Attempt,
    policy: configuration.RoutingPolicy,
  ): Promise<attemptSteps.NextStep> => {
    const { agent, request, deadlineAtMs } = attempt;
    directory.addOutstanding(agent.agentUrl, 1);
    try {
      const leftMs = deadlineAtMs - nowMs();
      const timeoutMs = Math.min(leftMs * (1 - SETTLE_RESERVE_SHARE), attempt.patienceMs);
      const result = await send(attempt, exchange.ExchangeMode.run, leftMs, timeoutMs);
      const first = attemptSteps.afterRun(result, request.isIdempotent);
      const step = first.type === 'settle' ? await settle(attempt) : first;
      noteEnd(attempt, step, policy);
      return step;
    } finally {
      directory.addOutstanding(agent.agentUrl, -1);
    }
  };
  const chooseAgent = (
    policy: configuration.RoutingPolicy,
    excludedUrls: ReadonlySet<string>,
  ): routing.RouteCandidate | undefined => {
    const { zone, region } = options;
    directory.expire(nowMs());
    const chosen = routing.choose(
      {
        zone,
        region,
        candidates: directory.candidates(nowMs()),
        excludedUrls,
        policy,
        mayLeaveRegion: crossings.hasCredit(),
      },
      options.random,
    );
    const isFull =
      chosen === undefined || routing.expectedWaitMs(chosen) > policy.crossRegionPriceMs;
    if (isFull) options.onHomeSaturated?.();
    if (chosen !== undefined && chosen.region !== region) crossings.take();
    return chosen;
  };
  const toAttempt = (
    request: CallerRequest,
    agent: routing.RouteCandidate,
    deadlineAtMs: number,
  ): Attempt | undefined => {
    const boot = directory.bootOf(agent.agentUrl, nowMs());
    if (boot === undefined) return undefined;
    const expectedMs = routing.expectedWaitMs(agent) + agent.serviceMs;
    return {
      request,
      agent,
      patienceMs: Math.max(PATIENCE_FLOOR_MS, expectedMs * PATIENCE_FACTOR),
      attemptId: options.newId(),
      bootId: boot.bootId,
      startBeforeMs: Math.floor(boot.clockMs + Math.max(0, deadlineAtMs - nowMs())),
      deadlineAtMs,
    };
  };
  /**
   * Takes the claim on the caller's key for an attempt. Where another attempt holds it, that one is
   * settled with its agent first; only proof that it never ran lets the claim pass on.
   *
   * @returns an end that was found, or the revision of the claim that now names the attempt
   */
  const claimFor = async (
    attempt: Attempt,
    fromRevision: number,
  ): Promise<attemptSteps.NextStep | { readonly type: 'claimed'; readonly revision: number }> => {
    const { request, bootId, attemptId, startBeforeMs, deadlineAtMs } = attempt;
    if (request.isClaimed !== true || options.claims === undefined) {
      return { type: 'claimed', revision: 0 };
    }
    const own = { agentUrl: attempt.agent.agentUrl, bootId, attemptId, startBeforeMs };
    const key = `${request.customerId}/${request.requestId}`;
    let revision = fromRevision;
    while (nowMs() < deadlineAtMs) {
      const result = await options.claims.take(key, revision, own);
      if (result.type === 'taken') return { type: 'claimed', revision: result.revision };
      const { agentUrl, ...held } = result.claim;
      const agent = { agentUrl, region: options.region };
      const step = await settle({ ...attempt, ...held, agent });
      if (step.type !== 'elsewhere') return step;
      revision = result.revision;
    }
    const error = errors.fail('outcomeUnknown', 'the key is held by another attempt');
    return { type: 'fail', error };
  };
  /** A refusal from every agent asked is final at once, with the time after which to come back. */
  const routeUntil = async (
    request: CallerRequest,
    policy: configuration.RoutingPolicy,
    deadlineAtMs: number,
  ): Promise<exchange.Answer> => {
    const excludedUrls = new Set<string>();
    let last = errors.fail('noUpstream', 'no upstream is known', { retryAfterMs: 1000 });
    let claimRevision = 0;
    crossings.earn(policy.crossRegionMaxShare);
    for (let retry = 1; ; retry += 1) {
      const agent = chooseAgent(policy, excludedUrls);
      const attempt = agent && toAttempt(request, agent, deadlineAtMs);
      if (attempt === undefined) throw last;
      const before = last;
      const claim = await claimFor(attempt, claimRevision).catch((thrown: unknown) => {
        throw attemptSteps.worstOf(before, errors.normalize(thrown));
      });
      if (claim.type === 'claimed') claimRevision = claim.revision;
      const step = claim.type === 'claimed' ? await tryOne(attempt, policy) : claim;
      if (step.type === 'answer') {
        retries.earn(policy.retryBudgetShare);
        return step.answer;
      }
      if (step.type !== 'elsewhere') {
        throw step.type === 'fail' ? step.error : errors.fail('outcomeUnknown', 'not settled');
      }
      last = attemptSteps.worstOf(last, step.error);
      excludedUrls.add(attempt.agent.agentUrl);
      if (nowMs() >= deadlineAtMs || !retries.take()) throw last;
      counters.count('auburnlift_request_retries_total');
      await clock.sleep(timeSource, requestBudgets.backoffMs(retry, options.random()));
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
      const startedMs = nowMs();
      try {
        return await routeUntil(request, policy, startedMs + request.deadlineMs);
      } finally {
        open -= 1;
        const labels = { customer: request.customerId };
        counters.time('auburnlift_request_ms', nowMs() - startedMs, labels);
      }
    },
  };
};
