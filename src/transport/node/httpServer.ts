/**
 * HTTP server with bounded bodies, typed errors, and a shutdown that lets open requests finish within a time limit.
 */
import * as nodeHttp from 'node:http';
import * as net from 'node:net';
import * as v8 from 'node:v8';

import type * as disposable from '../../base/common/disposable.js';
import * as errorKinds from '../../base/common/errorKinds.js';
import * as errors from '../../base/common/errors.js';
import type * as http from '../../base/common/http.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as clientLimits from '../../state/common/clientLimits.js';
import * as connectionState from '../common/connectionState.js';
import * as connectionGuard from './connectionGuard.js';
import type * as guardedConnection from './guardedConnection.js';
import * as httpParser from './httpParser.js';
import * as requestBody from './requestBody.js';

/** A request with its complete body. */
export interface ServerRequest {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: nodeHttp.IncomingHttpHeaders;
  readonly body: Uint8Array;
  /** Aborted if the caller disconnects before the response is sent. */
  readonly signal: AbortSignal;
}

/** A response with its complete body. */
export interface ServerReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

/** Handles one request; a thrown error is turned into a response by the error table. */
export type Handler = (request: ServerRequest) => Promise<ServerReply>;

/** Limits of a server. */
export interface HttpServerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly maxBodyBytes: number;
  /** Limit of this port's connections, besides that of the process. */
  readonly maxConnections: number;
  /** Limits of the process, shared by its ports; without them the server has limits of its own. */
  readonly guard?: connectionGuard.ConnectionGuard;
  /** Name of the port in logs. */
  readonly name?: string;
}

/** A listening server. */
export interface HttpServer extends disposable.Disposable {
  readonly address: http.Address;
  /** Number of requests whose responses have not been sent. */
  readonly openRequests: () => number;
  /** Asks callers to close their connections after the next response; new connections are still accepted. */
  readonly requestConnectionClose: () => void;
  /**
   * Stops accepting connections, asks callers to close theirs and waits for open requests to finish.
   *
   * @param timeoutMs - time after which requests still open are cut off
   */
  readonly drain: (timeoutMs: number) => Promise<void>;
}

/** Interval at which a draining server checks for open requests. */
const DRAIN_POLL_MS = 10;

/** Time that a draining server gives to bodies that have begun. */
const DRAIN_STALL_MS = 1000;

/** A body that is at most this long is discarded after a refusal, so that its connection stays open. */
const MAX_DISCARDED_BODY_BYTES = 65_536;

/** Retry delay sent to callers that were refused because of too many requests. */
const BUSY_RETRY_MS = 1000;

/**
 * @param thrown - anything caught
 * @returns the response that the error table gives for it
 */
export const errorReply = (thrown: unknown): ServerReply => {
  const error = errors.normalize(thrown);
  const { httpStatus } = errorKinds.ERROR_TABLE[error.kind];
  const { retryAfterMs } = error.detail;
  const retryAfter: Record<string, string> =
    retryAfterMs === undefined ? {} : { 'retry-after': String(Math.ceil(retryAfterMs / 1000)) };
  return {
    status: httpStatus,
    headers: { 'content-type': 'application/json', ...retryAfter },
    body: JSON.stringify({ error: errors.toBody(error) }),
  };
};

/**
 * @param value - anything that JSON can represent
 * @param status - HTTP status
 * @returns the JSON response
 */
export const jsonReply = (value: unknown, status = 200): ServerReply => ({
  status,
  headers: { 'content-type': 'application/json' },
  body: JSON.stringify(value),
});

/**
 * @param request - a request
 * @returns its body as JSON
 * @throws AuburnliftError `invalidRequest` if it is not JSON
 */
export const parseJsonBody = (request: ServerRequest): unknown => {
  try {
    return JSON.parse(Buffer.from(request.body).toString('utf8')) as unknown;
  } catch {
    throw errors.fail('invalidRequest', 'the body is not JSON; nothing ran', { field: 'body' });
  }
};

/** Head of a request whose body has not arrived. */
export type RequestHead = Pick<ServerRequest, 'method' | 'path' | 'query' | 'headers'>;

