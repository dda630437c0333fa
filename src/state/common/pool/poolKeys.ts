/**
 * Keys of the pool's records in the platform's store.
 */

/** What the leader watches: jobs as they come, cancellations, agents and leadership. */
export const LIVE = 'auburnlift/live/';

/** Jobs as they were accepted, and their cancellations. */
export const JOBS = 'auburnlift/live/jobs/';

/** Leased entries of agents. */
export const AGENTS = 'auburnlift/live/agents/';

/** The two records of leadership. */
export const LEADERSHIP = 'auburnlift/live/leadership/';

/** Leased: stands while the leader is alive. */
export const LEADER = `${LEADERSHIP}leader`;

/** A number that only rises; each take-over takes the next one. */
export const EPOCH = `${LEADERSHIP}epoch`;

/** Jobs' progress, written by the leader alone; outside of what it watches. */
export const PROGRESS = 'auburnlift/progress/';

/** Leased entries of entries and schedulers, for each other; outside of what the leader watches. */
export const PEERS = 'auburnlift/peers/';

/** Programs that others find by a leased entry. */
export const PeerRole = { entry: 'entry', scheduler: 'scheduler' } as const;

/** One of the values of {@link PeerRole}. */
export type PeerRole = (typeof PeerRole)[keyof typeof PeerRole];

/**
 * @param role - which program
 * @param nodeId - its machine
 * @returns the key of its leased entry
 */
export const peerKey = (role: PeerRole, nodeId: string): string => `${PEERS}${role}/${nodeId}`;

/** What a record of a job holds. */
export const JobPart = { spec: 'spec', cancel: 'cancel' } as const;

/** One of the values of {@link JobPart}. */
export type JobPart = (typeof JobPart)[keyof typeof JobPart];

/**
 * @param jobId - a job
 * @returns the prefix of its records
 */
export const jobPrefix = (jobId: string): string => `${JOBS}${jobId}/`;

/**
 * @param jobId - a job
 * @param part - which record
 * @returns its key
 */
export const jobKey = (jobId: string, part: JobPart): string => `${jobPrefix(jobId)}${part}`;

/** A job's key, taken apart. */
export interface ParsedJobKey {
  readonly jobId: string;
  readonly part: string;
}

/**
 * @param key - a key of the store
 * @returns its parts, or undefined where it is no key of a job
 */
export const parseJobKey = (key: string): ParsedJobKey | undefined => {
  if (!key.startsWith(JOBS)) return undefined;
  const [jobId, part, ...rest] = key.slice(JOBS.length).split('/');
  if (jobId === undefined || part === undefined || rest.length > 0) return undefined;
  return { jobId, part };
};

/**
 * @param agentId - an agent
 * @returns the key of its entry
 */
export const agentKey = (agentId: string): string => `${AGENTS}${agentId}`;

/**
 * @param jobId - a job
 * @returns the key of its progress
 */
export const progressKey = (jobId: string): string => `${PROGRESS}${jobId}`;
