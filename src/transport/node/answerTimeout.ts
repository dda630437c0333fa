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

/**
 * @param time - the clock
 * @param limits - how long the wait may be
 * @param onExpire - called once where the wait is over, unless it was disposed before
 * @returns the wait, which has begun
 */
export const startAnswerTimeout = (
  time: clock.Clock,
  limits: Pick<http.HttpRequest, 'timeoutMs' | 'maxTransferMs'>,
  onExpire: () => void,
): AnswerTimeout => {
  const { timeoutMs, maxTransferMs } = limits;
  let timer = time.after(timeoutMs, onExpire);
  let endMs: number | undefined;
  return {
    noteArrival: () => {
      if (maxTransferMs === undefined) return;
      const nowMs = time.monotonicMs();
      endMs ??= nowMs + maxTransferMs;
      void timer.dispose();
      timer = time.after(Math.min(timeoutMs, Math.max(0, endMs - nowMs)), onExpire);
    },
    dispose: () => timer.dispose(),
  };
};
