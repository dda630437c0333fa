/**
 * HTTP exchanges over pooled connections that are kept open, with whole answers only.
 *
 * Guards against connections that have gone silent while new ones work: when an exchange times out
 * or is cut, every idle connection to that address is closed with it, since whatever lost track of
 * one has probably lost track of the others; and no connection is used beyond a bounded age, which
 * lies below the usual state time-outs of balancers and firewalls.
 */
import * as nodeHttp from 'node:http';

import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as http from '../../base/common/http.js';

import * as answerTimeout from './answerTimeout.js';

/** Limits of the pool. */
export interface HttpClientOptions {
  /** Connections to one address, in use or idle. */
  readonly maxConnections: number;
  /** An idle connection is closed after this time. */
  readonly maxIdleMs: number;
  /** A connection is given no new exchange after this time; by default 50 s. */
  readonly maxAgeMs?: number;
  /** A larger answer is an error. */
  readonly maxReplyBytes: number;
  readonly clock: clock.Clock;
}

/** Below a minute, where the usual state time-outs of balancers and firewalls start. */
const DEFAULT_MAX_AGE_MS = 50_000;

interface Pool {
  readonly agent: nodeHttp.Agent;
  readonly madeAtMs: number;
}

/** A pool of connections. Disposing it closes them all. */
export interface HttpClient extends disposable.Disposable {
  readonly call: http.HttpCall;
  /** Forgets all idle connections to an address. */
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

/** What has come of an answer. */
interface Arrived {
  readonly status: number | undefined;
  readonly bytes: number;
}

const describeArrived = ({ status, bytes }: Arrived): string =>
  status === undefined ? 'nothing came' : `status ${status} and ${bytes} bytes came`;

/** A body up to this length costs less than the connection that is closed where it is left unread. */
const SHORT_BODY_BYTES = 16_384;

const isLeftUnread = (request: http.HttpRequest, message: nodeHttp.IncomingMessage): boolean => {
  const isOfNoUse = request.unreadStatuses?.includes(message.statusCode ?? 0) ?? false;
  const length = Number(message.headers['content-length'] ?? Infinity);
  return isOfNoUse && length > SHORT_BODY_BYTES;
};

/** Who hears of an answer. */
interface Collector {
  /** Its head has come, or a piece of its body. */
  readonly onArrival: (arrived: Arrived, piece?: Uint8Array) => void;
  readonly onWhole: (reply: http.HttpReply) => void;
  readonly onCut: (reason: string) => void;
}

/** Collects an answer; only one that arrived whole is given on. */
const collect = (
  message: nodeHttp.IncomingMessage,
  maxBytes: number,
  { onArrival, onWhole, onCut }: Collector,
): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  const note = (piece?: Uint8Array): void =>
    onArrival({ status: message.statusCode, bytes: size }, piece);
  note();
  message.on('data', (chunk: Buffer) => {
    size += chunk.length;
    chunks.push(chunk);
    note(chunk);
    if (size > maxBytes) message.destroy(new Error(`answer above ${maxBytes} bytes`));
  });
  message.on('error', (error) => onCut(error.message));
  message.on('close', () => {
    if (!message.complete) onCut('the answer was cut short');
  });
  message.on('end', () => {
    if (!message.complete) return;
    const status = message.statusCode ?? 0;
    onWhole({ status, headers: headersOf(message), body: Buffer.concat(chunks, size) });
  });
};

const exchange = (
  agent: nodeHttp.Agent,
  options: HttpClientOptions,
  request: http.HttpRequest,
): Promise<http.HttpReply> =>
  new Promise((resolve, reject) => {
    if (request.signal?.aborted === true) {
      // A request that is made and destroyed at once fails where nobody listens yet, which ends the process.
      reject(new http.HttpCallError(http.HttpFailure.aborted, 'withdrawn'));
      return;
    }
    let isConnected = false;
    let arrived: Arrived = { status: undefined, bytes: 0 };
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
        `no whole answer within ${request.timeoutMs} ms; ${describeArrived(arrived)}`,
      ),
    );
    const onAbort = (): void => fail(http.HttpFailure.aborted, 'withdrawn');
    request.signal?.addEventListener('abort', onAbort, { once: true });
    const cut = (message: string): void =>
      fail(isConnected ? http.HttpFailure.lost : http.HttpFailure.notSent, message);
    outgoing.on('socket', (socket) => {
      // A pooled connection may have carried bytes to the other side before it broke.
      isConnected = !socket.connecting;
      if (isConnected) return;
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    outgoing.on('error', (error) => cut(error.message));
    outgoing.on('close', () => request.signal?.removeEventListener('abort', onAbort));
    const settle = (reply: http.HttpReply): void => {
      void timer.dispose();
      resolve(reply);
    };
    outgoing.on('response', (message) => {
      if (isLeftUnread(request, message)) {
        const status = message.statusCode ?? 0;
        request.onArrival?.(status);
        settle({ status, headers: headersOf(message), body: Buffer.alloc(0) });
        outgoing.destroy();
        return;
      }
      collect(message, options.maxReplyBytes, {
        onArrival: (seen, piece) => {
          arrived = seen;
          timer.noteArrival();
          request.onArrival?.(message.statusCode ?? 0, piece);
        },
        onWhole: settle,
        onCut: cut,
      });
    });
    outgoing.end(request.body);
  });

/**
 * @param options - limits of the pool
 * @returns a pool without connections
 */
export const createHttpClient = (options: HttpClientOptions): HttpClient => {
  const pools = new Map<string, Pool>();
  const maxAgeMs = options.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
  /** No connection is older than its pool, so that the pool's age bounds theirs. */
  const agentFor = (address: http.Address): nodeHttp.Agent => {
    const key = http.formatAddress(address);
    const nowMs = options.clock.monotonicMs();
    const known = pools.get(key);
    if (known !== undefined && nowMs - known.madeAtMs < maxAgeMs) return known.agent;
    dropIdle(address);
    const pool = { agent: createAgent(options), madeAtMs: nowMs };
    pools.set(key, pool);
    return pool.agent;
  };
  /** Open exchanges keep their connections; the next exchange gets a new pool. */
  const dropIdle = (address: http.Address): void => {
    const key = http.formatAddress(address);
    const agent = pools.get(key)?.agent;
    if (agent === undefined) return;
    pools.delete(key);
    // Connections in use are closed when their exchange ends; nothing would use them again.
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
