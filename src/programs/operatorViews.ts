/**
 * Data that an entry collects from the other processes for operators: versions, upstreams, jobs.
 */
import type * as agentDirectory from '../coordination/common/agentDirectory.js';
import * as liveEntries from '../coordination/common/liveEntries.js';
import type * as liveWatch from '../coordination/node/liveWatch.js';
import type * as operatorMessages from '../protocol/common/operatorMessages.js';
import type * as job from '../state/common/job.js';
import type * as operatorGateway from '../transport/node/operatorGateway.js';
import type * as rpcClient from '../transport/node/rpcClient.js';

import type * as processContext from './processContext.js';

/** Dependencies of the views. */
export interface OperatorViewOptions {
  readonly ctx: processContext.ProcessContext;
  readonly live: liveWatch.LiveWatch;
  readonly directory: agentDirectory.AgentDirectory;
  readonly cells: () => readonly string[];
  readonly leader: (cell: string) => rpcClient.SchedulerClient;
}

/** Data that is collected from other processes on request. */
export interface OperatorViews {
  readonly agents: () => Promise<readonly operatorMessages.AgentStatus[]>;
  readonly versions: () => Promise<readonly operatorGateway.ProcessVersion[]>;
  readonly jobs: () => Promise<operatorGateway.JobList>;
}

/**
 * @param directory - agents that an entry knows
 * @returns their state as it is sent to another entry
 */
export const agentViews = (
  directory: agentDirectory.AgentDirectory,
): operatorMessages.AgentStatus[] =>
  directory.entries().map((it) => ({
    agentId: it.agentId,
    url: it.url,
    zone: it.zone,
    region: it.region,
    configVersion: it.configVersion,
    ...(it.upstream === undefined ? {} : { upstream: it.upstream }),
  }));

/**
 * @param agent - an agent with an upstream
 * @param upstream - its upstream
 * @returns one item of the list of upstreams
 */
export const toUpstreamSummary = (
  agent: operatorMessages.AgentStatus,
  upstream: NonNullable<operatorMessages.AgentStatus['upstream']>,
): operatorGateway.UpstreamSummary => {
  const { upstreamId, slots, running, queued, serviceMs, isLeaving } = upstream;
  const { agentId, zone, region } = agent;
  return { upstreamId, agentId, zone, region, slots, running, queued, serviceMs, isLeaving };
};

const orFallback = async <T>(asked: Promise<T>, fallback: T): Promise<T> =>
  asked.catch(() => fallback);

/**
 * @param options - dependencies of the views
 * @returns views that query the other processes on each call
 */
export const createOperatorViews = (options: OperatorViewOptions): OperatorViews => {
  const { ctx, live } = options;
  const agents = async (): Promise<readonly operatorMessages.AgentStatus[]> => {
    const entries = liveEntries.processesOf(live.entries(), 'entry');
    const own = agentViews(options.directory);
    const others = await Promise.all(
      entries
        .filter((it) => it.processId !== ctx.sender().processId)
        .map((it) =>
          orFallback(
            ctx.clients
              .entry(it.url)
              .overview({ from: ctx.sender() })
              .then((reply) => reply.agents),
            [],
          ),
        ),
    );
    const newest = new Map<string, operatorMessages.AgentStatus>();
    for (const it of [...own, ...others.flat()]) {
      const known = newest.get(it.agentId);
      if (known === undefined || known.configVersion <= it.configVersion) {
        newest.set(it.agentId, it);
      }
    }
    return [...newest.values()].sort((a, b) => a.agentId.localeCompare(b.agentId));
  };
  const versions = async (): Promise<readonly operatorGateway.ProcessVersion[]> => {
    const processes = (['entry', 'scheduler'] as const).flatMap((role) =>
      liveEntries.processesOf(live.entries(), role),
    );
    const asked = processes.map(async ({ processId, role, zone, url }) => {
      const reply = await orFallback(
        ctx.clients.entry(url).version({ from: ctx.sender() }),
        undefined,
      );
      return { processId, role, zone, version: reply?.from.configVersion };
    });
    const known = (await agents()).map(({ agentId, zone, configVersion }) => ({
      processId: agentId,
      role: 'agent',
      zone,
      version: configVersion,
    }));
    return [...(await Promise.all(asked)), ...known];
  };
  const jobs = async (): Promise<operatorGateway.JobList> => {
    const lists = await Promise.all(
      options.cells().map(async (cell) => {
        const ask = async (): Promise<readonly job.JobRecord[]> =>
          (await options.leader(cell).cell({ from: ctx.sender(), cell })).jobs;
        return {
          cell,
          jobs: await orFallback<readonly job.JobRecord[] | undefined>(ask(), undefined),
        };
      }),
    );
    return {
      jobs: lists.flatMap((it) => it.jobs ?? []),
      unansweredCells: lists.filter((it) => it.jobs === undefined).map((it) => it.cell),
    };
  };
  return { agents, versions, jobs };
};
