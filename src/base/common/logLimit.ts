/**
 * Limits log lines of the same kind, so that a flood of one kind leaves room for the others.
 */
import type * as logging from './logging.js';

/** Writes a line unless its kind has had its lines of this second; the next one tells how many were left out. */
export type LimitedLog = (kind: string, maxPerS: number, ...line: Parameters<logging.Log>) => void;

interface Window {
  startMs: number;
  lines: number;
  leftOut: number;
}

const WINDOW_MS = 1000;

/**
 * @param log - where lines are written
 * @param nowMs - monotonic time
 * @param onDidLeaveOut - called for each line that is left out
 * @returns the limited log; the caller keeps the number of kinds small
 */
export const createLogLimit = (
  log: logging.Log,
  nowMs: () => number,
  onDidLeaveOut: () => void,
): LimitedLog => {
  const windows = new Map<string, Window>();
  return (kind, maxPerS, level, event, fields = {}) => {
    const now = nowMs();
    const window = windows.get(kind) ?? { startMs: now, lines: 0, leftOut: 0 };
    windows.set(kind, window);
    if (now - window.startMs >= WINDOW_MS) {
      window.startMs = now;
      window.lines = 0;
    }
    if (window.lines >= maxPerS) {
      window.leftOut += 1;
      onDidLeaveOut();
      return;
    }
    window.lines += 1;
    const { leftOut } = window;
    window.leftOut = 0;
    log(level, event, leftOut === 0 ? fields : { ...fields, linesLeftOut: leftOut });
  };
};
