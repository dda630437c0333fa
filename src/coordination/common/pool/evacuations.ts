/**
 * Zones that the operators evacuate: what runs there continues, and nothing starts there.
 *
 * Guards against a start by a leader that has not received an evacuation, because its watch is lost, it is new, or it is
 * cut off: each start is sent with a time until which the leader's knowledge suffices, and refused afterwards.
 */

/** Evacuated zones as a leader knows them. */
export interface Evacuations {
  /** Always the same set; its content changes. */
  readonly zones: ReadonlySet<string>;
  /**
   * Leader's clock until which a start outside these zones is certainly allowed, however many zones have been evacuated
   * since; -Infinity before the first reading, Infinity where zones are never evacuated.
   */
  readonly startsUntilMs: () => number;
}

/** The evacuations of a deployment whose zones are never evacuated. */
export const NO_EVACUATIONS: Evacuations = {
  zones: new Set(),
  startsUntilMs: () => Infinity,
};
