/**
 * Reports how each request to an upstream ended, including requests refused at the ingress.
 */
import type * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import type * as serviceLevelCounters from '../../coordination/common/serviceLevelCounters.js';
import * as callerApi from './callerApi.js';
import type * as httpServer from './httpServer.js';

const isUpstreamRequest = (path: string): boolean =>
  path === callerApi.CALL_PREFIX || path.startsWith(`${callerApi.CALL_PREFIX}/`);

/**
 * @param handler - the callers' API
 * @param timeSource - clock
 * @param onRequestEnd - called once per finished request to an upstream
 * @returns a handler with the same replies and errors that also reports each request's end
 */
export const observeCalls =
  (
    handler: httpServer.Handler,
    timeSource: clock.Clock,
    onRequestEnd: (end: serviceLevelCounters.RequestEnd) => void,
  ): httpServer.Handler =>
  async (request) => {
    if (!isUpstreamRequest(request.path)) return handler(request);
    const startedMs = timeSource.monotonicMs();
    const reportEnd = (error: serviceLevelCounters.RequestEnd['error']): void => {
      const customerId = String(request.headers['auburnlift-customer'] ?? '');
      onRequestEnd({ customerId, tookMs: timeSource.monotonicMs() - startedMs, error });
    };
    try {
      const reply = await handler(request);
      reportEnd(undefined);
      return reply;
    } catch (thrown) {
      reportEnd(errors.normalize(thrown).kind);
      throw thrown;
    }
  };
