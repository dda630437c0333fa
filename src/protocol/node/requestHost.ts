/**
 * The part of an agent that runs callers' requests on the upstream of its VM.
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

/** Load that travels with every answer. */
export interface HostLoad {
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
}

/** What the host needs. */
export interface RequestHostOptions {
  /** Changes with each start of the agent. */
  readonly bootId: string;
  readonly clock: clock.Clock;
  readonly metrics: metrics.Metrics;
  /** Sends a request to the upstream. */
  readonly call: http.HttpCall;
  /** Most requests that wait for a slot. */
  readonly maxQueued: number;
  /** What the configuration in force gives a customer. */
  readonly shareOf: (customerId: string) => admission.CustomerShare;
}

/** Runs requests on one upstream. */
export interface RequestHost {
  readonly announce: (announcement: upstreamContract.Announcement) => void;
  readonly upstream: () => upstreamContract.Announcement | undefined;
  readonly load: () => HostLoad;
  /** Refuses everything new from now on. */
  readonly leave: () => void;
  readonly exchange: (
    request: exchange.ExchangeRequest,
    body: Uint8Array,
  ) => Promise<requestRecord.Outcome>;
  /** Requests that run or wait. */
  readonly openRequests: () => number;
  readonly bootId: string;
  /** Monotonic time of this boot. */
  readonly clockMs: () => number;
}

/** An upstream that has not announced itself for this long is gone. */
export const ANNOUNCEMENT_TTL_MS = 5000;

/** Records free up as their time passes, evenly over two minutes. */
const FULL_RETRY_MS = 2000;

const errorOutcome = (error: errors.AuburnliftError): requestRecord.Outcome => ({
  type: 'error',
  error: errors.toBody(error),
});

/**
 * Each request in work has one connection, and each may leave one idle behind when the pool is
 * renewed under it; with half of the connections in use at the most, the upstream's limit holds.
 */
const usableSlots = ({ slots, connections }: upstreamContract.Announcement): number =>
  Math.max(1, Math.min(slots, Math.floor(connections / 2)));

/** What a message is told that neither runs nor has a run to wait for. */
const ARRIVAL_ERRORS = {
  full: () =>
    errors.fail('overloaded', 'no room to remember another request', {
      retryAfterMs: FULL_RETRY_MS,
    }),
  answerDropped: () => errors.fail('incompleteAnswer', 'it ran; its answer is no longer kept'),
  neverRan: () => errors.fail('tombstoned', 'it did not run here and never will'),
  tooLate: () => errors.fail('deadlineUnmeetable', 'it came after its last start; it did not run'),
  unknowable: () => errors.fail('outcomeUnknown', 'this boot of the agent can not know'),
} as const;

/**
 * @param options - what the host needs
 * @returns a host without upstream
 */
