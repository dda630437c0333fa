/**
 * HTTP API for a worker's heartbeats and deregistration.
 */
import type * as logging from '../base/common/logging.js';
import type * as metrics from '../base/common/metrics.js';
import type * as poolAgent from '../coordination/node/pool/poolAgent.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as workerWire from './workerWire.js';

const HEARTBEAT_PREFIX = '/-/Instances.Heartbeat/';
const DEREGISTER_PREFIX = '/-/Instances.Deregister/';

const BAD_REQUEST = 400;
const NOT_FOUND = 404;

/** What the API needs. */
export interface HeartbeatApiOptions {
  readonly agent: poolAgent.PoolAgent;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
}

const workerIdIn = (path: string, prefix: string): string =>
  decodeURIComponent(path.slice(prefix.length));

/**
 * @param options - what the API needs
 * @returns its handler
 */
export const createHeartbeatApi = (options: HeartbeatApiOptions): httpServer.Handler => {
  const handleHeartbeat = (request: httpServer.ServerRequest): httpServer.ServerReply => {
    const workerId = workerIdIn(request.path, HEARTBEAT_PREFIX);
    const heartbeat = workerWire.decodeHeartbeat(workerId, request.body);
    if (heartbeat === undefined) {
      options.metrics.count('auburnlift_heartbeats_unreadable_total');
      options.log('warn', 'heartbeatUnreadable', {
        worker: workerId,
        bytes: request.body.byteLength,
      });
      return httpServer.jsonReply({}, BAD_REQUEST);
    }
    options.agent.recordHeartbeat(heartbeat);
    return httpServer.jsonReply({});
  };
  return (request) => {
    if (request.path.startsWith(HEARTBEAT_PREFIX)) return Promise.resolve(handleHeartbeat(request));
    if (request.path.startsWith(DEREGISTER_PREFIX)) {
      options.agent.recordDeparture(workerIdIn(request.path, DEREGISTER_PREFIX));
      return Promise.resolve(httpServer.jsonReply({}));
    }
    return Promise.resolve(httpServer.jsonReply({}, NOT_FOUND));
  };
};
