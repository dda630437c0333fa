/**
 * Hands a client's call on to another entry where this one has no way to the store.
 *
 * Load it answers: the store turns some machines away, or a link is cut, and the balancer goes on sending
 * clients there for seconds. Sent away, each of them loses a second or more, and urgent work is late.
 */
import type * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';

/** A client's call as it came. */
export interface ClientCall {
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly apiKey: string | undefined;
  readonly deadlineMs: number;
  readonly body: Uint8Array;
}

/** Another entry's answer to the client. */
export interface HandedAnswer {
  readonly status: number;
  readonly body: string;
}

/** What came of handing on. */
export interface HandOnOutcome {
  /** Absent where no entry could serve it. */
  readonly answer?: HandedAnswer;
  /** Whether an entry that gave no answer may have stored what was asked. */
  readonly isOpen: boolean;
}

/** Hands calls on. */
export interface HandOn {
  /** Whether it is worth trying: some entry is known, and not all have failed just now. */
  readonly isPossible: () => boolean;
  readonly send: (call: ClientCall) => Promise<HandOnOutcome>;
}

/** What handing on needs. */
export interface HandOnOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Addresses of other entries. */
  readonly urls: () => readonly string[];
  /** Throws `noUpstream` where nothing was sent. */
  readonly ask: (url: string, call: ClientCall) => Promise<HandedAnswer>;
}

/** Entries that a call is offered to: each may cost the client the time of a silent line. */
const MAX_OFFERS = 2;

/** After all entries have failed, calls are refused at once for this long. */
const PAUSE_MS = 1500;

/** An entry that has no way to the store either. */
const isRefusal = (status: number): boolean => status === 503;

/**
 * @param options - what handing on needs
 * @returns hands calls on, to the entry that served the last one first
 */
export const createHandOn = (options: HandOnOptions): HandOn => {
  const { clock: time, log } = options;
  let preferred: string | undefined;
  let failedAtMs = Number.NEGATIVE_INFINITY;

  const ordered = (): string[] => {
    const urls = options.urls();
    const first = urls.filter((it) => it === preferred);
    return [...first, ...urls.filter((it) => it !== preferred)].slice(0, MAX_OFFERS);
  };

  return {
    isPossible: () => options.urls().length > 0 && time.monotonicMs() - failedAtMs > PAUSE_MS,
    send: async (call) => {
      let isOpen = false;
      for (const url of ordered()) {
        try {
          const answer = await options.ask(url, call);
          log('info', 'handedOn', { request: call.requestId, to: url, status: answer.status });
          if (!isRefusal(answer.status)) {
            preferred = url;
            return { answer, isOpen };
          }
        } catch (thrown) {
          const { kind, message } = errors.normalize(thrown);
          isOpen ||= kind !== 'noUpstream';
          log('warn', 'handOnFailed', {
            request: call.requestId,
            to: url,
            isOpen,
            reason: message,
          });
        }
      }
      preferred = undefined;
      failedAtMs = time.monotonicMs();
      return { isOpen };
    },
  };
};
