/**
 * HTTP client with pooled keep-alive connections that returns complete responses only.
 *
 * Guards against established connections that stop carrying data while new ones work: when an exchange
 * times out or breaks off, all idle connections to that address are closed too, since a firewall that lost
 * the state of one has probably lost the others. Connections are also replaced at a maximum age below
 * the usual state timeouts of load balancers and firewalls.
 */
import * as nodeHttp from 'node:http';

import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as http from '../../base/common/http.js';

import * as answerTimeout from './answerTimeout.js';

/** Limits of the connection pools. */
export interface HttpClientOptions {
  /** Maximum number of connections to one address, in use or idle. */
  readonly maxConnections: number;
  /** Idle time after which a connection is closed. */
  readonly maxIdleMs: number;
  /** Age after which a connection gets no new exchange; by default 50 s. */
  readonly maxAgeMs?: number;
  /** Maximum length of a response body; a longer one is an error. */
  readonly maxReplyBytes: number;
  readonly clock: clock.Clock;
}

/** Below a minute, the shortest usual state timeout of load balancers and firewalls. */
const DEFAULT_MAX_AGE_MS = 50_000;

interface Pool {
  readonly agent: nodeHttp.Agent;
  readonly createdAtMs: number;
}

/** HTTP client with a connection pool per address. Disposing it closes all connections. */
export interface HttpClient extends disposable.Disposable {
  readonly call: http.HttpCall;
  /** Closes all idle connections to an address. */
  readonly dropIdle: (address: http.Address) => void;
}

const headersOf = (message: nodeHttp.IncomingMessage): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(message.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
};

const createAgent = (options: HttpClientOptions): nodeHttp.Agent =>
  new nodeHttp.Agent({
    keepAlive: true,
    maxSockets: options.maxConnections,
    maxFreeSockets: options.maxConnections,
    timeout: options.maxIdleMs,
    scheduling: 'lifo',
  });

/** What has been received of a response so far. */
interface ReceivedState {
  readonly status: number | undefined;
  readonly bytes: number;
}

const describeReceived = ({ status, bytes }: ReceivedState): string =>
  status === undefined
    ? 'nothing was received'
    : `status ${status} and ${bytes} bytes were received`;

/** Reading a body up to this length costs less than closing the connection, which skipping it requires. */
const SHORT_BODY_BYTES = 16_384;

const shouldSkipBody = (request: http.HttpRequest, message: nodeHttp.IncomingMessage): boolean => {
  const isBodyUnneeded = request.unreadStatuses?.includes(message.statusCode ?? 0) ?? false;
  const length = Number(message.headers['content-length'] ?? Infinity);
  return isBodyUnneeded && length > SHORT_BODY_BYTES;
};

/** Callbacks for the progress of a response. */
interface Collector {
  /** Called when the head arrives, without a chunk, and then for each chunk of the body. */
  readonly onArrival: (received: ReceivedState, chunk?: Uint8Array) => void;
  readonly onComplete: (reply: http.HttpReply) => void;
  readonly onBroken: (reason: string) => void;
}

/** Collects a response body; `onComplete` is called only if the whole body was received. */
const collect = (
  message: nodeHttp.IncomingMessage,
  maxBytes: number,
  { onArrival, onComplete, onBroken }: Collector,
): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  const reportArrival = (chunk?: Uint8Array): void =>
    onArrival({ status: message.statusCode, bytes: size }, chunk);
  reportArrival();
  message.on('data', (chunk: Buffer) => {
    size += chunk.length;
    chunks.push(chunk);
    reportArrival(chunk);
    if (size > maxBytes) message.destroy(new Error(`response longer than ${maxBytes} bytes`));
  });
  message.on('error', (error) => onBroken(error.message));
  message.on('close', () => {
    if (!message.complete) onBroken('the response was cut short');
  });
  message.on('end', () => {
    if (!message.complete) return;
    const status = message.statusCode ?? 0;
    onComplete({ status, headers: headersOf(message), body: Buffer.concat(chunks, size) });
  });
};

