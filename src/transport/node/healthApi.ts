/**
 * What every program answers to the platform: health, readiness and metrics.
 */
import type * as metrics from '../../base/common/metrics.js';
import * as httpServer from './httpServer.js';

/** What health is told from. */
export interface HealthOptions {
  /** Why the process should get no traffic now; undefined where it should. */
  readonly notReadyReason: () => string | undefined;
  readonly metrics: metrics.Metrics;
  /** What is wrong although the process serves; told beside its readiness. */
  readonly warnings?: () => readonly string[];
}

/**
 * @param options - what health is told from
 * @param request - a request
 * @returns the answer, or undefined where the path is none of these
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
