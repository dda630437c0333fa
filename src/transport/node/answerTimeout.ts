/**
 * How long an exchange waits for its answer: until it begins, and then from piece to piece.
 *
 * Guards against an answer that is longer than a line carries in the time given: begun again from its first
 * byte each time, it never arrives, and keeps the line full for everybody else.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import type * as http from '../../base/common/http.js';

/** The wait for one answer. */
export interface AnswerTimeout extends disposable.Disposable {
  /** A piece of the answer has come. */
  readonly noteArrival: () => void;
}

const MS_PER_S = 1000;

/**
 * @param time - the clock
 * @param request - how long the wait may be, and what is sent before it
 * @param onExpire - called once where the wait is over, unless it was disposed before
 * @returns the wait, which has begun
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
    noteArrival: () => {
      if (transfer === undefined) return;
      const nowMs = time.monotonicMs();
      endMs ??= nowMs + transfer.maxMs;
      void timer.dispose();
      timer = time.after(Math.min(transfer.maxPauseMs, Math.max(0, endMs - nowMs)), onExpire);
    },
    dispose: () => timer.dispose(),
  };
};
