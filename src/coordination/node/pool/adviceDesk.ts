/**
 * Consent of the policy service, which alone knows the workers that may run a step. Which ones they are
 * never changes; the ticket that a start carries is valid for a while and for one life of the worker.
 *
 * Load it answers: the service takes a fixed time and more for each worker that is named, one call at a
 * time. So a call names a few workers only, and once some are allowed only these are named again.
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

/** What the desk needs. */
export interface AdviceDeskOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** Asks the policy service; throws where it does not answer. */
  readonly ask: (
    stepKey: string,
    workerIds: readonly string[],
    timeoutMs: number,
  ) => Promise<Advice>;
  readonly onDidAdvise: () => void;
}

/** Knows who may run which step. */
export interface AdviceDesk {
  /**
   * @param stepKey - a step of one occurrence
   * @param workerIds - workers that would suit it, the best first
   * @returns tickets that are valid now, by worker; undefined while the service is being asked
   */
  readonly ticketsFor: (
    stepKey: string,
    workerIds: readonly string[],
  ) => ReadonlyMap<string, string> | undefined;
  /** Forgets steps that are of no more interest. */
  readonly keepOnly: (stepKeys: ReadonlySet<string>) => void;
}

/** Workers named in one call: enough for most steps, and a second or so of the service's time. */
const WORKERS_A_CALL = 30;

/** A ticket has to be valid still when the start arrives: a store's write and an order later. */
const TICKET_SLACK_MS = 700;

/** Pause before the service is asked again after a refusal or silence. */
const RETRY_MS = 500;

/**
 * Wait for an answer: a call that is never answered holds up every other step for no longer than this. A
 * service that thinks longer is given twice the time after each failure, up to the longest.
 */
const FIRST_TIMEOUT_MS = 3000;
const MAX_TIMEOUT_MS = 15_000;

interface KnownStep {
  /** Workers that the service has been asked about. */
  readonly asked: Set<string>;
  readonly allowed: Set<string>;
  tickets: Map<string, string>;
  validUntilMs: number;
  isWaiting: boolean;
  notBeforeMs: number;
  timeoutMs: number;
}

/**
 * @param options - what the desk needs
 * @returns a desk that knows nothing yet
 */
export const createAdviceDesk = (options: AdviceDeskOptions): AdviceDesk => {
  const { clock: time, log, metrics } = options;
  const steps = new Map<string, KnownStep>();
  let last: Promise<unknown> = Promise.resolve();

  const stepOf = (stepKey: string): KnownStep => {
    const known = steps.get(stepKey);
    if (known !== undefined) return known;
    const created: KnownStep = {
      asked: new Set(),
      allowed: new Set(),
      tickets: new Map(),
      validUntilMs: 0,
      isWaiting: false,
      notBeforeMs: 0,
      timeoutMs: FIRST_TIMEOUT_MS,
    };
    steps.set(stepKey, created);
    return created;
  };

  const take = (step: KnownStep, workerIds: readonly string[], advice: Advice): void => {
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
    step: KnownStep,
    workerIds: readonly string[],
  ): Promise<void> => {
    const startedAtMs = time.monotonicMs();
    try {
      const advice = await options.ask(stepKey, workerIds, step.timeoutMs);
      take(step, workerIds, advice);
      log('info', 'advised', {
        step: stepKey,
        asked: workerIds.length,
        allowed: advice.ticketsByWorker.size,
        validMs: advice.validMs,
      });
    } catch (thrown) {
      step.timeoutMs = Math.min(2 * step.timeoutMs, MAX_TIMEOUT_MS);
      step.notBeforeMs = time.monotonicMs() + RETRY_MS;
      log('warn', 'adviceFailed', { step: stepKey, reason: errors.normalize(thrown).message });
    }
    metrics.time('auburnlift_advice_ms', time.monotonicMs() - startedAtMs);
    step.isWaiting = false;
    options.onDidAdvise();
  };

  const workersToAsk = (step: KnownStep, workerIds: readonly string[]): readonly string[] => {
    const allowed = workerIds.filter((it) => step.allowed.has(it));
    const open = workerIds.filter((it) => !step.asked.has(it));
    return [...allowed, ...open].slice(0, WORKERS_A_CALL);
  };

  return {
    ticketsFor: (stepKey, workerIds) => {
      const step = stepOf(stepKey);
      const nowMs = time.monotonicMs();
      if (nowMs < step.validUntilMs && step.tickets.size > 0) return step.tickets;
      if (step.isWaiting || nowMs < step.notBeforeMs) return undefined;
      const named = workersToAsk(step, workerIds);
      if (named.length === 0) return undefined;
      step.isWaiting = true;
      // The service handles one call of a machine at a time; more would only wait there.
      last = last.then(() => ask(stepKey, step, named));
      return undefined;
    },
    keepOnly: (stepKeys) => {
      for (const key of [...steps.keys()]) if (!stepKeys.has(key)) steps.delete(key);
    },
  };
};
