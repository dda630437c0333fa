/**
 * Serves a worker over the platform's worker API and sends its heartbeats, for tests that run the real programs.
 */
import * as http from 'node:http';

import type * as agentContract from '../../state/common/pool/agentContract.js';
import type * as poolWorker from '../../state/common/pool/poolWorker.js';
import * as httpServer from '../../transport/node/httpServer.js';

/** The worker that handles the calls. */
export interface ServedWorker {
  readonly link: agentContract.WorkerApi;
  readonly info: () => poolWorker.WorkerInfo;
  /** A worker that is lost sends no heartbeats; absent for one that is never lost. */
  readonly faults?: { readonly isLost: boolean };
}

interface WireOrder {
  readonly task: string;
  readonly run: number;
  readonly fence?: number;
  readonly spec?: string;
  readonly deadline_ms?: number;
  readonly saved?: string;
  readonly seen_upto?: number;
  readonly wait_ms?: number;
}

const HEARTBEAT_MS = 300;

const toReply = ({ outcome, reason }: agentContract.WorkerAnswer): httpServer.ServerReply => {
  if (outcome === 'accepted') return httpServer.jsonReply({ clock_ms: 0 });
  return httpServer.jsonReply({ clock_ms: 0, reason }, outcome === 'refused' ? 409 : 500);
};

const view = async (worker: ServedWorker, wire: WireOrder): Promise<httpServer.ServerReply> => {
  const answer = await worker.link.view(undefined, {
    fence: wire.fence ?? 0,
    leaseUntilMs: wire.deadline_ms ?? 0,
    seenUpTo: wire.seen_upto ?? 0,
    waitMs: wire.wait_ms ?? 0,
  });
  if (answer.outcome !== 'view') return httpServer.jsonReply({ reason: answer.reason }, 409);
  const { incarnationMs, clockMs, running, ended } = answer.view;
  return httpServer.jsonReply({
    born: incarnationMs,
    clock_ms: clockMs,
    running: running.map((it) => [it.task, it.run, it.saved, it.percent]),
    ended: ended.map((it) => [it.sequence, it.task, it.run, it.how, it.saved]),
  });
};

const handle = async (
  worker: ServedWorker,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  const wire = httpServer.parseJsonBody(request) as WireOrder;
  const { task, run, fence = 0 } = wire;
  const expected = request.headers['auburnlift-expect-instance'];
  const workerId = typeof expected === 'string' ? expected : worker.info().workerId;
  if (request.path === '/-/hold') return view(worker, wire);
  if (request.path === '/-/run-stop') {
    return toReply(await worker.link.stop(workerId, { task, run, fence }));
  }
  return toReply(
    await worker.link.start(workerId, {
      task,
      run,
      payload: wire.spec ?? '',
      leaseUntilMs: wire.deadline_ms ?? 0,
      fence,
      saved: wire.saved ?? '',
      ticket: undefined,
    }),
  );
};

const heartbeatOf = (info: poolWorker.WorkerInfo, sequence: number): string =>
  JSON.stringify({
    backend: info.service,
    addr: '127.0.0.1:1',
    zone: info.zone,
    state: info.state,
    ...(info.remainingMs === undefined ? {} : { remaining_ms: info.remainingMs }),
    capacity: {
      cpu: info.capacity.cpuMillicores,
      mem_mb: info.capacity.memoryMb,
      gpu: info.capacity.accelerators,
    },
    labels: info.labels,
    seq: sequence,
    born: info.incarnationMs,
  });

/** A running server with its heartbeats. */
export interface WorkerServer {
  readonly server: httpServer.HttpServer;
  readonly dispose: () => Promise<void>;
}

/**
 * @param worker - the worker that handles the calls
 * @param agentPort - port on which its agent receives heartbeats
 * @returns the server, which sends heartbeats until it is disposed
 */
export const serveWorker = async (
  worker: ServedWorker,
  agentPort: number,
): Promise<WorkerServer> => {
  const maxBodyBytes = 1_048_576;
  // Hundreds of orders at once, whose connections a disturbed link may keep open for long.
  const maxConnections = 5000;
  const server = await httpServer.listen(
    { host: '127.0.0.1', port: 0, maxBodyBytes, maxConnections },
    httpServer.toListener((request) => handle(worker, request), maxBodyBytes),
  );
  let sequence = 0;
  const sendHeartbeat = (): void => {
    if (worker.faults?.isLost === true) return;
    sequence += 1;
    const info = worker.info();
    const request = http.request({
      host: '127.0.0.1',
      port: agentPort,
      method: 'POST',
      path: `/-/Instances.Heartbeat/${info.workerId}`,
    });
    // The agent may be down at present; a later heartbeat will reach it.
    request.on('error', () => undefined);
    request.on('response', (response) => response.resume());
    request.end(heartbeatOf(info, sequence));
  };
  const timer = setInterval(sendHeartbeat, HEARTBEAT_MS);
  return {
    server,
    dispose: async () => {
      clearInterval(timer);
      await server.dispose();
    },
  };
};
