/**
 * The agent of a pool, which runs on the machine of one worker.
 */
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import * as poolAgent from '../coordination/node/pool/poolAgent.js';
import * as heartbeatApi from '../platform/heartbeatApi.js';
import * as workerClient from '../platform/workerClient.js';
import * as poolRouters from '../protocol/node/poolRouters.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import * as httpServer from '../transport/node/httpServer.js';

import * as poolContext from './poolContext.js';

/** Far above a worker's heartbeat, which has a few hundred bytes. */
const MAX_HEARTBEAT_BYTES = 65_536;

const MAX_WORKER_CONNECTIONS = 16;

/**
 * @param ctx - shared services of the program
 * @returns the running agent
 */
export const startPoolAgent = async (
  ctx: poolContext.PoolContext,
): Promise<poolContext.PoolProgram> => {
  const settings = ctx.settings();
  const { worker, heartbeats } = settings;
  if (worker === undefined || heartbeats === undefined) {
    throw errors.fail(
      'invalidRequest',
      'the settings of an agent must contain its worker and an address for heartbeats',
      {
        field: 'app',
      },
    );
  }
  const agent = ctx.owned.add(
    poolAgent.createPoolAgent({
      worker: workerClient.createWorkerClient({
        address: () => ctx.settings().worker ?? worker,
        call: ctx.call,
        metrics: ctx.metrics,
      }),
      clock: ctx.clock,
      log: ctx.log,
      metrics: ctx.metrics,
      bootId: ctx.newId(),
    }),
  );
  const router = poolRouters.createPoolAgentRouter({
    sync: async ({ sync }) => ({ from: ctx.sender(), news: await agent.sync(sync) }),
    order: async ({ order }) => ({ from: ctx.sender(), reply: await agent.order(order) }),
  });
  const server = await poolContext.listenForPeers(ctx, router, () => undefined);
  const api = heartbeatApi.createHeartbeatApi({ agent, log: ctx.log, metrics: ctx.metrics });
  ctx.owned.add(
    await httpServer.listen(
      {
        ...heartbeats,
        maxBodyBytes: MAX_HEARTBEAT_BYTES,
        maxConnections: MAX_WORKER_CONNECTIONS,
        guard: ctx.guard,
        name: 'worker',
      },
      httpServer.toListener(api, MAX_HEARTBEAT_BYTES),
    ),
  );
  const url = http.formatAddress(server.address);
  const presence = poolContext.maintainPresence(ctx, poolKeys.agentKey(settings.nodeId), url);
  return {
    shutdown: async () => {
      await presence.dispose();
      await ctx.owned.dispose();
    },
  };
};
