/**
 * Tells how each request to an upstream ended, refusals at the door included.
 */
import type * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import type * as serviceLevelCounters from '../../coordination/common/serviceLevelCounters.js';
import * as callerApi from './callerApi.js';
import type * as httpServer from './httpServer.js';

const isCall = (path: string): boolean =>
  path === callerApi.CALL_PREFIX || path.startsWith(`${callerApi.CALL_PREFIX}/`);

/**
 * @param handler - the callers' API
 * @param timeSource - clock
 * @param note - called with each request that has ended
 * @returns the same API, observed
 */
export const observeCalls =
  (
    handler: httpServer.Handler,
    timeSource: clock.Clock,
    note: (end: serviceLevelCounters.RequestEnd) => void,
  ): httpServer.Handler =>
  async (request) => {
    if (!isCall(request.path)) return handler(request);
    const startedMs = timeSource.monotonicMs();
    const noteEnd = (error: serviceLevelCounters.RequestEnd['error']): void => {
      const customerId = String(request.headers['auburnlift-customer'] ?? '');
      note({ customerId, tookMs: timeSource.monotonicMs() - startedMs, error });
    };
    try {
      const reply = await handler(request);
      noteEnd(undefined);
      return reply;
    } catch (thrown) {
      noteEnd(errors.normalize(thrown).kind);
      throw thrown;
    }
  };
