/**
 * The exchange of one caller's request between entry and agent.
 *
 * It goes over plain HTTP and not over tRPC: bodies are bytes, and a tRPC call costs several times
 * the processor time of a plain one. The envelope travels as one JSON header, the body as it is.
 */
import * as Schema from 'effect/Schema';

import * as units from '../../state/common/units.js';
import * as envelope from './envelope.js';

/** Path at the agent. */
export const EXCHANGE_PATH = '/exchange';

/** Header that carries {@link ExchangeRequest}. */
export const REQUEST_HEADER = 'auburnlift-exchange';

/** Header that carries {@link ExchangeReply}. */
export const REPLY_HEADER = 'auburnlift-reply';

/** Whether the agent may start the request or is only asked what became of it. */
export const ExchangeMode = {
  /** Start it, unless it is known already. */
  run: 'run',
  /** Attach to it or take its answer; where it is unknown, make sure that it never runs. */
  settle: 'settle',
} as const;

/** One of the values of {@link ExchangeMode}. */
export type ExchangeMode = (typeof ExchangeMode)[keyof typeof ExchangeMode];

/** What goes with the body of a request. */
export const ExchangeRequest = Schema.Struct({
  from: envelope.Sender,
  mode: Schema.Literals(['run', 'settle']),
  /** Unique for each request of each customer; the same id is the same request. */
  requestId: units.CallerKey,
  /** Unique for each time that an entry sends the request to an agent. */
  attemptId: units.CallerKey,
  /** Boot of the agent that the entry means; another boot can't know what this one ran. */
  bootId: units.CallerKey,
  /** Last moment on that boot's clock at which the attempt may start the request. */
  startBeforeMs: units.Count,
  customerId: units.Id,
  isIdempotent: Schema.Boolean,
  /** Time left when the entry sent it; the agent counts from its arrival. */
  remainingMs: units.DurationMs,
  method: Schema.String.check(Schema.isMaxLength(16)),
  path: Schema.String.check(Schema.isMaxLength(2048)),
  contentType: Schema.String.check(Schema.isMaxLength(200)),
});

/** See {@link ExchangeRequest}. */
export type ExchangeRequest = typeof ExchangeRequest.Type;

/** What goes with the body of an answer. */
export const ExchangeReply = Schema.Struct({
  from: envelope.Sender,
  /** Echoed, so that an answer can never be taken for another request's. */
  requestId: units.CallerKey,
  /** Echoed, so that a late answer to one attempt is never taken for the word on another. */
  attemptId: units.CallerKey,
  bootId: units.CallerKey,
  /** The agent's clock, from which entries work out `startBeforeMs`. */
  clockMs: units.Count,
  /** `answer`: the body is the upstream's. `error`: the body is an `ErrorBody`. */
  kind: Schema.Literals(['answer', 'error']),
  /** The upstream's status. */
  status: units.integerBetween(0, 599),
  contentType: Schema.String.check(Schema.isMaxLength(200)),
  /** Load of the upstream, so that entries need no separate report. */
  running: units.Count,
  queued: units.Count,
  serviceMs: units.numberBetween(0, 3_600_000),
  isLeaving: Schema.Boolean,
});

/** See {@link ExchangeReply}. */
export type ExchangeReply = typeof ExchangeReply.Type;

/** An upstream's whole answer. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}
