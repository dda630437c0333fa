/**
 * Discovers agents that did not register with this entry: from the other entries of its region at start,
 * and from entries of other regions while its own region is full.
 *
 * For other regions, forwarding requests to an entry there would add a hop and another process that can
 * fail between the two that settle a request; continuous discovery of every remote agent would cause paid
 * traffic. A small sample on demand costs a few kilobytes, and only under load.
 */
import * as errors from '../base/common/errors.js';
import * as agentDirectory from '../coordination/common/agentDirectory.js';
import * as agentHealth from '../coordination/common/agentHealth.js';
import type * as agentEntryMessages from '../protocol/common/agentEntryMessages.js';
import type * as liveRecords from '../state/common/liveRecords.js';

import type * as processContext from './processContext.js';

/** Dependencies of the discovery. */
export interface AgentDiscoveryOptions {
  readonly ctx: processContext.ProcessContext;
  readonly region: string;
  readonly directory: agentDirectory.AgentDirectory;
  /** Live entries of all regions. */
  readonly entries: () => readonly liveRecords.ProcessRecord[];
}

/** Discovers agents through other entries. */
export interface AgentDiscovery {
  /** Copies the agents that another entry of the region knows; called once, when the process starts. */
  readonly discoverRegion: () => Promise<void>;
  /** Requests a sample of the least loaded agents of each other region; rate-limited. */
  readonly discoverRemote: () => void;
}

/** Agents sampled from one other region: choosing the better of two is as good among them as among all. */
const REMOTE_SAMPLE = 16;

const ALL_AGENTS = 4096;

/** Minimum time between samples; meanwhile responses of the agents update their loads. */
const REDISCOVER_MS = 5000;

const loadOf = (state: agentEntryMessages.AgentState): number =>
  (state.upstream.running + state.upstream.queued) / state.upstream.slots;

/**
 * @param directory - agents that the entry knows
 * @param region - region of the entry
 * @param maxAgents - maximum number of agents to return
 * @param nowMs - monotonic time
 * @returns the live agents of the region, the least loaded first
 */
export const describeAgents = (
  directory: agentDirectory.AgentDirectory,
  region: string,
  maxAgents: number,
  nowMs: number,
): readonly agentEntryMessages.AgentState[] =>
  directory
    .entries()
    .filter((it) => it.region === region && !it.isLeaving)
    .filter((it) => !agentHealth.isAvoided(it.health, nowMs))
    .flatMap(({ agentId, bootId, url, zone, upstream, clockOffsetMs }) => {
      if (upstream === undefined || upstream.isLeaving) return [];
      const clockMs = Math.max(0, Math.floor(nowMs + clockOffsetMs));
      return [{ agentId, bootId, clockMs, url, zone, region, upstream }];
    })
    .sort((a, b) => loadOf(a) - loadOf(b))
    .slice(0, maxAgents);

/**
 * @param options - dependencies of the discovery
 * @returns the discovery
 */
export const createAgentDiscovery = (options: AgentDiscoveryOptions): AgentDiscovery => {
  const { ctx, region, directory } = options;
  const discoveredAtMs = new Map<string, number>();
  const askOne = async (url: string, maxAgents: number): Promise<boolean> => {
    try {
      const { agents } = await ctx.clients.entry(url).directory({ from: ctx.sender(), maxAgents });
      const nowMs = ctx.clock.monotonicMs();
      agents
        .filter((it) => directory.bootOf(it.url, nowMs)?.bootId !== it.bootId)
        .forEach((it) => directory.register({ ...it, isLeaving: false, configVersion: 0 }, nowMs));
      ctx.metrics.count('auburnlift_agents_learned_total', {}, agents.length);
      return true;
    } catch (thrown) {
      ctx.log('debug', 'agentsNotLearned', { url, reason: errors.normalize(thrown).message });
      return false;
    }
  };
  const askAny = async (urls: readonly string[], maxAgents: number): Promise<void> => {
    for (const url of urls) if (await askOne(url, maxAgents)) return;
  };
  const discoverIn = (other: string): void => {
    const nowMs = ctx.clock.monotonicMs();
    if (nowMs - (discoveredAtMs.get(other) ?? -Infinity) < REDISCOVER_MS) return;
    discoveredAtMs.set(other, nowMs);
    const urls = options.entries().filter((it) => it.region === other);
    void askAny(
      urls.map((it) => it.url),
      REMOTE_SAMPLE,
    );
  };
  return {
    discoverRegion: () => {
      const { processId } = ctx.sender();
      const peers = options.entries().filter((it) => it.region === region);
      const urls = peers.filter((it) => it.processId !== processId).map((it) => it.url);
      return askAny(urls, ALL_AGENTS);
    },
    discoverRemote: () => {
      const others = new Set(options.entries().map((it) => it.region));
      [...others].filter((it) => it !== region).forEach(discoverIn);
    },
  };
};