export const createRequestHost = (options: RequestHostOptions): RequestHost => {
  const { clock: timeSource } = options;
  const { maxQueued, shareOf } = options;
  const limits = { maxQueued, shareOf, order: admission.QueueOrder.fifo };
  const table = outcomeTable.createOutcomeTable(options.bootId);
  let load = admission.idle(1);
  let announced: upstreamContract.Announcement | undefined;
  let announcedAtMs = 0;
  let isLeaving = false;
  const waiting = new Map<string, (isStarted: boolean) => void>();
  const ends = new Map<string, Promise<requestRecord.Outcome>>();

  const nowMs = (): number => timeSource.monotonicMs();
  const upstream = (): upstreamContract.Announcement | undefined =>
    nowMs() - announcedAtMs <= ANNOUNCEMENT_TTL_MS ? announced : undefined;
  const refusal = (): errors.AuburnliftError | undefined => {
    const target = upstream();
    if (target === undefined) return errors.fail('noUpstream', 'no upstream is on this VM');
    if (isLeaving || target.isLeaving) return errors.fail('draining', 'the upstream is leaving');
    return undefined;
  };
  const release = (key: string, heldMs: number | undefined): void => {
    const step = admission.release(load, limits, key, nowMs(), heldMs);
    load = step.next;
    step.started.forEach((it) => waiting.get(it.requestId)?.(true));
    step.expired.forEach((it) => waiting.get(it.requestId)?.(false));
  };
  const waitForSlot = async (key: string, deadlineAtMs: number): Promise<boolean> => {
    const isStarted = await new Promise<boolean>((resolve) => {
      // Past this moment it could not be answered in time: its refusal goes out while it is of use.
      const lastStartMs = deadlineAtMs - load.serviceMs - nowMs();
      const timer = timeSource.after(Math.max(1, lastStartMs), () => resolve(false));
      waiting.set(key, (started) => {
        void timer.dispose();
        resolve(started);
      });
    });
    waiting.delete(key);
    if (!isStarted) release(key, undefined);
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
      const isUnseen =
        thrown instanceof http.HttpCallError && thrown.failure === http.HttpFailure.notSent;
      const { message } = errors.normalize(thrown);
      if (isUnseen) return errorOutcome(errors.fail('noUpstream', `not reached: ${message}`));
      return errorOutcome(
        errors.fail('outcomeUnknown', `the upstream's answer is lost: ${message}`),
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
        return errorOutcome(errors.fail('noUpstream', 'the upstream went away'));
      }
      return await callUpstream(target, request, body, deadlineAtMs);
    } finally {
      release(key, nowMs() - startedMs);
      options.metrics.time('auburnlift_upstream_ms', nowMs() - startedMs);
    }
  };
  const run = async (
    key: string,
    request: exchange.ExchangeRequest,
    body: Uint8Array,
  ): Promise<requestRecord.Outcome> => {
    const refused = refusal();
    if (refused !== undefined) return errorOutcome(refused);
    const deadlineAtMs = nowMs() + request.remainingMs;
    const ticket = { requestId: key, customerId: request.customerId, deadlineAtMs };
    const step = admission.offer(load, limits, ticket, nowMs());
    load = step.next;
    if (step.decision.type === 'queue' && step.decision.displaced !== undefined) {
      waiting.get(step.decision.displaced.requestId)?.(false);
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
  const begin = (
    key: string,
    request: exchange.ExchangeRequest,
    body: Uint8Array,
  ): Promise<requestRecord.Outcome> => {
    const ended = run(key, request, body).then((outcome) => {
      table.end(request, outcome, nowMs());
      ends.delete(key);
      return outcome;
    });
    ends.set(key, ended);
    return ended;
  };
  const answerTo = async (
    request: exchange.ExchangeRequest,
    body: Uint8Array,
  ): Promise<requestRecord.Outcome> => {
    const arrival = table.arrive(request, nowMs());
    const key = outcomeTable.keyOf(request);
    if (arrival.type === 'run') return begin(key, request, body);
    if (arrival.type === 'replay') return arrival.outcome;
    if (arrival.type !== 'attach') return errorOutcome(ARRIVAL_ERRORS[arrival.type]());
    const ended = ends.get(key);
    return ended ?? errorOutcome(errors.fail('outcomeUnknown', 'the run is not known'));
  };
  return {
    announce: (announcement) => {
      const slots = usableSlots(announcement);
      if (load.slots !== slots) load = { ...load, slots };
      announced = announcement;
      announcedAtMs = nowMs();
    },
    upstream,
    load: () => ({
      running: load.running.length,
      queued: load.queue.length,
      serviceMs: load.serviceMs,
      isLeaving: isLeaving || (announced?.isLeaving ?? false),
    }),
    leave: () => {
      isLeaving = true;
    },
    exchange: answerTo,
    bootId: options.bootId,
    clockMs: () => Math.floor(nowMs()),
    openRequests: () => load.running.length + load.queue.length,
  };
};
