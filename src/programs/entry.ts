/**
 * `auburnlift-entry`: accepts callers' requests and jobs, and serves operators.
 */
import * as clock from '../base/common/clock.js';
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import * as agentDirectory from '../coordination/common/agentDirectory.js';
import * as liveEntries from '../coordination/common/liveEntries.js';
import type * as liveWatch from '../coordination/node/liveWatch.js';
import * as processPresence from '../coordination/node/processPresence.js';
import * as requestClaims from '../coordination/node/requestClaims.js';
import * as entryRouter from '../protocol/node/entryRouter.js';
import * as requestRouter from '../protocol/node/requestRouter.js';
import type * as settingsSchema from '../state/common/settings.js';
import * as callerApi from '../transport/node/callerApi.js';
import * as consoleApp from '../transport/node/console/consoleApp.js';
import * as session from '../transport/node/console/session.js';
import type * as healthApi from '../transport/node/healthApi.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as operatorApi from '../transport/node/operatorApi.js';
import * as operatorAuth from '../transport/node/operatorAuth.js';
import * as rpcServer from '../transport/node/rpcServer.js';

import * as configurationLinks from './configurationLinks.js';
import * as agentDiscovery from './agentDiscovery.js';
import * as entryGateways from './entryGateways.js';
import * as entryPresence from './entryPresence.js';
import * as operatorJobAndLedgerRoutes from './operatorJobAndLedgerRoutes.js';
import * as operatorViews from './operatorViews.js';
import * as processContext from './processContext.js';
import * as serviceLevels from './serviceLevels.js';
import * as storeLinks from './storeLinks.js';

/** A running entry. */
export interface EntryProgram extends processContext.Program {
  readonly callersUrl: string;
  readonly operatorsUrl: string;
}

const MAX_CONNECTIONS = 16_384;

/** Share of the drain time in which the entry reports not ready but still accepts requests. */
const NOT_READY_SHARE = 0.25;

/** A quarter of the memory that the control processes may use on a node. */
const MAX_OPEN_BYTES = 67_108_864;

const DEFAULT_DEADLINE_MS = 30_000;

const createService = (
  ctx: processContext.ProcessContext,
  directory: agentDirectory.AgentDirectory,
  live: liveWatch.LiveWatch,
  region: string,
  registerMs: number,
): entryRouter.EntryService => ({
  register: (request) => {
    directory.register(
      {
        agentId: request.from.processId,
        bootId: request.bootId,
        clockMs: request.clockMs,
        url: request.url,
        zone: request.zone,
        region: request.region,
        isLeaving: request.isLeaving,
        upstream: request.upstream,
        configVersion: request.from.configVersion,
      },
      ctx.clock.monotonicMs(),
    );
    const leader = liveEntries.leaderOf(live.entries(), request.zone);
    const entries = liveEntries.processesOf(live.entries(), 'entry');
    return Promise.resolve({
      from: ctx.sender(),
      entryUrls: entries.filter((it) => it.region === region).map((it) => it.url),
      ...(leader === undefined ? {} : { leader: { url: leader.url, epoch: leader.epoch } }),
      nextAfterMs: registerMs,
    });
  },
  configuration: () => {
    const record = ctx.configuration.current();
    return Promise.resolve({ from: ctx.sender(), ...(record === undefined ? {} : { record }) });
  },
  directory: ({ maxAgents }) => {
    const nowMs = ctx.clock.monotonicMs();
    const agents = agentDiscovery.describeAgents(directory, region, maxAgents, nowMs);
    return Promise.resolve({ from: ctx.sender(), agents });
  },
  agents: ({ zone }) => {
    const entries = directory.entries().filter((it) => it.zone === zone);
    return Promise.resolve({ from: ctx.sender(), agentUrls: entries.map((it) => it.url) });
  },
  version: () => Promise.resolve({ from: ctx.sender() }),
  overview: () =>
    Promise.resolve({ from: ctx.sender(), agents: operatorViews.agentViews(directory) }),
});

/**
 * @param settings - decoded settings
 * @returns the running entry
 */
