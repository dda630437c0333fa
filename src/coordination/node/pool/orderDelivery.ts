/**
 * Delivers the leader's orders from an agent to its worker.
 *
 * Guards against an unanswered order: it is retried up to a limit. Retries are safe, since a worker identifies
 * each run by its number. Guards against an order of many starts: sent all at once they exceed the memory of the agent, and
 * the worker serves them later than the leader waits. What can't be sent in time is refused and not sent.
 */
import * as callLimit from '../../../base/common/callLimit.js';
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import * as agentContract from '../../../state/common/pool/agentContract.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import type * as incarnationHistory from '../../common/pool/incarnationHistory.js';
import type * as openStarts from '../../common/pool/openStarts.js';

/** Dependencies of the delivery. */
export interface OrderDeliveryOptions {
  readonly worker: agentContract.WorkerApi;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  /** The worker's newest information about itself. */
  readonly info: () => poolWorker.WorkerInfo | undefined;
  /** The worker's newest report. */
  readonly report: () => poolWorker.WorkerReport | undefined;
  /** The clock of an incarnation of the worker, at least; undefined for one that has not reported yet. */
  readonly clockMsOf: (incarnationMs: number) => number | undefined;
  /** @returns the fence to send to the worker with an order of this fence of the leader */
  readonly workerFence: (leaderFence: number) => number;
  /** Start orders whose copies may still arrive. */
  readonly sentStarts: openStarts.OpenStarts;
  readonly history: Pick<incarnationHistory.IncarnationHistory, 'trackStart'>;
}

/** Delivers orders; each call settles once the order is answered or all its copies have been sent. */
export interface OrderDelivery {
  readonly start: (
    request: agentContract.OrderRequest,
    command: agentContract.StartCommand,
  ) => Promise<agentContract.OrderResult>;
  readonly stop: (
    request: agentContract.OrderRequest,
    command: agentContract.StopCommand,
  ) => Promise<agentContract.OrderResult>;
  readonly pace: (
    request: agentContract.OrderRequest,
    command: agentContract.PaceCommand,
  ) => Promise<agentContract.OrderResult>;
}

/** Attempts to deliver one order; the worker is on the same machine and answers in a millisecond. */
const ORDER_ATTEMPTS = 3;

/** Starts that are sent to the worker at the same time; it serves them one after the other. */
const MAX_OPEN_STARTS = 16;

/** A start waits this long for earlier ones; with its attempts it is settled before the leader stops waiting. */
const MAX_START_WAIT_MS = 600;

/** The result of an order that was not sent to the worker. */
const refused = (
  { task, run }: Pick<agentContract.OrderResult, 'task' | 'run'>,
  reason: string,
): agentContract.OrderResult => ({ task, run, outcome: 'refused', reason, hasOpenCopy: false });

/** What may end the attempts to deliver an order. */
interface AttemptOptions {
  /** Whether the worker is known to have carried it out. */
  readonly isCarriedOut?: () => boolean;
  /** Whether it may be sent again after an attempt without an answer. */
  readonly mayRepeat?: () => boolean;
}

/**
 * @param options - its dependencies
 * @returns the delivery
 */
