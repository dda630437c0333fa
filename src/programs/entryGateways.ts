/**
 * Gateways by which an entry calls the leaders of cells and the store on behalf of customers and operators.
 */
import * as errors from '../base/common/errors.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import type * as agentDirectory from '../coordination/common/agentDirectory.js';
import * as jobAdmission from '../coordination/common/jobAdmission.js';
import * as liveEntries from '../coordination/common/liveEntries.js';
import type * as configurationSync from '../coordination/node/configurationSync.js';
import type * as liveWatch from '../coordination/node/liveWatch.js';
import type * as configuration from '../state/common/configuration.js';
import * as ledgerEntry from '../state/common/ledgerEntry.js';
import type * as store from '../state/common/store.js';
import * as storeKeys from '../state/common/storeKeys.js';
import type * as callerApi from '../transport/node/callerApi.js';
import type * as operatorGateway from '../transport/node/operatorGateway.js';
import type * as rpcClient from '../transport/node/rpcClient.js';

import * as configurationGateway from './configurationGateway.js';
import * as operatorViews from './operatorViews.js';
import type * as processContext from './processContext.js';

/** Both gateways of an entry. */
export interface Gateways {
  readonly jobs: callerApi.JobGateway;
  readonly operators: operatorGateway.OperatorGateway;
}

const RETRY_MS = 1000;

/** Dependencies of the gateways. */
export interface GatewayOptions {
  readonly ctx: processContext.ProcessContext;
  readonly store: store.Store;
  readonly live: liveWatch.LiveWatch;
  readonly sync: configurationSync.ConfigurationSync;
  readonly directory: agentDirectory.AgentDirectory;
}

/**
 * @param options - dependencies of the gateways
 * @returns the gateways
 */
export const createGateways = (options: GatewayOptions): Gateways => {
  const { ctx, store: target, live, sync } = options;
  const document = (): configuration.ConfigurationDocument => {
    const current = ctx.configuration.current();
    if (current !== undefined) return current.document;
    throw errors.fail('storeUnavailable', 'no configuration is in force yet; nothing ran', {
      retryAfterMs: RETRY_MS,
    });
  };
  const leader = (cell: string): rpcClient.SchedulerClient => {
    if (!document().cells.some((it) => it.cell === cell)) {
      throw errors.fail('notFound', `no cell ${cell}; nothing ran`, { field: 'cell' });
    }
    const record = liveEntries.leaderOf(live.entries(), cell);
    if (record !== undefined) return ctx.clients.scheduler(record.url);
    throw errors.fail('notLeader', `cell ${cell} has no leader now; nothing ran`, {
      retryAfterMs: RETRY_MS,
    });
  };
  const jobs: callerApi.JobGateway = {
    submit: async (spec) => {
      const refused = jobAdmission.checkSpec(spec, document());
      if (refused !== undefined) throw refused;
      return (await leader(spec.cell).submit({ from: ctx.sender(), spec })).job;
    },
    show: async (cell, jobId) => (await leader(cell).show({ from: ctx.sender(), cell, jobId })).job,
    cancel: async (cell, jobIds) =>
      (await leader(cell).cancel({ from: ctx.sender(), cell, jobIds: [...jobIds] })).jobs,
  };
  const views = operatorViews.createOperatorViews({
    ctx,
    live,
    directory: options.directory,
    // Before the first configuration no cells are known.
    cells: () => ctx.configuration.current()?.document.cells.map((it) => it.cell) ?? [],
    leader,
  });
  const drainUpstream = async (
    upstreamId: string,
    isDraining: boolean,
  ): Promise<operatorGateway.UpstreamSummary> => {
    const agent = (await views.agents()).find((it) => it.upstream?.upstreamId === upstreamId);
    if (agent === undefined) {
      throw errors.fail('notFound', `no upstream ${upstreamId}; nothing ran`, {
        field: 'upstream',
      });
    }
    const request = { from: ctx.sender(), isDraining };
    const { upstream } = await ctx.clients.agent(agent.url).drain(request);
    if (upstream !== undefined) return operatorViews.toUpstreamSummary(agent, upstream);
    throw errors.fail('notFound', `upstream ${upstreamId} has gone`, { field: 'upstream' });
  };
  const operators: operatorGateway.OperatorGateway = {
    ...configurationGateway.createConfigurationGateway({ ctx, store: target, sync, views }),
    cells: () =>
      Promise.resolve(
        document().cells.map(({ cell, region }) => {
          const record = liveEntries.leaderOf(live.entries(), cell);
          const isLed = liveEntries.isLed(live.entries(), cell);
          const { leaderId = '', epoch = 0 } = record ?? {};
          return { cell, region, leaderId, epoch, isLed };
        }),
      ),
    cell: (cell) => leader(cell).cell({ from: ctx.sender(), cell }),
    quarantine: (cell, workerId, isQuarantined, reason) =>
      leader(cell).quarantine({ from: ctx.sender(), cell, workerId, isQuarantined, reason }),
    jobs: views.jobs,
    upstreams: async () =>
      (await views.agents()).flatMap((it) =>
        it.upstream === undefined ? [] : [operatorViews.toUpstreamSummary(it, it.upstream)],
      ),
    drainUpstream,
    ledger: async (cell) => {
      const { entries } = await target.list(storeKeys.ledgerPrefix(cell));
      return entries.map((it) =>
        schemaIssues.decodeOrFail(ledgerEntry.LedgerHour, JSON.parse(it.value), 'ledger hour'),
      );
    },
  };
  return { jobs, operators };
};
