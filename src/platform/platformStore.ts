/**
 * The platform's key-value service as the product's record store.
 *
 * Handles lost answers: a write whose exchange failed after it was sent throws `StoreOutcomeUnknown`,
 * never a plain failure, since it may take effect now or seconds later.
 */
import * as clock from '../base/common/clock.js';
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import type * as metrics from '../base/common/metrics.js';
import * as recordStore from '../state/common/pool/recordStore.js';
import * as store from '../state/common/store.js';

/** Options of the store client. */
export interface PlatformStoreOptions {
  /** Evaluated for each call: a reload of the settings may change the address. */
  readonly address: () => http.Address;
  readonly call: http.HttpCall;
  readonly metrics: metrics.Metrics;
  /** Longest wait for an answer to begin; added to the wait that a watch requests. */
  readonly timeoutMs: number;
  /** Longest total wait over the direct path and relays, for calls other than watches. */
  readonly totalMs?: number;
  /** For the pauses between attempts to read a page; without it, a list fails with the first page that fails. */
  readonly clock?: clock.Clock;
  /** Called when any part of an answer arrives, directly or relayed, unless its status is 429 or 503. */
  readonly onDidReceive?: () => void;
}

/**
 * A value of one megabyte takes 1.6 s over a link of 7 Mbit/s, which all calls of a machine share; the store's
 * change history covers only 20 s.
 */
export const TRANSFER_LIMITS: http.TransferLimits = {
  maxMs: 15_000,
  maxPauseMs: 2000,
  minBytesPerS: 100_000,
};

/**
 * Attempts per page after the first: if a failure restarted the list from its first page, a list of many pages could
 * succeed only in a period without any failure that is as long as the entire list.
 */
const PAGE_ATTEMPTS = 5;

const PAGE_PAUSE_MS = 200;

/** An item in the service's format. */
interface WireItem {
  readonly key: string;
  /** Base64. */
  readonly value?: string;
  /** Revision of the last change. */
  readonly rev: number;
  /** True for an event that removed the key. */
  readonly tombstone?: boolean;
}

interface WirePage {
  readonly items?: readonly WireItem[];
  readonly more_pages?: boolean;
  /** Revision of the entire store when the answer was created. */
  readonly as_of: number;
}

interface WireEvents {
  readonly events?: readonly WireItem[];
  readonly as_of: number;
}

/** Options of a single call. */
interface SendOptions {
  readonly body?: object;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  readonly unreadStatuses?: readonly number[];
}

const OK = 200;
const TIMED_OUT = 408;
const NOT_FOUND = 404;
const GONE = 410;
const CONDITION_FAILED = 412;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;
const UNAVAILABLE = 503;

const decodeValue = (item: WireItem): store.StoreEntry => ({
  key: item.key,
  value: Buffer.from(item.value ?? '', 'base64').toString('utf8'),
  revision: item.rev,
});

const encodePut = ({ key, value, leaseId }: recordStore.Put): object => ({
  key,
  value: Buffer.from(value, 'utf8').toString('base64'),
  ...(leaseId === undefined ? {} : { lease: Number(leaseId) }),
});

const parse = <T>(reply: http.HttpReply): T =>
  JSON.parse(Buffer.from(reply.body).toString('utf8')) as T;

const unavailable = (operation: string, reason: string): errors.AuburnliftError =>
  errors.fail('storeUnavailable', `store operation ${operation} failed: ${reason}`, {
    retryAfterMs: 1000,
  });

/** Uses only the last of several events of one key. */
const toWatchResult = (reply: WireEvents): store.WatchResult => {
  const last = new Map<string, WireItem>();
  for (const event of reply.events ?? []) last.set(event.key, event);
  const items = [...last.values()];
  return {
    entries: items.filter((it) => it.tombstone !== true).map(decodeValue),
    deletedKeys: items.filter((it) => it.tombstone === true).map((it) => it.key),
    revision: reply.as_of,
    isGap: false,
  };
};

/**
 * @param options - options of the store client
 * @returns the store
 */