export const createOrderDelivery = (options: OrderDeliveryOptions): OrderDelivery => {
  const { worker, clock: time, log, metrics, workerFence, sentStarts, history } = options;

  const refusalOf = (request: agentContract.OrderRequest): string | undefined => {
    const info = options.info();
    if (info === undefined) return 'no heartbeat of the worker has been received yet';
    if (info.workerId !== request.workerId || info.incarnationMs !== request.incarnationMs) {
      return 'the order is for another incarnation of the worker';
    }
    return undefined;
  };

  /** The order may have been on its way while its zone was evacuated. */
  const isTooLateToStart = ({
    incarnationMs,
    startsUntilMs,
  }: agentContract.OrderRequest): boolean =>
    startsUntilMs !== undefined && (options.clockMsOf(incarnationMs) ?? Infinity) > startsUntilMs;

  const startRefusalOf = (request: agentContract.OrderRequest): string | undefined => {
    const refusal = refusalOf(request);
    if (refusal !== undefined) return refusal;
    if (options.info()?.state !== poolWorker.WorkerState.ready) {
      return 'the worker is not ready for new tasks';
    }
    return isTooLateToStart(request) ? 'the zone may have been evacuated since' : undefined;
  };

  /** @returns whether a report shows that the worker has carried out a start, although its answer is missing */
  const isReported = (
    { incarnationMs }: agentContract.OrderRequest,
    { task, run }: agentContract.StartCommand,
  ): boolean => {
    const view = options.report();
    if (view?.incarnationMs !== incarnationMs) return false;
    return [...view.running, ...view.ended].some((it) => it.task === task && it.run === run);
  };

  const attempt = async (
    request: agentContract.OrderRequest,
    send: () => Promise<agentContract.WorkerAnswer>,
    { isCarriedOut = () => false, mayRepeat = () => true }: AttemptOptions = {},
  ): Promise<agentContract.DeliveryResult> => {
    let answer = await send();
    const hasOpenCopy = answer.outcome === 'unknown';
    for (let tries = 1; tries < ORDER_ATTEMPTS && answer.outcome === 'unknown'; tries += 1) {
      // A new incarnation would execute again what the previous one may already have executed.
      if (refusalOf(request) !== undefined || !mayRepeat()) break;
      // A run that has ended here would begin again in a new incarnation that no heartbeat has announced yet.
      answer = isCarriedOut() ? { outcome: 'accepted', reason: 'reported' } : await send();
    }
    // After an unanswered attempt a refusal is not conclusive: the delayed duplicate may still take effect.
    return hasOpenCopy && answer.outcome === 'refused'
      ? { outcome: 'unknown', reason: answer.reason, hasOpenCopy }
      : { ...answer, hasOpenCopy };
  };

  const sendStart: OrderDelivery['start'] = async (request, command) => {
    const { task, run, jobId, leaseUntilMs, saved, ticket } = command;
    const refusal = startRefusalOf(request);
    if (refusal !== undefined) return refused(command, refusal);
    if (leaseUntilMs === 0) return refused(command, 'no lease was granted');
    const payload = request.payloads[jobId] ?? '';
    const order = { task, run, payload, leaseUntilMs, saved, ticket };
    const { workerId, fence: orderFence } = request;
    const settle = sentStarts.track({ task, workerId, fence: orderFence });
    const settleRun = history.trackStart(task, run);
    const answer = await attempt(
      request,
      () => worker.start(request.workerId, { ...order, fence: workerFence(request.fence) }),
      {
        isCarriedOut: () => isReported(request, command),
        mayRepeat: () => !isTooLateToStart(request),
      },
    );
    settle(answer.hasOpenCopy);
    settleRun(answer.outcome);
    metrics.count('auburnlift_worker_starts_total', { outcome: answer.outcome });
    log('info', 'startGiven', { task, run, fence: request.fence, ...answer });
    return { task, run, ...answer };
  };

  const starts = callLimit.createCallLimit(MAX_OPEN_STARTS);
  const start: OrderDelivery['start'] = (request, command) => {
    const receivedAtMs = time.monotonicMs();
    return starts.run(() => {
      const isInTime = time.monotonicMs() - receivedAtMs <= MAX_START_WAIT_MS;
      return isInTime
        ? sendStart(request, command)
        : Promise.resolve(refused(command, 'too many earlier starts are on their way'));
    });
  };

  const stop: OrderDelivery['stop'] = async (request, { task, run }) => {
    const refusal = refusalOf(request);
    if (refusal !== undefined) return refused({ task, run }, refusal);
    const answer = await attempt(request, () =>
      worker.stop(request.workerId, { task, run, fence: workerFence(request.fence) }),
    );
    log('info', 'stopGiven', { task, run, fence: request.fence, ...answer });
    return { task, run, ...answer };
  };

  const pace: OrderDelivery['pace'] = async (request, { task, run, percent }) => {
    const refusal = refusalOf(request);
    if (refusal !== undefined) return refused({ task, run }, refusal);
    const order = { task, run, percent };
    const answer = await attempt(request, () =>
      worker.pace(request.workerId, { ...order, fence: workerFence(request.fence) }),
    );
    log('info', 'paceGiven', { task, run, percent, fence: request.fence, ...answer });
    return { task, run, ...answer };
  };

  return { start, stop, pace };
};
