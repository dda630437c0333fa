/**
 * Runs that a leader has seen done and that are not stored yet, kept by its process beyond its term.
 *
 * Load it answers: the store is away for everybody for seconds, work ends meanwhile, and its workers are lost
 * before the store is back. A leader that comes back would begin that work again.
 */

/** A run that was done. */
export interface DoneRun {
  /** The task's name. */
  readonly task: string;
  readonly run: number;
}

/** Done runs that are not stored yet. */
export interface DoneRuns {
  readonly add: (done: DoneRun) => void;
  /** It is stored now. */
  readonly remove: (done: DoneRun) => void;
  readonly all: () => readonly DoneRun[];
}

/**
 * @returns no runs
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