export const createPlatformStore = (options: PlatformStoreOptions): recordStore.RecordStore => {
  const reportArrival = (status: number): void => {
    if (status !== TOO_MANY_REQUESTS && status !== UNAVAILABLE) options.onDidReceive?.();
  };

  const send = async (
    operation: string,
    method: string,
    path: string,
    { body, timeoutMs = options.timeoutMs, ...rest }: SendOptions = {},
  ): Promise<http.HttpReply> => {
    options.metrics.count('auburnlift_store_calls_total', { operation });
    const isBrief = timeoutMs <= options.timeoutMs;
    const reply = await options.call({
      address: options.address(),
      method,
      path,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body)),
      timeoutMs,
      transfer: TRANSFER_LIMITS,
      ...(isBrief && options.totalMs !== undefined ? { totalMs: options.totalMs } : {}),
      onArrival: reportArrival,
      ...rest,
    });
    reportArrival(reply.status);
    return reply;
  };

  /** For calls that change nothing or can safely be repeated. */
  const read = async (
    operation: string,
    method: string,
    path: string,
    expected: readonly number[],
    rest: SendOptions = {},
  ): Promise<http.HttpReply> => {
    let reply: http.HttpReply;
    try {
      reply = await send(operation, method, path, rest);
    } catch (thrown) {
      options.metrics.count('auburnlift_store_failures_total', { operation });
      throw unavailable(operation, errors.normalize(thrown).message);
    }
    if (expected.includes(reply.status)) return reply;
    options.metrics.count('auburnlift_store_failures_total', { operation });
    throw unavailable(operation, `status ${reply.status}`);
  };

  const write = async (
    operation: string,
    path: string,
    rest: SendOptions,
  ): Promise<http.HttpReply> => {
    let reply: http.HttpReply;
    try {
      reply = await send(operation, 'POST', path, rest);
    } catch (thrown) {
      options.metrics.count('auburnlift_store_failures_total', { operation });
      const isNotSent =
        thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
      const { message } = errors.normalize(thrown);
      if (isNotSent) throw unavailable(operation, message);
      throw new store.StoreOutcomeUnknown(message);
    }
    const { status } = reply;
    if (status === OK || status === CONDITION_FAILED || status === NOT_FOUND) return reply;
    options.metrics.count('auburnlift_store_failures_total', { operation });
    if (status === TOO_MANY_REQUESTS || status === UNAVAILABLE) {
      throw unavailable(operation, `status ${status}`);
    }
    if (status < SERVER_ERROR && status !== TIMED_OUT) {
      throw new store.StoreRefused(`the store refused ${operation} with status ${status}`);
    }
    throw new store.StoreOutcomeUnknown(`status ${status}`);
  };

  const listPage = async (prefix: string, after: string | undefined): Promise<WirePage> => {
    const query = new URLSearchParams({ prefix, ...(after === undefined ? {} : { after }) });
    const path = `/-/kv-range?${query.toString()}`;
    return parse<WirePage>(await read('list', 'GET', path, [OK]));
  };

  const nextPage = async (prefix: string, after: string): Promise<WirePage> => {
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await listPage(prefix, after);
      } catch (thrown) {
        if (options.clock === undefined || attempt === PAGE_ATTEMPTS) throw thrown;
        await clock.sleep(options.clock, PAGE_PAUSE_MS);
      }
    }
  };

  return {
    get: async (key) => {
      const path = `/-/kv-key?${new URLSearchParams({ key }).toString()}`;
      const reply = await read('get', 'GET', path, [OK, NOT_FOUND]);
      return reply.status === NOT_FOUND ? undefined : decodeValue(parse<WireItem>(reply));
    },
    list: async (prefix) => {
      const entries: store.StoreEntry[] = [];
      let page = await listPage(prefix, undefined);
      // The pages are not one snapshot: a watch must start at the revision of the first page, the oldest.
      const revision = page.as_of;
      for (;;) {
        const items = page.items ?? [];
        entries.push(...items.map(decodeValue));
        const last = items.at(-1);
        if (page.more_pages !== true || last === undefined) return { entries, revision };
        page = await nextPage(prefix, last.key);
      }
    },
    transact: async ({ conditions, puts, removes, omitsCurrent }) => {
      const body = {
        if_rev: conditions.map(({ key, revision }) => ({ key, rev: revision })),
        set_keys: puts.map(encodePut),
        remove: removes,
      };
      const reply = await write('transact', '/-/kv-txn', {
        body,
        ...(omitsCurrent ? { unreadStatuses: [CONDITION_FAILED] } : {}),
      });
      if (reply.status === OK) {
        return { isCommitted: true, revision: parse<{ rev: number }>(reply).rev };
      }
      if (reply.status === NOT_FOUND) return { isCommitted: false, current: [], isLeaseGone: true };
      if (omitsCurrent) return { isCommitted: false, current: [], isLeaseGone: false };
      const { items = [] } = parse<{ items?: readonly WireItem[] }>(reply);
      // A key that does not exist may be included with revision 0.
      const current = items.filter((it) => it.rev > 0 && it.tombstone !== true).map(decodeValue);
      return { isCommitted: false, current, isLeaseGone: false };
    },
    grantLease: async (ttlMs) => {
      const body = { ttl_ms: ttlMs };
      const reply = await read('grantLease', 'POST', '/-/kv-lease', [OK], { body });
      return String(parse<{ lease: number }>(reply).lease);
    },
    renewLease: async (leaseId, timeoutMs = options.timeoutMs) => {
      const path = `/-/kv-keep/${leaseId}`;
      const rest = { timeoutMs };
      const reply = await read('renewLease', 'POST', path, [OK, NOT_FOUND], rest);
      return reply.status === OK;
    },
    revokeLease: async (leaseId) => {
      await read('revokeLease', 'DELETE', `/-/kv-lease-end/${leaseId}`, [OK, 204, NOT_FOUND]);
    },
    watch: async (prefix, afterRevision, waitMs, signal) => {
      const query = new URLSearchParams({
        prefix,
        after: String(afterRevision),
        wait_ms: String(waitMs),
      });
      const path = `/-/kv-watch?${query.toString()}`;
      const reply = await read('watch', 'GET', path, [OK, GONE], {
        timeoutMs: waitMs + options.timeoutMs,
        signal,
      });
      if (reply.status === OK) return toWatchResult(parse<WireEvents>(reply));
      return { entries: [], deletedKeys: [], revision: afterRevision, isGap: true };
    },
  };
};
