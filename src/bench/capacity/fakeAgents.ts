/**
 * Simulates many agents in one process. Each serves the agent RPC on its own address, tracks its tasks
 * and reports them, but has no worker.
 */
import * as http from '../../base/common/http.js';
import type * as agentEntryMessages from '../../protocol/common/agentEntryMessages.js';
import type * as agentSchedulerMessages from '../../protocol/common/agentSchedulerMessages.js';
import * as agentRouter from '../../protocol/node/agentRouter.js';
import type * as task from '../../state/common/task.js';
import * as httpServer from '../../transport/node/httpServer.js';
import * as rpcServer from '../../transport/node/rpcServer.js';

/** A simulated agent without a worker. */
export interface FakeAgent {
  readonly url: string;
  readonly registration: () => agentEntryMessages.RegisterRequest;
  readonly report: () => agentSchedulerMessages.ReportRequest;
  /** Stores the leader's `stampMs` for the next report. */
  readonly recordReply: (reply: agentSchedulerMessages.ReportReply) => void;
  readonly dispose: () => void | Promise<void>;
}

const ACCELERATORS = 8;

/** The leader grants leases immediately to agents with a long uptime. */
const UPTIME_MS = 86_400_000;
const MAX_BODY_BYTES = 2_097_152;

/**
 * @param index - index of the agent, used in its IDs
 * @param peerSecret - secret shared by the processes
 * @returns the agent, listening
 */
export const startFakeAgent = async (index: number, peerSecret: string): Promise<FakeAgent> => {
  const from = { processId: `agent-${index}`, role: 'agent', configVersion: 1 } as const;
  const bootId = `boot-${index}`;
  const held = new Map<string, task.TaskReport>();
  let epoch = 0;
  let commandCount = 0;
  let url = '';
  let stampMs: number | undefined;
  const workerInfo = () => ({
    workerId: `worker-${index}`,
    zone: 'zone-a',
    region: 'region-a',
    rack: `rack-${Math.floor(index / 3)}`,
    accelerators: ACCELERATORS,
    cores: 64,
    memoryBytes: 1_073_741_824,
    agentUrl: url,
  });
  const keyOf = (token: task.TaskToken): string =>
    `${token.jobId}/${token.attempt}/${token.member}`;
  const applyCommand = (command: task.TaskCommand): void => {
    const key = keyOf(command.token);
    if (command.type === 'stop' || command.type === 'release') held.delete(key);
    if (command.type === 'reserve') {
      const { token, accelerators } = command;
      held.set(key, { token, accelerators, phase: 'reserved', progressMs: 0, checkpointMs: 0 });
    }
    const known = held.get(key);
    if (command.type === 'start' && known !== undefined) {
      held.set(key, { ...known, phase: 'running' });
    }
  };
  const router = agentRouter.createAgentRouter({
    configuration: () => Promise.resolve({ from }),
    drain: () => Promise.resolve({ from }),
    fence: (request) => {
      epoch = Math.max(epoch, request.epoch);
      return Promise.resolve({
        from,
        bootId,
        acceptedEpoch: epoch,
        uptimeMs: UPTIME_MS,
        worker: workerInfo(),
        commandCount,
        tasks: [...held.values()],
      });
    },
    command: (request) => {
      commandCount += 1;
      request.commands.forEach(applyCommand);
      const results = request.commands.map(() => ({ isAccepted: true, isGone: false }));
      return Promise.resolve({ from, bootId, commandCount, results });
    },
  });
  const notFound = httpServer.toListener(() => Promise.resolve({ status: 404 }), MAX_BODY_BYTES);
  const server = await httpServer.listen(
    { host: '127.0.0.1', port: 0, maxBodyBytes: MAX_BODY_BYTES, maxConnections: 64 },
    rpcServer.createRpcListener(router, peerSecret, notFound),
  );
  url = http.formatAddress(server.address);
  return {
    url,
    registration: () => ({
      from,
      bootId,
      url,
      zone: 'zone-a',
      region: 'region-a',
      upstream: {
        upstreamId: `upstream-${index}`,
        slots: 8,
        connections: 64,
        isLeaving: false,
        running: 3,
        queued: 0,
        serviceMs: 40,
      },
      isLeaving: false,
      clockMs: 1,
    }),
    report: () => ({
      from,
      cell: 'zone-a',
      bootId,
      epoch,
      uptimeMs: UPTIME_MS,
      ...(stampMs === undefined ? {} : { stampMs }),
      worker: workerInfo(),
      isLeaving: false,
      isFull: true,
      commandCount,
      tasks: [...held.values()],
    }),
    recordReply: (reply) => {
      stampMs = reply.stampMs;
    },
    dispose: server.dispose,
  };
};

/**
 * @param count - number of agents
 * @param peerSecret - secret shared by the processes
 * @returns the agents, listening
 */
export const startFakeAgents = (count: number, peerSecret: string): Promise<readonly FakeAgent[]> =>
  Promise.all(Array.from({ length: count }, (_unused, index) => startFakeAgent(index, peerSecret)));