/** Optional limits of a listener. */
export interface ListenerOptions {
  /** Limit of all bodies of this listener in memory together, besides that of the process. */
  readonly maxBufferedBytes?: number;
  /** Limit of one body now, where it changes; at most the fixed one counts. */
  readonly currentMaxBodyBytes?: () => number;
  /** Time that the caller gives a request, from its head; a body may take as long. */
  readonly deadlineMs?: (head: RequestHead) => number;
  /** Refuses a request with a body by its head, before the body is received; undefined goes on. */
  readonly refuseHead?: (head: RequestHead) => ServerReply | undefined;
}

/** Memory that a request holds until it is answered and its handler has ended. */
interface RequestMemory {
  readonly reserve: (bytes: number) => boolean;
  /** Gives back what a body held that was broken off. */
  readonly releaseAll: () => void;
}

const toHead = (message: nodeHttp.IncomingMessage): RequestHead => {
  const url = new URL(message.url ?? '/', 'http://localhost');
  return {
    method: message.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: message.headers,
  };
};

/**
 * @param message - a request
 * @returns whether its head announces a body
 */
export const hasBody = (message: nodeHttp.IncomingMessage): boolean =>
  requestBody.announcedBytes(message) > 0 || message.headers['transfer-encoding'] !== undefined;

/**
 * Sends an answer. A short rest of the body is discarded; after a longer one the connection closes, once the client
 * has had time to read the answer.
 *
 * @param message - the request
 * @param response - its response
 * @param reply - what to send
 * @param connection - the client's connection
 */
export const sendReply = (
  message: nodeHttp.IncomingMessage,
  response: nodeHttp.ServerResponse,
  reply: ServerReply,
  { phase }: Pick<guardedConnection.GuardedConnection, 'phase'>,
): void => {
  if (response.destroyed || response.headersSent) return;
  const body = Buffer.from(reply.body ?? '');
  const announced = requestBody.announcedBytes(message);
  const isShort = announced > 0 && announced <= MAX_DISCARDED_BODY_BYTES;
  const isClosing = phase === connectionState.Phase.closing;
  if (isClosing || (!message.complete && !isShort)) response.setHeader('connection', 'close');
  response.writeHead(reply.status, {
    ...reply.headers,
    'content-length': String(body.byteLength),
  });
  response.end(body);
  message.resume();
};

/**
 * @param guard - limits of the process
 * @returns a function that ends the request
 * @throws AuburnliftError `overloaded` if too many are worked on
 */
export const beginRequest = (guard: connectionGuard.ConnectionGuard): (() => void) => {
  const end = guard.beginRequest();
  if (end !== undefined) return end;
  throw errors.fail('overloaded', 'too many requests are worked on; nothing ran', {
    retryAfterMs: BUSY_RETRY_MS,
  });
};

/**
 * @param handler - handles the requests
 * @param maxBodyBytes - limit of one body
 * @param options - further limits
 * @returns a listener for {@link listen}
 */
