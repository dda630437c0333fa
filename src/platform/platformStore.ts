/**
 * The platform's key-value service as the product's record store.
 *
 * Guards against answers that are lost: a write whose exchange broke after it was sent ends as
 * `StoreOutcomeUnknown`, never as a plain failure, since it may take effect now or seconds later.
 */
import * as clock from '../base/common/clock.js';
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import type * as metrics from '../base/common/metrics.js';
import * as recordStore from '../state/common/pool/recordStore.js';
import * as store from '../state/common/store.js';

/** How the service is reached. */
export interface PlatformStoreOptions {
  /** Read for each call: a reload of the settings may change it. */
  readonly address: () => http.Address;
  readonly call: http.HttpCall;
  readonly metrics: metrics.Metrics;
  /** Longest wait for an answer to begin; a watch waits this much longer than it asked for. */
  readonly timeoutMs: number;
  /** Longest wait over all ways to the service, for calls that are no watches. */
  readonly totalMs?: number;
  /** For the pauses between attempts to get a page; without it a list ends with the first page that fails. */
  readonly clock?: clock.Clock;
  /** Something of an answer has come, by whichever way. */
  readonly onDidHear?: () => void;
}

/**
 * A value of a megabyte takes 1.6 s on a line of 7 Mbit/s, which all calls of a machine share; what the store
 * remembers of changes reaches back 20 s.
 */
export const TRANSFER: http.TransferLimits = {
  maxMs: 15_000,
  maxPauseMs: 2000,
  minBytesPerS: 100_000,
};

/**
 * Attempts to get a page that follows others: begun again from its first page, a list of many pages would need a time
 * without any failure that is as long as the whole list.
 */
const PAGE_ATTEMPTS = 5;

const PAGE_PAUSE_MS = 200;

/** An item as the service writes it. */
interface WireItem {
  readonly key: string;
  /** Base64. */
  readonly value?: string;
  /** Revision of the last change. */
  readonly rev: number;
  /** Stands on an event of a removal. */
  readonly tombstone?: boolean;
}

interface WirePage {
  readonly items?: readonly WireItem[];
  readonly more_pages?: boolean;
  /** Revision of the whole store when the answer was made. */
  readonly as_of: number;
}

interface WireEvents {
  readonly events?: readonly WireItem[];
  readonly as_of: number;
}

/** What differs from call to call. */
interface SendOptions {
  readonly body?: object;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  readonly unreadStatuses?: readonly number[];
}

const OK = 200;
const NOT_FOUND = 404;
const GONE = 410;
const CONDITION_FAILED = 412;
const TOO_MANY = 429;
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
  errors.fail('storeUnavailable', `the store did not answer ${operation}: ${reason}`, {
    retryAfterMs: 1000,
  });

/** Several events of one key count as the last of them. */
const toWatchResult = (seen: WireEvents): store.WatchResult => {
  const last = new Map<string, WireItem>();
  for (const event of seen.events ?? []) last.set(event.key, event);
  const items = [...last.values()];
  return {
    entries: items.filter((it) => it.tombstone !== true).map(decodeValue),
    deletedKeys: items.filter((it) => it.tombstone === true).map((it) => it.key),
    revision: seen.as_of,
    isGap: false,
  };
};

/**
 * @param options - how the service is reached
 * @returns the store
 */
export const createPlatformStore = (options: PlatformStoreOptions): recordStore.RecordStore => {
  const noteArrival = (status: number): void => {
    if (status !== TOO_MANY && status !== UNAVAILABLE) options.onDidHear?.();
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
      transfer: TRANSFER,
      ...(isBrief && options.totalMs !== undefined ? { totalMs: options.totalMs } : {}),
      onArrival: noteArrival,
      ...rest,
    });
    noteArrival(reply.status);
    return reply;
  };

  /** Calls that change nothing, or nothing that matters where they are repeated. */
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
      const isUnseen =
        thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
      const { message } = errors.normalize(thrown);
      if (isUnseen) throw unavailable(operation, message);
      throw new store.StoreOutcomeUnknown(message);
    }
    const { status } = reply;
    if (status === OK || status === CONDITION_FAILED || status === NOT_FOUND) return reply;
    options.metrics.count('auburnlift_store_failures_total', { operation });
    if (status === TOO_MANY || status === UNAVAILABLE) {
      throw unavailable(operation, `status ${status}`);
    }
    if (status < SERVER_ERROR) {
      throw errors.fail('internal', `the store refused ${operation} with status ${status}`);
    }
    throw new store.StoreOutcomeUnknown(`status ${status}`);
  };

  const listPage = async (prefix: string, after: string | undefined): Promise<WirePage> => {
    const query = new URLSearchParams({ prefix, ...(after === undefined ? {} : { after }) });
    const path = `/-/kv-range?${query.toString()}`;
    return parse<WirePage>(await read('list', 'GET', path, [OK]));
  };

  const nextPage = async (prefix: string, after: string): Promise<WirePage> => {
    for (let tries = 1; ; tries += 1) {
      try {
        return await listPage(prefix, after);
      } catch (thrown) {
        if (options.clock === undefined || tries === PAGE_ATTEMPTS) throw thrown;
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
      // Pages are no snapshot: a watch has to go on from the first, which saw the least.
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
      // A key that does not exist may be listed with revision 0.
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
