/**
 * Tracks which run ends reported by one worker incarnation are stored without a gap. The worker forgets
 * what is acknowledged, so an end acknowledged before it is stored would be lost if the leader died.
 */

/** The run ends that one worker incarnation has reported. */
export interface EndTracker {
  /** @param sequence - an end that is being stored; ends are added in ascending order */
  readonly add: (sequence: number) => void;
  /**
   * @param sequence - an end that has been stored
   * @returns the highest sequence up to which all ends are stored
   */
  readonly note: (sequence: number) => number;
}

/**
 * @returns a tracker without ends
 */
export const createEndTracker = (): EndTracker => {
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
