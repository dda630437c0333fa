/**
 * Parses the requests of guarded connections and hands them to a listener, also those that the HTTP library would
 * answer by itself.
 */
import * as nodeHttp from 'node:http';

import * as errors from '../../base/common/errors.js';
import * as connectionState from '../common/connectionState.js';
import type * as connectionGuard from './connectionGuard.js';
import type * as guardedConnection from './guardedConnection.js';

/** What a listener may use besides the request. */
export interface ListenerContext {
  readonly guard: connectionGuard.ConnectionGuard;
  readonly connection: guardedConnection.GuardedConnection;
  /** Tells a client that waits for it that its body is wanted. */
  readonly sendContinue: () => void;
}

/** Handles a request with Node's own objects; needed for handlers that a library provides. */
export type Listener = (
  message: nodeHttp.IncomingMessage,
  response: nodeHttp.ServerResponse,
  context: ListenerContext,
) => void | Promise<void>;

/** Requests that the HTTP library would otherwise answer by itself, past every limit. */
const refusalOf = (message: nodeHttp.IncomingMessage): errors.AuburnliftError | undefined => {
  if (message.headers.host !== undefined || message.httpVersion === '1.0') return undefined;
  return errors.fail('invalidRequest', 'the Host header is missing; nothing ran', {
    field: 'host',
  });
};

const unsupportedExpectation = (): errors.AuburnliftError =>
  errors.fail('invalidRequest', 'only 100-continue may be expected; nothing ran', {
    field: 'expect',
  });

/** Answer to data that is no request. */
const MALFORMED = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** What the parser hands requests to. */
export interface ParserOptions {
  readonly guard: connectionGuard.ConnectionGuard;
  /** Returns the connection of a stream that the parser was given. */
  readonly connectionOf: (socket: object) => guardedConnection.GuardedConnection | undefined;
  readonly listener: Listener;
  /** Answers a request that no listener gets. */
  readonly refuse: (
    message: nodeHttp.IncomingMessage,
    response: nodeHttp.ServerResponse,
    error: errors.AuburnliftError,
    connection: guardedConnection.GuardedConnection,
  ) => void;
  readonly onWillHandle: (response: nodeHttp.ServerResponse) => void;
}

/**
 * @param options - limits, and what gets the requests
 * @returns an HTTP parser that gets its connections by its event `connection`
 */
export const createParser = (options: ParserOptions): nodeHttp.Server => {
  const { guard, connectionOf, listener, refuse, onWillHandle } = options;
  const server = nodeHttp.createServer({ requireHostHeader: false });
  server.keepAliveTimeout = guard.limits.idleTimeoutMs;

  const dispatch =
    (given: { readonly refusal?: () => errors.AuburnliftError; readonly isWaiting?: boolean }) =>
    (message: nodeHttp.IncomingMessage, response: nodeHttp.ServerResponse): void => {
      const connection = connectionOf(message.socket);
      if (connection === undefined) {
        message.destroy();
        return;
      }
      const handle = (): void => {
        onWillHandle(response);
        const refusal = given.refusal?.() ?? refusalOf(message);
        if (refusal !== undefined) {
          refuse(message, response, refusal, connection);
          return;
        }
        const sendContinue = (): void => {
          if (given.isWaiting === true) response.writeContinue();
        };
        void listener(message, response, { guard, connection, sendContinue });
      };
      connection.accept({ message, response, handle });
    };

  server.on('request', dispatch({}));
  server.on('checkContinue', dispatch({ isWaiting: true }));
  server.on('checkExpectation', dispatch({ refusal: unsupportedExpectation }));
  server.on('clientError', (error, socket) => {
    guard.recordLimit(connectionState.LimitName.malformed);
    if (socket.writable) socket.end(MALFORMED);
    else socket.destroy(error);
  });
  return server;
};
