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
import * as callPace from './callPace.js';

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
interface Timed {
  readonly request: http.HttpRequest;
  readonly endMs: number;
}

/** The reply or the error of a call that was not served. */
interface Failed {
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
const GAPS_A_TRY = 2;
const GAPS_AN_OFFER = 4;

/** Time-out of an offer: a relaying process and the store answer within two inter-region delays or not at all. */
const OFFER_MS = 700;

/** The same for a watch, which waits for changes for most of that time. */
const WATCH_OFFER_MS = 2500;

/** Calls with a longer time-out are treated as watches. */
const MAX_BRIEF_MS = 1000;

/** With less time left, no offer is made: the store is two inter-region delays away. */
const MIN_OFFER_MS = 200;

/** Statuses with which the store refuses this machine, or all machines. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503]);

const isRead = ({ method }: http.HttpRequest): boolean => method === 'GET';

const isWatch = ({ timeoutMs }: http.HttpRequest): boolean => timeoutMs > MAX_BRIEF_MS;

const isFailure = (thrown: unknown, failure: http.HttpFailure): boolean =>
  thrown instanceof http.HttpCallError && thrown.failure === failure;

const isServed = ({ status }: http.HttpReply): boolean => !TURNED_AWAY.has(status);

const giveFailed = ({ reply, thrown }: Failed): http.HttpReply => {
  if (reply === undefined) throw thrown;
  return reply;
};

/**
 * @param options - its dependencies
 * @returns the relay, which calls the store directly as long as it answers
 */
export const createStoreRelay = (options: StoreRelayOptions): StoreRelay => {
  const { clock: time, log } = options;
  const pace = callPace.createCallPace(time);
  let isDown = false;
  let lastReply: http.HttpReply | undefined;
  let directAgainAtMs = Number.NEGATIVE_INFINITY;
  let relayAgainAtMs = Number.NEGATIVE_INFINITY;
  let heardAtMs = Number.NEGATIVE_INFINITY;
  let isTrying = false;
  /** The process that currently relays for this one. */
  let preferred: string | undefined;
  /** The last search for a relay failed, and no call has been served since. */
  let haveAllFailed = false;
  /** The search for a relay in flight, whose result is used for all calls. */
  let finding: Promise<http.HttpReply | undefined> | undefined;
  /** Number of offers made in searches, which determines the next process to ask. */
  let passed = 0;

  const nowMs = (): number => time.monotonicMs();

  const noteDirect = (isAnswered: boolean, reason: string): void => {
    if (isAnswered && isDown) log('info', 'storeAnswersDirectly', {});
    if (!isAnswered && !isDown && options.urls().length > 0) {
      log('warn', 'storeRelayed', { reason });
    }
    isDown = !isAnswered;
    if (isAnswered) {
      preferred = undefined;
      haveAllFailed = false;
      return;
    }
    pace.noteFailure();
    const pauseMs = preferred === undefined ? pace.gapMs() * GAPS_A_TRY : DIRECT_PAUSE_MS;
    directAgainAtMs = nowMs() + pauseMs;
  };

  const hearing = (request: http.HttpRequest): http.HttpRequest => ({
    ...request,
    onArrival: (status, piece) => {
      heardAtMs = nowMs();
      request.onArrival?.(status, piece);
    },
  });

  /** A call that times out while other answers arrive indicates a saturated link, not a lost connection. */
  const isLineFull = (thrown: unknown, request: http.HttpRequest): boolean =>
    isFailure(thrown, http.HttpFailure.timeout) && heardAtMs > nowMs() - request.timeoutMs / 2;

  const offer = async (
    url: string,
    { request, endMs }: Timed,
  ): Promise<http.HttpReply | undefined> => {
    const wayMs = isWatch(request) ? Math.min(WATCH_OFFER_MS, request.timeoutMs) : OFFER_MS;
    const timeoutMs = Math.min(wayMs, endMs - nowMs());
    if (timeoutMs < MIN_OFFER_MS) return undefined;
    try {
      const reply = await options.ask(url, { ...request, timeoutMs });
      if (isServed(reply)) {
        preferred = url;
        return reply;
      }
    } catch (thrown) {
      // The process asked may have executed the write although its answer is missing.
      if (!isRead(request) && !isFailure(thrown, http.HttpFailure.notSent)) {
        if (preferred === url) preferred = undefined;
        throw thrown;
      }
    }
    if (preferred === url) preferred = undefined;
    return undefined;
  };

  const nextUrl = (): string | undefined => {
    const urls = options.urls();
    const first = Math.floor((options.startAt ?? 0) * urls.length);
    return urls[(first + passed) % urls.length];
  };

  /** Offers a call to one process after the other until one serves it. */
  const find = async (timed: Timed, offers: number): Promise<http.HttpReply | undefined> => {
    const count = Math.min(offers, options.urls().length);
    for (let made = 0; made < count; made += 1) {
      const url = nextUrl();
      if (url === undefined) break;
      passed += 1;
      relayAgainAtMs = nowMs() + pace.gapMs() * GAPS_AN_OFFER;
      const reply = await offer(url, timed);
      if (reply !== undefined) {
        relayAgainAtMs = Number.NEGATIVE_INFINITY;
        haveAllFailed = false;
        return reply;
      }
    }
    haveAllFailed = true;
    return undefined;
  };

  const findAlone = async (timed: Timed): Promise<http.HttpReply | undefined> => {
    finding = find(timed, haveAllFailed ? 1 : MAX_OFFERS);
    try {
      return await finding;
    } finally {
      finding = undefined;
    }
  };

  /** @returns the store's answer, or undefined if no process could relay the call */
  const relay = async (timed: Timed): Promise<http.HttpReply | undefined> => {
    if (preferred !== undefined) {
      const reply = await offer(preferred, timed);
      if (reply !== undefined) return reply;
    }
    if (isWatch(timed.request)) return undefined;
    if (finding !== undefined) {
      await finding.catch(() => undefined);
      return preferred === undefined ? undefined : offer(preferred, timed);
    }
    return nowMs() >= relayAgainAtMs ? findAlone(timed) : undefined;
  };

  const callDirectly = async (timed: Timed): Promise<http.HttpReply> => {
    const timeoutMs = Math.min(timed.request.timeoutMs, Math.max(1, timed.endMs - nowMs()));
    const request = { ...timed.request, timeoutMs };
    let failed: Failed;
    try {
      const reply = await options.direct(hearing(request));
      noteDirect(isServed(reply), `status ${reply.status}`);
      if (isServed(reply)) {
        pace.noteAnswer();
        return reply;
      }
      lastReply = reply;
      failed = { reply };
    } catch (thrown) {
      if (isFailure(thrown, http.HttpFailure.aborted)) throw thrown;
      const isFull = isLineFull(thrown, request);
      if (!isFull) {
        lastReply = undefined;
        noteDirect(false, String(thrown));
      }
      const isSafe = isRead(request) || isFailure(thrown, http.HttpFailure.notSent);
      if (!isSafe || (isFull && preferred === undefined)) throw thrown;
      failed = { thrown };
    }
    return (await relay(timed)) ?? giveFailed(failed);
  };

  /** Makes a direct attempt; one call at a time tests whether the store is reachable again. */
  const tryDirectly = async (timed: Timed): Promise<http.HttpReply> => {
    isTrying = true;
    try {
      return await callDirectly(timed);
    } finally {
      isTrying = false;
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
    const isServedByOthers = preferred !== undefined || finding !== undefined;
    const mayTry = !isTrying && !isWatch(request) && nowMs() >= directAgainAtMs;
    if (mayTry && (isRead(request) || !isServedByOthers)) return tryDirectly(timed);
    return (await relay(timed)) ?? refuse();
  };

  const serve: http.HttpCall = async (request) => {
    if (isDown) throw new http.HttpCallError(http.HttpFailure.notSent, 'the store is unreachable');
    const reply = await options.direct(hearing(request));
    if (!isServed(reply)) noteDirect(false, `status ${reply.status}`);
    return reply;
  };

  return { call, serve };
};
