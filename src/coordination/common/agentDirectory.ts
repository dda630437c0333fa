/**
 * The agents that an entry knows, as soft state: what is not renewed goes away, what fails is
 * avoided at once and comes back with its next registration.
 */
import type * as routing from './routing.js';

/** An agent as it registered last, with what this entry knows besides. */
export interface DirectoryEntry {
  readonly agentId: string;
  readonly bootId: string;
  readonly url: string;
  readonly zone: string;
  readonly region: string;
  readonly isLeaving: boolean;
  /** Absent where no upstream has announced itself on the VM. */
  readonly upstream: DirectoryUpstream | undefined;
  readonly configVersion: number;
  readonly seenAtMs: number;
  /** Requests that this entry sent there and that are open. */
  readonly outstanding: number;
  readonly penaltyMs: number;
}

/** An agent's upstream. */
export interface DirectoryUpstream {
  readonly upstreamId: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
}

/** What an agent says of itself. */
export type Registration = Omit<DirectoryEntry, 'seenAtMs' | 'outstanding' | 'penaltyMs'>;

/** Load that came with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
}

/** The agents that an entry knows. */
export interface AgentDirectory {
  readonly register: (registration: Registration, nowMs: number) => void;
  /** The agent does not answer; it comes back with its next registration. */
  readonly remove: (url: string) => void;
  readonly expire: (nowMs: number) => void;
  readonly entries: () => readonly DirectoryEntry[];
  readonly candidates: () => readonly routing.RouteCandidate[];
  /** Counts a request that is sent (1) or has ended (-1). */
  readonly addOutstanding: (url: string, change: 1 | -1) => void;
  readonly noteLoad: (url: string, load: ReportedLoad) => void;
}

/** An agent that has not registered for this long is forgotten. */
export const REGISTRATION_TTL_MS = 6000;

const toCandidate = (
  entry: DirectoryEntry,
  upstream: DirectoryUpstream,
): routing.RouteCandidate => ({
  agentUrl: entry.url,
  upstreamId: upstream.upstreamId,
  zone: entry.zone,
  region: entry.region,
  slots: upstream.slots,
  reportedRunning: upstream.running,
  reportedQueued: upstream.queued,
  outstanding: entry.outstanding,
  serviceMs: upstream.serviceMs,
  isLeaving: entry.isLeaving || upstream.isLeaving,
  penaltyMs: entry.penaltyMs,
});

/**
 * @returns a directory without agents
 */
export const createAgentDirectory = (): AgentDirectory => {
  const entries = new Map<string, DirectoryEntry>();
  const update = (url: string, change: (entry: DirectoryEntry) => DirectoryEntry): void => {
    const entry = entries.get(url);
    if (entry !== undefined) entries.set(url, change(entry));
  };
  return {
    register: (registration, nowMs) => {
      const known = entries.get(registration.url);
      entries.set(registration.url, {
        ...registration,
        seenAtMs: nowMs,
        outstanding: known?.outstanding ?? 0,
        penaltyMs: known?.penaltyMs ?? 0,
      });
    },
    remove: (url) => {
      entries.delete(url);
    },
    expire: (nowMs) => {
      for (const [url, entry] of entries) {
        if (nowMs - entry.seenAtMs > REGISTRATION_TTL_MS) entries.delete(url);
      }
    },
    entries: () => [...entries.values()],
    candidates: () =>
      [...entries.values()].flatMap((it) =>
        it.upstream === undefined ? [] : [toCandidate(it, it.upstream)],
      ),
    addOutstanding: (url, change) =>
      update(url, (it) => ({ ...it, outstanding: Math.max(0, it.outstanding + change) })),
    noteLoad: (url, load) =>
      update(url, (it) =>
        it.upstream === undefined ? it : { ...it, upstream: { ...it.upstream, ...load } },
      ),
  };
};
