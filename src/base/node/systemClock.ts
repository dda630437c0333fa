/**
 * The clocks and timers of the Node.js process.
 */
import * as perfHooks from 'node:perf_hooks';

import type * as clock from '../common/clock.js';

/** Clock backed by the machine's monotonic and wall clocks. */
export const systemClock: clock.Clock = {
  monotonicMs: () => perfHooks.performance.now(),
  wallMs: () => Date.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs);
    return { dispose: () => clearTimeout(timer) };
  },
};
