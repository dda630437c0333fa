/**
 * Determines who borrows next and by which rule: shares between customers by the weights of their
 * rules, and the order of jobs within a customer.
 */
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';

import type * as planningRound from './planningRound.js';
import * as runEstimates from './runEstimates.js';

/** One customer's queue with the rules under which it borrows. */
export interface Lane {
  readonly customerId: string;
  readonly rules: readonly configuration.SpareRule[];
  readonly weight: number;
  readonly queue: readonly job.JobRecord[];
  next: number;
}

/** Accelerators lent now. */
export interface Borrowing {
  /** Accelerators by rule and customer. */
  readonly byRule: Map<string, number>;
  readonly byCustomer: Map<string, number>;
}

/**
 * @param ruleId - a rule
 * @param customerId - a customer
 * @returns the key of the customer's borrowing under the rule
 */
export const ruleKey = (ruleId: string, customerId: string): string => `${ruleId}\n${customerId}`;

const add = (counts: Map<string, number>, key: string, by: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + by);
};

/**
 * @param jobs - the cell's jobs
 * @returns accelerators that they borrow
 */
export const borrowingOf = (jobs: readonly job.JobRecord[]): Borrowing => {
  const borrowing: Borrowing = { byRule: new Map(), byCustomer: new Map() };
  for (const record of jobs) {
    if (record.spec.claim !== job.Claim.spare || record.placement.length === 0) continue;
    note(borrowing, record, record.ruleId ?? '');
  }
  return borrowing;
};

/**
 * @param borrowing - accelerators lent; changed
 * @param record - a job that borrows
 * @param ruleId - its rule
 */
export const note = (borrowing: Borrowing, record: job.JobRecord, ruleId: string): void => {
  const accelerators = job.acceleratorsOf(record);
  const { customerId } = record.spec;
  add(borrowing.byRule, ruleKey(ruleId, customerId), accelerators);
  add(borrowing.byCustomer, customerId, accelerators);
};

/**
 * Exponent of the work with all weight on fragmentation. With 0 the order would be first come,
 * first served, and the mean completion time would double behind one long job.
 */
const MIN_WORK_EXPONENT = 0.5;

/**
 * Orders one customer's jobs. With weight on completion time the least expected work goes first;
 * with weight on fragmentation the order is closer to first come, first served, so that large jobs
 * are overtaken less often.
 *
 * @param round - the round
 * @param record - a queued job
 * @returns a rank; the lowest goes first
 */
export const rankOf = (round: planningRound.PlanningRound, record: job.JobRecord): number => {
  const { completionWeight, largeJobWaitMs } = round.view.document.placement;
  const { nowMs } = round.view;
  const quantile = runEstimates.ORDER_QUANTILE;
  const leftMs = runEstimates.remainingMs(round.estimates, record, nowMs, quantile);
  const work = leftMs * job.acceleratorsOf(record);
  const waitedMs = Math.max(0, nowMs - record.submittedAtMs);
  const exponent = MIN_WORK_EXPONENT + (1 - MIN_WORK_EXPONENT) * completionWeight;
  return work ** exponent / (1 + waitedMs / Math.max(1, largeJobWaitMs));
};

/**
 * @param round - the round
 * @param queued - queued jobs that borrow
 * @returns a lane for each of their customers
 */
export const lanesOf = (
  round: planningRound.PlanningRound,
  queued: readonly job.JobRecord[],
): Lane[] => {
  const { document, cell } = round.view;
  const byCustomer = new Map<string, { readonly record: job.JobRecord; readonly rank: number }[]>();
  for (const record of queued) {
    const lane = byCustomer.get(record.spec.customerId) ?? [];
    lane.push({ record, rank: rankOf(round, record) });
    byCustomer.set(record.spec.customerId, lane);
  }
  return [...byCustomer].map(([customerId, ranked]) => {
    const rules = document.rules.filter(
      (rule) =>
        rule.customerIds.includes(customerId) &&
        (rule.cells.length === 0 || rule.cells.includes(cell)),
    );
    ranked.sort((a, b) => a.rank - b.rank);
    const weight = Math.max(0.01, ...rules.map((it) => it.weight));
    return { customerId, rules, weight, queue: ranked.map((it) => it.record), next: 0 };
  });
};

/**
 * @param lanes - the customers' lanes
 * @param borrowing - accelerators lent
 * @returns the lane of the customer with the least borrowing for its weight that has untried jobs
 */
export const nextLane = (lanes: readonly Lane[], borrowing: Borrowing): Lane | undefined => {
  let best: Lane | undefined;
  let bestShare = Number.POSITIVE_INFINITY;
  for (const lane of lanes) {
    if (lane.next >= lane.queue.length) continue;
    const share = (borrowing.byCustomer.get(lane.customerId) ?? 0) / lane.weight;
    if (share < bestShare) {
      best = lane;
      bestShare = share;
    }
  }
  return best;
};

/**
 * @param lane - a customer's lane
 * @param borrowing - accelerators lent
 * @param accelerators - accelerators that a job requests
 * @returns the first rule that allows it
 */
export const ruleFor = (
  lane: Lane,
  borrowing: Borrowing,
  accelerators: number,
): configuration.SpareRule | undefined =>
  lane.rules.find((rule) => {
    const borrowed = borrowing.byRule.get(ruleKey(rule.ruleId, lane.customerId)) ?? 0;
    return borrowed + accelerators <= rule.maxAccelerators;
  });
