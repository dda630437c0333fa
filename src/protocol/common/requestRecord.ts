/**
 * Decides what an agent does with a message about one request: the agent's half of at-most-once.
 *
 * All times are on the agent's own clock, so clocks need not be synchronized. A `run` message
 * carries its latest start on that clock, so a tombstone against a delayed duplicate needs to be
 * kept only until then.
 */
import type * as errors from '../../base/common/errors.js';
import type * as exchange from './exchange.js';

/** How a request ended: the upstream's complete response, or an error of a known kind. */
export type Outcome =
  | { readonly type: 'answer'; readonly answer: exchange.Answer }
  | { readonly type: 'error'; readonly error: errors.ErrorBody };

/** Record of one request of one customer. */
export type RequestRecord =
  | { readonly type: 'running'; readonly startBeforeMs: number }
  /** The outcome is absent if it was evicted; the record that it ran remains. */
  | { readonly type: 'ended'; readonly outcome: Outcome | undefined; readonly untilMs: number };

/** Boot and clock of the agent when a message arrives. */
export interface AgentClock {
  readonly bootId: string;
  /** The agent's monotonic clock, which restarts with each boot. */
  readonly nowMs: number;
}

/** The fields of a message that the decision depends on. */
export interface MessageHeader {
  readonly mode: exchange.ExchangeMode;
  /** Boot of the agent that the attempt was sent to. */
  readonly bootId: string;
  /** Latest start of the request by this attempt, on that boot's clock. */
  readonly startBeforeMs: number;
}

/** How to handle a message. */
export type Arrival =
  /** A new request: admit and run it. */
  | { readonly type: 'run' }
  /** The request is running: wait for its end. */
  | { readonly type: 'attach' }
  | { readonly type: 'replay'; readonly outcome: Outcome }
  /** The request ran; its answer was evicted. */
  | { readonly type: 'answerDropped' }
  /** This attempt has not run here and never will. */
  | { readonly type: 'neverRan' }
  /** A `run` message that arrived after its latest start. */
  | { readonly type: 'tooLate' }
  /** The record is gone: the message is for another boot, or came too late. */
  | { readonly type: 'unknowable' };

/** How to handle the message, and whether the attempt needs a tombstone until its latest start. */
export interface ArrivalStep {
  readonly arrival: Arrival;
  readonly addsTombstone: boolean;
}

/** Time after the latest start during which the agent can still prove that an attempt never ran. */
export const SETTLE_WINDOW_MS = 60_000;

/** Time that an outcome is retained for a caller that repeats its key. */
export const OUTCOME_RETENTION_MS = 120_000;

const withoutTombstone = (arrival: Arrival): ArrivalStep => ({ arrival, addsTombstone: false });

const decideForRecord = (record: RequestRecord): ArrivalStep => {
  if (record.type === 'running') return withoutTombstone({ type: 'attach' });
  if (record.outcome === undefined) return withoutTombstone({ type: 'answerDropped' });
  return withoutTombstone({ type: 'replay', outcome: record.outcome });
};

/**
 * Decides how to handle a message.
 *
 * Guards against, in this order: an agent that restarted and lost the record of a run (a reply of
 * "never ran" would make the entry run it elsewhere, so it replies "unknowable"); a repeat of a
 * running or ended request; a `run` that arrives after its attempt was settled or rejected
 * (tombstone); a `run` that arrives after the tombstone was dropped (its latest start has passed by
 * then); any message that arrives after the outcome was dropped (no proof is given).
 *
 * @param record - record of the request, if any
 * @param isTombstoned - whether this attempt was settled or rejected before
 * @param header - the message
 * @param agent - boot and clock of the agent
 * @returns how to handle the message
 */
export const decideArrival = (
  record: RequestRecord | undefined,
  isTombstoned: boolean,
  header: MessageHeader,
  agent: AgentClock,
): ArrivalStep => {
  if (header.bootId !== agent.bootId) return withoutTombstone({ type: 'unknowable' });
  if (record !== undefined) return decideForRecord(record);
  if (isTombstoned) return withoutTombstone({ type: 'neverRan' });
  const isStartable = agent.nowMs <= header.startBeforeMs;
  if (header.mode === 'run' && isStartable) return withoutTombstone({ type: 'run' });
  // The outcome may have been dropped by now, and a duplicate of this message may have run.
  const canProve = agent.nowMs <= header.startBeforeMs + SETTLE_WINDOW_MS;
  if (!canProve) return withoutTombstone({ type: 'unknowable' });
  if (header.mode === 'run') return withoutTombstone({ type: 'tooLate' });
  return { arrival: { type: 'neverRan' }, addsTombstone: isStartable };
};

/**
 * @param startBeforeMs - latest start of the attempt that ran
 * @param nowMs - the agent's clock
 * @returns until when its outcome is retained: while an entry may still ask for proof, and while a
 *   caller may repeat its key
 */
export const outcomeExpiryMs = (startBeforeMs: number, nowMs: number): number =>
  Math.max(startBeforeMs + SETTLE_WINDOW_MS, nowMs + OUTCOME_RETENTION_MS);
