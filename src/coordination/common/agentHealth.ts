/**
 * What an entry thinks of one agent from its own exchanges with it: penalty for errors, ejection of
 * outliers, waiting after a failed connection and a slow start. All of it decays, so that an agent
 * that has recovered is used again without anyone's help.
 */

/** One entry's experience with one agent. */
export interface AgentHealth {
  /** Smoothed part of the exchanges that failed, as of `notedAtMs`. */
  readonly errorShare: number;
  readonly notedAtMs: number;
  readonly failuresInRow: number;
  /** No request goes there before this moment. */
  readonly avoidUntilMs: number;
  /** How often in a row it was avoided; doubles the time. */
  readonly avoidances: number;
  /** When this boot of the agent became known. */
  readonly knownSinceMs: number;
}

/** Weight of the newest exchange in the smoothed share of errors. */
const SMOOTHING = 0.2;

/** The share of errors halves in this time without exchanges, so that the agent is tried again. */
const HALF_LIFE_MS = 5000;

/** Wait that an agent is charged whose exchanges all fail; several service times. */
const ERROR_PENALTY_MS = 2000;

/** Failures in a row that no healthy agent shows by chance. */
const EJECTION_FAILURES = 5;

const FIRST_AVOIDANCE_MS = 1000;
const LONGEST_AVOIDANCE_MS = 30_000;

/** A new agent takes a growing part of the load for this time: caches and connections are cold. */
const SLOW_START_MS = 10_000;

/** Smallest part that a new agent takes. */
const SLOW_START_SHARE = 0.1;

/**
 * @param nowMs - when the agent became known
 * @returns its health without any exchange
 */
export const newHealth = (nowMs: number): AgentHealth => ({
  errorShare: 0,
  notedAtMs: nowMs,
  failuresInRow: 0,
  avoidUntilMs: 0,
  avoidances: 0,
  knownSinceMs: nowMs,
});

/** A smaller share counts as none: any penalty at all would keep an idle agent from being tried. */
const FORGOTTEN_SHARE = 0.01;

const errorShareAt = (health: AgentHealth, nowMs: number): number => {
  const share = health.errorShare * 0.5 ** ((nowMs - health.notedAtMs) / HALF_LIFE_MS);
  return share < FORGOTTEN_SHARE ? 0 : share;
};

/**
 * @param health - health so far
 * @param nowMs - monotonic time
 * @returns health after an exchange that went well
 */
export const afterSuccess = (health: AgentHealth, nowMs: number): AgentHealth => ({
  ...health,
  errorShare: errorShareAt(health, nowMs) * (1 - SMOOTHING),
  notedAtMs: nowMs,
  failuresInRow: 0,
  avoidances: 0,
});

const avoid = (health: AgentHealth, nowMs: number): AgentHealth => {
  const durationMs = Math.min(LONGEST_AVOIDANCE_MS, FIRST_AVOIDANCE_MS * 2 ** health.avoidances);
  return { ...health, avoidUntilMs: nowMs + durationMs, avoidances: health.avoidances + 1 };
};

/**
 * @param health - health so far
 * @param nowMs - monotonic time
 * @param mayEject - whether the cap on ejected agents leaves room for one more
 * @returns health after an answer that tells of a failure
 */
export const afterFailure = (
  health: AgentHealth,
  nowMs: number,
  mayEject: boolean,
): AgentHealth => {
  const noted = {
    ...health,
    errorShare: errorShareAt(health, nowMs) * (1 - SMOOTHING) + SMOOTHING,
    notedAtMs: nowMs,
    failuresInRow: health.failuresInRow + 1,
  };
  return mayEject && noted.failuresInRow >= EJECTION_FAILURES ? avoid(noted, nowMs) : noted;
};

/**
 * An agent that does not answer at all is avoided whatever the cap says: a request sent there is
 * surely lost time. It stays known, since it may be alive for others and come back.
 *
 * @param health - health so far
 * @param nowMs - monotonic time
 * @returns health after a connection that failed or stayed silent
 */
export const afterSilence = (health: AgentHealth, nowMs: number): AgentHealth =>
  avoid(afterFailure(health, nowMs, false), nowMs);

/**
 * @param health - health
 * @param nowMs - monotonic time
 * @returns whether requests keep away from the agent
 */
export const isAvoided = (health: AgentHealth, nowMs: number): boolean =>
  health.avoidUntilMs > nowMs;

/**
 * @param health - health
 * @param nowMs - monotonic time
 * @returns what is added to the agent's expected wait
 */
export const penaltyMs = (health: AgentHealth, nowMs: number): number =>
  errorShareAt(health, nowMs) * ERROR_PENALTY_MS;

/**
 * @param health - health
 * @param nowMs - monotonic time
 * @returns part of a full load that the agent may take, above 0 to 1
 */
export const startShare = (health: AgentHealth, nowMs: number): number => {
  const grown = (nowMs - health.knownSinceMs) / SLOW_START_MS;
  return Math.min(1, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * grown);
};
