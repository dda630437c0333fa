/**
 * Runs callers' requests on the upstream of an agent's VM.
 */
import type * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import type * as metrics from '../../base/common/metrics.js';
import * as admission from '../../coordination/common/admission.js';
import type * as upstreamContract from '../../state/common/upstreamContract.js';
import type * as exchange from '../common/exchange.js';
import * as outcomeTable from '../common/outcomeTable.js';
import type * as requestRecord from '../common/requestRecord.js';

/** Load of the upstream, sent with every reply. */
export interface HostLoad {
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
}

/** Options of {@link createRequestHost}. */
export interface RequestHostOptions {
  /** Id of this start of the agent. */
  readonly bootId: string;
  readonly clock: clock.Clock;
  readonly metrics: metrics.Metrics;
  /** Sends a request to the upstream. */
  readonly call: http.HttpCall;
  /** Maximum number of requests that wait for a slot. */
  readonly maxQueued: number;
  /** A customer's share in the active configuration. */
  readonly shareOf: (customerId: string) => admission.CustomerShare;
}

/** Runs requests on one upstream. */
export interface RequestHost {
  readonly announce: (announcement: upstreamContract.Announcement) => void;
  readonly upstream: () => upstreamContract.Announcement | undefined;
  readonly load: () => HostLoad;
  /** Rejects all new requests from now on. */
  readonly startDraining: () => void;
  readonly exchange: (
    request: exchange.ExchangeRequest,
    body: Uint8Array,
  ) => Promise<requestRecord.Outcome>;
  /** Number of running and queued requests. */
  readonly openRequestCount: () => number;
  readonly bootId: string;
  /** Monotonic clock of this boot. */
  readonly clockMs: () => number;
}

/** An upstream that has not announced itself for this long counts as gone. */
export const ANNOUNCEMENT_TTL_MS = 5000;

/** Retry delay if the outcome table is full: its records expire evenly over two minutes. */
const TABLE_FULL_RETRY_MS = 2000;

const errorOutcome = (error: errors.AuburnliftError): requestRecord.Outcome => ({
  type: 'error',
  error: errors.toBody(error),
});

/**
 * Each running request uses one connection and may leave another one idle if the connection pool is
 * renewed meanwhile, so using at most half of the connections stays within the upstream's limit.
 */
const usableSlots = ({ slots, connections }: upstreamContract.Announcement): number =>
  Math.max(1, Math.min(slots, Math.floor(connections / 2)));

/** Errors for messages that neither start a run nor attach to one. */
const ARRIVAL_ERRORS = {
  full: () =>
    errors.fail('overloaded', 'the agent holds too many request records; the request did not run', {
      retryAfterMs: TABLE_FULL_RETRY_MS,
    }),
  answerDropped: () =>
    errors.fail('incompleteAnswer', 'the request ran; its answer is no longer retained'),
  neverRan: () => errors.fail('tombstoned', 'the request did not run on this agent and never will'),
  tooLate: () =>
    errors.fail('deadlineUnmeetable', 'the request arrived after its latest start; it did not run'),
  unknowable: () => errors.fail('outcomeUnknown', 'the agent can not tell whether the request ran'),
} as const;

/**
 * @param options - options
 * @returns a host without an upstream
 */
