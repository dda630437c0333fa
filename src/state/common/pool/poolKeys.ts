/**
 * Keys of the pool's records in the platform's store.
 */

/** Prefix that the leader watches: new jobs, cancellations, agents and leadership. */
export const LIVE = 'auburnlift/live/';

/** Prefix of the accepted jobs and their cancellations. */
export const JOBS = 'auburnlift/live/jobs/';

/** Prefix of the agents' leased records. */
export const AGENTS = 'auburnlift/live/agents/';

/** Prefix of the two leadership records. */
export const LEADERSHIP = 'auburnlift/live/leadership/';

/** Leased key that exists while the leader is alive. */
export const LEADER = `${LEADERSHIP}leader`;

/** Key of the leader epoch, a number that increases with each takeover. */
export const EPOCH = `${LEADERSHIP}epoch`;

/** Prefix of the jobs' progress, written only by the leader; outside the prefix that it watches. */
export const PROGRESS = 'auburnlift/progress/';

/** Prefix of the leased records for discovery among entries and schedulers; the leader doesn't watch it. */
export const PEERS = 'auburnlift/peers/';

/** Programs that are discovered by a leased record. */
export const PeerRole = { entry: 'entry', scheduler: 'scheduler' } as const;

/** One of the values of {@link PeerRole}. */
export type PeerRole = (typeof PeerRole)[keyof typeof PeerRole];

/**
 * @param role - which program
 * @param nodeId - its machine
 * @returns the key of its leased record
 */
export const peerKey = (role: PeerRole, nodeId: string): string => `${PEERS}${role}/${nodeId}`;

/** Content of a job's record. */
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

/** The parts of a job's key. */
export interface ParsedJobKey {
  readonly jobId: string;
  readonly part: string;
}

/**
 * @param key - a key of the store
 * @returns its parts, or undefined if it is not a job's key
 */
export const parseJobKey = (key: string): ParsedJobKey | undefined => {
  if (!key.startsWith(JOBS)) return undefined;
  const [jobId, part, ...rest] = key.slice(JOBS.length).split('/');
  if (jobId === undefined || part === undefined || rest.length > 0) return undefined;
  return { jobId, part };
};

/**
 * @param agentId - an agent
 * @returns the key of its record
 */
export const agentKey = (agentId: string): string => `${AGENTS}${agentId}`;

/**
 * @param jobId - a job
 * @returns the key of its progress
 */
export const progressKey = (jobId: string): string => `${PROGRESS}${jobId}`;
