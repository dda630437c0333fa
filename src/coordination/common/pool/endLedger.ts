/**
 * Which ends that one life of a worker listed are stored without a gap: only these may be forgotten by
 * the worker, since a gap would be an end that nobody knows after the leader has died.
 */

/** The ends of one life of a worker. */
export interface EndLedger {
  /** @param sequence - an end that is being stored; they come in their order */
  readonly add: (sequence: number) => void;
  /**
   * @param sequence - an end that is stored now
   * @returns the highest end up to which all are stored
   */
  readonly note: (sequence: number) => number;
}

/**
 * @returns a ledger without ends
 */
export const createEndLedger = (): EndLedger => {
  const open = new Set<number>();
  let highest = 0;
  return {
    add: (sequence) => {
      open.add(sequence);
      highest = Math.max(highest, sequence);
    },
    note: (sequence) => {
      open.delete(sequence);
      return open.size === 0 ? highest : Math.min(...open) - 1;
    },
  };
};
