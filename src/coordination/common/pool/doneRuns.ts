/**
 * Runs that are known to be done but not stored yet; a process keeps them beyond its term as leader.
 *
 * Without it, if the store is unavailable for seconds and workers are lost after their runs are done, a
 * process that becomes leader again would start the same work again.
 */

/** A run that is done. */
export interface DoneRun {
  /** The task's name. */
  readonly task: string;
  readonly run: number;
}

/** Done runs that are not stored yet. */
export interface DoneRuns {
  readonly add: (done: DoneRun) => void;
  /** Removes a run whose end has been stored. */
  readonly remove: (done: DoneRun) => void;
  readonly all: () => readonly DoneRun[];
}

/**
 * @returns an empty collection
 */
export const createDoneRuns = (): DoneRuns => {
  const runs = new Map<string, DoneRun>();
  return {
    add: (done) => runs.set(done.task, done),
    remove: (done) => {
      if (runs.get(done.task)?.run === done.run) runs.delete(done.task);
    },
    all: () => [...runs.values()],
  };
};
