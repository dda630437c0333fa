/**
 * `auburnlift-scheduler`: leads cells while it holds their leases. Any scheduler can lead any cell.
 */
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import type * as cellLeader from '../coordination/node/cellLeader.js';
import * as processPresence from '../coordination/node/processPresence.js';
import type * as entrySchedulerMessages from '../protocol/common/entrySchedulerMessages.js';
import * as schedulerRouter from '../protocol/node/schedulerRouter.js';
import type * as settingsSchema from '../state/common/settings.js';
import * as healthApi from '../transport/node/healthApi.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as rpcServer from '../transport/node/rpcServer.js';

import * as cellClaims from './cellClaims.js';
import * as configurationLinks from './configurationLinks.js';
import * as processContext from './processContext.js';
import * as serviceLevels from './serviceLevels.js';
import * as storeLinks from './storeLinks.js';

const MAX_CONNECTIONS = 4096;

const createService = (
  ctx: processContext.ProcessContext,
  claims: cellClaims.CellClaims,
): schedulerRouter.SchedulerService => {
  const requireLeader = (cell: string): cellLeader.CellLeader => {
    const leader = claims.leaderOf(cell);
    if (leader === undefined) {
      throw errors.fail('notLeader', `this scheduler does not lead ${cell}; nothing ran`, {
        retryAfterMs: 1000,
      });
    }
    return leader;
  };
  const cellReply = (leader: cellLeader.CellLeader): entrySchedulerMessages.CellReply => ({
    from: ctx.sender(),
    cell: leader.cell,
    epoch: leader.epoch,
    leaderId: ctx.sender().processId,
    workers: [...leader.workers()],
    jobs: [...leader.jobs()],
    warnings: [...leader.warnings()],
  });
  return {
    report: (request) => {
      const answer = requireLeader(request.cell).report({
        bootId: request.bootId,
        acceptedEpoch: request.epoch,
        uptimeMs: request.uptimeMs,
        stampMs: request.stampMs,
        worker: request.worker,
        commandCount: request.commandCount,
        tasks: request.tasks,
        isFull: request.isFull,
        isLeaving: request.isLeaving,
      });
      const acknowledged = [...answer.acknowledged];
      return Promise.resolve({ from: ctx.sender(), ...answer, acknowledged });
    },
    submit: async ({ spec }) => ({
      from: ctx.sender(),
      job: await requireLeader(spec.cell).submit(spec),
    }),
    cancel: async ({ cell, jobIds }) => ({
      from: ctx.sender(),
      jobs: [...(await requireLeader(cell).cancel(jobIds))],
    }),
    show: ({ cell, jobId }) =>
      Promise.resolve({ from: ctx.sender(), job: requireLeader(cell).show(jobId) }),
    cell: ({ cell }) => Promise.resolve(cellReply(requireLeader(cell))),
    quarantine: ({ cell, workerId, isQuarantined, reason }) => {
      const leader = requireLeader(cell);
      leader.quarantine(workerId, isQuarantined, reason);
      return Promise.resolve(cellReply(leader));
    },
    version: () => Promise.resolve({ from: ctx.sender() }),
    configuration: () => {
      const record = ctx.configuration.current();
      return Promise.resolve({
        from: ctx.sender(),
        ...(record === undefined ? {} : { record }),
      });
    },
  };
};

/**
 * @param settings - decoded settings
 * @returns the running scheduler
 */
export const startScheduler = async (
  settings: settingsSchema.SchedulerSettings,
): Promise<processContext.Program> => {
  const ctx = processContext.createProcessContext('scheduler', settings);
  const { store, live } = storeLinks.connectStore(ctx, settings);
  let isLeaving = false;
  const sync = configurationLinks.startSync(ctx, store, live, settings.peerUrls);
  const levels = serviceLevels.startServiceLevels(ctx, store);
  const claims = cellClaims.createCellClaims({
    ctx,
    settings,
    store,
    live,
    onDidChangeJob: levels.recordJob,
  });
  const health: healthApi.HealthOptions = {
    metrics: ctx.metrics,
    notReadyReason: () => {
      if (isLeaving) return 'leaving';
      return ctx.configuration.current() === undefined ? 'no configuration yet' : undefined;
    },
    warnings: sync.warnings,
  };
  const local: httpServer.Handler = (request) => {
    const answer = healthApi.answerHealth(health, request);
    if (answer !== undefined) return Promise.resolve(answer);
    throw errors.fail('notFound', `no page ${request.path}`, { field: 'path' });
  };
  const server = await httpServer.listen(
    {
      ...settings.peers,
      maxBodyBytes: rpcServer.MAX_RPC_BYTES,
      maxConnections: MAX_CONNECTIONS,
      guard: ctx.guard,
      name: 'peers',
    },
    rpcServer.createRpcListener(
      schedulerRouter.createSchedulerRouter(
        configurationLinks.withVersions(createService(ctx, claims), sync, ['submit']),
      ),
      settings.peerSecret,
      httpServer.toListener(local, rpcServer.MAX_RPC_BYTES),
    ),
  );
  ctx.owned.add(server);
  const peersUrl = http.formatAddress(server.address);
  ctx.owned.add(
    processPresence.announce({
      store,
      clock: ctx.clock,
      ttlMs: settings.leaseMs,
      record: {
        processId: settings.processId,
        role: 'scheduler',
        region: settings.region,
        zone: settings.zone,
        url: peersUrl,
      },
    }),
  );
  claims.start(peersUrl);
  ctx.log('info', 'started', { url: peersUrl, zone: settings.zone });
  return {
    peersUrl,
    shutdown: async () => {
      isLeaving = true;
      await claims.release();
      await levels.flush();
      await server.drain(settings.drainMs);
      await ctx.owned.dispose();
    },
    dispose: async () => {
      await claims.abandon();
      await ctx.owned.dispose();
    },
  };
};
