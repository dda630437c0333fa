/**
 * Calls of the store that go through another process where this one has no way of its own.
 *
 * Load it answers: the store turns some machines away and serves the others, or one machine's line to it is
 * cut, for seconds. An entry there sends callers away, two or three times each; a leader there stores no end
 * and grants nothing until its term has lapsed. Urgent work is late by either.
 *
 * Guards against a write that takes effect twice: a write that may have been executed is not sent again by
 * this module; whoever made it learns that its outcome is open.
 */
import type * as clock from '../../../base/common/clock.js';
import * as http from '../../../base/common/http.js';
import type * as logging from '../../../base/common/logging.js';

/** What the relay needs. */
export interface StoreRelayOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** The process's own way. */
  readonly direct: http.HttpCall;
  /** Processes that may have a way. */
  readonly urls: () => readonly string[];
  /** Has another process make the call; throws {@link http.HttpCallError}. */
  readonly ask: (url: string, request: http.HttpRequest) => Promise<http.HttpReply>;
}

/** After its own way has failed, the process tries it again this much later. */
const DIRECT_PAUSE_MS = 1000;

/** After all others have failed, they are asked again this much later. */
const RELAY_PAUSE_MS = 1500;

/** Processes that a call is offered to: each may cost the time of a silent line. */
const MAX_OFFERS = 2;

/** The store does not serve this machine, or nobody. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503]);

const isRead = ({ method }: http.HttpRequest): boolean => method === 'GET';

const isSentInVain = (thrown: unknown): boolean =>
  thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;

const isAborted = (thrown: unknown): boolean =>
  thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.aborted;

/**
 * @param options - what the relay needs
 * @returns makes calls of the store, by the process's own way as long as that answers
 */
export const createStoreRelay = (options: StoreRelayOptions): http.HttpCall => {
  const { clock: time, log, direct } = options;
  let directAgainAtMs = Number.NEGATIVE_INFINITY;
  let relayAgainAtMs = Number.NEGATIVE_INFINITY;
  let preferred: string | undefined;
  let isRelaying = false;
  let isProbing = false;

  const nowMs = (): number => time.monotonicMs();
  const canRelay = (): boolean => options.urls().length > 0 && nowMs() >= relayAgainAtMs;

  const noteDirect = (isAnswered: boolean, reason: string): void => {
    if (isAnswered && isRelaying) log('info', 'storeAnswersDirectly', {});
    if (!isAnswered && !isRelaying && canRelay()) log('warn', 'storeRelayed', { reason });
    isRelaying = !isAnswered && canRelay();
    directAgainAtMs = isAnswered ? Number.NEGATIVE_INFINITY : nowMs() + DIRECT_PAUSE_MS;
  };

  const ordered = (): string[] => {
    const urls = options.urls();
    const first = urls.filter((it) => it === preferred);
    return [...first, ...urls.filter((it) => it !== preferred)].slice(0, MAX_OFFERS);
  };

  /** @returns the store's answer, or undefined where nobody could ask the store */
  const relay = async (request: http.HttpRequest): Promise<http.HttpReply | undefined> => {
    for (const url of ordered()) {
      try {
        const reply = await options.ask(url, request);
        if (!TURNED_AWAY.has(reply.status)) {
          preferred = url;
          return reply;
        }
      } catch (thrown) {
        // An entry that gave no answer may have had the write executed.
        if (!isRead(request) && !isSentInVain(thrown)) throw thrown;
      }
    }
    preferred = undefined;
    relayAgainAtMs = nowMs() + RELAY_PAUSE_MS;
    return undefined;
  };

  const callDirectly = async (request: http.HttpRequest): Promise<http.HttpReply> => {
    try {
      const reply = await direct(request);
      const isServed = !TURNED_AWAY.has(reply.status);
      noteDirect(isServed, `status ${reply.status}`);
      if (isServed || !canRelay()) return reply;
      return (await relay(request)) ?? reply;
    } catch (thrown) {
      if (isAborted(thrown)) throw thrown;
      noteDirect(false, String(thrown));
      const isSafe = isRead(request) || isSentInVain(thrown);
      const reply = isSafe && canRelay() ? await relay(request) : undefined;
      if (reply === undefined) throw thrown;
      return reply;
    }
  };

  /** One read at a time finds out whether the own way is back. */
  const probe = async (request: http.HttpRequest): Promise<http.HttpReply> => {
    isProbing = true;
    try {
      return await callDirectly(request);
    } finally {
      isProbing = false;
    }
  };

  return async (request) => {
    if (!isRelaying || !canRelay()) return callDirectly(request);
    if (nowMs() >= directAgainAtMs && isRead(request) && !isProbing) return probe(request);
    return (await relay(request)) ?? callDirectly(request);
  };
};