const exchange = (
  agent: nodeHttp.Agent,
  options: HttpClientOptions,
  request: http.HttpRequest,
): Promise<http.HttpReply> =>
  new Promise((resolve, reject) => {
    if (request.signal?.aborted === true) {
      // Creating and immediately destroying a request emits an error before a listener exists, which ends the process.
      reject(new http.HttpCallError(http.HttpFailure.aborted, 'aborted by the caller'));
      return;
    }
    let isConnected = false;
    let received: ReceivedState = { status: undefined, bytes: 0 };
    const outgoing = nodeHttp.request({
      agent,
      host: request.address.host,
      port: request.address.port,
      method: request.method,
      path: request.path,
      headers: { ...request.headers, 'content-length': String(request.body.byteLength) },
    });
    const fail = (failure: http.HttpFailure, message: string): void => {
      void timer.dispose();
      reject(new http.HttpCallError(failure, message));
      outgoing.destroy();
    };
    const timer = answerTimeout.startAnswerTimeout(options.clock, request, () =>
      fail(
        http.HttpFailure.timeout,
        `no complete response within ${request.timeoutMs} ms; ${describeReceived(received)}`,
      ),
    );
    const onAbort = (): void => fail(http.HttpFailure.aborted, 'aborted by the caller');
    request.signal?.addEventListener('abort', onAbort, { once: true });
    const failTransport = (message: string): void =>
      fail(isConnected ? http.HttpFailure.lost : http.HttpFailure.notSent, message);
    outgoing.on('socket', (socket) => {
      // A pooled connection is already established, so the peer may have received bytes before it broke.
      isConnected = !socket.connecting;
      if (isConnected) return;
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    outgoing.on('error', (error) => failTransport(error.message));
    outgoing.on('close', () => request.signal?.removeEventListener('abort', onAbort));
    const settle = (reply: http.HttpReply): void => {
      void timer.dispose();
      resolve(reply);
    };
    outgoing.on('response', (message) => {
      if (shouldSkipBody(request, message)) {
        const status = message.statusCode ?? 0;
        request.onArrival?.(status);
        settle({ status, headers: headersOf(message), body: Buffer.alloc(0) });
        outgoing.destroy();
        return;
      }
      collect(message, options.maxReplyBytes, {
        onArrival: (state, chunk) => {
          received = state;
          timer.recordArrival();
          request.onArrival?.(message.statusCode ?? 0, chunk);
        },
        onComplete: settle,
        onBroken: failTransport,
      });
    });
    outgoing.end(request.body);
  });

/**
 * @param options - limits of the connection pools
 * @returns a client without open connections
 */
export const createHttpClient = (options: HttpClientOptions): HttpClient => {
  const pools = new Map<string, Pool>();
  const maxAgeMs = options.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
  /** Replaces a pool at the maximum age; no connection is older than its pool, so its age is bounded too. */
  const agentFor = (address: http.Address): nodeHttp.Agent => {
    const key = http.formatAddress(address);
    const nowMs = options.clock.monotonicMs();
    const known = pools.get(key);
    if (known !== undefined && nowMs - known.createdAtMs < maxAgeMs) return known.agent;
    dropIdle(address);
    const pool = { agent: createAgent(options), createdAtMs: nowMs };
    pools.set(key, pool);
    return pool.agent;
  };
  /** Exchanges in flight keep their connections; the next exchange gets a new pool. */
  const dropIdle = (address: http.Address): void => {
    const key = http.formatAddress(address);
    const agent = pools.get(key)?.agent;
    if (agent === undefined) return;
    pools.delete(key);
    // Connections in use are closed when their exchange ends, since this pool gets no new exchanges.
    agent.maxFreeSockets = 0;
    for (const sockets of Object.values(agent.freeSockets)) {
      sockets?.forEach((socket) => socket.destroy());
    }
  };
  return {
    dropIdle,
    call: async (request) => {
      if (request.isFreshConnection === true) dropIdle(request.address);
      try {
        return await exchange(agentFor(request.address), options, request);
      } catch (thrown) {
        const isAborted =
          thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.aborted;
        if (!isAborted) dropIdle(request.address);
        throw thrown;
      }
    },
    dispose: () => {
      for (const { agent } of pools.values()) agent.destroy();
      pools.clear();
    },
  };
};
