/**
 * The exchange of one caller's request between entry and agent.
 *
 * It uses plain HTTP instead of tRPC: bodies are bytes, and a tRPC call costs several times the
 * processor time of a plain one. The envelope is one JSON header; the body is sent unchanged.
 */
import * as Schema from 'effect/Schema';

import * as units from '../../state/common/units.js';
import * as envelope from './envelope.js';

/** HTTP path on the agent. */
export const EXCHANGE_PATH = '/exchange';

/** Header that carries {@link ExchangeRequest}. */
export const REQUEST_HEADER = 'auburnlift-exchange';

/** Header that carries {@link ExchangeReply}. */
export const REPLY_HEADER = 'auburnlift-reply';

/** Whether the agent may start the request or is only asked for its outcome. */
export const ExchangeMode = {
  /** Start the request, unless it is already known. */
  run: 'run',
  /** Wait for the run or return its answer; if it is unknown, ensure that it never runs. */
  settle: 'settle',
} as const;

/** One of the values of {@link ExchangeMode}. */
export type ExchangeMode = (typeof ExchangeMode)[keyof typeof ExchangeMode];

/** Envelope of a request. */
export const ExchangeRequest = Schema.Struct({
  from: envelope.Sender,
  mode: Schema.Literals(['run', 'settle']),
  /** Unique for each request of a customer; repeating the id repeats the same request. */
  requestId: units.CallerKey,
  /** Unique for each attempt of an entry to run the request on an agent. */
  attemptId: units.CallerKey,
  /** Boot of the agent that the attempt targets; another boot can't know what this one ran. */
  bootId: units.CallerKey,
  /** Latest start of the request by this attempt, on that boot's clock. */
  startBeforeMs: units.Count,
  customerId: units.Id,
  isIdempotent: Schema.Boolean,
  /** Time to the deadline when the entry sent it; the agent counts from its arrival. */
  remainingMs: units.DurationMs,
  method: Schema.String.check(Schema.isMaxLength(16)),
  path: Schema.String.check(Schema.isMaxLength(2048)),
  contentType: Schema.String.check(Schema.isMaxLength(200)),
});

/** See {@link ExchangeRequest}. */
export type ExchangeRequest = typeof ExchangeRequest.Type;

/** Envelope of a reply. */
export const ExchangeReply = Schema.Struct({
  from: envelope.Sender,
  /** Echoed, so that a reply is never matched to another request. */
  requestId: units.CallerKey,
  /** Echoed, so that a late reply to one attempt is never matched to another attempt. */
  attemptId: units.CallerKey,
  bootId: units.CallerKey,
  /** The agent's clock, from which entries compute `startBeforeMs`. */
  clockMs: units.Count,
  /** `answer`: the body is the upstream's response. `error`: the body is an `ErrorBody`. */
  kind: Schema.Literals(['answer', 'error']),
  /** HTTP status of the upstream's response. */
  status: units.integerBetween(0, 599),
  contentType: Schema.String.check(Schema.isMaxLength(200)),
  /** Load of the upstream, sent here so that entries need no separate report. */
  running: units.Count,
  queued: units.Count,
  serviceMs: units.numberBetween(0, 3_600_000),
  isLeaving: Schema.Boolean,
});

/** See {@link ExchangeReply}. */
export type ExchangeReply = typeof ExchangeReply.Type;

/** An upstream's complete response. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}
