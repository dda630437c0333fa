/**
 * Keys of the system's records in the platform's store.
 */

/**
 * Prefix of the records whose changes every entry and scheduler must see immediately. They are small
 * and rarely written, so that one long-polling watch per process covers them.
 */
export const LIVE_PREFIX = 'live/';

/** The active configuration. */
export const CONFIGURATION_KEY = `${LIVE_PREFIX}configuration`;

/** Prefix of earlier configuration versions. */
export const CONFIGURATION_HISTORY_PREFIX = 'configuration-history/';

/** Prefix of the leased keys by which entries and schedulers discover each other. */
export const PROCESS_PREFIX = `${LIVE_PREFIX}processes/`;

/** Prefix of the cells' leadership records. */
export const LEADER_PREFIX = `${LIVE_PREFIX}leaders/`;

/** Prefix of the leased keys that exist while a cell's leader is alive. */
export const LEADER_LEASE_PREFIX = `${LIVE_PREFIX}leader-leases/`;

const VERSION_DIGITS = 9;

/**
 * @param version - configuration version
 * @returns the key of its record; keys sort in the order of versions
 */
export const configurationHistoryKey = (version: number): string =>
  CONFIGURATION_HISTORY_PREFIX + String(version).padStart(VERSION_DIGITS, '0');

/**
 * @param role - `entry` or `scheduler`
 * @param processId - id from the settings
 * @returns the leased key by which the process is discovered
 */
export const processKey = (role: string, processId: string): string =>
  `${PROCESS_PREFIX}${role}/${processId}`;

/**
 * @param cell - availability zone
 * @returns the key of the cell's epoch and leader; it remains when the leader ends
 */
export const leaderKey = (cell: string): string => LEADER_PREFIX + cell;

/**
 * @param cell - availability zone
 * @returns the leased key that exists while the cell's leader is alive
 */
export const leaderLeaseKey = (cell: string): string => LEADER_LEASE_PREFIX + cell;

/**
 * @param cell - availability zone
 * @returns the key of the cell's record of its workers
 */
export const workersKey = (cell: string): string => `cells/${cell}/workers`;

/**
 * @param cell - availability zone
 * @returns the prefix of the cell's job segments
 */
export const jobsPrefix = (cell: string): string => `cells/${cell}/jobs/`;

/**
 * @param cell - availability zone
 * @param segment - number of the segment
 * @returns the key of one job segment
 */
export const jobSegmentKey = (cell: string, segment: number): string =>
  jobsPrefix(cell) + String(segment).padStart(3, '0');

/**
 * @param cell - availability zone
 * @returns the prefix of the cell's ledger
 */
export const ledgerPrefix = (cell: string): string => `cells/${cell}/ledger/`;

/**
 * @param cell - availability zone
 * @param hour - hours since the Unix epoch
 * @returns the key of the hour's entries; keys sort in the order of hours
 */
export const ledgerHourKey = (cell: string, hour: number): string =>
  ledgerPrefix(cell) + String(hour).padStart(VERSION_DIGITS, '0');

/**
 * @param cell - availability zone
 * @returns the prefix of the cell's ledger days, into which old hours are rolled up
 */
export const ledgerDaysPrefix = (cell: string): string => `cells/${cell}/ledger-days/`;

/**
 * @param cell - availability zone
 * @param day - days since the Unix epoch
 * @returns the key of the day's entries; keys sort in the order of days
 */
export const ledgerDayKey = (cell: string, day: number): string =>
  ledgerDaysPrefix(cell) + String(day).padStart(VERSION_DIGITS, '0');

const DAY_DIGITS = 6;

/**
 * @param cell - availability zone
 * @param day - days since the Unix epoch
 * @param part - number of the part, starting at 0
 * @returns the key of one part of the day's archive of ended jobs
 */
export const jobArchiveKey = (cell: string, day: number, part: number): string =>
  `cells/${cell}/job-archive/${String(day).padStart(DAY_DIGITS, '0')}/${part}`;

/**
 * @param hour - hours since the Unix epoch
 * @returns the prefix of the hour's service-level counts of all processes
 */
export const serviceLevelPrefix = (hour: number): string =>
  `service-levels/${String(hour).padStart(VERSION_DIGITS, '0')}/`;

/**
 * @param hour - hours since the Unix epoch
 * @param writerId - id of one incarnation of one process
 * @returns the key of that process's counts in the hour
 */
export const serviceLevelKey = (hour: number, writerId: string): string =>
  serviceLevelPrefix(hour) + writerId;
