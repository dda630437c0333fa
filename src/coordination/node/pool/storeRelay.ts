/**
 * Relays store calls through another process while this one cannot reach the store directly.
 *
 * For seconds at a time the store may refuse some machines and serve the others, or one machine's connection to
 * it may be down. An entry there then refuses callers, two or three times each; a leader there stores no run ends
 * and grants no leases until its term has expired. Either makes urgent work late.
 *
 * Guards against a write that takes effect twice: a write that may have been executed is not retried by this
 * module; its caller gets an error that leaves the outcome unknown.
 *
 * Guards against an outage that increases the load above normal: while no process is known to reach the store, one
 * call at a time searches for a relay on behalf of all, at a fraction of the normal call rate; the others fail
 * without sending anything.
 */
import type * as clock from '../../../base/common/clock.js';
import * as http from '../../../base/common/http.js';
import type * as logging from '../../../base/common/logging.js';
import * as callInterval from './callInterval.js';

/** Dependencies of the relay. */
export interface StoreRelayOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Calls the store directly. */
  readonly direct: http.HttpCall;
  /** Processes that may be able to reach the store. */
  readonly urls: () => readonly string[];
  /** Share of the list, from 0 to 1, at which this process starts, so that not all ask the same peer; 0 by default. */
  readonly startAt?: number;
  /** Requests the call from another process within the request's time-out; throws {@link http.HttpCallError}. */
  readonly ask: (url: string, request: http.HttpRequest) => Promise<http.HttpReply>;
}

/** Store calls, direct or relayed. */
export interface StoreRelay {
  /** Calls for this process, made directly as long as the store answers. */
  readonly call: http.HttpCall;
  /** Calls for another process, made directly only: fails immediately if this process does not reach the store. */
  readonly serve: http.HttpCall;
}

/** A request with its deadline over all attempts, direct and relayed. */
interface TimedRequest {
  readonly request: http.HttpRequest;
  readonly endMs: number;
}

/** The reply or the error of a call that was not served. */
interface FailedCall {
  readonly reply?: http.HttpReply;
  readonly thrown?: unknown;
}

/** Delay before the next direct attempt while another process relays. */
const DIRECT_PAUSE_MS = 1000;

/** Processes that a call is offered to at most: each one that does not answer costs a full time-out. */
const MAX_OFFERS = 2;

/**
 * While no process reaches the store, direct attempts are made at half the normal call rate and offers at a quarter
 * of it: in total less than the normal load, even with offers counted at both ends.
 */
const INTERVALS_PER_DIRECT_ATTEMPT = 2;
const INTERVALS_PER_OFFER = 4;

/** Time-out of an offer: a relaying process and the store answer within two inter-region delays or not at all. */
const OFFER_MS = 700;

/** The same for a watch, which waits for changes for most of that time. */
const WATCH_OFFER_MS = 2500;

/** Calls with a longer time-out are treated as watches. */
const MAX_SHORT_CALL_MS = 1000;

/** With less time left, no offer is made: the store is two inter-region delays away. */
const MIN_OFFER_MS = 200;

/** Statuses with which the store refuses this machine, or all machines. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([429, 503]);

const isRead = ({ method }: http.HttpRequest): boolean => method === 'GET';

const isWatch = ({ timeoutMs }: http.HttpRequest): boolean => timeoutMs > MAX_SHORT_CALL_MS;

const isFailure = (thrown: unknown, failure: http.HttpFailure): boolean =>
  thrown instanceof http.HttpCallError && thrown.failure === failure;

const isServed = ({ status }: http.HttpReply): boolean => !REFUSED_STATUSES.has(status);

const returnFailed = ({ reply, thrown }: FailedCall): http.HttpReply => {
  if (reply === undefined) throw thrown;
  return reply;
};

/**
 * @param options - its dependencies
 * @returns the relay, which calls the store directly as long as it answers
 */