export const createRequestHost = (options: RequestHostOptions): RequestHost => {
  const { clock: timeSource } = options;
  const { maxQueued, shareOf } = options;
  const limits = { maxQueued, shareOf, order: admission.QueueOrder.fifo };
  const table = outcomeTable.createOutcomeTable(options.bootId);
  let load = admission.idle(1);
  let lastAnnouncement: upstreamContract.Announcement | undefined;
  let announcedAtMs = 0;
  let isLeaving = false;
  const slotWaiters = new Map<string, (isStarted: boolean) => void>();
  const pendingOutcomes = new Map<string, Promise<requestRecord.Outcome>>();

  const nowMs = (): number => timeSource.monotonicMs();
  const upstream = (): upstreamContract.Announcement | undefined =>
    nowMs() - announcedAtMs <= ANNOUNCEMENT_TTL_MS ? lastAnnouncement : undefined;
  const rejectionError = (): errors.AuburnliftError | undefined => {
    const target = upstream();
    if (target === undefined) return errors.fail('noUpstream', 'the VM has no live upstream');
    if (isLeaving || target.isLeaving) return errors.fail('draining', 'the upstream is draining');
    return undefined;
  };
  const releaseSlot = (key: string, heldMs: number | undefined): void => {
    const step = admission.release(load, limits, key, nowMs(), heldMs);
    load = step.next;
    step.started.forEach((it) => slotWaiters.get(it.requestId)?.(true));
    step.expired.forEach((it) => slotWaiters.get(it.requestId)?.(false));
  };
  const waitForSlot = async (key: string, deadlineAtMs: number): Promise<boolean> => {
    const isStarted = await new Promise<boolean>((resolve) => {
      // A later start would miss the deadline; reject while the caller can still use the reply.
      const lastStartMs = deadlineAtMs - load.serviceMs - nowMs();
      const timer = timeSource.after(Math.max(1, lastStartMs), () => resolve(false));
      slotWaiters.set(key, (started) => {
        void timer.dispose();
        resolve(started);
      });
    });
    slotWaiters.delete(key);
    if (!isStarted) releaseSlot(key, undefined);
    return isStarted;
  };
  const callUpstream = async (
    target: upstreamContract.Announcement,
    request: exchange.ExchangeRequest,
    body: Uint8Array,
    deadlineAtMs: number,
  ): Promise<requestRecord.Outcome> => {
    try {
      const reply = await options.call({
        address: http.parseAddress(target.url),
        method: request.method,
        path: request.path,
        headers: { 'content-type': request.contentType, 'request-id': request.requestId },
        body,
        timeoutMs: Math.max(1, deadlineAtMs - nowMs()),
      });
      const contentType = reply.headers['content-type'] ?? 'application/octet-stream';
      return {
        type: 'answer',
        answer: { status: reply.status, contentType, body: reply.body },
      };
    } catch (thrown) {
      const wasNotSent =
        thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
      const { message } = errors.normalize(thrown);
      if (wasNotSent) return errorOutcome(errors.fail('noUpstream', `unreachable: ${message}`));
      return errorOutcome(
        errors.fail('outcomeUnknown', `the upstream's answer was lost: ${message}`),
      );
    }
  };
  const runOnSlot = async (
    key: string,
    request: exchange.ExchangeRequest,
    body: Uint8Array,
    deadlineAtMs: number,
  ): Promise<requestRecord.Outcome> => {
    const target = upstream();
    const startedMs = nowMs();
    try {
      if (target === undefined) {
        return errorOutcome(errors.fail('noUpstream', 'the upstream is no longer announced'));
      }
      return await callUpstream(target, request, body, deadlineAtMs);
    } finally {
      releaseSlot(key, nowMs() - startedMs);
      options.metrics.time('auburnlift_upstream_ms', nowMs() - startedMs);
    }
  };
  const run = async (
    key: string,
    request: exchange.ExchangeRequest,
    body: Uint8Array,
  ): Promise<requestRecord.Outcome> => {
    const rejection = rejectionError();
    if (rejection !== undefined) return errorOutcome(rejection);
    const deadlineAtMs = nowMs() + request.remainingMs;
    const ticket = { requestId: key, customerId: request.customerId, deadlineAtMs };
    const step = admission.offer(load, limits, ticket, nowMs());
    load = step.next;
    if (step.decision.type === 'queue' && step.decision.displaced !== undefined) {
      slotWaiters.get(step.decision.displaced.requestId)?.(false);
    }
    if (step.decision.type === 'refuse') {
      const { kind, message, retryAfterMs } = step.decision;
      return errorOutcome(errors.fail(kind, message, { retryAfterMs }));
    }
    const hasSlot = step.decision.type === 'start' || (await waitForSlot(key, deadlineAtMs));
    if (!hasSlot) {
      return errorOutcome(errors.fail('deadlineUnmeetable', 'no slot became free in time'));
    }
    return runOnSlot(key, request, body, deadlineAtMs);
  };
  const startRun = (
    key: string,
    request: exchange.ExchangeRequest,
    body: Uint8Array,
  ): Promise<requestRecord.Outcome> => {
    const ended = run(key, request, body).then((outcome) => {
      table.end(request, outcome, nowMs());
      pendingOutcomes.delete(key);
      return outcome;
    });
    pendingOutcomes.set(key, ended);
    return ended;
  };
  const handleExchange = async (
    request: exchange.ExchangeRequest,
    body: Uint8Array,
  ): Promise<requestRecord.Outcome> => {
    const arrival = table.handle(request, nowMs());
    const key = outcomeTable.keyOf(request);
    if (arrival.type === 'run') return startRun(key, request, body);
    if (arrival.type === 'replay') return arrival.outcome;
    if (arrival.type !== 'attach') return errorOutcome(ARRIVAL_ERRORS[arrival.type]());
    const ended = pendingOutcomes.get(key);
    return ended ?? errorOutcome(errors.fail('outcomeUnknown', 'the run is not known'));
  };
  return {
    announce: (announcement) => {
      const slots = usableSlots(announcement);
      if (load.slots !== slots) load = { ...load, slots };
      lastAnnouncement = announcement;
      announcedAtMs = nowMs();
    },
    upstream,
    load: () => ({
      running: load.running.length,
      queued: load.queue.length,
      serviceMs: load.serviceMs,
      isLeaving: isLeaving || (lastAnnouncement?.isLeaving ?? false),
    }),
    startDraining: () => {
      isLeaving = true;
    },
    exchange: handleExchange,
    bootId: options.bootId,
    clockMs: () => Math.floor(nowMs()),
    openRequestCount: () => load.running.length + load.queue.length,
  };
};
