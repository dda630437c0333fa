/**
 * The agents that an entry knows, as soft state: one whose registration is not renewed is removed.
 * One that fails is avoided immediately and retried later, since other entries may still reach it.
 *
 * Registrations are renewed only once a minute, because one costs about a millisecond of processor
 * time and there are hundreds of agents. Load, boot id and clock are piggybacked on every answer,
 * and failed calls and draining take effect immediately.
 */
import * as agentHealth from './agentHealth.js';
import type * as routing from './routing.js';

/** An agent's upstream. */
export interface DirectoryUpstream {
  readonly upstreamId: string;
  readonly slots: number;
  readonly connections: number;
  readonly isLeaving: boolean;
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
}

/** What an agent reports about itself. */
export interface Registration {
  readonly agentId: string;
  readonly bootId: string;
  /** The agent's monotonic clock when it wrote this. */
  readonly clockMs: number;
  readonly url: string;
  readonly zone: string;
  readonly region: string;
  readonly isLeaving: boolean;
  /** Undefined where no upstream has announced itself to the agent on its VM. */
  readonly upstream: DirectoryUpstream | undefined;
  readonly configVersion: number;
}

/** Last registration of an agent, with what this entry observed itself. */
export interface DirectoryEntry extends Registration {
  readonly seenAtMs: number;
  /** When an answer last updated the load. */
  readonly loadAtMs: number;
  /** Requests of this entry in flight to the agent. */
  readonly outstanding: number;
  readonly health: agentHealth.AgentHealth;
  /** Lower bound of the difference between the agent's clock and this process's. */
  readonly clockOffsetMs: number;
}

/** Load and state of the agent, sent along with an answer. */
export interface AnswerStatus {
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
  readonly bootId: string;
  readonly clockMs: number;
}

/** The agent's boot that an attempt is addressed to, and a lower bound of its clock. */
export interface AgentBoot {
  readonly bootId: string;
  readonly clockMs: number;
}

/** The agents that an entry knows. */
export interface AgentDirectory {
  readonly register: (registration: Registration, nowMs: number) => void;
  readonly expire: (nowMs: number) => void;
  readonly entries: () => readonly DirectoryEntry[];
  readonly candidates: (nowMs: number) => readonly routing.RouteCandidate[];
  readonly bootOf: (url: string, nowMs: number) => AgentBoot | undefined;
  /** Adjusts the requests in flight: 1 for one that is sent, -1 for one that has ended. */
  readonly addOutstanding: (url: string, change: 1 | -1) => void;
  readonly recordAnswer: (url: string, note: AnswerStatus, nowMs: number) => void;
  /** The agent has applied this version of the configuration. */
  readonly recordVersion: (url: string, configVersion: number) => void;
  readonly recordSuccess: (url: string, nowMs: number) => void;
  /** The upstream answered with an error. */
  readonly recordFailure: (url: string, nowMs: number, ejectionCapShare: number) => void;
  /** The agent did not respond. */
  readonly recordNoResponse: (url: string, nowMs: number) => void;
}

/** Period in which agents are asked to register again. */
export const REGISTER_MS = 60_000;

/** An agent that has missed two registrations is forgotten. */
const TTL_PERIODS = 2.5;

/** Half-life of the excess of a reported service time, so that recovery is noticed. */
const SLOWNESS_HALF_LIFE_MS = 5000;

/** Weight of one answer in the typical service time of all agents. */
const TYPICAL_SMOOTHING = 0.02;

/** Decays a service time above the typical one while no answer confirms it. */
const decayedServiceMs = (
  reportedMs: number,
  typicalMs: number | undefined,
  ageMs: number,
): number => {
  if (typicalMs === undefined || reportedMs <= typicalMs) return reportedMs;
  return typicalMs + (reportedMs - typicalMs) * 0.5 ** (ageMs / SLOWNESS_HALF_LIFE_MS);
};

const toCandidate = (
  entry: DirectoryEntry,
  upstream: DirectoryUpstream,
  typicalMs: number | undefined,
  nowMs: number,
): routing.RouteCandidate => ({
  agentUrl: entry.url,
  upstreamId: upstream.upstreamId,
  zone: entry.zone,
  region: entry.region,
  slots: upstream.slots,
  reportedRunning: upstream.running,
  reportedQueued: upstream.queued,
  outstanding: entry.outstanding,
  serviceMs: decayedServiceMs(upstream.serviceMs, typicalMs, nowMs - entry.loadAtMs),
  isLeaving: entry.isLeaving || upstream.isLeaving,
  isAvoided: agentHealth.isAvoided(entry.health, nowMs),
  penaltyMs: agentHealth.penaltyMs(entry.health, nowMs),
  startShare: agentHealth.startShare(entry.health, nowMs),
});

