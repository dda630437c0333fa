/**
 * HTTP server with bounded bodies, typed errors, and a shutdown that lets open requests finish within a time limit.
 */
import * as nodeHttp from 'node:http';
import type * as net from 'node:net';

import type * as disposable from '../../base/common/disposable.js';
import * as errorKinds from '../../base/common/errorKinds.js';
import * as errors from '../../base/common/errors.js';
import type * as http from '../../base/common/http.js';

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
  readonly maxConnections: number;
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

/** Time after which an idle connection is closed. */
const KEEP_ALIVE_MS = 65_000;

/** Interval at which a draining server checks for open requests. */
const DRAIN_POLL_MS = 10;

/** Request body bytes in memory, counted from their arrival until the response is closed. */
interface BufferedBytes {
  current: number;
  readonly max: number;
}

/** Retry delay sent to callers that were refused because of buffered bytes. */
const BUFFER_RETRY_MS = 1000;

const readBody = async (
  message: nodeHttp.IncomingMessage,
  maxBytes: number,
  reserve: (bytes: number) => void,
): Promise<Uint8Array> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += (chunk as Buffer).length;
    reserve((chunk as Buffer).length);
    if (size > maxBytes) {
      throw errors.fail('tooLarge', `the body is larger than ${maxBytes} bytes; nothing ran`, {
        field: 'body',
      });
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks, size);
};

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

const toServerRequest = (
  message: nodeHttp.IncomingMessage,
  body: Uint8Array,
  signal: AbortSignal,
): ServerRequest => {
  const url = new URL(message.url ?? '/', 'http://localhost');
  return {
    method: message.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: message.headers,
    body,
    signal,
  };
};

/**
 * @param handler - handles the requests
 * @param maxBodyBytes - limit of one body
 * @param maxBufferedBytes - limit of all bodies in memory together; without it a burst of large ones
 *   would use up the process's memory long before the limit on requests is reached
 * @returns a listener for a plain Node server
 */
export const toListener = (
  handler: Handler,
  maxBodyBytes: number,
  maxBufferedBytes = Infinity,
): ((message: nodeHttp.IncomingMessage, response: nodeHttp.ServerResponse) => Promise<void>) => {
  const buffered: BufferedBytes = { current: 0, max: maxBufferedBytes };
  return async (message, response) => {
    const disconnected = new AbortController();
    let requestBytes = 0;
    const reserve = (bytes: number): void => {
      requestBytes += bytes;
      buffered.current += bytes;
      if (buffered.current > buffered.max) {
        throw errors.fail('overloaded', 'too many body bytes are buffered; nothing ran', {
          retryAfterMs: BUFFER_RETRY_MS,
        });
      }
    };
    response.on('close', () => {
      buffered.current -= requestBytes;
      requestBytes = 0;
      if (!response.writableFinished) disconnected.abort();
    });
    let reply: ServerReply;
    try {
      const body = await readBody(message, maxBodyBytes, reserve);
      reply = await handler(toServerRequest(message, body, disconnected.signal));
    } catch (thrown) {
      reply = errorReply(thrown);
    }
    if (response.destroyed) return;
    const body = Buffer.from(reply.body ?? '');
    // The unread rest of the body would be parsed as the next request, so the connection can't be reused.
    if (!message.complete) response.setHeader('connection', 'close');
    response.writeHead(reply.status, {
      ...reply.headers,
      'content-length': String(body.byteLength),
    });
    response.end(body);
  };
};

/** Handles a request with Node's own objects; needed for handlers that a library provides. */
export type Listener = (
  message: nodeHttp.IncomingMessage,
  response: nodeHttp.ServerResponse,
) => void | Promise<void>;

const waitUntil = async (isDone: () => boolean, timeoutMs: number): Promise<void> => {
  const untilMs = Date.now() + timeoutMs;
  while (!isDone() && Date.now() < untilMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, DRAIN_POLL_MS);
    });
  }
};

/**
 * @param options - listening address and limits
 * @param listener - handles the requests
 * @returns the server, once it is listening
 */
export const listen = async (
  options: HttpServerOptions,
  listener: Listener,
): Promise<HttpServer> => {
  const open = new Set<nodeHttp.ServerResponse>();
  let isDraining = false;
  const server = nodeHttp.createServer((message, response) => {
    open.add(response);
    response.on('close', () => open.delete(response));
    if (isDraining) response.setHeader('connection', 'close');
    void listener(message, response);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.maxConnections = options.maxConnections;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  /** Includes open responses: their callers would otherwise send the next request to a closed server. */
  const sendConnectionClose = (): void => {
    isDraining = true;
    open.forEach((it) => {
      if (!it.headersSent) it.setHeader('connection', 'close');
    });
  };
  const close = async (): Promise<void> => {
    server.close();
    server.closeAllConnections();
    await Promise.resolve();
  };
  return {
    address: { host: options.host, port },
    openRequests: () => open.size,
    requestConnectionClose: sendConnectionClose,
    drain: async (timeoutMs) => {
      sendConnectionClose();
      server.close();
      server.closeIdleConnections();
      await waitUntil(() => open.size === 0, timeoutMs);
      await close();
    },
    dispose: close,
  };
};
