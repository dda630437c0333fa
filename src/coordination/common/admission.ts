/**
 * Admission in front of one upstream, at the one place where the load of all entries meets.
 *
 * Made for bursts of several times the capacity and for one customer that sends far more than the
 * others. Without it every request waits, all miss their deadlines and the upstream works only on
 * requests that nobody waits for any more; and the loud customer takes every slot.
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
  /** In the order of arrival. */
  readonly queue: readonly Ticket[];
  /** Smoothed time that a request holds a slot. */
  readonly serviceMs: number;
  /** Slots taken by each active customer, divided by its weight; the lowest is served next. */
  readonly passes: ReadonlyMap<string, number>;
}

/** What a customer has a right to at one upstream. */
export interface CustomerShare {
  readonly weight: number;
  /** Slots that it gets before anyone's spare use, when it asks for them. */
  readonly guaranteedSlots: number;
}

/** Order among the waiting requests of one customer. */
export const QueueOrder = { fifo: 'fifo', lifo: 'lifo', deadline: 'deadline' } as const;

/** One of the values of {@link QueueOrder}. */
export type QueueOrder = (typeof QueueOrder)[keyof typeof QueueOrder];

/** Limits of admission. */
export interface AdmissionLimits {
  /** Most requests that wait: what the slots can serve within the longest useful wait. */
  readonly maxQueued: number;
  readonly order: QueueOrder;
  readonly shareOf: (customerId: string) => CustomerShare;
}

/** What becomes of a request that asks for a slot. */
export type AdmissionDecision =
  | { readonly type: 'start' }
  /** The displaced request waited for a customer that held more than its share of the queue. */
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

/** Share of a customer that the configuration does not name. */
export const DEFAULT_SHARE: CustomerShare = { weight: 1, guaranteedSlots: 0 };

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
  passes: new Map(),
});

const countOf = (tickets: readonly Ticket[], customerId: string): number =>
  tickets.filter((it) => it.customerId === customerId).length;

const customersOf = (tickets: readonly Ticket[]): readonly string[] => [
  ...new Set(tickets.map((it) => it.customerId)),
];

/** A customer's part of the upstream while all that are active now stay so. */
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
 * The smaller of two bounds holds: the whole queue at the whole upstream, and the customer's own
 * queue at its share of it.
 *
 * @param state - the load now
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

/** Where a customer that was away joins: at the lowest pass, so that it can't save up a claim. */
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

/** Customers below their guarantee go first; among equals the one served least for its weight. */
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
  // Shares are taken with the newcomer among the active, or a lone customer would seem entitled.
  const withTicket = { ...state, queue: [...state.queue, ticket] };
  if (queueExcess(withTicket, limits, ticket.customerId) > 0) return undefined;
  const [most] = [...customersOf(state.queue)].sort(
    (a, b) => queueExcess(withTicket, limits, b) - queueExcess(withTicket, limits, a),
  );
  if (most === undefined || queueExcess(withTicket, limits, most) <= 0) return undefined;
  return state.queue.findLast((it) => it.customerId === most);
};

/**
 * Decides on a request. The queue is bounded since a longer one only moves refusals from now to a
 * moment when the caller can no longer go elsewhere; what can't be done by its deadline is refused
 * at once, with the time after which to come back.
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
  if (state.running.length < state.slots && state.queue.length === 0) {
    return { next: start(state, limits, ticket), decision: { type: 'start' } };
  }
  const waitMs = expectedWaitMs(state, limits, ticket);
  const lateMs = nowMs + waitMs + state.serviceMs - ticket.deadlineAtMs;
  if (lateMs > 0) {
    const message = 'the deadline is before the expected answer';
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
  /** They could no longer be answered in time; they did not run. */
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
 * Waiting requests that can't be answered by their deadlines any more are given up here and not
 * when a slot reaches them: a slot spent on one is lost to a request that could still be in time.
 *
 * @param state - the load now
 * @param limits - limits of admission
 * @param requestId - a request that ended or was withdrawn
 * @param nowMs - monotonic time
 * @param heldMs - how long it held its slot; undefined where it held none
 * @returns the waiting requests that now start, and those that are given up
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