const renew = (
  known: DirectoryEntry | undefined,
  registration: Registration,
  nowMs: number,
): DirectoryEntry => {
  const offsetMs = registration.clockMs - nowMs;
  const same = known?.bootId === registration.bootId ? known : undefined;
  return {
    ...registration,
    seenAtMs: nowMs,
    loadAtMs: same?.loadAtMs ?? nowMs,
    outstanding: known?.outstanding ?? 0,
    health: same?.health ?? agentHealth.newHealth(nowMs),
    clockOffsetMs: Math.max(offsetMs, same?.clockOffsetMs ?? -Infinity),
  };
};

const withAnswer = (entry: DirectoryEntry, note: AnswerStatus, nowMs: number): DirectoryEntry => {
  const { running, queued, serviceMs, isLeaving, bootId, clockMs } = note;
  const next = renew(entry, { ...entry, bootId, clockMs }, nowMs);
  const upstream = next.upstream && { ...next.upstream, running, queued, serviceMs, isLeaving };
  return { ...next, upstream, loadAtMs: nowMs };
};

/**
 * @param registerMs - period in which agents are asked to register
 * @returns a directory without agents
 */
export const createAgentDirectory = (registerMs = REGISTER_MS): AgentDirectory => {
  const entries = new Map<string, DirectoryEntry>();
  let typicalMs: number | undefined;
  const update = (url: string, change: (entry: DirectoryEntry) => DirectoryEntry): void => {
    const entry = entries.get(url);
    if (entry !== undefined) entries.set(url, change(entry));
  };
  const updateHealth = (
    url: string,
    change: (health: agentHealth.AgentHealth) => agentHealth.AgentHealth,
  ): void => update(url, (it) => ({ ...it, health: change(it.health) }));
  /** The cap prevents a fault that affects all agents from ejecting all of them. */
  const mayEject = (nowMs: number, capShare: number): boolean => {
    const all = [...entries.values()];
    const avoided = all.filter((it) => agentHealth.isAvoided(it.health, nowMs)).length;
    return avoided + 1 <= Math.floor(all.length * capShare);
  };
  return {
    register: (registration, nowMs) => {
      const known = entries.get(registration.url);
      entries.set(registration.url, renew(known, registration, nowMs));
    },
    expire: (nowMs) => {
      for (const [url, entry] of entries) {
        if (nowMs - entry.seenAtMs > registerMs * TTL_PERIODS) entries.delete(url);
      }
    },
    entries: () => [...entries.values()],
    candidates: (nowMs) =>
      [...entries.values()].flatMap((it) =>
        it.upstream === undefined ? [] : [toCandidate(it, it.upstream, typicalMs, nowMs)],
      ),
    bootOf: (url, nowMs) => {
      const entry = entries.get(url);
      if (entry === undefined) return undefined;
      return { bootId: entry.bootId, clockMs: Math.max(0, nowMs + entry.clockOffsetMs) };
    },
    addOutstanding: (url, change) =>
      update(url, (it) => ({ ...it, outstanding: Math.max(0, it.outstanding + change) })),
    recordAnswer: (url, note, nowMs) => {
      typicalMs = (typicalMs ?? note.serviceMs) * (1 - TYPICAL_SMOOTHING);
      typicalMs += note.serviceMs * TYPICAL_SMOOTHING;
      update(url, (it) => withAnswer(it, note, nowMs));
    },
    recordVersion: (url, configVersion) =>
      update(url, (it) => ({ ...it, configVersion: Math.max(it.configVersion, configVersion) })),
    recordSuccess: (url, nowMs) => updateHealth(url, (it) => agentHealth.afterSuccess(it, nowMs)),
    recordFailure: (url, nowMs, capShare) =>
      updateHealth(url, (it) => agentHealth.afterFailure(it, nowMs, mayEject(nowMs, capShare))),
    recordNoResponse: (url, nowMs) =>
      updateHealth(url, (it) => agentHealth.afterNoResponse(it, nowMs)),
  };
};
