/**
 * Serves the in-memory store over HTTP, with the paths of the platform's store.
 */
import * as errors from '../base/common/errors.js';
import * as store from '../state/common/store.js';
import * as httpServer from '../transport/node/httpServer.js';

import type * as memoryStore from './memoryStore.js';

/** Twice the largest value, so that a body with a value above the limit still reaches the store. */
const MAX_BODY_BYTES = 2 * store.MAX_VALUE_BYTES;

type Operation = (body: never, signal: AbortSignal) => Promise<unknown>;

const operationsOf = (target: store.Store): Readonly<Record<string, Operation>> => ({
  '/v1/get': async (body: { key: string }) => ({ entry: (await target.get(body.key)) ?? null }),
  '/v1/list': (body: { prefix: string }) => target.list(body.prefix),
  '/v1/cas': (body: store.CompareAndSwap) => target.compareAndSwap(body),
  '/v1/lease/grant': async (body: { ttlMs: number }) => ({
    leaseId: await target.grantLease(body.ttlMs),
  }),
  '/v1/lease/renew': async (body: { leaseId: string }) => ({
    isAlive: await target.renewLease(body.leaseId),
  }),
  '/v1/lease/revoke': async (body: { leaseId: string }) => {
    await target.revokeLease(body.leaseId);
    return {};
  },
  '/v1/watch': (
    body: { prefix: string; afterRevision: number; waitMs: number },
    signal: AbortSignal,
  ) => target.watch(body.prefix, body.afterRevision, body.waitMs, signal),
});

/**
 * @param target - the store to serve
 * @param port - 0 takes any free port
 * @returns the server, listening on loopback
 */
export const serveStore = (
  target: memoryStore.MemoryStore,
  port = 0,
): Promise<httpServer.HttpServer> => {
  const operations = operationsOf(target);
  const handler: httpServer.Handler = async (request) => {
    const operation = operations[request.path];
    if (operation === undefined) throw errors.fail('notFound', `no operation ${request.path}`);
    const body = httpServer.parseJsonBody(request) as never;
    try {
      return httpServer.jsonReply(await operation(body, request.signal));
    } catch (thrown) {
      // Never answers, as when the answer of the platform is lost.
      if (thrown instanceof store.StoreOutcomeUnknown) return new Promise<never>(() => {});
      throw thrown;
    }
  };
  return httpServer.listen(
    { host: '127.0.0.1', port, maxBodyBytes: MAX_BODY_BYTES, maxConnections: 10_000 },
    httpServer.toListener(handler, MAX_BODY_BYTES),
  );
};
