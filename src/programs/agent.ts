/**
 * `auburnlift-agent`: runs on the VM of an upstream, a worker or both; the other processes of the system
 * communicate with this VM only through it.
 */
import * as clock from '../base/common/clock.js';
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import * as random from '../base/common/random.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import * as admission from '../coordination/common/admission.js';
import * as agentRuntime from '../coordination/node/agentRuntime.js';
import * as agentRouter from '../protocol/node/agentRouter.js';
import * as requestHost from '../protocol/node/requestHost.js';
import type * as settingsSchema from '../state/common/settings.js';
import * as upstreamContract from '../state/common/upstreamContract.js';
import type * as worker from '../state/common/worker.js';
import * as httpWorker from '../state/node/httpWorker.js';
import * as exchangeServer from '../transport/node/exchangeServer.js';
import * as healthApi from '../transport/node/healthApi.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as rpcServer from '../transport/node/rpcServer.js';

import * as agentLinks from './agentLinks.js';
import * as processContext from './processContext.js';

/** Path at which an upstream announces itself; accepted from the same VM only. */
const ANNOUNCE_PATH = '/announce';

const MAX_CONNECTIONS = 4096;
const WORKER_TIMEOUT_MS = 2000;
const REPORT_JITTER = 0.2;
const DRAIN_POLL_MS = 20;

/** Minimum time for responses that are still being sent when the drain limit is reached. */
const LAST_ANSWERS_MS = 100;

const workerInfoOf = (
  settings: settingsSchema.AgentSettings,
  agentUrl: string,
): worker.WorkerInfo | undefined => {
  if (settings.worker === undefined) return undefined;
  const { url: _, ...rest } = settings.worker;
  return { ...rest, zone: settings.zone, region: settings.region, agentUrl };
};

const startTasks = (
  ctx: processContext.ProcessContext,
  settings: settingsSchema.AgentSettings,
  links: agentLinks.AgentLinks,
): agentRuntime.AgentRuntime | undefined => {
  if (settings.worker === undefined) return undefined;
  return ctx.owned.add(
    agentRuntime.startAgentRuntime({
      accelerators: settings.worker.accelerators,
      worker: httpWorker.createHttpWorker({
        url: settings.worker.url,
        timeoutMs: WORKER_TIMEOUT_MS,
        call: ctx.http.call,
      }),
      clock: ctx.clock,
      log: ctx.log,
      reportMs: settings.reportMs,
      report: links.report,
    }),
  );
};

const createService = (
  ctx: processContext.ProcessContext,
  bootId: string,
  links: agentLinks.AgentLinks,
  workerInfo: () => worker.WorkerInfo | undefined,
  tasks: () => agentRuntime.AgentRuntime | undefined,
  drainUpstream: (isDraining: boolean) => void,
): agentRouter.AgentService => {
  const requireRuntime = (): agentRuntime.AgentRuntime => {
    const runtime = tasks();
    if (runtime === undefined) throw errors.fail('notFound', 'this VM has no worker');
    return runtime;
  };
  return {
    fence: (request) => {
      const held = requireRuntime().fence(request.epoch);
      links.recordLeader({ url: request.leaderUrl, epoch: request.epoch });
      const info = workerInfo();
      return Promise.resolve({
        from: ctx.sender(),
        bootId,
        acceptedEpoch: requireRuntime().acceptedEpoch(),
        uptimeMs: requireRuntime().uptimeMs(),
        ...(info === undefined ? {} : { worker: info }),
        commandCount: requireRuntime().commandCount(),
        tasks: held,
      });
    },
    command: async (request) => {
      links.recordVersion(request.from.configVersion);
      if (request.bootId !== bootId) {
        throw errors.fail('staleEpoch', 'the command is for an earlier boot of this agent');
      }
      const results = await requireRuntime().command(request.epoch, request.commands);
      return { from: ctx.sender(), bootId, commandCount: requireRuntime().commandCount(), results };
    },
    configuration: () => {
      const record = ctx.configuration.current();
      return Promise.resolve({ from: ctx.sender(), ...(record === undefined ? {} : { record }) });
    },
    drain: async (request) => {
      links.recordVersion(request.from.configVersion);
      drainUpstream(request.isDraining);
      // The region's entries are informed before the operator receives the reply.
      await links.registerNow();
      const upstream = links.upstreamState();
      return { from: ctx.sender(), ...(upstream === undefined ? {} : { upstream }) };
    },
  };
};

