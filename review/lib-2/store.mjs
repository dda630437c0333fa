/** Stand-in for the platform's store, by "The platform's metadata store" of PROTOCOL.md. */
import * as http from 'node:http';

const VALUE_BYTES = 1_048_576;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const HISTORY_MS = 20_000;
const MAX_TXN_ENTRIES = 32;
const LEASE_CHECK_MS = 20;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

const send = (response, status, body) => {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

/**
 * Starts the store.
 *
 * @param host - its address
 * @param port - its port
 * @param record - notes what it refuses
 * @returns the store, with what the operator and the checks of a case need
 */
export const startStore = async (host, port, record) => {
  const items = new Map();
  const leases = new Map();
  const history = [];
  const watchers = new Set();
  let revision = 1;
  let forgotten = 1;
  let leaseCount = 0;
  /** Set by a case; answers a call instead of the store where it returns true. */
  let intercept = () => false;

  const wake = () => {
    for (const watcher of [...watchers]) watcher();
  };
  const note = (event) => {
    history.push({ atMs: performance.now(), event });
    while (history.length > 0 && performance.now() - history[0].atMs > HISTORY_MS) {
      forgotten = history.shift().event.rev;
    }
  };
  const wireItem = (key) => {
    const item = items.get(key);
    return {
      key,
      value: item.value.toString('base64'),
      rev: item.rev,
      created: item.created,
      lease: item.lease,
    };
  };
  const put = (key, value, lease) => {
    const created = items.get(key)?.created ?? revision;
    items.set(key, { value, rev: revision, created, lease });
    note(wireItem(key));
  };
  const remove = (key) => {
    if (items.delete(key)) note({ key, rev: revision, tombstone: true });
  };
  const endLease = (id) => {
    if (!leases.delete(id)) return false;
    revision += 1;
    for (const [key, item] of [...items]) if (item.lease === id) remove(key);
    wake();
    return true;
  };
  const leaseTimer = setInterval(() => {
    const nowMs = performance.now();
    for (const [id, lease] of [...leases]) if (lease.untilMs <= nowMs) endLease(id);
  }, LEASE_CHECK_MS);

  const range = (query) => {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const page = [];
    let bytes = 0;
    for (const key of keys) {
      if (page.length === PAGE_ITEMS || bytes > PAGE_BYTES) break;
      page.push(wireItem(key));
      bytes += items.get(key).value.length;
    }
    return { items: page, more_pages: page.length < keys.length, as_of: revision };
  };

  const watch = (query, request, response) => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const eventsNow = () =>
      history.map((it) => it.event).filter((it) => it.rev > after && it.key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      watchers.delete(check);
      if (after < forgotten) send(response, 410, {});
      else send(response, 200, { events: eventsNow(), as_of: revision });
    };
    const check = () => {
      if (eventsNow().length > 0) finish();
    };
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms'))));
    response.once('close', () => {
      clearTimeout(timer);
      watchers.delete(check);
    });
    watchers.add(check);
    if (after < forgotten || eventsNow().length > 0) finish();
  };

  const transact = (body) => {
    const { if_rev: conditions = [], set_keys: puts = [], remove: removes = [] } = body;
    if (conditions.length + puts.length + removes.length > MAX_TXN_ENTRIES) return [400, {}];
    const values = puts.map((it) => Buffer.from(it.value, 'base64'));
    const longest = Math.max(0, ...values.map((it) => it.length));
    if (longest > VALUE_BYTES) {
      record(`the store refuses a value of ${longest} bytes`);
      return [400, { reason: 'value too large' }];
    }
    const isMet = conditions.every((it) => (items.get(it.key)?.rev ?? 0) === it.rev);
    if (!isMet) {
      const known = conditions.filter((it) => items.has(it.key));
      return [412, { items: known.map((it) => wireItem(it.key)) }];
    }
    if (puts.some((it) => (it.lease ?? 0) !== 0 && !leases.has(it.lease))) return [404, {}];
    revision += 1;
    puts.forEach((it, index) => put(it.key, values[index], it.lease ?? 0));
    removes.forEach(remove);
    wake();
    return [200, { rev: revision }];
  };

  const handle = async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const text = await readBody(request);
    if (intercept(request, response, text)) return;
    const body = text === '' ? {} : JSON.parse(text);
    const path = url.pathname;
    const id = Number(path.slice(path.lastIndexOf('/') + 1));
    if (path === '/-/kv-key') {
      const key = url.searchParams.get('key');
      if (items.has(key)) send(response, 200, wireItem(key));
      else send(response, 404, {});
    } else if (path === '/-/kv-range') send(response, 200, range(url.searchParams));
    else if (path === '/-/kv-watch') watch(url.searchParams, request, response);
    else if (path === '/-/kv-txn') send(response, ...transact(body));
    else if (path === '/-/kv-lease') {
      leaseCount += 1;
      leases.set(leaseCount, { ttlMs: body.ttl_ms, untilMs: performance.now() + body.ttl_ms });
      send(response, 200, { lease: leaseCount, ttl_ms: body.ttl_ms });
    } else if (path.startsWith('/-/kv-keep/')) {
      const lease = leases.get(id);
      if (lease === undefined) {
        send(response, 404, {});
        return;
      }
      lease.untilMs = performance.now() + lease.ttlMs;
      send(response, 200, { ttl_ms: lease.ttlMs });
    } else if (path.startsWith('/-/kv-lease-end/')) send(response, endLease(id) ? 200 : 404, {});
    else send(response, 404, {});
  };

  const server = http.createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    /** The operator's write. */
    write: (key, value) => {
      revision += 1;
      put(key, Buffer.from(JSON.stringify(value)), 0);
      wake();
    },
    /** @returns the JSON text under a key; undefined where there is none */
    read: (key) => items.get(key)?.value.toString('utf8'),
    setIntercept: (next) => {
      intercept = next;
    },
    close: () => {
      clearInterval(leaseTimer);
      server.close();
      server.closeAllConnections();
    },
  };
};
