/**
 * The entry of pools: accepts clients' jobs, cancels them and reports their state. None of this requires
 * a leader.
 */
import * as customerQuota from '../coordination/common/pool/customerQuota.js';
import * as poolConfigurationFeed from '../coordination/node/pool/configurationFeed.js';
import * as configurationShare from '../coordination/node/pool/configurationShare.js';
import * as jobRequestHandler from '../coordination/node/pool/jobRequestHandler.js';
import * as pendingCounts from '../coordination/node/pool/pendingCounts.js';
import * as clock from '../base/common/clock.js';
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import * as jobApi from '../platform/jobApi.js';
import * as operatorConfiguration from '../platform/operatorConfiguration.js';
import * as poolRouters from '../protocol/node/poolRouters.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as rpcClient from '../transport/node/rpcClient.js';

import * as poolContext from './poolContext.js';
import * as relayRpc from './relayRpc.js';
import * as schedulerNotifier from './schedulerNotifier.js';

/** Part of the entry's connections for clients; other processes may have the rest. */
const CLIENT_SHARE = 0.6;

/** Connections of the balancer's health check, which opens one at a time. */
const MAX_READINESS_CONNECTIONS = 16;

/** Part of the requests worked on that one customer may take up. */
const CUSTOMER_SHARE = 0.5;

/** Above any configured limit, so that a body over the configured limit gets a clear error. */
const MAX_BODY_BYTES = 1_048_576;

/** The leader answers from memory; the time covers a round trip to the other side of the world. */
const LEADER_TIMEOUT_MS = 700;

/** Without a response of the store for longer than this, the entry reports that it is not ready. */
const READY_AGE_MS = 2000;

/**
 * New connections arrive until two health checks of the balancer, a second apart, have failed; the entry
 * still serves them.
 */
const BALANCER_DELAY_MS = 2300;

/** Part of the grace period that is reserved for the last responses before the process is killed. */
const EXIT_SLACK_MS = 700;

/**
 * @param ctx - shared services of the program
 * @returns the running entry
 */
export const startPoolEntry = async (
  ctx: poolContext.PoolContext,
): Promise<poolContext.PoolProgram> => {
  const settings = ctx.settings();
  const { limits } = ctx.guard;
  let isLeaving = false;
  const feed = ctx.owned.add(
    poolConfigurationFeed.startConfigurationFeed({
      store: ctx.store,
      clock: ctx.clock,
      log: ctx.log,
      key: operatorConfiguration.CONFIGURATION_KEY,
      decode: operatorConfiguration.decodeConfiguration,
    }),
  );
  const clients = rpcClient.createRpcClients({
    call: ctx.call,
    timeoutMs: LEADER_TIMEOUT_MS,
    peerSecret: poolContext.PEER_SECRET,
  });
  const counts = pendingCounts.createPendingCounts({
    store: ctx.store,
    clock: ctx.clock,
    log: ctx.log,
    askLeader: async (url) => {
      const answer = await clients.poolScheduler(url).pending({ from: ctx.sender() });
      return answer.pendingByQueue;
    },
  });
  const jobRequests = jobRequestHandler.createJobRequestHandler({
    store: ctx.store,
    clock: ctx.clock,
    log: ctx.log,
    metrics: ctx.metrics,
    feed,
    configurationKey: operatorConfiguration.CONFIGURATION_KEY,
    storeAgeMs: ctx.storeAgeMs,
    revokeMs: settings.maxRevocationMs,
    maxValueBytes: settings.maxStoreValueBytes,
  });
  const api = jobApi.createJobApi({
    jobs: jobRequests,
    pending: counts.ofQueue,
    maxBodyBytes: () => feed.current()?.configuration.maxBodyBytes ?? MAX_BODY_BYTES,
    shouldCloseConnections: () => notReadyReason() !== undefined,
    onDidStore: schedulerNotifier.createSchedulerNotifier(ctx),
    quota: customerQuota.createCustomerQuota({
      maxPerS: { read: limits.maxCustomerReadsPerS, write: limits.maxCustomerWritesPerS },
      maxOpen: Math.ceil(limits.maxHandledRequests * CUSTOMER_SHARE),
      nowMs: ctx.clock.monotonicMs,
      onDidRefuse: (kind) => ctx.metrics.count('auburnlift_customer_refusals_total', { kind }),
    }),
    maxRefusalLinesPerS: limits.maxRefusalLinesPerS,
    newRequestId: () => ctx.newId().slice(0, 8),
    nowMs: ctx.clock.monotonicMs,
    log: ctx.log,
    metrics: ctx.metrics,
  });
  const share = configurationShare.shareConfiguration({
    feed,
    clock: ctx.clock,
    storeAgeMs: ctx.storeAgeMs,
  });
  const router = poolRouters.createPoolEntryRouter({
    configuration: async ({ afterRevision, waitMs }) => ({
      from: ctx.sender(),
      ...(await share(afterRevision, waitMs)),
    }),
    relay: async (message) => ({
      from: ctx.sender(),
      ...(await relayRpc.serveRelay(message, ctx.settings().store, ctx.relayStoreCall)),
    }),
  });
  const notReadyReason = (): string | undefined => {
    if (isLeaving) return 'leaving';
    if (feed.current() === undefined) return 'no configuration yet';
    if (!jobRequests.canCheckCredentials()) return 'the configuration is not proved';
    return ctx.storeAgeMs() > READY_AGE_MS ? 'the store is out of reach' : undefined;
  };
  const readiness: httpServer.Handler = () => {
    const reason = notReadyReason();
    const status = reason === undefined ? 200 : 503;
    return Promise.resolve(httpServer.jsonReply({ reason: reason ?? 'ready' }, status));
  };
  if (settings.front === undefined || settings.readiness === undefined) {
    throw errors.fail(
      'invalidRequest',
      'the settings of an entry must contain its addresses for clients and readiness',
      {
        field: 'listen',
      },
    );
  }
  const front = await httpServer.listen(
    {
      ...settings.front,
      maxBodyBytes: MAX_BODY_BYTES,
      maxConnections: Math.ceil(limits.maxConnections * CLIENT_SHARE),
      guard: ctx.guard,
      name: 'clients',
    },
    httpServer.toListener(api.handler, MAX_BODY_BYTES, api.listenerOptions),
  );
  const ready = await httpServer.listen(
    {
      ...settings.readiness,
      maxBodyBytes: 0,
      maxConnections: MAX_READINESS_CONNECTIONS,
      guard: ctx.guard,
      name: 'readiness',
    },
    httpServer.toListener(readiness, 0),
  );
  ctx.owned.add(front);
  ctx.owned.add(ready);
  const server = await poolContext.listenForPeers(ctx, router, notReadyReason);
  const key = poolKeys.peerKey(poolKeys.PeerRole.entry, settings.nodeId);
  const presence = poolContext.maintainPresence(ctx, key, http.formatAddress(server.address));
  return {
    shutdown: async () => {
      isLeaving = true;
      front.requestConnectionClose();
      // In parallel to the wait: an unreachable store must not use up the time for the last responses.
      await Promise.all([presence.dispose(), clock.sleep(ctx.clock, BALANCER_DELAY_MS)]);
      await front.drain(settings.graceMs - BALANCER_DELAY_MS - EXIT_SLACK_MS);
      await ctx.owned.dispose();
    },
  };
};
