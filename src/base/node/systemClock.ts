/**
 * The process's own clocks and timers.
 */
import * as perfHooks from 'node:perf_hooks';

import type * as clock from '../common/clock.js';

/** Clocks of this machine. */
export const systemClock: clock.Clock = {
  monotonicMs: () => perfHooks.performance.now(),
  wallMs: () => Date.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs);
    return { dispose: () => clearTimeout(timer) };
  },
};
