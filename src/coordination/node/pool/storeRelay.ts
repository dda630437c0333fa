/**
 * Calls of the store that go through another process where this one has no way of its own.
 *
 * Load it answers: the store turns some machines away and serves the others, or one machine's line to it is
 * cut, for seconds. An entry there sends callers away, two or three times each; a leader there stores no end
 * and grants nothing until its term has lapsed. Urgent work is late by either.
 *
 * Guards against a write that takes effect twice: a write that may have been executed is not sent again by
 * this module; whoever made it learns that its outcome is open.
 *
 * Guards against an outage that makes the load larger than a calm day's: while nobody is known to have a way,
 * one call at a time finds out for all, at a share of the pace of answered calls; the others are refused
 * without a message.
 */
import type * as clock from '../../../base/common/clock.js';
import * as http from '../../../base/common/http.js';
import type * as logging from '../../../base/common/logging.js';
import * as callPace from './callPace.js';

/** What the relay needs. */
export interface StoreRelayOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** The process's own way. */
  readonly direct: http.HttpCall;
  /** Processes that may have a way. */
  readonly urls: () => readonly string[];
  /** From 0 to 1: whom of them this process asks first, so that not all ask the same one. The first without it. */
  readonly startAt?: number;
  /** Has another process make the call within the request's time-out; throws {@link http.HttpCallError}. */
  readonly ask: (url: string, request: http.HttpRequest) => Promise<http.HttpReply>;
}

/** Calls of the store by whichever way. */
export interface StoreRelay {
  /** For this process, by its own way as long as that answers. */
  readonly call: http.HttpCall;
  /** For another process, by this one's own way or not at all: one without a way says so at once. */
  readonly serve: http.HttpCall;
}

/** A request, and when its time over all ways ends. */
interface Timed {
  readonly request: http.HttpRequest;
  readonly endMs: number;
}

/** How a call ended that was not served. */
interface Failed {
  readonly reply?: http.HttpReply;
  readonly thrown?: unknown;
}

/** While others serve it, the process tries its own way again this much later. */
const DIRECT_PAUSE_MS = 1000;

/** Processes that a call is offered to: each may cost the time of a silent line. */
const MAX_OFFERS = 2;

/**
 * While nobody has a way, the own way is tried at half the pace of a calm day and an offer made at a quarter of
 * it: together less than a calm day's, offers counted at both ends.
 */
const GAPS_A_TRY = 2;
const GAPS_AN_OFFER = 4;

/** Another process and the store behind it answer within two regions' delays, or are out of reach. */
const OFFER_MS = 700;

/** The same for a watch, which waits for news for most of it. */
const WATCH_OFFER_MS = 2500;

/** Calls that may take longer are watches. */
const MAX_BRIEF_MS = 1000;

/** Less time than this is not worth an offer: the store is two regions' delays away. */
const MIN_OFFER_MS = 200;

/** The store does not serve this machine, or nobody. */
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
 * @param options - what the relay needs
 * @returns makes calls of the store, by the process's own way as long as that answers
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
  /** Serves this process's calls now. */
  let preferred: string | undefined;
  /** Nobody was found since a call was served by whichever way. */
  let haveAllFailed = false;
  /** The call that finds out for all. */
  let finding: Promise<http.HttpReply | undefined> | undefined;
  /** Offers made to find one, by which the next ones are chosen. */
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

  /** A call that is late while others' answers come in tells of a full line, not of a lost one. */
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
      // An entry that gave no answer may have had the write executed.
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

  /** Offers a call to one after the other, fewer once all have failed before. */
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

  /** @returns the store's answer, or undefined where nobody is known who could ask the store */
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

  /** One call at a time finds out whether the own way is back. */
  const tryDirectly = async (timed: Timed): Promise<http.HttpReply> => {
    isTrying = true;
    try {
      return await callDirectly(timed);
    } finally {
      isTrying = false;
    }
  };

  /** Nothing is sent; whoever asked learns what the last call that was sent learnt. */
  const refuse = (): http.HttpReply => {
    if (lastReply !== undefined) return lastReply;
    throw new http.HttpCallError(http.HttpFailure.notSent, 'no way to the store a moment ago');
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
    if (isDown) throw new http.HttpCallError(http.HttpFailure.notSent, 'no way of its own');
    const reply = await options.direct(hearing(request));
    if (!isServed(reply)) noteDirect(false, `status ${reply.status}`);
    return reply;
  };

  return { call, serve };
};
