/**
 * Which jobs' progress records are due to be written, and from when on each may be.
 *
 * A record that is large, or that the store refuses, would hold up all others if it were written again as soon as it is
 * due. It waits for its pause, and is written alone.
 */

/** Jobs that are due, each with what waits for its record. */
export interface DueRecords<TWaiter> {
  /** @param waiters - wait for a state of the job's record that is not older than now */
  readonly add: (jobId: string, waiters: readonly TWaiter[]) => void;
  /** @returns what waits for a job that is due; undefined for one that is not */
  readonly waitersOf: (jobId: string) => TWaiter[] | undefined;
  /**
   * @param maxJobs - at most so many jobs
   * @returns the next jobs that may be written together, which are then no longer due
   */
  readonly take: (nowMs: number, maxJobs: number) => TakenRecord<TWaiter>[];
  /** From now on the job's record is written alone. */
  readonly writeAlone: (jobId: string) => void;
  /** The job's record is not written before this time. */
  readonly pause: (jobId: string, untilMs: number) => void;
  /** The job's record is an ordinary one again. */
  readonly forget: (jobId: string) => void;
  /** @returns when the next record may be written; infinite where none is due */
  readonly nextAtMs: () => number;
  readonly clear: () => void;
}

/** A job that is taken to be written. */
export interface TakenRecord<TWaiter> {
  readonly jobId: string;
  readonly waiters: readonly TWaiter[];
}

/**
 * @returns no job is due
 */
export const createDueRecords = <TWaiter>(): DueRecords<TWaiter> => {
  const due = new Map<string, TWaiter[]>();
  const alone = new Set<string>();
  const pausedUntilMs = new Map<string, number>();

  const mayBeWritten = (jobId: string, nowMs: number): boolean =>
    (pausedUntilMs.get(jobId) ?? -Infinity) <= nowMs;

  return {
    add: (jobId, waiters) => {
      const known = due.get(jobId);
      if (known === undefined) due.set(jobId, [...waiters]);
      else known.push(...waiters);
    },
    waitersOf: (jobId) => due.get(jobId),
    take: (nowMs, maxJobs) => {
      const taken: TakenRecord<TWaiter>[] = [];
      for (const [jobId, waiters] of due) {
        if (taken.length === maxJobs) break;
        const isAlone = alone.has(jobId);
        if (mayBeWritten(jobId, nowMs) && (!isAlone || taken.length === 0)) {
          due.delete(jobId);
          taken.push({ jobId, waiters });
          if (isAlone) break;
        }
      }
      return taken;
    },
    writeAlone: (jobId) => alone.add(jobId),
    pause: (jobId, untilMs) => pausedUntilMs.set(jobId, untilMs),
    forget: (jobId) => {
      alone.delete(jobId);
      pausedUntilMs.delete(jobId);
    },
    nextAtMs: () => {
      let nextMs = Infinity;
      for (const jobId of due.keys()) {
        nextMs = Math.min(nextMs, pausedUntilMs.get(jobId) ?? -Infinity);
      }
      return nextMs;
    },
    clear: () => due.clear(),
  };
};
