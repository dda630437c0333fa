/**
 * Admission control for one upstream, through which the requests of all entries pass.
 *
 * Designed for bursts of several times the capacity and for one customer that sends far more than
 * the others. Without admission control every request waits, all miss their deadlines, the upstream
 * works only on requests whose callers have left, and the heaviest customer takes every slot.
 */
import type * as errorKinds from '../../base/common/errorKinds.js';

/** A request that asks for a slot. */
export interface Ticket {
  readonly requestId: string;
  readonly customerId: string;
  /** Monotonic time after which the answer is of no use to the caller. */
  readonly deadlineAtMs: number;
}

/** Running and queued requests of one upstream. */
export interface AdmissionState {
  readonly slots: number;
  readonly running: readonly Ticket[];
  /** In the order of arrival. */
  readonly queue: readonly Ticket[];
  /** Smoothed time for which a request occupies a slot. */
  readonly serviceMs: number;
  /** Stride scheduling: slots taken by each active customer, divided by its weight. */
  readonly passes: ReadonlyMap<string, number>;
}

/** Share of one upstream that a customer is entitled to. */
export interface CustomerShare {
  readonly weight: number;
  /** Slots that it gets on request before any customer uses spare ones. */
  readonly guaranteedSlots: number;
}

/** Order among the waiting requests of one customer. */
export const QueueOrder = { fifo: 'fifo', lifo: 'lifo', deadline: 'deadline' } as const;

/** One of the values of {@link QueueOrder}. */
export type QueueOrder = (typeof QueueOrder)[keyof typeof QueueOrder];

/** Limits of admission. */
export interface AdmissionLimits {
  /** Maximum queue length: what the slots can serve within the longest useful wait. */
  readonly maxQueued: number;
  readonly order: QueueOrder;
  readonly shareOf: (customerId: string) => CustomerShare;
}

/** Decision on a request that asks for a slot. */
export type AdmissionDecision =
  | { readonly type: 'start' }
  /** `displaced` belongs to a customer that exceeded its share of the queue. */
  | { readonly type: 'queue'; readonly displaced: Ticket | undefined }
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

/** Share of a customer that is not configured. */
export const DEFAULT_SHARE: CustomerShare = { weight: 1, guaranteedSlots: 0 };

/** Weight of the newest measurement in the smoothed service time. */
const SMOOTHING = 0.1;

/** Service time assumed before anything was measured. */
const INITIAL_SERVICE_MS = 50;

/**
 * @param slots - requests that the upstream processes concurrently
 * @returns an upstream without load
 */
export const idle = (slots: number): AdmissionState => ({
  slots,
  running: [],
  queue: [],
  serviceMs: INITIAL_SERVICE_MS,
  passes: new Map(),
});

const countOf = (tickets: readonly Ticket[], customerId: string): number =>
  tickets.filter((it) => it.customerId === customerId).length;

const customersOf = (tickets: readonly Ticket[]): readonly string[] => [
  ...new Set(tickets.map((it) => it.customerId)),
];

/** Fraction of the upstream that the customer gets while the active customers stay the same. */
const activeShare = (
  state: AdmissionState,
  limits: AdmissionLimits,
  customerId: string,
): number => {
  const active = new Set([...customersOf([...state.running, ...state.queue]), customerId]);
  const total = [...active].reduce((sum, it) => sum + limits.shareOf(it).weight, 0);
  const { weight, guaranteedSlots } = limits.shareOf(customerId);
  return Math.max(weight / total, Math.min(1, guaranteedSlots / state.slots));
};

const aheadOf = (state: AdmissionState, order: QueueOrder, ticket: Ticket): readonly Ticket[] => {
  if (order === QueueOrder.lifo) return [];
  if (order === QueueOrder.fifo) return state.queue;
  return state.queue.filter((it) => it.deadlineAtMs <= ticket.deadlineAtMs);
};

