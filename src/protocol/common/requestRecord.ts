/**
 * What an agent does with a message about one request: the agent's half of at-most-once.
 *
 * Everything is judged by the agent's own clock, so no agreement between clocks is needed. A `run`
 * message carries the last moment, on that clock, at which it may start something; what guards
 * against a late copy therefore needs to be kept only until that moment.
 */
import type * as errors from '../../base/common/errors.js';
import type * as exchange from './exchange.js';

/** How a request ended: the upstream's whole answer, or an error of a known kind. */
export type Outcome =
  | { readonly type: 'answer'; readonly answer: exchange.Answer }
  | { readonly type: 'error'; readonly error: errors.ErrorBody };

/** What is known of one request of one customer. */
export type RequestRecord =
  | { readonly type: 'running'; readonly startBeforeMs: number }
  /** The outcome is absent where its bytes had to go; that it ran stays known. */
  | { readonly type: 'ended'; readonly outcome: Outcome | undefined; readonly untilMs: number };

/** The agent as it is at the moment of the message. */
export interface AgentMoment {
  readonly bootId: string;
  /** The agent's monotonic clock, which starts anew with each boot. */
  readonly nowMs: number;
}

/** The part of a message that decides. */
export interface ArrivalHead {
  readonly mode: exchange.ExchangeMode;
  /** Boot of the agent that the attempt was sent to. */
  readonly bootId: string;
  /** Last moment on that boot's clock at which the attempt may start the request. */
  readonly startBeforeMs: number;
}

/** What is to be done with a message. */
export type Arrival =
  /** New: admit and run it. */
  | { readonly type: 'run' }
  /** It runs: wait for its end. */
  | { readonly type: 'attach' }
  | { readonly type: 'replay'; readonly outcome: Outcome }
  /** It ran; its answer is no longer kept. */
  | { readonly type: 'answerDropped' }
  /** This attempt has started nothing here and never will. */
  | { readonly type: 'neverRan' }
  /** A `run` that came after its last moment. */
  | { readonly type: 'tooLate' }
  /** The memory that could tell is gone: another boot, or asked too late. */
  | { readonly type: 'unknowable' };

/** What to do, and whether the attempt must be barred from starting until its last moment. */
export interface ArrivalStep {
  readonly arrival: Arrival;
  readonly barsAttempt: boolean;
}

/** Time after the last start in which the agent can still say that an attempt never ran. */
export const SETTLE_WINDOW_MS = 60_000;

/** Time that an end is kept for a caller that repeats its key. */
export const OUTCOME_MEMORY_MS = 120_000;

const only = (arrival: Arrival): ArrivalStep => ({ arrival, barsAttempt: false });

const meetKnown = (record: RequestRecord): ArrivalStep => {
  if (record.type === 'running') return only({ type: 'attach' });
  if (record.outcome === undefined) return only({ type: 'answerDropped' });
  return only({ type: 'replay', outcome: record.outcome });
};

/**
 * Decides on a message.
 *
 * Guards against, in this order: an agent that restarted and forgot a run (the entry would hear
 * "unknown here" and run it elsewhere; it hears "unknowable" instead); a repeat of what runs or
 * ended; a `run` that overtakes nothing because it was settled or refused first (barred); a `run`
 * that comes after the bar was dropped (its own last moment has passed by then); any message that
 * comes after the end was dropped (it gets no proof).
 *
 * @param record - what is known of the request
 * @param isBarred - whether this attempt was settled or refused before
 * @param head - the message
 * @param agent - boot and clock of the agent
 * @returns what to do
 */
export const meet = (
  record: RequestRecord | undefined,
  isBarred: boolean,
  head: ArrivalHead,
  agent: AgentMoment,
): ArrivalStep => {
  if (head.bootId !== agent.bootId) return only({ type: 'unknowable' });
  if (record !== undefined) return meetKnown(record);
  if (isBarred) return only({ type: 'neverRan' });
  const isStartable = agent.nowMs <= head.startBeforeMs;
  if (head.mode === 'run' && isStartable) return only({ type: 'run' });
  // An end may have been dropped by now: a copy of this message may have run.
  const isProof = agent.nowMs <= head.startBeforeMs + SETTLE_WINDOW_MS;
  if (!isProof) return only({ type: 'unknowable' });
  if (head.mode === 'run') return only({ type: 'tooLate' });
  return { arrival: { type: 'neverRan' }, barsAttempt: isStartable };
};

/**
 * @param startBeforeMs - last start of the attempt that ran
 * @param nowMs - the agent's clock
 * @returns how long its end must be kept: while any entry may still ask for proof, and while a
 *   caller may repeat its key
 */
export const keepEndUntilMs = (startBeforeMs: number, nowMs: number): number =>
  Math.max(startBeforeMs + SETTLE_WINDOW_MS, nowMs + OUTCOME_MEMORY_MS);
