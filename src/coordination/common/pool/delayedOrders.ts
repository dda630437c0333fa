/**
 * Unacknowledged start orders: the worker may carry them out seconds later, and so may its new incarnation, which
 * knows of no fence until it is contacted for the first time. They outlive the run that they start: it may have ended,
 * or the worker may have refused them, and its next incarnation still accepts them.
 */
import type * as clock from '../../../base/common/clock.js';
import type * as progressRecord from '../../../state/common/pool/progressRecord.js';

/** A worker carries out an order within this time, or never. */
export const MAX_ORDER_DELAY_MS = 12_000;

/** An order, with its end on the leader's clock from the first use on: the wall clock may jump meanwhile. */
export interface OpenOrder extends progressRecord.OpenOrder {
  untilMs?: number;
}

/** Where an order was sent to. */
export type OrderTarget = Pick<progressRecord.OpenOrder, 'agentId' | 'workerId'>;

/**
 * Converts a time that a previous leader recorded; bounded, since its wall clock may have differed.
 *
 * @param untilWallMs - Unix milliseconds until which a delayed order may arrive
 * @param now - the leader's clocks
 * @returns the same instant on this leader's monotonic clock
 */
const toMonotonicMs = (untilWallMs: number, now: clock.ClockReadings): number =>
  now.monotonicMs + Math.min(MAX_ORDER_DELAY_MS, Math.max(0, untilWallMs - now.wallMs));

/**
 * @param order - an open order
 * @param now - the leader's clocks
 * @returns for how much longer its copy may arrive
 */
const leftMs = (order: OpenOrder, now: clock.ClockReadings): number => {
  order.untilMs ??= toMonotonicMs(order.untilWallMs, now);
  return Math.max(0, order.untilMs - now.monotonicMs);
};

const leftAtAgeMs = (ageMs: number): number => Math.max(0, MAX_ORDER_DELAY_MS - ageMs);

/**
 * @param orders - open orders of a task
 * @param target - where an order was sent that got no answer
 * @param now - the leader's clocks
 * @param ageMs - how long ago its last copy was sent at the latest
 * @returns the open orders with it, without those that can no longer arrive
 */
export const addOpenOrder = (
  orders: readonly OpenOrder[],
  { agentId, workerId }: OrderTarget,
  now: clock.ClockReadings,
  ageMs = 0,
): OpenOrder[] => [
  ...orders.filter((it) => it.agentId !== agentId && leftMs(it, now) > 0),
  {
    agentId,
    workerId,
    untilWallMs: now.wallMs + leftAtAgeMs(ageMs),
    untilMs: now.monotonicMs + leftAtAgeMs(ageMs),
  },
];

/** Two reports of one order differ by the time that they took to arrive. */
const REPORT_DELAY_MS = 500;

/**
 * @param orders - open orders of a task
 * @param target - where an order was sent that an agent reports
 * @param now - the leader's clocks
 * @param ageMs - how long ago its last copy was sent at the latest
 * @returns whether the open orders cover it already
 */
export const isKnownOrder = (
  orders: readonly OpenOrder[],
  { agentId, workerId }: OrderTarget,
  now: clock.ClockReadings,
  ageMs: number,
): boolean =>
  orders.some(
    (it) =>
      it.agentId === agentId &&
      it.workerId === workerId &&
      leftMs(it, now) + REPORT_DELAY_MS >= leftAtAgeMs(ageMs),
  );

/**
 * @param orders - open orders of a task
 * @param now - the leader's clocks
 * @param isRefused - whether the worker that an order was sent to certainly refuses its copy
 * @returns for how much longer a copy may start the task; 0 where none may
 */
export const remainingMs = (
  orders: readonly OpenOrder[],
  now: clock.ClockReadings,
  isRefused: (order: OpenOrder) => boolean = () => false,
): number =>
  orders.reduce((left, it) => (isRefused(it) ? left : Math.max(left, leftMs(it, now))), 0);
