/**
 * The platform's worker over HTTP with JSON bodies.
 */
import * as http from '../../base/common/http.js';
import type * as workerContract from '../common/workerContract.js';

/** How a worker is reached. */
export interface HttpWorkerOptions {
  readonly url: string;
  readonly timeoutMs: number;
  readonly call: http.HttpCall;
}

/**
 * @param options - how the worker is reached
 * @returns the worker; its methods throw if no answer arrives
 */
export const createHttpWorker = (options: HttpWorkerOptions): workerContract.Worker => {
  const address = http.parseAddress(options.url);
  const send = async (operation: string, body: object): Promise<unknown> => {
    const reply = await options.call({
      address,
      method: 'POST',
      path: `/v1/${operation}`,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify(body)),
      timeoutMs: options.timeoutMs,
    });
    if (reply.status !== 200) throw new Error(`the worker answered with status ${reply.status}`);
    return JSON.parse(Buffer.from(reply.body).toString('utf8')) as unknown;
  };
  return {
    start: async (start) => {
      await send('start', start);
    },
    renew: async (keys, leaseMs) => {
      await send('renew', { keys, leaseMs });
    },
    checkpoint: async (key) => {
      await send('checkpoint', { key });
    },
    throttle: async (key, share) => {
      await send('throttle', { key, share });
    },
    stop: async (key, graceMs) => {
      await send('stop', { key, graceMs });
    },
    forget: async (keys) => {
      await send('forget', { keys });
    },
    report: async () => (await send('report', {})) as workerContract.WorkerUsage,
  };
};
