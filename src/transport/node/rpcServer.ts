/**
 * Serves a process's RPC router to the other processes of the system.
 */
import * as crypto from 'node:crypto';
import type * as nodeHttp from 'node:http';

import type * as trpcServer from '@trpc/server';
import * as standalone from '@trpc/server/adapters/standalone';

import * as errors from '../../base/common/errors.js';
import type * as httpParser from './httpParser.js';
import * as httpServer from './httpServer.js';
import * as requestBody from './requestBody.js';
import * as rpcClient from './rpcClient.js';

/** Maximum length of a message between processes. */
export const MAX_RPC_BYTES = 2_097_152;

const digest = (text: string): Buffer => crypto.createHash('sha256').update(text).digest();

/**
 * @param message - a request
 * @param peerSecret - secret shared by the system's processes
 * @returns whether the request carries the secret; compared in constant time
 */
export const isPeer = (message: nodeHttp.IncomingMessage, peerSecret: string): boolean => {
  const given = message.headers[rpcClient.PEER_SECRET_HEADER];
  return typeof given === 'string' && crypto.timingSafeEqual(digest(given), digest(peerSecret));
};

/**
 * @param maxBodyBytes - limit of a body
 * @returns a listener that refuses requests without the peer secret by their heads
 */
export const createRefusal = (maxBodyBytes: number): httpParser.Listener => {
  const refusal = (): httpServer.ServerReply =>
    httpServer.errorReply(
      errors.fail('unauthenticated', 'the peer secret is missing or wrong; nothing ran'),
    );
  return httpServer.toListener(() => Promise.resolve(refusal()), maxBodyBytes, {
    refuseHead: refusal,
  });
};

type LibraryHandler = (
  message: nodeHttp.IncomingMessage,
  response: nodeHttp.ServerResponse,
) => void | Promise<void>;

/** Receives the body under the limits of the process, and gives it to the library as one text. */
const receiveFirst =
  (handle: LibraryHandler): httpParser.Listener =>
  async (message, response, context) => {
    const { guard, connection, sendContinue } = context;
    const held = { bytes: 0 };
    const reserve = (bytes: number): boolean => {
      held.bytes += bytes;
      return guard.reserve(connection, bytes);
    };
    response.once('close', () => guard.release(connection, held.bytes));
    try {
      const end = httpServer.beginRequest(guard);
      response.once('close', end);
      sendContinue();
      const { recordLimit } = guard;
      const options = { message, connection, reserve, recordLimit, maxBodyBytes: MAX_RPC_BYTES };
      const body = httpServer.hasBody(message)
        ? Buffer.from(await requestBody.receiveBody(options)).toString('utf8')
        : undefined;
      Object.assign(message, { body });
    } catch (thrown) {
      httpServer.sendReply(message, response, httpServer.errorReply(thrown), connection);
      return;
    }
    await handle(message, response);
  };

/**
 * @param router - the process's RPC router
 * @param peerSecret - secret shared by the system's processes
 * @param fallback - handles requests outside the router's path
 * @returns a listener
 */
export const createRpcListener = (
  router: trpcServer.AnyTRPCRouter,
  peerSecret: string,
  fallback: httpParser.Listener,
): httpParser.Listener => {
  const handle = receiveFirst(
    standalone.createHTTPHandler({
      router,
      basePath: `${rpcClient.RPC_PATH}/`,
      maxBodySize: MAX_RPC_BYTES,
    }),
  );
  const refuse = createRefusal(MAX_RPC_BYTES);
  return (message, response, context) => {
    if (!(message.url ?? '').startsWith(`${rpcClient.RPC_PATH}/`)) {
      return fallback(message, response, context);
    }
    return isPeer(message, peerSecret)
      ? handle(message, response, context)
      : refuse(message, response, context);
  };
};