export const startEntry = async (settings: settingsSchema.EntrySettings): Promise<EntryProgram> => {
  const ctx = processContext.createProcessContext('entry', settings);
  const { store, live } = storeLinks.connectStore(ctx, settings);
  let isLeaving = false;
  let isRefusing = false;
  const sync = configurationLinks.startSync(ctx, store, live, settings.peerUrls);
  const registerMs = settings.registerMs ?? agentDirectory.REGISTER_MS;
  const directory = agentDirectory.createAgentDirectory(registerMs);
  const discovery = agentDiscovery.createAgentDiscovery({
    ctx,
    region: settings.region,
    directory,
    entries: () => liveEntries.processesOf(live.entries(), 'entry'),
  });
  let hasStartedDiscovery = false;
  ctx.owned.add(
    live.onDidChange(() => {
      if (hasStartedDiscovery) return;
      hasStartedDiscovery = true;
      void discovery.discoverRegion();
    }),
  );
  const presence = ctx.owned.add(
    entryPresence.createPresenceHolder({
      clock: ctx.clock,
      version: ctx.configuration.version,
      onDidReceive: ({ agentUrl, configVersion }) =>
        directory.recordVersion(agentUrl, configVersion),
    }),
  );
  ctx.owned.add(ctx.configuration.onDidChange(presence.release));
  const router = requestRouter.createRequestRouter({
    zone: settings.zone,
    region: settings.region,
    clock: ctx.clock,
    random: ctx.random,
    metrics: ctx.metrics,
    directory,
    newId: ctx.newId,
    call: ctx.http.call,
    sender: ctx.sender,
    policy: () => ctx.configuration.current()?.document.routing,
    peerSecretHeaders: ctx.peerHeaders,
    onRegionSaturated: discovery.discoverRemote,
    claims: requestClaims.createRequestClaims(store, ctx.clock),
  });
  const health: healthApi.HealthOptions = {
    metrics: ctx.metrics,
    notReadyReason: () => {
      if (isLeaving) return 'leaving';
      return ctx.configuration.current() === undefined ? 'no configuration yet' : undefined;
    },
    warnings: sync.warnings,
  };
  const gateways = entryGateways.createGateways({ ctx, store, live, sync, directory });
  const levels = serviceLevels.startServiceLevels(ctx, store);
  const callers = await httpServer.listen(
    {
      ...settings.callers,
      maxBodyBytes: settings.maxBodyBytes,
      maxConnections: MAX_CONNECTIONS,
      guard: ctx.guard,
      name: 'callers',
    },
    httpServer.toListener(
      levels.observeCalls(
        callerApi.createCallerApi({
          health,
          router,
          jobs: gateways.jobs,
          defaultDeadlineMs: () =>
            ctx.configuration.current()?.document.routing.defaultDeadlineMs ?? DEFAULT_DEADLINE_MS,
          isKnownCustomer: (customerId) =>
            ctx.configuration
              .current()
              ?.document.customers.some((it) => it.customerId === customerId) ?? false,
          newId: ctx.newId,
          maxOpenRequests: settings.maxOpenRequests,
          isDraining: () => isRefusing,
        }),
      ),
      settings.maxBodyBytes,
      { maxBufferedBytes: settings.maxOpenBytes ?? MAX_OPEN_BYTES },
    ),
  );
  const authenticate = operatorAuth.createAuthenticator(settings.operatorTokens);
  const api = operatorApi.createOperatorApi(
    [
      ...operatorApi.createApiRoutes(gateways.operators),
      ...operatorJobAndLedgerRoutes.createJobAndLedgerRoutes(ctx, store, gateways.jobs),
    ],
    authenticate,
  );
  const pages = consoleApp.createConsole({
    gateway: gateways.operators,
    serviceLevels: operatorJobAndLedgerRoutes.createServiceLevelReporter(ctx, store),
    newId: ctx.newId,
    authenticate,
    sessions: session.createSessions({
      peerSecret: settings.peerSecret,
      nowMs: ctx.clock.wallMs,
      operators: settings.operatorTokens,
    }),
  });
  const operators = await httpServer.listen(
    {
      ...settings.operators,
      maxBodyBytes: settings.maxBodyBytes,
      maxConnections: MAX_CONNECTIONS,
      guard: ctx.guard,
      name: 'operators',
    },
    httpServer.toListener(
      (request) => (consoleApp.isConsolePath(request.path) ? pages(request) : api(request)),
      settings.maxBodyBytes,
    ),
  );
  const notFound: httpServer.Handler = (request) => {
    if (request.path === entryPresence.PRESENCE_PATH) return presence.hold(request);
    throw errors.fail('notFound', `no page ${request.path}`, { field: 'path' });
  };
  const peers = await httpServer.listen(
    {
      ...settings.peers,
      maxBodyBytes: rpcServer.MAX_RPC_BYTES,
      maxConnections: MAX_CONNECTIONS,
      guard: ctx.guard,
      name: 'peers',
    },
    rpcServer.createRpcListener(
      entryRouter.createEntryRouter(
        configurationLinks.withVersions(
          createService(ctx, directory, live, settings.region, registerMs),
          sync,
          [],
        ),
      ),
      settings.peerSecret,
      httpServer.toListener(notFound, rpcServer.MAX_RPC_BYTES),
    ),
  );
  [callers, operators, peers].forEach((it) => ctx.owned.add(it));
  const peersUrl = http.formatAddress(peers.address);
  ctx.owned.add(
    processPresence.announce({
      store,
      clock: ctx.clock,
      ttlMs: settings.leaseMs,
      record: {
        processId: settings.processId,
        role: 'entry',
        region: settings.region,
        zone: settings.zone,
        url: peersUrl,
      },
    }),
  );
  const callersUrl = http.formatAddress(callers.address);
  const operatorsUrl = http.formatAddress(operators.address);
  ctx.log('info', 'started', { url: peersUrl, callersUrl, operatorsUrl, zone: settings.zone });
  return {
    peersUrl,
    callersUrl,
    operatorsUrl,
    shutdown: async () => {
      isLeaving = true;
      ctx.log('info', 'draining', { open: callers.openRequests() });
      // The balancer detects with a delay that the entry is not ready; until then requests are accepted
      // as before, and each response asks the caller to use another connection.
      callers.requestConnectionClose();
      const notReadyMs = settings.drainMs * NOT_READY_SHARE;
      await clock.sleep(ctx.clock, notReadyMs);
      isRefusing = true;
      await presence.dispose();
      const leftMs = settings.drainMs - notReadyMs;
      await Promise.all([callers.drain(leftMs), operators.drain(leftMs), peers.drain(leftMs)]);
      await levels.flush();
      await ctx.owned.dispose();
    },
    dispose: ctx.owned.dispose,
  };
};
