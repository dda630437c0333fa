/**
 * Bounds and guards of one exploration of leadership.
 */

/** Guards of the protocol. Disabling one shows that the exploration would find the fault. */
export interface Guards {
  readonly isFencing: boolean;
  readonly isMajorityNeeded: boolean;
  readonly isPreviousLeaseAwaited: boolean;
}

/** Bounds of one exploration. */
export interface Scenario {
  readonly members: number;
  readonly maxTicks: number;
  /** Whether the first placement is initially committed, with its starts in flight. */
  readonly isCommitted: boolean;
  /** Whether a second leader may take over once the first one's lease in the store has expired. */
  readonly hasTakeOver: boolean;
  readonly maxAttempts: number;
  readonly maxRestarts: number;
  readonly hasCancel: boolean;
  /** Whether the first worker's reports and fences may lose their answers. */
  readonly hasLostReports: boolean;
  readonly guards: Guards;
}
