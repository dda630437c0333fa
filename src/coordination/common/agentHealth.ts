/**
 * Health of one agent as seen in an entry's own exchanges with it: penalty for errors, ejection of
 * outliers, backoff after a failed connection and a slow start. All of it decays, so that an agent
 * that has recovered is used again without intervention.
 */

/** One entry's experience with one agent. */
export interface AgentHealth {
  /** Smoothed fraction of failed exchanges at the time of the last one. */
  readonly errorShare: number;
  readonly notedAtMs: number;
  readonly failuresInRow: number;
  /** No request goes there before this time. */
  readonly avoidUntilMs: number;
  /** Consecutive avoidances; each doubles the duration. */
  readonly consecutiveAvoidances: number;
  /** When this boot of the agent became known. */
  readonly knownSinceMs: number;
}

/** Weight of the newest exchange in the smoothed share of errors. */
const SMOOTHING = 0.2;

/** Half-life of the error share while there are no exchanges, so that the agent is tried again. */
const HALF_LIFE_MS = 5000;

/** Added to the expected wait of an agent whose exchanges all fail; several service times. */
const ERROR_PENALTY_MS = 2000;

/** Consecutive failures that a healthy agent does not reach by chance. */
const EJECTION_FAILURES = 5;

const FIRST_AVOIDANCE_MS = 1000;
const LONGEST_AVOIDANCE_MS = 30_000;

/** Ramp-up time of a new agent, whose caches and connections are cold. */
const SLOW_START_MS = 10_000;

/** Share of a full load with which a new agent starts. */
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
  consecutiveAvoidances: 0,
  knownSinceMs: nowMs,
});

/** A smaller share counts as 0: any penalty at all would keep an idle agent from being tried. */
const NEGLIGIBLE_ERROR_SHARE = 0.01;

const errorShareAt = (health: AgentHealth, nowMs: number): number => {
  const share = health.errorShare * 0.5 ** ((nowMs - health.notedAtMs) / HALF_LIFE_MS);
  return share < NEGLIGIBLE_ERROR_SHARE ? 0 : share;
};

/**
 * @param health - health so far
 * @param nowMs - monotonic time
 * @returns health after a successful exchange
 */
export const afterSuccess = (health: AgentHealth, nowMs: number): AgentHealth => ({
  ...health,
  errorShare: errorShareAt(health, nowMs) * (1 - SMOOTHING),
  notedAtMs: nowMs,
  failuresInRow: 0,
  consecutiveAvoidances: 0,
});

const avoid = (health: AgentHealth, nowMs: number): AgentHealth => {
  const durationMs = Math.min(
    LONGEST_AVOIDANCE_MS,
    FIRST_AVOIDANCE_MS * 2 ** health.consecutiveAvoidances,
  );
  return {
    ...health,
    avoidUntilMs: nowMs + durationMs,
    consecutiveAvoidances: health.consecutiveAvoidances + 1,
  };
};

/**
 * @param health - health so far
 * @param nowMs - monotonic time
 * @param mayEject - whether the cap on ejected agents allows one more
 * @returns health after an answer that reports a failure
 */
export const afterFailure = (
  health: AgentHealth,
  nowMs: number,
  mayEject: boolean,
): AgentHealth => {
  const updated = {
    ...health,
    errorShare: errorShareAt(health, nowMs) * (1 - SMOOTHING) + SMOOTHING,
    notedAtMs: nowMs,
    failuresInRow: health.failuresInRow + 1,
  };
  return mayEject && updated.failuresInRow >= EJECTION_FAILURES ? avoid(updated, nowMs) : updated;
};

/**
 * An agent that does not respond at all is avoided regardless of the cap: a request sent there only
 * loses time. It stays in the directory, since it may be reachable for others and may recover.
 *
 * @param health - health so far
 * @param nowMs - monotonic time
 * @returns health after a connection that failed or got no response
 */
export const afterNoResponse = (health: AgentHealth, nowMs: number): AgentHealth =>
  avoid(afterFailure(health, nowMs, false), nowMs);

/**
 * @param health - health
 * @param nowMs - monotonic time
 * @returns whether requests avoid the agent
 */
export const isAvoided = (health: AgentHealth, nowMs: number): boolean =>
  health.avoidUntilMs > nowMs;

/**
 * @param health - health
 * @param nowMs - monotonic time
 * @returns penalty to add to the agent's expected wait
 */
export const penaltyMs = (health: AgentHealth, nowMs: number): number =>
  errorShareAt(health, nowMs) * ERROR_PENALTY_MS;

/**
 * @param health - health
 * @param nowMs - monotonic time
 * @returns fraction of a full load that the agent may take, above 0 and at most 1
 */
export const startShare = (health: AgentHealth, nowMs: number): number => {
  const grown = (nowMs - health.knownSinceMs) / SLOW_START_MS;
  return Math.min(1, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * grown);
};