export const toListener = (
  handler: Handler,
  maxBodyBytes: number,
  options: ListenerOptions = {},
): httpParser.Listener => {
  const { maxBufferedBytes = Infinity } = options;
  let listenerBytes = 0;

  const createMemory = ({ guard, connection }: httpParser.ListenerContext): RequestMemory => {
    let requestBytes = 0;
    return {
      reserve: (bytes) => {
        requestBytes += bytes;
        listenerBytes += bytes;
        return guard.reserve(connection, bytes) && listenerBytes <= maxBufferedBytes;
      },
      releaseAll: () => {
        listenerBytes -= requestBytes;
        guard.release(connection, requestBytes);
        requestBytes = 0;
      },
    };
  };

  const receive = async (
    message: nodeHttp.IncomingMessage,
    context: httpParser.ListenerContext,
    memory: RequestMemory,
  ): Promise<Uint8Array> => {
    const { connection, guard } = context;
    const current = options.currentMaxBodyBytes?.() ?? maxBodyBytes;
    context.sendContinue();
    try {
      return await requestBody.receiveBody({
        message,
        connection,
        maxBodyBytes: Math.min(maxBodyBytes, current),
        reserve: memory.reserve,
        recordLimit: guard.recordLimit,
      });
    } catch (thrown) {
      memory.releaseAll();
      throw thrown;
    }
  };

  const answer = async (
    message: nodeHttp.IncomingMessage,
    context: httpParser.ListenerContext,
    signal: AbortSignal,
    memory: RequestMemory,
  ): Promise<ServerReply> => {
    const head = toHead(message);
    const isWithBody = hasBody(message);
    if (isWithBody) {
      const refusal = options.refuseHead?.(head);
      if (refusal !== undefined) return refusal;
      const { connection, guard } = context;
      const deadlineMs = options.deadlineMs?.(head) ?? 0;
      connection.bodyTimeoutMs = Math.max(guard.limits.bodyTimeoutMs, deadlineMs);
    }
    const body = isWithBody ? await receive(message, context, memory) : new Uint8Array();
    const end = beginRequest(context.guard);
    try {
      return await handler({ ...head, body, signal });
    } finally {
      end();
    }
  };

  return async (message, response, context) => {
    const disconnected = new AbortController();
    const memory = createMemory(context);
    const closed = new Promise<void>((resolve) => {
      response.once('close', resolve);
    });
    response.once('close', () => {
      if (!response.writableFinished) disconnected.abort();
    });
    let reply: ServerReply;
    try {
      reply = await answer(message, context, disconnected.signal, memory);
    } catch (thrown) {
      reply = errorReply(thrown);
    }
    sendReply(message, response, reply, context.connection);
    await closed;
    memory.releaseAll();
  };
};

const waitUntil = async (isDone: () => boolean, timeoutMs: number): Promise<void> => {
  const untilMs = Date.now() + timeoutMs;
  while (!isDone() && Date.now() < untilMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, DRAIN_POLL_MS);
    });
  }
};

/** Without settings of the process, as for a stand-in, the heap decides. */
const createOwnGuard = (): connectionGuard.ConnectionGuard =>
  connectionGuard.createConnectionGuard({
    limits: clientLimits.deriveClientLimits({
      heapBytes: v8.getHeapStatistics().heap_size_limit,
    }),
    clock: systemClock.systemClock,
    log: logging.silentLog,
    metrics: metrics.createMetrics(),
  });

/**
 * @param options - listening address and limits
 * @param listener - handles the requests
 * @returns the server, once it is listening
 */
export const listen = async (
  options: HttpServerOptions,
  listener: httpParser.Listener,
): Promise<HttpServer> => {
  const ownGuard = options.guard === undefined ? createOwnGuard() : undefined;
  const guard = options.guard ?? ownGuard ?? createOwnGuard();
  const port = guard.openPort(options.name ?? 'http', options.maxConnections);
  const open = new Set<nodeHttp.ServerResponse>();
  const connections = new WeakMap<object, guardedConnection.GuardedConnection>();
  let isDraining = false;
  const parser = httpParser.createParser({
    guard,
    connectionOf: (socket) => connections.get(socket),
    listener,
    refuse: (message, response, error, connection) => {
      response.setHeader('connection', 'close');
      sendReply(message, response, errorReply(error), connection);
    },
    onWillHandle: (response) => {
      open.add(response);
      response.once('close', () => open.delete(response));
      if (isDraining) response.setHeader('connection', 'close');
    },
  });
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
    const connection = port.admit(socket);
    if (connection === undefined) return;
    connections.set(connection.stream, connection);
    parser.emit('connection', connection.stream);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port: boundPort } = server.address() as net.AddressInfo;
  /** Includes open responses: their callers would otherwise send the next request to a closed server. */
  const sendConnectionClose = (): void => {
    isDraining = true;
    open.forEach((it) => {
      if (!it.headersSent) it.setHeader('connection', 'close');
    });
  };
  const close = async (): Promise<void> => {
    server.close();
    await port.dispose();
    await ownGuard?.dispose();
  };
  return {
    address: { host: options.host, port: boundPort },
    openRequests: () => open.size,
    requestConnectionClose: sendConnectionClose,
    drain: async (timeoutMs) => {
      sendConnectionClose();
      server.close();
      const isDone = (): boolean => {
        port.closeUnfinished(DRAIN_STALL_MS);
        return open.size === 0;
      };
      await waitUntil(isDone, timeoutMs);
      await close();
    },
    dispose: close,
  };
};
