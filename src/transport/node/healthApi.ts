/**
 * Health, readiness and metrics endpoints that every program serves to the platform.
 */
import type * as metrics from '../../base/common/metrics.js';
import * as httpServer from './httpServer.js';

/** Sources of the health and metrics replies. */
export interface HealthOptions {
  /** Why the process should receive no traffic now; undefined if it is ready. */
  readonly notReadyReason: () => string | undefined;
  readonly metrics: metrics.Metrics;
  /** Problems that don't stop the process from serving; listed in the readiness reply. */
  readonly warnings?: () => readonly string[];
}

/**
 * @param options - sources of the replies
 * @param request - a request
 * @returns the reply, or undefined if the path is not one of these endpoints
 */
export const answerHealth = (
  options: HealthOptions,
  request: httpServer.ServerRequest,
): httpServer.ServerReply | undefined => {
  switch (request.path) {
    case '/healthz':
      return { status: 200, headers: { 'content-type': 'text/plain' }, body: 'ok\n' };
    case '/readyz': {
      const reason = options.notReadyReason();
      const status = reason === undefined ? 200 : 503;
      const warnings = (options.warnings?.() ?? []).map((it) => `warning: ${it}\n`);
      const body = [`${reason ?? 'ready'}\n`, ...warnings].join('');
      return { status, headers: { 'content-type': 'text/plain' }, body };
    }
    case '/metrics':
      return {
        status: 200,
        headers: { 'content-type': 'text/plain; version=0.0.4' },
        body: options.metrics.render(),
      };
    default:
      return undefined;
  }
};