export const createStoreRelay = (options: StoreRelayOptions): StoreRelay => {
  const { clock: time, log } = options;
  const interval = callInterval.createCallInterval(time);
  let isDown = false;
  let lastReply: http.HttpReply | undefined;
  let directAgainAtMs = Number.NEGATIVE_INFINITY;
  let relayAgainAtMs = Number.NEGATIVE_INFINITY;
  let receivedAtMs = Number.NEGATIVE_INFINITY;
  let isDirectAttemptInFlight = false;
  /** The process that currently relays for this one. */
  let relayUrl: string | undefined;
  /** The last search for a relay failed, and no call has been served since. */
  let hasSearchFailed = false;
  /** The search for a relay in flight, whose result is used for all calls. */
  let searching: Promise<http.HttpReply | undefined> | undefined;
  /** Number of offers made in searches, which determines the next process to ask. */
  let offersMade = 0;

  const nowMs = (): number => time.monotonicMs();

  const recordDirect = (isAnswered: boolean, reason: string): void => {
    if (isAnswered && isDown) log('info', 'storeAnswersDirectly', {});
    if (!isAnswered && !isDown && options.urls().length > 0) {
      log('warn', 'storeRelayed', { reason });
    }
    isDown = !isAnswered;
    if (isAnswered) {
      relayUrl = undefined;
      hasSearchFailed = false;
      return;
    }
    interval.recordFailure();
    const pauseMs =
      relayUrl === undefined ? interval.meanMs() * INTERVALS_PER_DIRECT_ATTEMPT : DIRECT_PAUSE_MS;
    directAgainAtMs = nowMs() + pauseMs;
  };

  const trackArrival = (request: http.HttpRequest): http.HttpRequest => ({
    ...request,
    onArrival: (status, piece) => {
      receivedAtMs = nowMs();
      request.onArrival?.(status, piece);
    },
  });

  /** A call that times out while other answers arrive indicates a saturated link, not a lost connection. */
  const isLinkSaturated = (thrown: unknown, request: http.HttpRequest): boolean =>
    isFailure(thrown, http.HttpFailure.timeout) && receivedAtMs > nowMs() - request.timeoutMs / 2;

  const offer = async (
    url: string,
    { request, endMs }: TimedRequest,
  ): Promise<http.HttpReply | undefined> => {
    const limitMs = isWatch(request) ? Math.min(WATCH_OFFER_MS, request.timeoutMs) : OFFER_MS;
    const timeoutMs = Math.min(limitMs, endMs - nowMs());
    if (timeoutMs < MIN_OFFER_MS) return undefined;
    try {
      const reply = await options.ask(url, { ...request, timeoutMs });
      if (isServed(reply)) {
        relayUrl = url;
        return reply;
      }
    } catch (thrown) {
      // The process asked may have executed the write although its answer is missing.
      if (!isRead(request) && !isFailure(thrown, http.HttpFailure.notSent)) {
        if (relayUrl === url) relayUrl = undefined;
        throw thrown;
      }
    }
    if (relayUrl === url) relayUrl = undefined;
    return undefined;
  };

  const nextUrl = (): string | undefined => {
    const urls = options.urls();
    const first = Math.floor((options.startAt ?? 0) * urls.length);
    return urls[(first + offersMade) % urls.length];
  };

  /** Offers a call to one process after the other until one serves it. */
  const search = async (
    timed: TimedRequest,
    offers: number,
  ): Promise<http.HttpReply | undefined> => {
    const count = Math.min(offers, options.urls().length);
    for (let made = 0; made < count; made += 1) {
      const url = nextUrl();
      if (url === undefined) break;
      offersMade += 1;
      relayAgainAtMs = nowMs() + interval.meanMs() * INTERVALS_PER_OFFER;
      const reply = await offer(url, timed);
      if (reply !== undefined) {
        relayAgainAtMs = Number.NEGATIVE_INFINITY;
        hasSearchFailed = false;
        return reply;
      }
    }
    hasSearchFailed = true;
    return undefined;
  };

  const startSearch = async (timed: TimedRequest): Promise<http.HttpReply | undefined> => {
    searching = search(timed, hasSearchFailed ? 1 : MAX_OFFERS);
    try {
      return await searching;
    } finally {
      searching = undefined;
    }
  };

  /** @returns the store's answer, or undefined if no process could relay the call */
  const relay = async (timed: TimedRequest): Promise<http.HttpReply | undefined> => {
    if (relayUrl !== undefined) {
      const reply = await offer(relayUrl, timed);
      if (reply !== undefined) return reply;
    }
    if (isWatch(timed.request)) return undefined;
    if (searching !== undefined) {
      await searching.catch(() => undefined);
      return relayUrl === undefined ? undefined : offer(relayUrl, timed);
    }
    return nowMs() >= relayAgainAtMs ? startSearch(timed) : undefined;
  };

  const callDirectly = async (timed: TimedRequest): Promise<http.HttpReply> => {
    const timeoutMs = Math.min(timed.request.timeoutMs, Math.max(1, timed.endMs - nowMs()));
    const request = { ...timed.request, timeoutMs };
    let failed: FailedCall;
    try {
      const reply = await options.direct(trackArrival(request));
      recordDirect(isServed(reply), `status ${reply.status}`);
      if (isServed(reply)) {
        interval.recordAnswer();
        return reply;
      }
      lastReply = reply;
      failed = { reply };
    } catch (thrown) {
      if (isFailure(thrown, http.HttpFailure.aborted)) throw thrown;
      const isSaturated = isLinkSaturated(thrown, request);
      if (!isSaturated) {
        lastReply = undefined;
        recordDirect(false, String(thrown));
      }
      const isSafe = isRead(request) || isFailure(thrown, http.HttpFailure.notSent);
      if (!isSafe || (isSaturated && relayUrl === undefined)) throw thrown;
      failed = { thrown };
    }
    return (await relay(timed)) ?? returnFailed(failed);
  };

  /** Makes a direct attempt; one call at a time tests whether the store is reachable again. */
  const tryDirectly = async (timed: TimedRequest): Promise<http.HttpReply> => {
    isDirectAttemptInFlight = true;
    try {
      return await callDirectly(timed);
    } finally {
      isDirectAttemptInFlight = false;
    }
  };

  /** Fails a call without sending anything, with the store's last refusal if there was one. */
  const refuse = (): http.HttpReply => {
    if (lastReply !== undefined) return lastReply;
    throw new http.HttpCallError(
      http.HttpFailure.notSent,
      'the store was unreachable at the last attempt',
    );
  };

  const call: http.HttpCall = async (request) => {
    const timed = { request, endMs: nowMs() + (request.totalMs ?? Number.POSITIVE_INFINITY) };
    if (!isDown || options.urls().length === 0) return callDirectly(timed);
    const isServedByOthers = relayUrl !== undefined || searching !== undefined;
    const mayTry = !isDirectAttemptInFlight && !isWatch(request) && nowMs() >= directAgainAtMs;
    if (mayTry && (isRead(request) || !isServedByOthers)) return tryDirectly(timed);
    return (await relay(timed)) ?? refuse();
  };

  const serve: http.HttpCall = async (request) => {
    if (isDown) throw new http.HttpCallError(http.HttpFailure.notSent, 'the store is unreachable');
    const reply = await options.direct(trackArrival(request));
    if (!isServed(reply)) recordDirect(false, `status ${reply.status}`);
    return reply;
  };

  return { call, serve };
};
