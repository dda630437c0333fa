/**
 * The platform's key-value service over HTTP with JSON bodies.
 *
 * Handles lost answers: a write whose exchange failed after it was sent may have taken effect, so
 * it throws `StoreOutcomeUnknown` and never a plain failure.
 */
import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import type * as metrics from '../../base/common/metrics.js';
import * as store from '../common/store.js';

/** How the service is reached. */
export interface HttpStoreOptions {
  readonly url: string;
  readonly timeoutMs: number;
  readonly call: http.HttpCall;
  /** Counts every call, since the service has a request budget. */
  readonly metrics: metrics.Metrics;
}

/** Time allowed for a watch to answer in addition to its own wait. */
const WATCH_SLACK_MS = 2000;

const unavailable = (message: string): errors.AuburnliftError =>
  errors.fail('storeUnavailable', `the platform's store is unavailable: ${message}`, {
    retryAfterMs: 2000,
  });

const TOO_LARGE = 413;
const SERVER_ERROR = 500;
const UNAVAILABLE = 503;

/**
 * With a 4xx status or 503 the service has not carried out the request. Any other failure may come
 * from an intermediary, after the write took effect.
 */
const errorForStatus = (status: number): Error => {
  if (status === TOO_LARGE) return errors.fail('tooLarge', 'the value exceeds one megabyte');
  const hadNoEffect = status < SERVER_ERROR || status === UNAVAILABLE;
  const failure = hadNoEffect ? http.HttpFailure.notSent : http.HttpFailure.lost;
  return new http.HttpCallError(failure, `status ${status}`);
};

/**
 * @param options - how the service is reached
 * @returns the service
 */
export const createHttpStore = (options: HttpStoreOptions): store.Store => {
  const address = http.parseAddress(options.url);
  const send = async (
    operation: string,
    body: object,
    timeoutMs = options.timeoutMs,
    signal?: AbortSignal,
  ): Promise<unknown> => {
    options.metrics.count('auburnlift_store_calls_total', { operation });
    const reply = await options.call({
      address,
      method: 'POST',
      path: `/v1/${operation}`,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify(body)),
      timeoutMs,
      ...(signal === undefined ? {} : { signal }),
    });
    if (reply.status !== 200) throw errorForStatus(reply.status);
    return JSON.parse(Buffer.from(reply.body).toString('utf8')) as unknown;
  };
  const read = async <T>(
    operation: string,
    body: object,
    timeoutMs?: number,
    signal?: AbortSignal,
  ): Promise<T> => {
    try {
      return (await send(operation, body, timeoutMs, signal)) as T;
    } catch (thrown) {
      options.metrics.count('auburnlift_store_failures_total', { operation });
      throw unavailable(errors.normalize(thrown).message);
    }
  };
  const write = async <T>(operation: string, body: object): Promise<T> => {
    try {
      return (await send(operation, body)) as T;
    } catch (thrown) {
      options.metrics.count('auburnlift_store_failures_total', { operation });
      const { kind, message } = errors.normalize(thrown);
      if (kind === 'tooLarge') throw thrown;
      const isNotSent =
        thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
      if (isNotSent) throw unavailable(message);
      throw new store.StoreOutcomeUnknown(message);
    }
  };
  return {
    get: async (key) => {
      const { entry } = await read<{ entry: store.StoreEntry | null }>('get', { key });
      return entry ?? undefined;
    },
    list: (prefix) => read('list', { prefix }),
    compareAndSwap: async (swap) => {
      const reply = await write<{
        isSwapped: boolean;
        revision: number;
        current: store.StoreEntry | null;
      }>('cas', swap);
      return reply.isSwapped
        ? { isSwapped: true, revision: reply.revision }
        : { isSwapped: false, current: reply.current ?? undefined };
    },
    grantLease: async (ttlMs) =>
      (await read<{ leaseId: string }>('lease/grant', { ttlMs })).leaseId,
    renewLease: async (leaseId) =>
      (await read<{ isAlive: boolean }>('lease/renew', { leaseId })).isAlive,
    revokeLease: async (leaseId) => {
      await read('lease/revoke', { leaseId });
    },
    watch: (prefix, afterRevision, waitMs, signal) =>
      read('watch', { prefix, afterRevision, waitMs }, waitMs + WATCH_SLACK_MS, signal),
  };
};
