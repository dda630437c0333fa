/**
 * HTTP servers of the system: bounded bodies, typed errors, and a shutdown that cuts off nothing.
 */
import * as nodeHttp from 'node:http';
import type * as net from 'node:net';

import type * as disposable from '../../base/common/disposable.js';
import * as errorKinds from '../../base/common/errorKinds.js';
import * as errors from '../../base/common/errors.js';
import type * as http from '../../base/common/http.js';

/** A request with its whole body. */
export interface ServerRequest {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: nodeHttp.IncomingHttpHeaders;
  readonly body: Uint8Array;
  /** Aborted when the caller goes away before it has its answer. */
  readonly signal: AbortSignal;
}

/** An answer with its whole body. */
export interface ServerReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

/** Answers one request; what it throws is answered from the error table. */
export type Handler = (request: ServerRequest) => Promise<ServerReply>;

/** Limits of a server. */
export interface HttpServerOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly maxConnections: number;
}

/** A listening server. */
export interface HttpServer extends disposable.Disposable {
  readonly address: http.Address;
  /** Requests whose answers are not yet sent. */
  readonly openRequests: () => number;
  /** Asks callers to close their connections with their next answer; goes on accepting. */
  readonly discourage: () => void;
  /**
   * Answers what is open, asks callers to close their connections and stops accepting.
   *
   * @param timeoutMs - after it, what is still open is cut
   */
  readonly drain: (timeoutMs: number) => Promise<void>;
}

/** Time an idle connection is kept for its caller. */
const KEEP_ALIVE_MS = 65_000;

/** How often a draining server looks whether it is empty. */
const DRAIN_POLL_MS = 10;

/** Bytes of bodies that a server holds at once, from their arrival to the end of their answers. */
interface HeldBytes {
  now: number;
  readonly max: number;
}

/** Time after which a caller may find room again. */
const HELD_RETRY_MS = 1000;

const readBody = async (
  message: nodeHttp.IncomingMessage,
  maxBytes: number,
  hold: (bytes: number) => void,
): Promise<Uint8Array> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += (chunk as Buffer).length;
    hold((chunk as Buffer).length);
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
 * @returns the answer from the error table
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
 * @param value - anything that JSON can hold
 * @param status - HTTP status
 * @returns the answer
 */
export const jsonReply = (value: unknown, status = 200): ServerReply => ({
  status,
  headers: { 'content-type': 'application/json' },
  body: JSON.stringify(value),
});

/**
 * @param request - a request
 * @returns its body as JSON
 * @throws AuburnliftError `invalidRequest` where it is not JSON
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
 * @param handler - answers the requests
 * @param maxBodyBytes - limit of a body
 * @param maxHeldBytes - limit of all bodies that are held; a burst of large ones would otherwise
 *   take the process's memory long before the limit on requests is reached
 * @returns a listener for a plain Node server
 */
export const toListener = (
  handler: Handler,
  maxBodyBytes: number,
  maxHeldBytes = Infinity,
): ((message: nodeHttp.IncomingMessage, response: nodeHttp.ServerResponse) => Promise<void>) => {
  const held: HeldBytes = { now: 0, max: maxHeldBytes };
  return async (message, response) => {
    const gone = new AbortController();
    let own = 0;
    const hold = (bytes: number): void => {
      own += bytes;
      held.now += bytes;
      if (held.now > held.max) {
        throw errors.fail('overloaded', 'too many bytes are held; nothing ran', {
          retryAfterMs: HELD_RETRY_MS,
        });
      }
    };
    response.on('close', () => {
      held.now -= own;
      own = 0;
      if (!response.writableFinished) gone.abort();
    });
    let reply: ServerReply;
    try {
      const body = await readBody(message, maxBodyBytes, hold);
      reply = await handler(toServerRequest(message, body, gone.signal));
    } catch (thrown) {
      reply = errorReply(thrown);
    }
    if (response.destroyed) return;
    const body = Buffer.from(reply.body ?? '');
    // A body that was not read to its end leaves the connection in the middle of a request.
    if (!message.complete) response.setHeader('connection', 'close');
    response.writeHead(reply.status, {
      ...reply.headers,
      'content-length': String(body.byteLength),
    });
    response.end(body);
  };
};

/** Answers a request by Node's own objects; used where a library brings the handler. */
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
 * @param options - where to listen, and limits
 * @param listener - answers the requests
 * @returns the server, once it listens
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
  /** Answers under way are told too: their callers' next requests would come to a closed server. */
  const discourage = (): void => {
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
    discourage,
    drain: async (timeoutMs) => {
      discourage();
      server.close();
      server.closeIdleConnections();
      await waitUntil(() => open.size === 0, timeoutMs);
      await close();
    },
    dispose: close,
  };
};
