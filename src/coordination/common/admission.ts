/**
 * Admission in front of one upstream, at the one place where the load of all entries meets.
 *
 * Made for bursts of several times the capacity. Without it every request waits, all miss their
 * deadlines and the upstream works only on requests that nobody waits for any more.
 */
import type * as errorKinds from '../../base/common/errorKinds.js';

/** A request that asks for a slot. */
export interface Ticket {
  readonly requestId: string;
  readonly customerId: string;
  /** Monotonic moment after which the answer is worthless. */
  readonly deadlineAtMs: number;
}

/** Who runs and who waits in front of one upstream. */
export interface AdmissionState {
  readonly slots: number;
  readonly running: readonly Ticket[];
  /** In the order in which they get slots. */
  readonly queue: readonly Ticket[];
  /** Smoothed time that a request holds a slot. */
  readonly serviceMs: number;
}

/** Limits of admission. */
export interface AdmissionLimits {
  /** Most requests that wait: what the slots can serve within the longest useful wait. */
  readonly maxQueued: number;
}

/** What becomes of a request that asks for a slot. */
export type AdmissionDecision =
  | { readonly type: 'start' }
  | { readonly type: 'queue' }
  | {
      readonly type: 'refuse';
      readonly kind: errorKinds.ErrorKind;
      readonly message: string;
      readonly retryAfterMs: number;
    };

/** The state after a decision. */
export interface AdmissionStep {
  readonly next: AdmissionState;
  readonly decision: AdmissionDecision;
}

/** Weight of the newest measurement in the smoothed service time. */
const SMOOTHING = 0.1;

/** Service time assumed before anything was measured. */
const INITIAL_SERVICE_MS = 50;

/**
 * @param slots - requests that the upstream works on at once
 * @returns an upstream without load
 */
export const idle = (slots: number): AdmissionState => ({
  slots,
  running: [],
  queue: [],
  serviceMs: INITIAL_SERVICE_MS,
});

/**
 * @param state - the load now
 * @returns the time until a request that came now would get a slot
 */
export const expectedWaitMs = (state: AdmissionState): number => {
  if (state.running.length < state.slots) return 0;
  return ((state.queue.length + 1) * state.serviceMs) / state.slots;
};

const refuse = (
  state: AdmissionState,
  kind: errorKinds.ErrorKind,
  message: string,
): AdmissionStep => ({
  next: state,
  decision: { type: 'refuse', kind, message, retryAfterMs: Math.ceil(expectedWaitMs(state)) },
});

/**
 * Decides on a request.
 *
 * @param state - the load now
 * @param limits - limits of admission
 * @param ticket - the request
 * @param nowMs - monotonic time
 * @returns start, queue, or a refusal that says it did not run
 */
export const offer = (
  state: AdmissionState,
  limits: AdmissionLimits,
  ticket: Ticket,
  nowMs: number,
): AdmissionStep => {
  if (state.running.length < state.slots) {
    return { next: { ...state, running: [...state.running, ticket] }, decision: { type: 'start' } };
  }
  if (state.queue.length >= limits.maxQueued) {
    return refuse(state, 'overloaded', 'the upstream and its queue are full');
  }
  const doneAtMs = nowMs + expectedWaitMs(state) + state.serviceMs;
  if (doneAtMs > ticket.deadlineAtMs) {
    return refuse(state, 'deadlineUnmeetable', 'the deadline is before the expected answer');
  }
  return { next: { ...state, queue: [...state.queue, ticket] }, decision: { type: 'queue' } };
};

/** What happens to waiting requests when a slot becomes free. */
export interface ReleaseStep {
  readonly next: AdmissionState;
  readonly started: readonly Ticket[];
  /** Their deadline passed while they waited; they did not run. */
  readonly expired: readonly Ticket[];
}

/**
 * @param state - the load now
 * @param requestId - a request that ended or was withdrawn
 * @param nowMs - monotonic time
 * @param heldMs - how long it held its slot; undefined where it held none
 * @returns the waiting requests that now start, and those whose deadline has passed
 */
export const release = (
  state: AdmissionState,
  requestId: string,
  nowMs: number,
  heldMs: number | undefined,
): ReleaseStep => {
  const running = state.running.filter((it) => it.requestId !== requestId);
  const waiting = state.queue.filter((it) => it.requestId !== requestId);
  const expired = waiting.filter((it) => it.deadlineAtMs <= nowMs);
  const alive = waiting.filter((it) => it.deadlineAtMs > nowMs);
  const started = alive.slice(0, Math.max(0, state.slots - running.length));
  const serviceMs =
    heldMs === undefined ? state.serviceMs : state.serviceMs * (1 - SMOOTHING) + heldMs * SMOOTHING;
  return {
    next: {
      ...state,
      serviceMs,
      running: [...running, ...started],
      queue: alive.slice(started.length),
    },
    started,
    expired,
  };
};
