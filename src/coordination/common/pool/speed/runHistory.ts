/**
 * The last runs of one worker with their times, in fixed memory: as objects, those of 670 workers took 3.3 MB.
 */
import type * as speedModel from './speedModel.js';

/** The last runs of one worker. */
export interface RunHistory {
  /** Hash of each run's name and of its step's. */
  readonly keys: Uint32Array;
  /** Logarithms of each run's time and of its expected time. */
  readonly logs: Float32Array;
  /** Runs recorded so far; the place of the next one follows from it. */
  recorded: number;
}

/** Runs remembered of each worker: enough for an error of a tenth. */
const MAX_RUNS = 12;

/** Numbers for each run, in both arrays. */
const STRIDE = 2;

/**
 * @returns a history without runs
 */
export const createRunHistory = (): RunHistory => ({
  keys: new Uint32Array(STRIDE * MAX_RUNS),
  logs: new Float32Array(STRIDE * MAX_RUNS),
  recorded: 0,
});

/**
 * @param history - a worker's history
 * @returns the number of runs in it
 */
export const countRuns = ({ recorded }: RunHistory): number => Math.min(recorded, MAX_RUNS);

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The 32-bit FNV-1a hash: two of some thousand keys are hardly ever alike, and then two steps count as one. */
const hashOf = (text: string): number => {
  /* eslint-disable no-bitwise -- the hash is defined by its bit operations */
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
  /* eslint-enable no-bitwise */
};

const placeOf = (history: RunHistory, runHash: number): number => {
  for (let index = 0; index < countRuns(history); index += 1) {
    if (history.keys[STRIDE * index] === runHash) return index;
  }
  history.recorded += 1;
  return (history.recorded - 1) % MAX_RUNS;
};

/**
 * Records a run, or replaces what was recorded of it; the run that was first recorded longest ago makes room for it.
 *
 * @param history - a worker's history
 * @param runKey - identifies the run
 * @param stepKey - identifies its step
 * @param task - logarithms of its time and of its expected time
 */
export const recordRun = (
  history: RunHistory,
  runKey: string,
  stepKey: string,
  task: Omit<speedModel.TimedTask, 'stepKey'>,
): void => {
  const runHash = hashOf(runKey);
  const index = placeOf(history, runHash);
  history.keys[STRIDE * index] = runHash;
  history.keys[STRIDE * index + 1] = hashOf(stepKey);
  history.logs[STRIDE * index] = task.logTime;
  history.logs[STRIDE * index + 1] = task.logExpected;
};

/**
 * @param history - a worker's history
 * @returns its runs
 */
export const tasksOf = (history: RunHistory): speedModel.TimedTask[] =>
  Array.from({ length: countRuns(history) }, (_, index) => ({
    stepKey: history.keys[STRIDE * index + 1] ?? 0,
    logTime: history.logs[STRIDE * index] ?? 0,
    logExpected: history.logs[STRIDE * index + 1] ?? 0,
  }));