const shareOf = (
  ctx: processContext.ProcessContext,
  customerId: string,
): admission.CustomerShare => {
  const customers = ctx.configuration.current()?.document.customers ?? [];
  const customer = customers.find((it) => it.customerId === customerId);
  if (customer === undefined) return admission.DEFAULT_SHARE;
  return { weight: customer.requestWeight, guaranteedSlots: customer.guaranteedSlots };
};

/**
 * @param settings - decoded settings
 * @returns the running agent
 */
export const startAgent = async (
  settings: settingsSchema.AgentSettings,
): Promise<processContext.Program> => {
  const ctx = processContext.createProcessContext('agent', settings);
  const bootId = ctx.newId();
  let isLeaving = false;
  let isDrained = false;
  let lastAnnounced: upstreamContract.Announcement | undefined;
  let tasks: agentRuntime.AgentRuntime | undefined;
  let info: worker.WorkerInfo | undefined;
  const host = requestHost.createRequestHost({
    bootId,
    clock: ctx.clock,
    metrics: ctx.metrics,
    call: ctx.http.call,
    maxQueued: settings.maxQueued,
    shareOf: (customerId) => shareOf(ctx, customerId),
  });
  const links = agentLinks.createAgentLinks({
    ctx,
    settings,
    bootId,
    host,
    worker: () => info,
    isLeaving: () => isLeaving,
    acceptedEpoch: () => tasks?.acceptedEpoch() ?? 0,
  });
  const announce = (announced: upstreamContract.Announcement): void => {
    lastAnnounced = announced;
    host.announce({ ...announced, isLeaving: announced.isLeaving || isDrained });
  };
  const service = createService(
    ctx,
    bootId,
    links,
    () => info,
    () => tasks,
    (isDraining) => {
      isDrained = isDraining;
      if (lastAnnounced !== undefined && host.upstream() !== undefined) announce(lastAnnounced);
    },
  );
  const health: healthApi.HealthOptions = {
    metrics: ctx.metrics,
    notReadyReason: () => (isLeaving ? 'leaving' : undefined),
  };
  const local: httpServer.Handler = (request) => {
    const answer = healthApi.answerHealth(health, request);
    if (answer !== undefined) return Promise.resolve(answer);
    if (request.method !== 'POST' || request.path !== ANNOUNCE_PATH) {
      throw errors.fail('notFound', `no page ${request.path}`, { field: 'path' });
    }
    const body = httpServer.parseJsonBody(request);
    const announced = schemaIssues.decodeOrFail(
      upstreamContract.Announcement,
      body,
      'announcement',
    );
    const wasLeaving = host.upstream()?.isLeaving;
    announce(announced);
    if (host.upstream()?.isLeaving !== wasLeaving) links.registerSoon();
    return Promise.resolve(httpServer.jsonReply({}));
  };
  const listener = rpcServer.createRpcListener(
    agentRouter.createAgentRouter(service),
    settings.peerSecret,
    exchangeServer.createExchangeListener({
      peerSecret: settings.peerSecret,
      maxBodyBytes: settings.maxBodyBytes,
      sender: ctx.sender,
      host,
      recordVersion: links.recordVersion,
      fallback: httpServer.toListener(local, settings.maxBodyBytes),
    }),
  );
  const server = await httpServer.listen(
    {
      ...settings.peers,
      maxBodyBytes: settings.maxBodyBytes,
      maxConnections: MAX_CONNECTIONS,
      guard: ctx.guard,
      name: 'peers',
    },
    listener,
  );
  ctx.owned.add(server);
  const peersUrl = http.formatAddress(server.address);
  info = workerInfoOf(settings, peersUrl);
  tasks = startTasks(ctx, settings, links);
  ctx.owned.add(
    links.start(peersUrl, random.jitterMs(ctx.random, settings.reportMs, REPORT_JITTER)),
  );
  ctx.log('info', 'started', { url: peersUrl, zone: settings.zone });
  return {
    peersUrl,
    shutdown: async () => {
      ctx.log('info', 'draining', { open: host.openRequestCount() });
      isLeaving = true;
      host.startDraining();
      await links.registerNow();
      // An entry whose connection broke retries over a new one, so the server stays open until requests end.
      const untilMs = ctx.clock.monotonicMs() + settings.drainMs;
      while (host.openRequestCount() > 0 && ctx.clock.monotonicMs() < untilMs) {
        await clock.sleep(ctx.clock, DRAIN_POLL_MS);
      }
      await server.drain(Math.max(LAST_ANSWERS_MS, untilMs - ctx.clock.monotonicMs()));
      await ctx.owned.dispose();
    },
    dispose: ctx.owned.dispose,
  };
};