/**
 * Returns the smaller of two bounds: the complete queue served by the complete upstream, and the
 * customer's own queue served by its share.
 *
 * @param state - the current load
 * @param limits - limits of admission
 * @param ticket - the request
 * @returns the time until it would get a slot
 */
export const expectedWaitMs = (
  state: AdmissionState,
  limits: AdmissionLimits,
  ticket: Ticket,
): number => {
  if (state.running.length < state.slots) return 0;
  const ahead = aheadOf(state, limits.order, ticket);
  const own = countOf(ahead, ticket.customerId);
  const perSlotMs = state.serviceMs / state.slots;
  const ownMs = ((own + 1) * perSlotMs) / activeShare(state, limits, ticket.customerId);
  return Math.min((ahead.length + 1) * perSlotMs, ownMs);
};

/** An inactive customer joins at the lowest pass, so that it can't accumulate credit while idle. */
const passOf = (state: AdmissionState, customerId: string): number => {
  const lowest = Math.min(...state.passes.values());
  const floor = Number.isFinite(lowest) ? lowest : 0;
  return state.passes.get(customerId) ?? floor;
};

const start = (state: AdmissionState, limits: AdmissionLimits, ticket: Ticket): AdmissionState => {
  const { customerId } = ticket;
  const step = 1 / limits.shareOf(customerId).weight;
  const passes = new Map(state.passes).set(customerId, passOf(state, customerId) + step);
  return { ...state, running: [...state.running, ticket], passes };
};

const prunePasses = (state: AdmissionState): AdmissionState => {
  const active = new Set(customersOf([...state.running, ...state.queue]));
  if ([...state.passes.keys()].every((it) => active.has(it))) return state;
  return { ...state, passes: new Map([...state.passes].filter(([id]) => active.has(id))) };
};

const inOrder = (tickets: readonly Ticket[], order: QueueOrder): Ticket | undefined => {
  if (order === QueueOrder.fifo) return tickets[0];
  if (order === QueueOrder.lifo) return tickets.at(-1);
  return tickets.reduce<Ticket | undefined>(
    (best, it) => (best === undefined || it.deadlineAtMs < best.deadlineAtMs ? it : best),
    undefined,
  );
};

/** Customers below their guarantee go first; among equals the one with the lowest pass. */
const pickNext = (state: AdmissionState, limits: AdmissionLimits): Ticket | undefined => {
  const waiting = customersOf(state.queue);
  const guaranteed = waiting.filter(
    (it) => countOf(state.running, it) < limits.shareOf(it).guaranteedSlots,
  );
  const eligible = guaranteed.length > 0 ? guaranteed : waiting;
  const customerId = eligible.reduce<string | undefined>(
    (best, it) => (best === undefined || passOf(state, it) < passOf(state, best) ? it : best),
    undefined,
  );
  return inOrder(
    state.queue.filter((it) => it.customerId === customerId),
    limits.order,
  );
};

const refuse = (
  state: AdmissionState,
  kind: errorKinds.ErrorKind,
  message: string,
  retryAfterMs: number,
): AdmissionStep => ({
  next: state,
  decision: { type: 'refuse', kind, message, retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)) },
});

const queueExcess = (state: AdmissionState, limits: AdmissionLimits, customerId: string): number =>
  countOf(state.queue, customerId) - activeShare(state, limits, customerId) * limits.maxQueued;

/** The newest request of the customer that is furthest above its share of a full queue. */
const findDisplaced = (
  state: AdmissionState,
  limits: AdmissionLimits,
  ticket: Ticket,
): Ticket | undefined => {
  // Counts the newcomer as active: otherwise a lone customer would seem entitled to everything.
  const withTicket = { ...state, queue: [...state.queue, ticket] };
  if (queueExcess(withTicket, limits, ticket.customerId) > 0) return undefined;
  const [most] = [...customersOf(state.queue)].sort(
    (a, b) => queueExcess(withTicket, limits, b) - queueExcess(withTicket, limits, a),
  );
  if (most === undefined || queueExcess(withTicket, limits, most) <= 0) return undefined;
  return state.queue.findLast((it) => it.customerId === most);
};

