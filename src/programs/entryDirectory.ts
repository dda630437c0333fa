/**
 * How an entry gets to know agents beyond their own registrations: from the other entries of its
 * region when it starts, and from entries of other regions while its own region is full.
 *
 * Weighed for other regions: forwarding to an entry there adds a process that can fail between the
 * two that settle a request, and a hop; learning every remote agent all the time costs bytes that
 * are paid for. A small sample on demand costs a few kilobytes, and only under load.
 */
import * as errors from '../base/common/errors.js';
import * as agentDirectory from '../coordination/common/agentDirectory.js';
import * as agentHealth from '../coordination/common/agentHealth.js';
import type * as agentEntryMessages from '../protocol/common/agentEntryMessages.js';
import type * as liveRecords from '../state/common/liveRecords.js';

import type * as processKit from './processKit.js';

/** What is needed to learn of agents. */
export interface EntryDirectoryOptions {
  readonly kit: processKit.ProcessKit;
  readonly region: string;
  readonly directory: agentDirectory.AgentDirectory;
  /** Live entries of all regions. */
  readonly entries: () => readonly liveRecords.ProcessRecord[];
}

/** Learns of agents from other entries. */
export interface EntryDirectory {
  /** Takes over what another entry of the region knows; once, when the process starts. */
  readonly takeOver: () => Promise<void>;
  /** Learns a sample of the emptiest agents of each other region, not more often than allowed. */
  readonly learnRemote: () => void;
}

/** Agents taken from one other region: two choices among them are as good as among all. */
const REMOTE_SAMPLE = 16;

const ALL_AGENTS = 4096;

/** A sample is of use for about this long, since its loads ride on answers afterwards. */
const LEARN_AGAIN_MS = 5000;

const loadOf = (state: agentEntryMessages.AgentState): number =>
  (state.upstream.running + state.upstream.queued) / state.upstream.slots;

/**
 * @param directory - what the entry knows
 * @param region - region of the entry
 * @param maxAgents - how many to give at the most
 * @param nowMs - monotonic time
 * @returns the live agents of the region, the emptiest first
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
 * @param options - what is needed to learn of agents
 * @returns the learner
 */
export const createEntryDirectory = (options: EntryDirectoryOptions): EntryDirectory => {
  const { kit, region, directory } = options;
  const learnedAtMs = new Map<string, number>();
  const askOne = async (url: string, maxAgents: number): Promise<boolean> => {
    try {
      const { agents } = await kit.clients.entry(url).directory({ from: kit.sender(), maxAgents });
      const nowMs = kit.clock.monotonicMs();
      agents
        .filter((it) => directory.bootOf(it.url, nowMs)?.bootId !== it.bootId)
        .forEach((it) => directory.register({ ...it, isLeaving: false, configVersion: 0 }, nowMs));
      kit.metrics.count('auburnlift_agents_learned_total', {}, agents.length);
      return true;
    } catch (thrown) {
      kit.log('debug', 'agentsNotLearned', { url, reason: errors.normalize(thrown).message });
      return false;
    }
  };
  const askAny = async (urls: readonly string[], maxAgents: number): Promise<void> => {
    for (const url of urls) if (await askOne(url, maxAgents)) return;
  };
  const learnFrom = (other: string): void => {
    const nowMs = kit.clock.monotonicMs();
    if (nowMs - (learnedAtMs.get(other) ?? -Infinity) < LEARN_AGAIN_MS) return;
    learnedAtMs.set(other, nowMs);
    const urls = options.entries().filter((it) => it.region === other);
    void askAny(
      urls.map((it) => it.url),
      REMOTE_SAMPLE,
    );
  };
  return {
    takeOver: () => {
      const { processId } = kit.sender();
      const peers = options.entries().filter((it) => it.region === region);
      const urls = peers.filter((it) => it.processId !== processId).map((it) => it.url);
      return askAny(urls, ALL_AGENTS);
    },
    learnRemote: () => {
      const others = new Set(options.entries().map((it) => it.region));
      [...others].filter((it) => it !== region).forEach(learnFrom);
    },
  };
};
