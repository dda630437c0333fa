/**
 * Client of an agent for the worker on its machine. No call throws: each failure is an outcome that the
 * agent handles.
 */
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import type * as metrics from '../base/common/metrics.js';
import type * as agentContract from '../state/common/pool/agentContract.js';
import * as workerWire from './workerWire.js';

/** Options of the client. */
export interface WorkerClientOptions {
  readonly address: () => http.Address;
  readonly call: http.HttpCall;
  readonly metrics: metrics.Metrics;
}

/** Header with the id of the worker for which a call is intended. */
const EXPECTED_WORKER_HEADER = 'auburnlift-expect-instance';

/** The worker runs on the same machine and answers within a millisecond; busy machines take longer. */
const TIMEOUT_MS = 600;

const OK = 200;
const SERVER_ERROR = 500;
const UNAVAILABLE = 503;

const reasonOf = (reply: http.HttpReply): string => {
  try {
    const { reason } = JSON.parse(Buffer.from(reply.body).toString('utf8')) as { reason?: string };
    return reason ?? `status ${reply.status}`;
  } catch {
    // The reason is only logged; the status determines the outcome.
    return `status ${reply.status}`;
  }
};

/**
 * @param options - options of the client
 * @returns the client
 */
export const createWorkerClient = (options: WorkerClientOptions): agentContract.WorkerApi => {
  const send = (
    operation: string,
    workerId: string | undefined,
    body: object,
    timeoutMs: number,
  ): Promise<http.HttpReply> => {
    options.metrics.count('auburnlift_worker_calls_total', { operation });
    return options.call({
      address: options.address(),
      method: 'POST',
      path: `/-/${operation}`,
      headers: {
        'content-type': 'application/json',
        ...(workerId === undefined ? {} : { [EXPECTED_WORKER_HEADER]: workerId }),
      },
      body: Buffer.from(JSON.stringify(body)),
      timeoutMs,
    });
  };

  const sendOrder = async (
    operation: string,
    workerId: string,
    body: object,
  ): Promise<agentContract.WorkerAnswer> => {
    try {
      const reply = await send(operation, workerId, body, TIMEOUT_MS);
      if (reply.status === OK) return { outcome: 'accepted', reason: '' };
      // With these statuses the worker did nothing; any other failure may occur after it executed the order.
      const isRefusal = reply.status < SERVER_ERROR || reply.status === UNAVAILABLE;
      return { outcome: isRefusal ? 'refused' : 'unknown', reason: reasonOf(reply) };
    } catch (thrown) {
      const isNotSent =
        thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
      const reason = errors.normalize(thrown).message;
      return { outcome: isNotSent ? 'refused' : 'unknown', reason };
    }
  };

  return {
    start: (workerId, start) =>
      sendOrder('run-start', workerId, {
        task: start.task,
        run: start.run,
        spec: start.payload,
        /** End of the lease, on the worker's clock. */
        deadline_ms: start.leaseUntilMs,
        fence: start.fence,
        ...(start.saved === '' ? {} : { saved: start.saved }),
        ...(start.ticket === undefined ? {} : { ticket: start.ticket }),
      }),
    stop: (workerId, { task, run, fence }) => sendOrder('run-stop', workerId, { task, run, fence }),
    pace: (workerId, { task, run, percent, fence }) =>
      sendOrder('pace', workerId, { task, run, percent, fence }),
    view: async (workerId, request) => {
      const body = {
        ...(request.leaseUntilMs === 0 ? {} : { deadline_ms: request.leaseUntilMs }),
        fence: request.fence,
        seen_upto: request.seenUpTo,
        wait_ms: request.waitMs,
      };
      try {
        const reply = await send('hold', workerId, body, request.waitMs + TIMEOUT_MS);
        if (reply.status !== OK) return { outcome: 'refused', reason: reasonOf(reply) };
        const view = workerWire.decodeReport(reply.body);
        if (view === undefined) return { outcome: 'unknown', reason: 'the list can not be read' };
        return { outcome: 'view', view };
      } catch (thrown) {
        return { outcome: 'unknown', reason: errors.normalize(thrown).message };
      }
    },
  };
};
