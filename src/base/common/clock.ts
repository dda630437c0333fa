/**
 * Clock interface for dependency injection. Durations use only the monotonic clock; wall time is for people
 * and for the ledger's hours.
 */
import type * as disposable from './disposable.js';

/** The two clocks and the timers of a process, or of a test that advances them. */
export interface Clock {
  /** Monotonic milliseconds; never decreases and is unrelated to the date. */
  readonly monotonicMs: () => number;
  /** Milliseconds since the Unix epoch; may jump. */
  readonly wallMs: () => number;
  /** Calls back once after the delay, unless disposed before. */
  readonly after: (delayMs: number, callback: () => void) => disposable.Disposable;
}

/** Both clocks, read at the same instant. */
export interface ClockReadings {
  readonly monotonicMs: number;
  /** Unix milliseconds. */
  readonly wallMs: number;
}

/**
 * @param clock - the clock
 * @returns the current instant on both clocks
 */
export const readClocks = (clock: Pick<Clock, 'monotonicMs' | 'wallMs'>): ClockReadings => ({
  monotonicMs: clock.monotonicMs(),
  wallMs: clock.wallMs(),
});

/**
 * @param clock - the clock
 * @param durationMs - how long to wait
 * @returns a promise that resolves after the duration
 */
export const sleep = (clock: Pick<Clock, 'after'>, durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.after(durationMs, resolve);
  });

/** A clock that advances only when a test calls it. */
export interface FakeClock extends Clock {
  /** Advances both clocks and runs the due callbacks in order of time. */
  readonly advance: (durationMs: number) => Promise<void>;
}

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly callback: () => void;
}

const byTime = (a: Timer, b: Timer): number => a.atMs - b.atMs || a.order - b.order;

/** Microtask turns in which promises settle between two fake timers. */
const SETTLE_TURNS = 20;

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await Promise.resolve();
};

/**
 * @param startMs - initial value of both clocks
 * @returns a clock for tests
 */
export const createFakeClock = (startMs = 0): FakeClock => {
  let nowMs = startMs;
  let order = 0;
  let timers: Timer[] = [];
  const takeDue = (untilMs: number): Timer | undefined => {
    timers.sort(byTime);
    const [first] = timers;
    if (first === undefined || first.atMs > untilMs) return undefined;
    timers = timers.slice(1);
    return first;
  };
  return {
    monotonicMs: () => nowMs,
    wallMs: () => nowMs,
    after: (delayMs, callback) => {
      order += 1;
      const timer = { atMs: nowMs + Math.max(0, delayMs), order, callback };
      timers.push(timer);
      return {
        dispose: () => {
          timers = timers.filter((it) => it !== timer);
        },
      };
    },
    advance: async (durationMs) => {
      const untilMs = nowMs + durationMs;
      await settle();
      for (let due = takeDue(untilMs); due !== undefined; due = takeDue(untilMs)) {
        nowMs = Math.max(nowMs, due.atMs);
        due.callback();
        await settle();
      }
      nowMs = untilMs;
    },
  };
};
