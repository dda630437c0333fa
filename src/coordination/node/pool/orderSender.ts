/**
 * Sends the leader's orders. Orders to one worker from the same turn of the event loop are sent in one message.
 */
import type * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import * as agentContract from '../../../state/common/pool/agentContract.js';
import * as leaseClock from '../../common/pool/leaseClock.js';
import type * as workerTable from '../../common/pool/workerTable.js';

import * as agentSession from './agentSession.js';

/** A run to start. */
export interface StartOrder {
  readonly run: workerTable.ActiveRun;
  readonly ticket: string | undefined;
}

/** The result of an order; `unknown` if no answer was received. */
export interface SettledOrder {
  readonly run: workerTable.ActiveRun;
  readonly outcome: agentContract.OrderOutcome;
  readonly reason: string;
  /** A delayed duplicate of it may still take effect. */
  readonly hasOpenCopy: boolean;
}

/** The results of one message of orders. */
export interface SettledOrders {
  readonly worker: workerTable.WorkerEntry;
  readonly starts: readonly SettledOrder[];
  readonly stops: readonly SettledOrder[];
  /** The agent's update about the worker; undefined if no answer was received. */
  readonly news: agentContract.WorkerUpdate | undefined;
  readonly isNewsLater: boolean;
  readonly receivedAtMs: number;
}

/** Dependencies of the order sender. */
export interface OrderSenderOptions {
  readonly link: agentContract.AgentApi;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Duration of the leases granted; 0 while the leadership is not certain. */
  readonly grantMs: () => number;
  /** Leader's clock until which starts are certainly allowed; Infinity without a limit. */
  readonly startsUntilMs: () => number;
  readonly onSettled: (settled: SettledOrders) => void;
}

/** Sends orders. */
export interface OrderSender {
  readonly start: (worker: workerTable.WorkerEntry, order: StartOrder) => void;
  readonly stop: (worker: workerTable.WorkerEntry, run: workerTable.ActiveRun) => void;
  readonly dispose: () => void;
}

interface PendingOrders {
  readonly worker: workerTable.WorkerEntry;
  readonly starts: StartOrder[];
  readonly stops: workerTable.ActiveRun[];
}

const toStartCommand = (order: StartOrder, leaseUntilMs: number): agentContract.StartCommand => ({
  task: order.run.name,
  run: order.run.run,
  jobId: order.run.entry.job.jobId,
  leaseUntilMs,
  saved: order.run.task.saved,
  ...(order.ticket === undefined ? {} : { ticket: order.ticket }),
});

/** @returns the limit for starts on the clock of the worker's incarnation; 0, which is past, where it is not known */
const startLimitOf = (
  { info, sample }: workerTable.WorkerEntry,
  startsUntilMs: number,
): Pick<agentContract.OrderRequest, 'startsUntilMs'> => {
  if (startsUntilMs === Infinity) return {};
  if (sample === undefined || sample.incarnationMs !== info?.incarnationMs) {
    return { startsUntilMs: 0 };
  }
  return { startsUntilMs: Math.max(0, leaseClock.toWorkerClockMs(sample, startsUntilMs)) };
};

const toResults = (
  runs: readonly workerTable.ActiveRun[],
  results: readonly agentContract.OrderResult[],
): SettledOrder[] =>
  runs.map((run, index) => ({
    run,
    outcome: results[index]?.outcome ?? agentContract.OrderOutcome.unknown,
    reason: results[index]?.reason ?? 'no answer',
    hasOpenCopy: results[index]?.hasOpenCopy ?? true,
  }));

/**
 * @param options - its dependencies
 * @returns a sender without pending orders
 */
export const createOrderSender = (options: OrderSenderOptions): OrderSender => {
  const pending = new Map<string, PendingOrders>();
  let isDisposed = false;

  const requestOf = (its: PendingOrders, info: { workerId: string; incarnationMs: number }) => {
    const nowMs = options.clock.monotonicMs();
    const leaseUntilMs = agentSession.grantLease(its.worker, nowMs, options.grantMs());
    const payloads: Record<string, string> = {};
    for (const { run } of its.starts) {
      payloads[run.entry.job.jobId] = run.entry.job.payload;
    }
    return {
      fence: its.worker.fence,
      workerId: info.workerId,
      incarnationMs: info.incarnationMs,
      ...startLimitOf(its.worker, options.startsUntilMs()),
      payloads,
      // Nothing may run without a lease: if none was granted, `leaseUntilMs` is 0 and the agent refuses the start.
      starts: its.starts.map((order) => toStartCommand(order, leaseUntilMs)),
      stops: its.stops.map(({ name, run }) => ({ task: name, run })),
      paces: [],
    };
  };

  const reportResults = (its: PendingOrders, reply: agentContract.OrderReply | undefined): void => {
    options.onSettled({
      worker: its.worker,
      starts: toResults(
        its.starts.map(({ run }) => run),
        reply?.starts ?? [],
      ),
      stops: toResults(its.stops, reply?.stops ?? []),
      news: reply?.news,
      isNewsLater: reply?.isNewsLater ?? false,
      receivedAtMs: options.clock.monotonicMs(),
    });
  };

  const send = async (its: PendingOrders): Promise<void> => {
    const { info, url, agentId } = its.worker;
    let reply: agentContract.OrderReply | undefined;
    try {
      if (info !== undefined) reply = await options.link.order(url, requestOf(its, info));
    } catch (thrown) {
      const { message } = errors.normalize(thrown);
      options.log('warn', 'ordersUnanswered', {
        agent: agentId,
        starts: its.starts.length,
        stops: its.stops.length,
        reason: message,
      });
    }
    if (!isDisposed) reportResults(its, reply);
  };

  const flush = async (): Promise<void> => {
    await Promise.resolve();
    const all = [...pending.values()];
    pending.clear();
    for (const its of all) void send(its);
  };

  const pendingFor = (worker: workerTable.WorkerEntry): PendingOrders => {
    const known = pending.get(worker.agentId);
    if (known !== undefined) return known;
    const created: PendingOrders = { worker, starts: [], stops: [] };
    pending.set(worker.agentId, created);
    if (pending.size === 1) void flush();
    return created;
  };

  return {
    start: (worker, order) => {
      pendingFor(worker).starts.push(order);
    },
    stop: (worker, run) => {
      pendingFor(worker).stops.push(run);
    },
    dispose: () => {
      isDisposed = true;
      pending.clear();
    },
  };
};