/**
 * Decides on a request. The queue is bounded because a longer one only postpones refusals to a time
 * when the caller can no longer retry elsewhere. A request that can't meet its deadline is refused
 * immediately, with the time after which to retry.
 *
 * @param state - the current load
 * @param limits - limits of admission
 * @param ticket - the request
 * @param nowMs - monotonic time
 * @returns start, queue, or a refusal that tells the caller that the request did not run
 */
export const offer = (
  state: AdmissionState,
  limits: AdmissionLimits,
  ticket: Ticket,
  nowMs: number,
): AdmissionStep => {
  if (state.running.length < state.slots && state.queue.length === 0) {
    return { next: start(state, limits, ticket), decision: { type: 'start' } };
  }
  const waitMs = expectedWaitMs(state, limits, ticket);
  const lateMs = nowMs + waitMs + state.serviceMs - ticket.deadlineAtMs;
  if (lateMs > 0) {
    const message = 'the expected answer would be later than the deadline';
    return refuse(state, 'deadlineUnmeetable', message, lateMs);
  }
  const queue = [...state.queue, ticket];
  if (state.queue.length < limits.maxQueued) {
    return { next: { ...state, queue }, decision: { type: 'queue', displaced: undefined } };
  }
  const displaced = findDisplaced(state, limits, ticket);
  if (displaced === undefined) {
    return refuse(state, 'overloaded', 'the upstream and its queue are full', waitMs);
  }
  const next = { ...state, queue: queue.filter((it) => it !== displaced) };
  return { next, decision: { type: 'queue', displaced } };
};

/** What happens to waiting requests when a slot becomes free. */
export interface ReleaseStep {
  readonly next: AdmissionState;
  readonly started: readonly Ticket[];
  /** Requests that could no longer meet their deadlines; they did not run. */
  readonly expired: readonly Ticket[];
}

const startWaiting = (
  state: AdmissionState,
  limits: AdmissionLimits,
): { readonly next: AdmissionState; readonly started: readonly Ticket[] } => {
  const started: Ticket[] = [];
  let next = state;
  while (next.running.length < next.slots) {
    const ticket = pickNext(next, limits);
    if (ticket === undefined) break;
    next = start({ ...next, queue: next.queue.filter((it) => it !== ticket) }, limits, ticket);
    started.push(ticket);
  }
  return { next, started };
};

/**
 * Abandons queued requests that can no longer meet their deadlines here instead of when a slot
 * reaches them: a slot spent on one is lost to a request that could still be in time.
 *
 * @param state - the current load
 * @param limits - limits of admission
 * @param requestId - a request that ended or was withdrawn
 * @param nowMs - monotonic time
 * @param heldMs - how long it occupied its slot; undefined where it had none
 * @returns the queued requests that start now, and those that are abandoned
 */
export const release = (
  state: AdmissionState,
  limits: AdmissionLimits,
  requestId: string,
  nowMs: number,
  heldMs: number | undefined,
): ReleaseStep => {
  const serviceMs =
    heldMs === undefined ? state.serviceMs : state.serviceMs * (1 - SMOOTHING) + heldMs * SMOOTHING;
  const waiting = state.queue.filter((it) => it.requestId !== requestId);
  const isInTime = (it: Ticket): boolean => nowMs + serviceMs <= it.deadlineAtMs;
  const left = {
    ...state,
    serviceMs,
    running: state.running.filter((it) => it.requestId !== requestId),
    queue: waiting.filter(isInTime),
  };
  const { next, started } = startWaiting(left, limits);
  return {
    next: prunePasses(next),
    started,
    expired: waiting.filter((it) => !isInTime(it)),
  };
};
