/**
 * Bounds and guards of one exploration of leadership.
 */

/** What is left out of the guards, so that the exploration shows that it would find the fault. */
export interface Guards {
  readonly isFencing: boolean;
  readonly isMajorityNeeded: boolean;
  readonly isFormerLeaseAwaited: boolean;
}

/** Bounds of one exploration. */
export interface Scenario {
  readonly members: number;
  readonly maxTicks: number;
  /** Whether the first placement is committed and its starts are under way at the beginning. */
  readonly isCommitted: boolean;
  /** Whether a second leader may take over once the store's lease of the first has lapsed. */
  readonly hasTakeOver: boolean;
  readonly maxAttempts: number;
  readonly maxRestarts: number;
  readonly hasCancel: boolean;
  /** Whether the first worker's reports and fences may lose their answers. */
  readonly hasLostReports: boolean;
  readonly guards: Guards;
}
