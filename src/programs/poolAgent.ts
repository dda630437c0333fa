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

import * as poolKit from './poolKit.js';

/** Far above a worker's heartbeat, which has a few hundred bytes. */
const MAX_HEARTBEAT_BYTES = 65_536;

const MAX_WORKER_CONNECTIONS = 16;

/**
 * @param kit - shared services of the program
 * @returns the running agent
 */
export const startPoolAgent = async (kit: poolKit.PoolKit): Promise<poolKit.PoolProgram> => {
  const settings = kit.settings();
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
  const agent = kit.owned.add(
    poolAgent.createPoolAgent({
      worker: workerClient.createWorkerClient({
        address: () => kit.settings().worker ?? worker,
        call: kit.call,
        metrics: kit.metrics,
      }),
      clock: kit.clock,
      log: kit.log,
      metrics: kit.metrics,
      bootId: kit.newId(),
    }),
  );
  const router = poolRouters.createPoolAgentRouter({
    sync: async ({ sync }) => ({ from: kit.sender(), news: await agent.sync(sync) }),
    order: async ({ order }) => ({ from: kit.sender(), reply: await agent.order(order) }),
  });
  const server = await poolKit.listenForPeers(kit, router, () => undefined);
  const api = heartbeatApi.createHeartbeatApi({ agent, log: kit.log, metrics: kit.metrics });
  kit.owned.add(
    await httpServer.listen(
      {
        ...heartbeats,
        maxBodyBytes: MAX_HEARTBEAT_BYTES,
        maxConnections: MAX_WORKER_CONNECTIONS,
      },
      httpServer.toListener(api, MAX_HEARTBEAT_BYTES),
    ),
  );
  const url = http.formatAddress(server.address);
  const presence = poolKit.keepPresence(kit, poolKeys.agentKey(settings.nodeId), url);
  return {
    shutdown: async () => {
      await presence.dispose();
      await kit.owned.dispose();
    },
  };
};
