/**
 * The scheduler of pools: campaigns for the leadership and runs the pool's leader while it holds it.
 */
import * as errors from '../base/common/errors.js';
import * as configurationShare from '../coordination/node/pool/configurationShare.js';
import * as doneRuns from '../coordination/common/pool/doneRuns.js';
import * as configurationFeed from '../coordination/node/pool/configurationFeed.js';
import * as poolLeader from '../coordination/node/pool/poolLeader.js';
import * as poolLeadership from '../coordination/node/pool/poolLeadership.js';
import * as adviceClient from '../platform/adviceClient.js';
import * as operatorConfiguration from '../platform/operatorConfiguration.js';
import * as platformStore from '../platform/platformStore.js';
import * as poolRouters from '../protocol/node/poolRouters.js';
import type * as agentContract from '../state/common/pool/agentContract.js';
import * as http from '../base/common/http.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import type * as poolSettings from '../state/common/pool/poolSettings.js';
import type * as recordStore from '../state/common/pool/recordStore.js';
import * as rpcClient from '../transport/node/rpcClient.js';

import * as poolContext from './poolContext.js';

/** A sync waits up to 0.9 s at the agent for updates; after this timeout the agent counts as unreachable. */
const SYNC_TIMEOUT_MS = 2200;

/** Covers the few attempts of 0.6 s each in which an agent executes an order. */
const ORDER_TIMEOUT_MS = 2500;

/** The entry on the same machine waits up to 1.2 s for updates; after this it counts as unreachable. */
const CONFIGURATION_TIMEOUT_MS = 2000;

/**
 * Long enough to keep the leadership while the store responds sixty times slower, in a quarter of a
 * second; short enough for a new leader to start urgent work of two seconds in time, which tolerates a
 * wait of one and a half seconds.
 */
const LEADER_LEASE_MS = 1500;

const createLink = (ctx: poolContext.PoolContext): agentContract.AgentApi => {
  const clientsWith = (timeoutMs: number): rpcClient.RpcClients =>
    rpcClient.createRpcClients({ call: ctx.call, timeoutMs, peerSecret: poolContext.PEER_SECRET });
  const syncClients = clientsWith(SYNC_TIMEOUT_MS);
  const orderClients = clientsWith(ORDER_TIMEOUT_MS);
  return {
    sync: async (url, sync) => {
      const { news } = await syncClients.poolAgent(url).sync({ from: ctx.sender(), sync });
      return news;
    },
    order: async (url, order) => {
      const { reply } = await orderClients.poolAgent(url).order({ from: ctx.sender(), order });
      return reply;
    },
  };
};

/** Reads the configuration record through the entry on this machine, if there is one. */
const createConfigurationStore = (
  ctx: poolContext.PoolContext,
): Pick<recordStore.RecordStore, 'list' | 'watch'> => {
  const { ownEntry } = ctx.settings();
  if (ownEntry === undefined) return ctx.store;
  const clients = rpcClient.createRpcClients({
    call: ctx.call,
    timeoutMs: CONFIGURATION_TIMEOUT_MS,
    transfer: platformStore.TRANSFER_LIMITS,
    peerSecret: poolContext.PEER_SECRET,
  });
  const entry = clients.poolEntry(http.formatAddress(ownEntry));
  return configurationShare.createSharedConfigurationStore({
    ask: (afterRevision, waitMs) =>
      entry.configuration({ from: ctx.sender(), afterRevision, waitMs }),
    store: ctx.store,
    key: operatorConfiguration.CONFIGURATION_KEY,
    log: ctx.log,
  });
};

const evacuationOf = ({
  maxEvacuationMs,
  zones,
}: poolSettings.PoolSettings): Pick<poolLeader.PoolLeaderOptions, 'evacuation'> => {
  if (maxEvacuationMs === undefined) return {};
  const prefix = operatorConfiguration.EVACUATIONS_PREFIX;
  return { evacuation: { prefix, maxStartMs: maxEvacuationMs, zones } };
};

/**
 * @param ctx - shared services of the program
 * @returns the running scheduler
 */
export const startPoolScheduler = async (
  ctx: poolContext.PoolContext,
): Promise<poolContext.PoolProgram> => {
  const settings = ctx.settings();
  const link = createLink(ctx);
  const seenDone = doneRuns.createDoneRuns();
  let leader: poolLeader.PoolLeader | undefined;
  const feed = ctx.owned.add(
    configurationFeed.startConfigurationFeed({
      store: createConfigurationStore(ctx),
      clock: ctx.clock,
      log: ctx.log,
      key: operatorConfiguration.CONFIGURATION_KEY,
      decode: operatorConfiguration.decodeConfiguration,
    }),
  );
  const endTerm = (): void => {
    void leader?.dispose();
    leader = undefined;
  };
  const router = poolRouters.createPoolSchedulerRouter({
    pending: () => {
      const pendingByQueue = leader?.pendingByQueue();
      if (pendingByQueue === undefined) {
        throw errors.fail(
          'notLeader',
          'this scheduler does not lead, or does not know the latest jobs; nothing ran',
        );
      }
      return Promise.resolve({ from: ctx.sender(), pendingByQueue });
    },
    jobChanged: ({ jobId, part }) => {
      void leader?.handleStoredRecord(jobId, part);
      return Promise.resolve({ from: ctx.sender() });
    },
  });
  const server = await poolContext.listenForPeers(ctx, router, () => undefined);
  const url = http.formatAddress(server.address);
  const key = poolKeys.peerKey(poolKeys.PeerRole.scheduler, settings.nodeId);
  const presence = poolContext.maintainPresence(ctx, key, url);
  const leadership: poolLeadership.Leadership = ctx.owned.add(
    poolLeadership.createLeadership({
      store: ctx.store,
      clock: ctx.clock,
      random: ctx.random,
      log: ctx.log,
      newId: ctx.newId,
      holderId: ctx.sender().processId,
      url,
      bootId: ctx.newId(),
      leaseMs: Math.max(LEADER_LEASE_MS, settings.minStoreLeaseMs),
      onDidGain: (term) => {
        leader = poolLeader.startPoolLeader({
          store: ctx.store,
          clock: ctx.clock,
          log: ctx.log,
          metrics: ctx.metrics,
          link,
          term,
          doneRuns: seenDone,
          limits: {
            maxLeaseMs: settings.maxLeaseMs,
            maxAcknowledgementMs: settings.maxAcknowledgementMs,
            statusMs: settings.statusRetentionMs,
            remoteFactor: settings.remoteFactor,
            restoreMs: settings.restoreMs,
            maxValueBytes: settings.maxStoreValueBytes,
          },
          learnsSpeeds: settings.learnsWorkerSpeeds,
          configuration: () => feed.current()?.configuration,
          ...evacuationOf(settings),
          askAdvice: adviceClient.createAdviceClient({
            address: () => ctx.settings().advice,
            call: ctx.call,
          }),
          onDidConflict: (reason) => leadership.abandon(reason),
        });
      },
      onDidLose: endTerm,
    }),
  );
  return {
    shutdown: async () => {
      endTerm();
      await leadership.release();
      await presence.dispose();
      await ctx.owned.dispose();
    },
  };
};
