/**
 * Where a worker says that it lives, drains or ends.
 */
import type * as logging from '../base/common/logging.js';
import type * as metrics from '../base/common/metrics.js';
import type * as poolAgent from '../coordination/node/pool/poolAgent.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as workerWire from './workerWire.js';

const HEARTBEAT = '/-/Instances.Heartbeat/';
const DEPARTURE = '/-/Instances.Deregister/';

const BAD_REQUEST = 400;
const NOT_FOUND = 404;

/** What the API needs. */
export interface HeartbeatApiOptions {
  readonly agent: poolAgent.PoolAgent;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
}

const idIn = (path: string, prefix: string): string =>
  decodeURIComponent(path.slice(prefix.length));

/**
 * @param options - what the API needs
 * @returns its handler
 */
export const createHeartbeatApi = (options: HeartbeatApiOptions): httpServer.Handler => {
  const beat = (request: httpServer.ServerRequest): httpServer.ServerReply => {
    const workerId = idIn(request.path, HEARTBEAT);
    const heartbeat = workerWire.decodeHeartbeat(workerId, request.body);
    if (heartbeat === undefined) {
      options.metrics.count('auburnlift_heartbeats_unreadable_total');
      options.log('warn', 'heartbeatUnreadable', {
        worker: workerId,
        bytes: request.body.byteLength,
      });
      return httpServer.jsonReply({}, BAD_REQUEST);
    }
    options.agent.noteHeartbeat(heartbeat);
    return httpServer.jsonReply({});
  };
  return (request) => {
    if (request.path.startsWith(HEARTBEAT)) return Promise.resolve(beat(request));
    if (request.path.startsWith(DEPARTURE)) {
      options.agent.noteDeparture(idIn(request.path, DEPARTURE));
      return Promise.resolve(httpServer.jsonReply({}));
    }
    return Promise.resolve(httpServer.jsonReply({}, NOT_FOUND));
  };
};
