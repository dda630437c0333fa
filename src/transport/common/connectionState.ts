/**
 * What a connection of a client is doing, and which connection gives way when a limit is reached.
 *
 * Made for crowds that open many connections and stop short of a request, or never read an answer: they must not hold
 * the places of ordinary callers, so the connection that has made no progress for longest gives way, and never one
 * whose request is being worked on.
 */
import type * as clientLimits from '../../state/common/clientLimits.js';

/** What a connection is doing. */
export const Phase = {
  /** No byte of a request has arrived since it was opened or since the last answer. */
  idle: 'idle',
  /** A head has begun. */
  head: 'head',
  /** A body has begun. */
  body: 'body',
  /** A whole request is worked on. */
  handling: 'handling',
  /** It is being closed, and only waits for the client to read the last answer. */
  closing: 'closing',
} as const;

/** One of the values of {@link Phase}. */
export type Phase = (typeof Phase)[keyof typeof Phase];

/** State of one connection. */
export interface ConnectionState {
  phase: Phase;
  /** Start of the phase, in monotonic milliseconds. */
  sinceMs: number;
  /** Time that the client has for its body. */
  bodyTimeoutMs: number;
  /** Time by which what was sent has to be read; undefined if nothing is unread. */
  unreadUntilMs: number | undefined;
  /** Start of the sending that is unread. */
  unreadSinceMs: number;
  /** Bytes outside the heap that are held for it. */
  heldBytes: number;
}

/** Limit that a connection has run into. */
export const LimitName = {
  connections: 'connections',
  bufferedBytes: 'bufferedBytes',
  handledRequests: 'handledRequests',
  headTime: 'headTime',
  bodyTime: 'bodyTime',
  answerTime: 'answerTime',
  idleTime: 'idleTime',
  bodyBytes: 'bodyBytes',
  malformed: 'malformed',
  aheadRate: 'aheadRate',
} as const;

/** One of the values of {@link LimitName}. */
export type LimitName = (typeof LimitName)[keyof typeof LimitName];

/** How long a closing connection waits for the client to read the last answer. */
export const CLOSING_MS = 2000;

/** A head or body that began this recently may belong to an ordinary caller. */
const RECENT_MS = 1000;

/**
 * @param state - state of a connection
 * @param limits - limits in force
 * @param nowMs - monotonic time
 * @returns the time limit that it has passed; undefined if there is none
 */
export const passedLimit = (
  state: ConnectionState,
  limits: clientLimits.ClientLimits,
  nowMs: number,
): LimitName | undefined => {
  if (state.unreadUntilMs !== undefined && nowMs >= state.unreadUntilMs) {
    return LimitName.answerTime;
  }
  const inPhaseMs = nowMs - state.sinceMs;
  switch (state.phase) {
    case Phase.idle:
      return inPhaseMs >= limits.idleTimeoutMs ? LimitName.idleTime : undefined;
    case Phase.head:
      return inPhaseMs >= limits.headTimeoutMs ? LimitName.headTime : undefined;
    case Phase.body:
      return inPhaseMs >= state.bodyTimeoutMs ? LimitName.bodyTime : undefined;
    case Phase.closing:
      return inPhaseMs >= CLOSING_MS ? LimitName.answerTime : undefined;
    default:
      return undefined;
  }
};

const stalledSinceMs = (state: ConnectionState): number | undefined => {
  if (state.unreadUntilMs !== undefined) return state.unreadSinceMs;
  return state.phase === Phase.handling ? undefined : state.sinceMs;
};

/** Stalled requests give way first, then idle connections, then what began just now. */
const rankOf = (state: ConnectionState, nowMs: number): number => {
  if (state.phase === Phase.closing) return 0;
  if (state.phase === Phase.idle) return 2;
  return nowMs - (stalledSinceMs(state) ?? nowMs) >= RECENT_MS ? 1 : 3;
};

/**
 * @param states - connections that may give way
 * @param nowMs - monotonic time
 * @returns the one that gives way first; undefined if all are worked on
 */
export const chooseToGiveWay = <T extends ConnectionState>(
  states: Iterable<T>,
  nowMs: number,
): T | undefined => {
  let chosen: T | undefined;
  let chosenRank = Infinity;
  let chosenSinceMs = Infinity;
  for (const state of states) {
    const sinceMs = stalledSinceMs(state);
    if (sinceMs !== undefined) {
      const rank = rankOf(state, nowMs);
      if (rank < chosenRank || (rank === chosenRank && sinceMs < chosenSinceMs)) {
        chosen = state;
        chosenRank = rank;
        chosenSinceMs = sinceMs;
      }
    }
  }
  return chosen;
};
