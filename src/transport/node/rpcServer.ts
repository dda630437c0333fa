/**
 * Serves a process's RPC router to the other processes of the system.
 */
import * as crypto from 'node:crypto';
import type * as nodeHttp from 'node:http';

import type * as trpcServer from '@trpc/server';
import * as standalone from '@trpc/server/adapters/standalone';

import * as errors from '../../base/common/errors.js';
import * as httpServer from './httpServer.js';
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
 * @param router - the process's RPC router
 * @param peerSecret - secret shared by the system's processes
 * @param fallback - handles requests outside the router's path
 * @returns a listener for a plain Node server
 */
export const createRpcListener = (
  router: trpcServer.AnyTRPCRouter,
  peerSecret: string,
  fallback: httpServer.Listener,
): httpServer.Listener => {
  const handle = standalone.createHTTPHandler({
    router,
    basePath: `${rpcClient.RPC_PATH}/`,
    maxBodySize: MAX_RPC_BYTES,
  });
  const refuse = httpServer.toListener(() => {
    throw errors.fail('unauthenticated', 'the peer secret is missing or wrong');
  }, MAX_RPC_BYTES);
  return (message, response) => {
    if (!(message.url ?? '').startsWith(`${rpcClient.RPC_PATH}/`)) {
      return fallback(message, response);
    }
    return isPeer(message, peerSecret) ? handle(message, response) : refuse(message, response);
  };
};
