/**
 * Serves the in-memory worker over HTTP, with the paths of the platform's worker.
 */
import * as errors from '../base/common/errors.js';
import type * as workerContract from '../state/common/workerContract.js';
import * as httpServer from '../transport/node/httpServer.js';

const MAX_BODY_BYTES = 1_048_576;

type Operation = (body: never) => Promise<unknown>;

const operationsOf = (target: workerContract.Worker): Readonly<Record<string, Operation>> => ({
  '/v1/start': (body: workerContract.WorkerStart) => target.start(body),
  '/v1/renew': (body: { keys: string[]; leaseMs: number }) => target.renew(body.keys, body.leaseMs),
  '/v1/checkpoint': (body: { key: string }) => target.checkpoint(body.key),
  '/v1/throttle': (body: { key: string; share: number }) => target.throttle(body.key, body.share),
  '/v1/stop': (body: { key: string; graceMs: number }) => target.stop(body.key, body.graceMs),
  '/v1/forget': (body: { keys: string[] }) => target.forget(body.keys),
  '/v1/report': () => target.report(),
});

/**
 * @param target - the worker to serve
 * @param port - 0 takes any free port
 * @returns the server, listening on loopback
 */
export const serveWorker = (
  target: workerContract.Worker,
  port = 0,
): Promise<httpServer.HttpServer> => {
  const operations = operationsOf(target);
  const handler: httpServer.Handler = async (request) => {
    const operation = operations[request.path];
    if (operation === undefined) throw errors.fail('notFound', `no operation ${request.path}`);
    const body = httpServer.parseJsonBody(request) as never;
    return httpServer.jsonReply((await operation(body)) ?? {});
  };
  return httpServer.listen(
    { host: '127.0.0.1', port, maxBodyBytes: MAX_BODY_BYTES, maxConnections: 1000 },
    httpServer.toListener(handler, MAX_BODY_BYTES),
  );
};
