/**
 * Caches the tickets of the policy service, which alone decides which workers may run a step. The set of
 * allowed workers never changes; a ticket is valid for a limited time and for one incarnation of the worker.
 *
 * The service handles one call at a time and takes a fixed time plus some time per worker named. So a call
 * names few workers, allowed ones first, and a worker that was not allowed is never named again.
 */
import type * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';

/** Tickets by worker, and how long they are valid. */
export interface Advice {
  readonly ticketsByWorker: ReadonlyMap<string, string>;
  readonly validMs: number;
}

/** Dependencies of the ticket cache. */
export interface TicketCacheOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** Calls the policy service; throws if it does not answer. */
  readonly ask: (
    stepKey: string,
    workerIds: readonly string[],
    timeoutMs: number,
  ) => Promise<Advice>;
  readonly onDidAdvise: () => void;
}

/** Tickets by step and worker. */
export interface TicketCache {
  /**
   * @param stepKey - a step of one occurrence
   * @param workerIds - workers that could run it, the best first
   * @returns currently valid tickets by worker; undefined if there are none yet, and the service is asked for them
   */
  readonly ticketsFor: (
    stepKey: string,
    workerIds: readonly string[],
  ) => ReadonlyMap<string, string> | undefined;
  /** Drops all other steps from the cache. */
  readonly retainOnly: (stepKeys: ReadonlySet<string>) => void;
}

/** Workers named in one call: enough for most steps, and takes the service about a second. */
const MAX_WORKERS_PER_CALL = 30;

/** A ticket must still be valid when the start order arrives, after a store write and the order itself. */
const TICKET_SLACK_MS = 700;

/** Delay before the service is asked again after a call that failed. */
const RETRY_MS = 500;

/**
 * Time-out of a call: calls are made one at a time, so one that is never answered delays all other steps this
 * long. For a slow service the time-out is doubled after each failure, up to the maximum.
 */
const FIRST_TIMEOUT_MS = 3000;
const MAX_TIMEOUT_MS = 15_000;

interface StepState {
  /** Workers that were named in an answered call. */
  readonly asked: Set<string>;
  readonly allowed: Set<string>;
  tickets: Map<string, string>;
  validUntilMs: number;
  isCallInFlight: boolean;
  retryAtMs: number;
  timeoutMs: number;
}

/**
 * @param options - its dependencies
 * @returns an empty cache
 */
export const createTicketCache = (options: TicketCacheOptions): TicketCache => {
  const { clock: time, log, metrics } = options;
  const steps = new Map<string, StepState>();
  let lastCall: Promise<unknown> = Promise.resolve();

  const getStep = (stepKey: string): StepState => {
    const known = steps.get(stepKey);
    if (known !== undefined) return known;
    const created: StepState = {
      asked: new Set(),
      allowed: new Set(),
      tickets: new Map(),
      validUntilMs: 0,
      isCallInFlight: false,
      retryAtMs: 0,
      timeoutMs: FIRST_TIMEOUT_MS,
    };
    steps.set(stepKey, created);
    return created;
  };

  const storeAdvice = (step: StepState, workerIds: readonly string[], advice: Advice): void => {
    workerIds.forEach((it) => step.asked.add(it));
    if (time.monotonicMs() >= step.validUntilMs) step.tickets = new Map();
    for (const [workerId, ticket] of advice.ticketsByWorker) {
      step.allowed.add(workerId);
      step.tickets.set(workerId, ticket);
    }
    step.validUntilMs = time.monotonicMs() + advice.validMs - TICKET_SLACK_MS;
  };

  const ask = async (
    stepKey: string,
    step: StepState,
    workerIds: readonly string[],
  ): Promise<void> => {
    const startedAtMs = time.monotonicMs();
    try {
      const advice = await options.ask(stepKey, workerIds, step.timeoutMs);
      storeAdvice(step, workerIds, advice);
      log('info', 'advised', {
        step: stepKey,
        asked: workerIds.length,
        allowed: advice.ticketsByWorker.size,
        validMs: advice.validMs,
      });
    } catch (thrown) {
      step.timeoutMs = Math.min(2 * step.timeoutMs, MAX_TIMEOUT_MS);
      step.retryAtMs = time.monotonicMs() + RETRY_MS;
      log('warn', 'adviceFailed', { step: stepKey, reason: errors.normalize(thrown).message });
    }
    metrics.time('auburnlift_advice_ms', time.monotonicMs() - startedAtMs);
    step.isCallInFlight = false;
    options.onDidAdvise();
  };

  const workersToAsk = (step: StepState, workerIds: readonly string[]): readonly string[] => {
    const allowed = workerIds.filter((it) => step.allowed.has(it));
    const unasked = workerIds.filter((it) => !step.asked.has(it));
    return [...allowed, ...unasked].slice(0, MAX_WORKERS_PER_CALL);
  };

  return {
    ticketsFor: (stepKey, workerIds) => {
      const step = getStep(stepKey);
      const nowMs = time.monotonicMs();
      if (nowMs < step.validUntilMs && step.tickets.size > 0) return step.tickets;
      if (step.isCallInFlight || nowMs < step.retryAtMs) return undefined;
      const toAsk = workersToAsk(step, workerIds);
      if (toAsk.length === 0) return undefined;
      step.isCallInFlight = true;
      // The service handles one call per machine at a time; concurrent calls would only queue there.
      lastCall = lastCall.then(() => ask(stepKey, step, toAsk));
      return undefined;
    },
    retainOnly: (stepKeys) => {
      for (const key of [...steps.keys()]) if (!stepKeys.has(key)) steps.delete(key);
    },
  };
};
