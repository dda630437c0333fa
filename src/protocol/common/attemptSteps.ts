/**
 * Decides what an entry does after an exchange with an agent: the entry's half of at-most-once.
 *
 * A request that is not idempotent is retried on another agent only after proof that it never ran
 * and never will. Proof is a typed rejection, the agent's reply to a settle message, or a failure
 * to connect. A timeout, a truncated reply or a restart of the agent proves nothing.
 */
import * as errorKinds from '../../base/common/errorKinds.js';
import * as errors from '../../base/common/errors.js';
import type * as exchange from './exchange.js';

/** Result of one exchange. */
export type ExchangeResult =
  | { readonly type: 'answer'; readonly answer: exchange.Answer }
  /** An error reported by the agent, whose kind says whether the request ran. */
  | { readonly type: 'error'; readonly error: errors.AuburnliftError }
  /** No connection was established, so the agent did not receive this message. */
  | { readonly type: 'notSent'; readonly error: errors.AuburnliftError }
  /** A timeout, a truncated reply, or the reply to another attempt. */
  | { readonly type: 'noWord'; readonly error: errors.AuburnliftError };

/** The entry's next step. */
export type NextStep =
  | { readonly type: 'answer'; readonly answer: exchange.Answer }
  | { readonly type: 'fail'; readonly error: errors.AuburnliftError }
  /** It did not run there and never will, or is idempotent: retry on another agent. */
  | { readonly type: 'elsewhere'; readonly error: errors.AuburnliftError }
  /** Ask the same agent for the outcome, over a new connection. */
  | { readonly type: 'settle' };

const afterAgentError = (error: errors.AuburnliftError, isIdempotent: boolean): NextStep => {
  const didNotRun = errorKinds.ERROR_TABLE[error.kind].ran === errorKinds.Ran.no;
  return didNotRun || isIdempotent ? { type: 'elsewhere', error } : { type: 'fail', error };
};

/**
 * @param result - result of the `run` message
 * @param isIdempotent - whether a second run does no harm
 * @returns the next step
 */
export const afterRun = (result: ExchangeResult, isIdempotent: boolean): NextStep => {
  switch (result.type) {
    case 'answer':
      return result;
    case 'error':
      return afterAgentError(result.error, isIdempotent);
    case 'notSent':
      return { type: 'elsewhere', error: result.error };
    default:
      return { type: 'settle' };
  }
};

/**
 * A settle message that was not sent proves nothing: the earlier `run` message may have run.
 *
 * @param result - result of the `settle` message
 * @param isIdempotent - whether a second run does no harm
 * @returns the next step
 */
export const afterSettle = (result: ExchangeResult, isIdempotent: boolean): NextStep => {
  if (result.type === 'answer') return result;
  if (result.type === 'error') return afterAgentError(result.error, isIdempotent);
  const error = errors.fail(
    'outcomeUnknown',
    'the agent did not report the outcome of the request',
  );
  return isIdempotent ? { type: 'elsewhere', error } : { type: 'fail', error };
};

/**
 * Keeps a later rejection from hiding an earlier run: an idempotent request that may have run on
 * one agent and was then rejected by another must not be reported as "did not run".
 *
 * @param before - error from the agents tried before; undefined at first
 * @param latest - error from the latest agent
 * @returns the error for the caller unless a later attempt succeeds
 */
export const errorToReport = (
  before: errors.AuburnliftError | undefined,
  latest: errors.AuburnliftError,
): errors.AuburnliftError => {
  const mayHaveRun =
    before !== undefined && errorKinds.ERROR_TABLE[before.kind].ran !== errorKinds.Ran.no;
  return mayHaveRun ? before : latest;
};
