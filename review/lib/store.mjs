/**
 * Stand-in for the platform's metadata store, written from PROTOCOL.md and DEPLOY.md: items with
 * revisions, ranges in pages, watches, transactions, leases, and the limit `value_bytes`.
 */
import http from 'node:http';

const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_TXN_ENTRIES = 32;
const MAX_KEY_BYTES = 200;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

export const startStore = async ({ host, port, valueBytes, historyMs, record }) => {
  const items = new Map();
  const leases = new Map();
  const history = [];
  const waiters = new Set();
  const refusals = new Map();
  let revision = 100;
  let forgotten = 100;
  let leaseId = 5000;
  const nowMs = () => performance.now();

  const note = (event) => {
    history.push({ ...event, atMs: nowMs() });
    while (history.length > 0 && history[0].atMs < nowMs() - historyMs) {
      forgotten = history.shift().rev;
    }
  };
  const wake = () => {
    for (const it of [...waiters]) it();
  };
  const expire = () => {
    for (const [id, lease] of leases) if (lease.untilMs <= nowMs()) endLease(id);
  };
  const endLease = (id) => {
    leases.delete(id);
    for (const [key, item] of [...items]) {
      if (item.lease === id) {
        items.delete(key);
        revision += 1;
        note({ key, rev: revision, tombstone: true });
      }
    }
    wake();
  };
  const timer = setInterval(expire, 20);

  const txn = (body) => {
    const { if_rev: conditions = [], set_keys: puts = [], remove = [] } = body;
    if (conditions.length + puts.length + remove.length > MAX_TXN_ENTRIES) {
      return [400, { reason: 'entries' }];
    }
    for (const { key, value } of puts) {
      if (key.startsWith('op/') || key.startsWith('servers/')) return [403, {}];
      if (Buffer.byteLength(key) > MAX_KEY_BYTES) return [400, { reason: 'key' }];
      const bytes = Buffer.byteLength(value, 'base64');
      if (bytes > valueBytes) {
        const seen = refusals.get(key) ?? { count: 0, bytes };
        seen.count += 1;
        seen.bytes = bytes;
        if (seen.count === 1)
          record(`store refuses ${key}: ${bytes} bytes, value_bytes ${valueBytes}`);
        refusals.set(key, seen);
        return [413, { reason: 'value_bytes' }];
      }
    }
    const isMet = conditions.every(({ key, rev }) => (items.get(key)?.rev ?? 0) === rev);
    if (!isMet) {
      const current = conditions.map(({ key }) => items.get(key) ?? { key, rev: 0 });
      return [412, { items: current, as_of: revision }];
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return [404, {}];
    revision += 1;
    for (const { key, value, lease = 0 } of puts) {
      const created = items.get(key)?.created ?? revision;
      const item = { key, value, rev: revision, created, lease };
      items.set(key, item);
      note(item);
    }
    for (const key of remove) {
      if (items.delete(key)) note({ key, rev: revision, tombstone: true });
    }
    wake();
    return [200, { rev: revision }];
  };

  const range = (query) => {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...items.keys()].filter((it) => it.startsWith(prefix) && it > after).sort();
    const page = [];
    let bytes = 0;
    for (const key of keys) {
      const item = items.get(key);
      if (page.length === MAX_PAGE_ITEMS) break;
      if (page.length > 0 && bytes + item.value.length > MAX_PAGE_BYTES) break;
      page.push(item);
      bytes += item.value.length;
    }
    return [200, { items: page, more_pages: page.length < keys.length, as_of: revision }];
  };

  const watch = async (query, request) => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const untilMs = nowMs() + Math.min(30_000, Number(query.get('wait_ms')));
    let isGone = false;
    request.on('close', () => {
      isGone = request.destroyed && !request.complete;
    });
    for (;;) {
      if (after < forgotten) return [410, {}];
      const events = history
        .filter((it) => it.rev > after && it.key.startsWith(prefix))
        .map(({ atMs, ...it }) => it);
      const leftMs = untilMs - nowMs();
      if (events.length > 0 || leftMs <= 0 || isGone) return [200, { events, as_of: revision }];
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(wait);
          waiters.delete(done);
          resolve();
        };
        const wait = setTimeout(done, leftMs);
        waiters.add(done);
      });
    }
  };

  let downUntilMs = 0;
  /** While the store is down it answers nothing and does nothing, and its leases pause. */
  const goDown = (forMs) => {
    downUntilMs = nowMs() + forMs;
    for (const lease of leases.values()) lease.untilMs += forMs;
    for (const response of open) silenced.add(response);
  };
  const open = new Set();
  const silenced = new Set();

  const handle = async (request) => {
    const url = new URL(request.url, 'http://store');
    const { pathname: path, searchParams: query } = url;
    const text = await readBody(request);
    expire();
    if (path === '/-/kv-key') {
      const item = items.get(query.get('key'));
      return item === undefined ? [404, { as_of: revision }] : [200, { ...item, as_of: revision }];
    }
    if (path === '/-/kv-range') return range(query);
    if (path === '/-/kv-watch') return watch(query, request);
    if (path === '/-/kv-txn') return txn(JSON.parse(text));
    if (path === '/-/kv-lease') {
      const ttlMs = JSON.parse(text).ttl_ms;
      leaseId += 1;
      leases.set(leaseId, { ttlMs, untilMs: nowMs() + ttlMs });
      return [200, { lease: leaseId, ttl_ms: ttlMs }];
    }
    const id = Number(path.slice(path.lastIndexOf('/') + 1));
    if (path.startsWith('/-/kv-keep/')) {
      const lease = leases.get(id);
      if (lease === undefined) return [404, {}];
      lease.untilMs = nowMs() + lease.ttlMs;
      return [200, { ttl_ms: lease.ttlMs }];
    }
    if (path.startsWith('/-/kv-lease-end/')) {
      endLease(id);
      return [200, {}];
    }
    return [404, {}];
  };

  const server = http.createServer((request, response) => {
    if (nowMs() < downUntilMs) {
      request.resume();
      return;
    }
    open.add(response);
    response.on('close', () => {
      open.delete(response);
      silenced.delete(response);
    });
    handle(request).then(
      ([status, body]) => {
        if (silenced.has(response)) return;
        const text = JSON.stringify(body);
        response.writeHead(status, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        });
        response.end(text);
      },
      () => response.destroy(),
    );
  });
  await new Promise((resolve) => server.listen(port, host, resolve));
  return {
    goDown,
    refusals,
    sizes: (prefix) =>
      [...items.values()]
        .filter((it) => it.key.startsWith(prefix))
        .map((it) => [it.key, Buffer.byteLength(it.value, 'base64')]),
    leader: () => {
      const item = items.get('auburnlift/live/leadership/leader');
      return item === undefined
        ? undefined
        : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
    },
    /** The operator's write; the store's answer is its acknowledgement. */
    put: (key, value) => {
      revision += 1;
      const item = { key, value: Buffer.from(value).toString('base64'), rev: revision, lease: 0 };
      item.created = items.get(key)?.created ?? revision;
      items.set(key, item);
      note(item);
      wake();
    },
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
};
