/**
 * What an entry does after an exchange with an agent: the entry's half of at-most-once.
 *
 * The one rule: a request that is not idempotent goes elsewhere only after proof that it never ran
 * and never will. Proof is a typed refusal, the agent's word on a question, or a connection that
 * was never made. Silence, a cut answer or an agent that restarted prove nothing.
 */
import * as errorKinds from '../../base/common/errorKinds.js';
import * as errors from '../../base/common/errors.js';
import type * as exchange from './exchange.js';

/** What came of one exchange. */
export type ExchangeResult =
  | { readonly type: 'answer'; readonly answer: exchange.Answer }
  /** The agent's own word, of a kind that says whether the request ran. */
  | { readonly type: 'error'; readonly error: errors.AuburnliftError }
  /** No connection was made: the agent saw nothing of this message. */
  | { readonly type: 'notSent'; readonly error: errors.AuburnliftError }
  /** Silence, a cut answer, or one that belongs to another attempt. */
  | { readonly type: 'noWord'; readonly error: errors.AuburnliftError };

/** What the entry does next. */
export type NextStep =
  | { readonly type: 'answer'; readonly answer: exchange.Answer }
  | { readonly type: 'fail'; readonly error: errors.AuburnliftError }
  /** It did not run there and never will, or may run again: another agent may have it. */
  | { readonly type: 'elsewhere'; readonly error: errors.AuburnliftError }
  /** Ask the same agent over a connection that no exchange used before. */
  | { readonly type: 'settle' };

const afterWord = (error: errors.AuburnliftError, isIdempotent: boolean): NextStep => {
  const didNotRun = errorKinds.ERROR_TABLE[error.kind].ran === errorKinds.Ran.no;
  return didNotRun || isIdempotent ? { type: 'elsewhere', error } : { type: 'fail', error };
};

/**
 * @param result - what came of the message that may start the request
 * @param isIdempotent - whether a second run does no harm
 * @returns the next step
 */
export const afterRun = (result: ExchangeResult, isIdempotent: boolean): NextStep => {
  switch (result.type) {
    case 'answer':
      return result;
    case 'error':
      return afterWord(result.error, isIdempotent);
    case 'notSent':
      return { type: 'elsewhere', error: result.error };
    default:
      return { type: 'settle' };
  }
};

/**
 * A question that was not sent proves nothing: the message before it may have run.
 *
 * @param result - what came of the question
 * @param isIdempotent - whether a second run does no harm
 * @returns the next step
 */
export const afterSettle = (result: ExchangeResult, isIdempotent: boolean): NextStep => {
  if (result.type === 'answer') return result;
  if (result.type === 'error') return afterWord(result.error, isIdempotent);
  const error = errors.fail('outcomeUnknown', 'the agent does not say what became of it');
  return isIdempotent ? { type: 'elsewhere', error } : { type: 'fail', error };
};

/**
 * Keeps a later refusal from hiding an earlier run: an idempotent request that may have run at one
 * agent and was then refused by another has not "not run".
 *
 * @param before - why the request went on from earlier agents; undefined at first
 * @param latest - why it ended or goes on from this one
 * @returns the error that the caller gets if nothing better comes
 */
export const worstOf = (
  before: errors.AuburnliftError | undefined,
  latest: errors.AuburnliftError,
): errors.AuburnliftError => {
  const mayHaveRun =
    before !== undefined && errorKinds.ERROR_TABLE[before.kind].ran !== errorKinds.Ran.no;
  return mayHaveRun ? before : latest;
};
