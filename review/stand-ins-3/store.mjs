/**
 * The platform's metadata store after PROTOCOL.md: items with revisions, leases, transactions, watches.
 * Each machine reaches it at an address of its own, so that it can turn single machines away.
 */
import * as http from 'node:http';

const HISTORY_MS = 20_000;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const ANSWER_MS = 4;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

export const createStore = () => {
  const items = new Map();
  const leases = new Map();
  const waiters = new Set();
  let history = [];
  let forgottenRev = 0;
  let revision = 1;
  let leaseCount = 0;
  let fault = () => undefined;
  let translate = (key, value) => value;
  const servers = [];

  const wake = () => {
    const woken = [...waiters];
    waiters.clear();
    woken.forEach((resume) => resume());
  };
  const log = (event) => {
    history.push({ ...event, atMs: performance.now() });
    while (history.length > 0 && performance.now() - history[0].atMs > HISTORY_MS) {
      forgottenRev = history.shift().rev;
    }
  };
  const put = (key, value, lease) => {
    const created = items.get(key)?.created ?? revision;
    const item = { key, value: translate(key, value), rev: revision, created, lease };
    items.set(key, item);
    log({ key, rev: revision, item });
  };
  const drop = (key) => {
    if (items.delete(key)) log({ key, rev: revision });
  };
  const endLease = (id) => {
    leases.delete(id);
    const keys = [...items.values()].filter((it) => it.lease === id).map((it) => it.key);
    if (keys.length === 0) return;
    revision += 1;
    keys.forEach(drop);
    wake();
  };
  const expire = () => {
    for (const [id, lease] of [...leases]) if (lease.untilMs <= performance.now()) endLease(id);
  };
  const timer = setInterval(expire, 20);

  const transact = ({ if_rev = [], set_keys = [], remove = [] }) => {
    expire();
    const isMet = if_rev.every(({ key, rev }) => (items.get(key)?.rev ?? 0) === rev);
    if (!isMet) {
      const current = if_rev.map(({ key }) => items.get(key)).filter((it) => it !== undefined);
      return [412, { items: current }];
    }
    const isLeaseGone = set_keys.some(({ lease }) => lease > 0 && !leases.has(lease));
    if (isLeaseGone) return [404, {}];
    revision += 1;
    set_keys.forEach(({ key, value, lease = 0 }) => put(key, value, lease));
    remove.forEach(drop);
    wake();
    return [200, { rev: revision }];
  };

  const range = (prefix, after) => {
    const keys = [...items.keys()].filter((it) => it.startsWith(prefix) && it > after).sort();
    const page = [];
    let bytes = 0;
    for (const key of keys) {
      if (page.length >= PAGE_ITEMS || bytes > PAGE_BYTES) break;
      page.push(items.get(key));
      bytes += items.get(key).value.length;
    }
    const isRest = page.length < keys.length;
    return [200, { items: page, more_pages: isRest, as_of: revision }];
  };

  const watch = async (prefix, after, waitMs) => {
    const untilMs = performance.now() + waitMs;
    for (;;) {
      if (after < forgottenRev) return [410, {}];
      const events = history
        .filter((it) => it.rev > after && it.key.startsWith(prefix))
        .map(({ key, rev, item }) => item ?? { key, rev, tombstone: true });
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0) return [200, { events, as_of: revision }];
      await new Promise((resolve) => {
        const timeout = setTimeout(resume, leftMs);
        function resume() {
          clearTimeout(timeout);
          waiters.delete(resume);
          resolve();
        }
        waiters.add(resume);
      });
    }
  };

  const execute = async (method, url, body) => {
    const { pathname, searchParams: query } = url;
    expire();
    if (pathname === '/-/kv-key') {
      const item = items.get(query.get('key'));
      return item === undefined ? [404, {}] : [200, item];
    }
    if (pathname === '/-/kv-range') return range(query.get('prefix'), query.get('after') ?? '');
    if (pathname === '/-/kv-watch') {
      return watch(query.get('prefix'), Number(query.get('after')), Number(query.get('wait_ms')));
    }
    if (pathname === '/-/kv-txn') {
      const transaction = JSON.parse(body);
      const written = [
        ...(transaction.set_keys ?? []).map((it) => it.key),
        ...(transaction.remove ?? []),
      ];
      const isForbidden = written.some((it) => it.startsWith('op/') || it.startsWith('servers/'));
      return isForbidden ? [403, {}] : transact(transaction);
    }
    if (pathname === '/-/kv-lease') {
      leaseCount += 1;
      const { ttl_ms: ttlMs } = JSON.parse(body);
      leases.set(leaseCount, { ttlMs, untilMs: performance.now() + ttlMs });
      return [200, { lease: leaseCount, ttl_ms: ttlMs }];
    }
    const id = Number(pathname.slice(pathname.lastIndexOf('/') + 1));
    const lease = leases.get(id);
    if (lease === undefined) return [404, {}];
    if (method === 'DELETE') endLease(id);
    else lease.untilMs = performance.now() + lease.ttlMs;
    return [200, {}];
  };

  const answer = async (machine, request, response) => {
    const body = await readBody(request);
    const url = new URL(request.url, 'http://store');
    const call = { machine, method: request.method, path: url.pathname, url, body };
    const wrong = fault(call);
    if (wrong?.status !== undefined) {
      response.writeHead(wrong.status, { 'content-type': 'application/json' }).end('{}');
      return;
    }
    if (wrong?.kind === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (wrong?.kind === 'silent') return;
    if (wrong?.kind === 'late') {
      setTimeout(() => void execute(request.method, url, body), wrong.afterMs);
      return;
    }
    setTimeout(
      async () => {
        const [status, reply] = await execute(request.method, url, body);
        if (wrong?.kind === 'lost' || response.destroyed) return;
        const text = Buffer.from(JSON.stringify(reply));
        response.writeHead(status, {
          'content-type': 'application/json',
          'content-length': text.length,
        });
        response.end(text);
      },
      ANSWER_MS + (wrong?.delayMs ?? 0),
    );
  };

  return {
    /** Opens the address at which one machine reaches the store; returns its port. */
    listen: (machine, host) =>
      new Promise((resolve) => {
        const server = http.createServer((request, response) => {
          answer(machine, request, response).catch(() => response.destroy());
        });
        server.keepAliveTimeout = 120_000;
        servers.push(server);
        server.listen(0, host, () => resolve(server.address().port));
      }),
    /** @param next - gives for each call what is wrong with it, or undefined */
    setFault: (next) => {
      fault = next;
    },
    /** Puts a link's address in the place of the machine's behind it, as a network that translates addresses. */
    setTranslation: (next) => {
      translate = (key, value) => {
        const text = Buffer.from(value, 'base64').toString('utf8');
        return Buffer.from(next(key, text)).toString('base64');
      };
    },
    get: (key) => {
      const item = items.get(key);
      return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
    },
    keys: (prefix) => [...items.keys()].filter((it) => it.startsWith(prefix)),
    /** A write of the operator; settled at its acknowledgement. */
    operatorPut: (key, text) => {
      transact({ set_keys: [{ key, value: Buffer.from(text).toString('base64') }] });
    },
    close: () => {
      clearInterval(timer);
      servers.forEach((it) => {
        it.closeAllConnections();
        it.close();
      });
    },
  };
};
