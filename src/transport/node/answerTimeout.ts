/**
 * Timeout of an HTTP response: first until its first bytes arrive, then between chunks.
 *
 * With one fixed timeout, a response too long for the link never arrives: each retry starts again at the
 * first byte, and the retries use up the link's bandwidth for all other traffic.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import type * as http from '../../base/common/http.js';

/** Running timeout of one response. */
export interface AnswerTimeout extends disposable.Disposable {
  /** Restarts the timeout when a chunk arrives; without `transfer` limits it does nothing. */
  readonly recordArrival: () => void;
}

const MS_PER_S = 1000;

/**
 * @param time - the clock
 * @param request - time limits, and the request body, whose sending time is added if `transfer` is set
 * @param onExpire - called once when the timeout expires, unless it is disposed first
 * @returns the timeout, already running
 */
export const startAnswerTimeout = (
  time: clock.Clock,
  request: Pick<http.HttpRequest, 'timeoutMs' | 'transfer' | 'body'>,
  onExpire: () => void,
): AnswerTimeout => {
  const { timeoutMs, transfer, body } = request;
  const sendingMs =
    transfer === undefined ? 0 : (body.byteLength * MS_PER_S) / transfer.minBytesPerS;
  let timer = time.after(timeoutMs + sendingMs, onExpire);
  let endMs: number | undefined;
  return {
    recordArrival: () => {
      if (transfer === undefined) return;
      const nowMs = time.monotonicMs();
      endMs ??= nowMs + transfer.maxMs;
      void timer.dispose();
      timer = time.after(Math.min(transfer.maxPauseMs, Math.max(0, endMs - nowMs)), onExpire);
    },
    dispose: () => timer.dispose(),
  };
};
