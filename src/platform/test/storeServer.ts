/**
 * Serves a record store over the platform's store API, for tests that run the real programs.
 */
import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import type * as recordStore from '../../state/common/pool/recordStore.js';
import * as store from '../../state/common/store.js';
import * as httpServer from '../../transport/node/httpServer.js';

const MAX_BODY_BYTES = 4_194_304;

const encode = (entry: store.StoreEntry): object => ({
  key: entry.key,
  value: Buffer.from(entry.value).toString('base64'),
  rev: entry.revision,
});

interface WireTransaction {
  readonly if_rev?: readonly { readonly key: string; readonly rev: number }[];
  readonly set_keys?: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number;
  }[];
  readonly remove?: readonly string[];
}

const toTransaction = (wire: WireTransaction): recordStore.Transaction => ({
  conditions: (wire.if_rev ?? []).map(({ key, rev }) => ({ key, revision: rev })),
  puts: (wire.set_keys ?? []).map(({ key, value, lease }) => ({
    key,
    value: Buffer.from(value, 'base64').toString('utf8'),
    ...(lease === undefined ? {} : { leaseId: `lease-${lease}` }),
  })),
  removes: wire.remove ?? [],
});

const transact = async (
  subject: recordStore.RecordStore,
  wire: WireTransaction,
): Promise<httpServer.ServerReply> => {
  const result = await subject.transact(toTransaction(wire));
  if (result.isCommitted) return httpServer.jsonReply({ rev: result.revision });
  if (result.isLeaseGone) return httpServer.jsonReply({}, 404);
  return httpServer.jsonReply({ items: result.current.map(encode) }, 412);
};

const leaseIdIn = (path: string): string => `lease-${path.slice(path.lastIndexOf('/') + 1)}`;

const watch = async (
  subject: recordStore.RecordStore,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  const { query, signal } = request;
  const after = Number(query.get('after'));
  const waitMs = Number(query.get('wait_ms'));
  const changes = await subject.watch(query.get('prefix') ?? '', after, waitMs, signal);
  if (changes.isGap) return httpServer.jsonReply({}, 410);
  const removed = changes.deletedKeys.map((key) => ({
    key,
    rev: changes.revision,
    tombstone: true,
  }));
  const events = [...changes.entries.map(encode), ...removed];
  return httpServer.jsonReply({ events, as_of: changes.revision });
};

const handle = async (
  subject: recordStore.RecordStore,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  const { path, query } = request;
  if (path === '/-/kv-key') {
    const entry = await subject.get(query.get('key') ?? '');
    return entry === undefined
      ? httpServer.jsonReply({}, 404)
      : httpServer.jsonReply(encode(entry));
  }
  if (path === '/-/kv-range') {
    const { entries, revision } = await subject.list(query.get('prefix') ?? '');
    return httpServer.jsonReply({ items: entries.map(encode), as_of: revision });
  }
  if (path === '/-/kv-watch') return watch(subject, request);
  if (path === '/-/kv-lease') {
    const { ttl_ms: ttlMs } = httpServer.parseJsonBody(request) as { ttl_ms: number };
    const leaseId = await subject.grantLease(ttlMs);
    const lease = Number(leaseId.slice('lease-'.length));
    return httpServer.jsonReply({ lease, ttl_ms: ttlMs });
  }
  if (path.startsWith('/-/kv-keep/')) {
    const isAlive = await subject.renewLease(leaseIdIn(path));
    return httpServer.jsonReply({}, isAlive ? 200 : 404);
  }
  if (path.startsWith('/-/kv-lease-end/')) {
    await subject.revokeLease(leaseIdIn(path));
    return httpServer.jsonReply({});
  }
  return transact(subject, httpServer.parseJsonBody(request) as WireTransaction);
};

/**
 * @param subject - a store whose lease ids are `lease-N`
 * @returns the server, which answers 502 if the outcome of a write is unknown
 */
export const serveStore = (subject: recordStore.RecordStore): Promise<httpServer.HttpServer> =>
  httpServer.listen(
    { host: '127.0.0.1', port: 0, maxBodyBytes: MAX_BODY_BYTES, maxConnections: 500 },
    httpServer.toListener(async (request) => {
      try {
        return await handle(subject, request);
      } catch (thrown) {
        if (thrown instanceof store.StoreOutcomeUnknown) return httpServer.jsonReply({}, 502);
        if (thrown instanceof store.StoreRefused) return httpServer.jsonReply({}, 400);
        return httpServer.jsonReply({ reason: errors.normalize(thrown).message }, 503);
      }
    }, MAX_BODY_BYTES),
  );

/** Formats the address of a test's server as in the settings file. */
export const formatServerAddress = ({ address }: httpServer.HttpServer): string =>
  http.formatAddress(address).slice('http://'.length);
