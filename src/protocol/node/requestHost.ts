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

/** Load that travels with every answer. */
export interface HostLoad {
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
}

/** What the host needs. */
export interface RequestHostOptions {
  readonly clock: clock.Clock;
  readonly metrics: metrics.Metrics;
  /** Sends a request to the upstream. */
  readonly call: http.HttpCall;
  /** Most requests that wait for a slot. */
  readonly maxQueued: number;
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
  ) => Promise<outcomeTable.Outcome>;
  /** Requests that run or wait. */
  readonly openRequests: () => number;
}

/** An upstream that has not announced itself for this long is gone. */
export const ANNOUNCEMENT_TTL_MS = 5000;

const errorOutcome = (error: errors.AuburnliftError): outcomeTable.Outcome => ({
  type: 'error',
  error: errors.toBody(error),
});

/**
 * @param options - what the host needs
 * @returns a host without upstream
 */
export const createRequestHost = (options: RequestHostOptions): RequestHost => {
  const { clock: timeSource } = options;
  let table: outcomeTable.OutcomeTable = new Map();
  let load = admission.idle(1);
  let announced: upstreamContract.Announcement | undefined;
  let announcedAtMs = 0;
  let isLeaving = false;
  const waiting = new Map<string, (isStarted: boolean) => void>();
  const ends = new Map<string, Promise<outcomeTable.Outcome>>();

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
    const step = admission.release(load, key, nowMs(), heldMs);
    load = step.next;
    step.started.forEach((it) => waiting.get(it.requestId)?.(true));
    step.expired.forEach((it) => waiting.get(it.requestId)?.(false));
  };
  const waitForSlot = async (key: string, deadlineAtMs: number): Promise<boolean> => {
    const isStarted = await new Promise<boolean>((resolve) => {
      const timer = timeSource.after(deadlineAtMs - nowMs(), () => resolve(false));
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
  ): Promise<outcomeTable.Outcome> => {
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
  ): Promise<outcomeTable.Outcome> => {
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
  ): Promise<outcomeTable.Outcome> => {
    const refused = refusal();
    if (refused !== undefined) return errorOutcome(refused);
    const deadlineAtMs = nowMs() + request.remainingMs;
    const ticket = { requestId: key, customerId: request.customerId, deadlineAtMs };
    const step = admission.offer(load, options, ticket, nowMs());
    load = step.next;
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
  ): Promise<outcomeTable.Outcome> => {
    const ended = run(key, request, body).then((outcome) => {
      table = outcomeTable.end(table, key, outcome, nowMs());
      ends.delete(key);
      return outcome;
    });
    ends.set(key, ended);
    return ended;
  };
  return {
    announce: (announcement) => {
      if (announced?.slots !== announcement.slots) {
        load = { ...load, slots: announcement.slots };
      }
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
    exchange: async (request, body) => {
      const key = outcomeTable.outcomeKey(request.customerId, request.requestId);
      table = outcomeTable.expire(table, nowMs());
      const step = outcomeTable.arrive(table, key, request.mode, nowMs());
      table = step.next;
      switch (step.arrival.type) {
        case 'run':
          return begin(key, request, body);
        case 'attach':
          return (
            ends.get(key) ?? errorOutcome(errors.fail('outcomeUnknown', 'the run is not known'))
          );
        case 'replay':
          return step.arrival.outcome;
        default:
          return errorOutcome(errors.fail('tombstoned', 'it did not run here and never will'));
      }
    },
    openRequests: () => load.running.length + load.queue.length,
  };
};
