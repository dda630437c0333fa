/**
 * Whether most workers of a pool went down together: then a rack, a zone or the power is at fault, and no task.
 */
import type * as workerTable from './workerTable.js';

/** Crashes within this time of each other are simultaneous, where agents saw them. */
export const SAME_TIME_MS = 500;

/** The same, where agents went down as well: a worker reports at least every 0.9 s, and only its last report tells. */
export const SAME_TIME_UNSEEN_MS = 1500;

/** When a worker went down, as far as it is known. */
export interface CrashTime {
  /** The leader's clock. */
  readonly atMs: number;
  /** Crashes within this time of it are simultaneous. */
  readonly toleranceMs: number;
}

/**
 * @param worker - a worker that has crashed
 * @param atMs - the leader's clock at that time
 */
export const recordCrashTime = (worker: workerTable.WorkerEntry, atMs: number): void => {
  worker.lastCrashAtMs = Math.max(worker.lastCrashAtMs ?? -Infinity, atMs);
};

const isDownToo = (
  { lastCrashAtMs, silentSinceMs, sample }: workerTable.WorkerEntry,
  { atMs, toleranceMs }: CrashTime,
  nowMs: number,
): boolean => {
  const isThen = (it: number | undefined): boolean =>
    it !== undefined && Math.abs(it - atMs) <= toleranceMs;
  // An agent that went down as well can't tell that its worker is silent.
  const isUnheardOf = sample !== undefined && nowMs - sample.atMs > SAME_TIME_UNSEEN_MS;
  const lastHeardOfMs = isUnheardOf ? sample.atMs : undefined;
  return isThen(lastCrashAtMs) || isThen(silentSinceMs ?? lastHeardOfMs);
};

/**
 * @param workers - all workers; those not heard of yet count as up
 * @param worker - a worker that has crashed
 * @param crash - when it crashed
 * @param nowMs - the leader's clock
 * @returns whether most workers of its service went down at the same time
 */
export const isWidespread = (
  workers: Iterable<workerTable.WorkerEntry>,
  worker: workerTable.WorkerEntry,
  crash: CrashTime,
  nowMs: number,
): boolean => {
  const service = worker.info?.service;
  const others = [...workers].filter(
    (it) => it !== worker && (it.info === undefined || it.info.service === service),
  );
  const down = others.filter((it) => isDownToo(it, crash, nowMs));
  return down.length > 0 && 2 * (down.length + 1) > others.length + 1;
};
