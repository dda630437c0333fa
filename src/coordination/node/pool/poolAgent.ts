/**
 * The agent beside a worker: renews the leases of its tasks for the leader, forwards the leader's orders to the
 * worker and reports changes to the leader. Stores nothing durably.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import * as agentContract from '../../../state/common/pool/agentContract.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as speedRecord from '../../../state/common/pool/speedRecord.js';
import * as incarnationHistory from '../../common/pool/incarnationHistory.js';
import * as openStarts from '../../common/pool/openStarts.js';

import * as orderDelivery from './orderDelivery.js';

/** Dependencies of the agent. */
export interface PoolAgentOptions {
  readonly worker: agentContract.WorkerApi;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly bootId: string;
}

/** A worker's information about itself, with a sequence number that orders its messages. */
export interface Heartbeat {
  readonly info: poolWorker.WorkerInfo;
  /** Increases with each message of one incarnation. */
  readonly sequence: number;
}

/** The agent beside one worker. */
export interface PoolAgent extends disposable.Disposable {
  readonly recordHeartbeat: (heartbeat: Heartbeat) => void;
  /** The worker has announced that it shuts down now. */
  readonly recordDeparture: (workerId: string) => void;
  readonly sync: (request: agentContract.SyncRequest) => Promise<agentContract.WorkerUpdate>;
  readonly order: (request: agentContract.OrderRequest) => Promise<agentContract.OrderReply>;
}

/** How long the worker may hold a request open until a run ends; each request also renews the leases. */
const REPORT_WAIT_MS = 900;

/** Delay after the worker did not answer. */
const RETRY_MS = 150;

/**
 * A worker answers immediately while it lists unacknowledged run ends; without this delay the agent would
 * request its report in a busy loop until the leader has stored them.
 */
const UNACKNOWLEDGED_MS = 250;

/** How long a sync request waits for updates while the worker does not answer. */
const UNREACHABLE_WAIT_MS = 300;

interface ReceivedReport {
  readonly view: poolWorker.WorkerReport;
  readonly fence: number;
  readonly receivedAtMs: number;
}

const describeRuns = (view: poolWorker.WorkerReport | undefined): string =>
  view === undefined
    ? ''
    : `${view.incarnationMs};${view.running.map((it) => `${it.task}#${it.run}`).join(',')};${
        view.ended.at(-1)?.sequence ?? 0
      };${view.mayOmitEnds === true}`;

/**
 * @param options - its dependencies
 * @returns the agent, which is idle until a leader calls
 */
export const createPoolAgent = (options: PoolAgentOptions): PoolAgent => {
  const { clock: time, log, metrics } = options;
  let isDisposed = false;
  let info: poolWorker.WorkerInfo | undefined;
  let heartbeatSequence = -1;
  let latest: ReceivedReport | undefined;
  let fence = 0;
  let newestIncarnationMs = 0;
  /** How far the fence of calls to the worker is above the leader's. */
  let fenceSteps = 0;
  let lease = { incarnationMs: 0, untilMs: 0 };
  let acknowledged = { incarnationMs: 0, upTo: 0 };
  /** Run ends of the worker's current incarnation that have been logged. */
  let logged = { incarnationMs: 0, upTo: 0 };
  /** What a leader has learnt of the worker's speed, with the leader's fence. */
  let keptSpeed: { readonly text: string; readonly fence: number } | undefined;
  let version = 1;
  let isPolling = false;
  /** The worker answered the last request for its report. */
  let isAnswering = false;
  let onDidAcknowledge: () => void = () => undefined;
  const waiters = new Set<() => void>();
  const sentStarts = openStarts.createOpenStarts(() => time.monotonicMs());
  const history = incarnationHistory.createIncarnationHistory(() => time.monotonicMs());

  const notifyChange = (): void => {
    version += 1;
    const toWake = [...waiters];
    waiters.clear();
    toWake.forEach((wake) => wake());
  };
  const waitForChange = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const wake = (): void => {
        void timer.dispose();
        waiters.delete(wake);
        resolve();
      };
      const timer = time.after(waitMs, wake);
      waiters.add(wake);
    });

  /** From now on the first call that reaches the worker, or a new incarnation of it, makes it refuse earlier orders. */
  const raiseWorkerFence = (): void => {
    fenceSteps = Math.min(fenceSteps + 1, agentContract.FENCE_STEP - 1);
  };

  /** A new incarnation has seen no fence and would accept orders meant for the previous one. */
  const recordIncarnation = (
    incarnationMs: number,
    former: poolWorker.WorkerInfo | undefined,
  ): void => {
    if (incarnationMs <= newestIncarnationMs) return;
    if (newestIncarnationMs !== 0) raiseWorkerFence();
    newestIncarnationMs = incarnationMs;
    keptSpeed = undefined;
    if (former === undefined) return;
    const { workerId, hasCrashed, endedAgoMs, runs } = history.recordSuccessor(former);
    log(hasCrashed ? 'warn' : 'info', 'incarnationEnded', {
      worker: workerId,
      incarnation: former.incarnationMs,
      hasCrashed,
      endedAgoMs,
      runs: runs.map((it) => `${it.task}#${it.run}`).join(','),
    });
  };

  /** @returns the fence to send to the worker */
  const workerFence = (leaderFence: number): number =>
    leaderFence === fence ? fence + fenceSteps : leaderFence;

  /** A heartbeat may tell of a new incarnation before its first report arrives. */
  const isCurrentIncarnation = (incarnationMs: number): boolean =>
    incarnationMs !== 0 && incarnationMs === newestIncarnationMs;

  /** Logs each run end, so that the delay until the job's end can be measured. */
  const logEnds = ({ incarnationMs, ended }: poolWorker.WorkerReport): void => {
    const upTo = logged.incarnationMs === incarnationMs ? logged.upTo : 0;
    for (const { sequence, task, run, how } of ended) {
      if (sequence > upTo) log('info', 'endListed', { task, run, how });
    }
    logged = { incarnationMs, upTo: Math.max(upTo, ended.at(-1)?.sequence ?? 0) };
  };

  const applyReport = (
    view: poolWorker.WorkerReport,
    viewFence: number,
    requestedAtMs: number,
  ): void => {
    const isOlder =
      latest !== undefined &&
      (view.incarnationMs < latest.view.incarnationMs ||
        (view.incarnationMs === latest.view.incarnationMs && view.clockMs < latest.view.clockMs));
    if (isOlder) return;
    recordIncarnation(view.incarnationMs, info);
    history.recordReport(view, requestedAtMs);
    const before = describeRuns(latest?.view);
    latest = {
      view,
      fence: Math.max(viewFence, latest?.fence ?? 0),
      receivedAtMs: time.monotonicMs(),
    };
    if (before === describeRuns(view)) return;
    logEnds(view);
    notifyChange();
  };

  /** @returns whether the worker sent its report */
  const fetchReport = async (waitMs: number): Promise<boolean> => {
    const viewFence = fence;
    const requestedAtMs = time.monotonicMs();
    const requestedFromMs = newestIncarnationMs;
    // After an outage a new incarnation may answer; the previous one's acknowledgement would drop its run ends.
    const isAcknowledgementValid = isAnswering && isCurrentIncarnation(acknowledged.incarnationMs);
    const answer = await options.worker.view(info?.workerId, {
      fence: workerFence(viewFence),
      leaseUntilMs: isCurrentIncarnation(lease.incarnationMs) ? lease.untilMs : 0,
      seenUpTo: isAcknowledgementValid ? acknowledged.upTo : 0,
      waitMs,
    });
    isAnswering = answer.outcome === 'view';
    if (answer.outcome === 'view') {
      applyReport(answer.view, viewFence, requestedAtMs);
      return true;
    }
    if (requestedFromMs === newestIncarnationMs) history.recordSilence();
    metrics.count('auburnlift_worker_unanswered_total', { outcome: answer.outcome });
    return false;
  };

  const hasUnacknowledged = (): boolean => {
    const last = latest?.view.ended.at(-1)?.sequence ?? 0;
    const upTo = isCurrentIncarnation(acknowledged.incarnationMs) ? acknowledged.upTo : 0;
    return last > upTo;
  };
  const waitForAcknowledgement = (): Promise<void> =>
    new Promise((resolve) => {
      const timer = time.after(UNACKNOWLEDGED_MS, resolve);
      onDidAcknowledge = () => {
        void timer.dispose();
        resolve();
      };
    });

  /** Renews the leases and waits for run ends, from the first call of a leader on. */
  const poll = async (): Promise<void> => {
    if (isPolling) return;
    isPolling = true;
    let wasAnswering = true;
    while (!isDisposed) {
      const hasAnswered = await fetchReport(isAnswering ? REPORT_WAIT_MS : 0);
      if (hasAnswered !== wasAnswering) {
        log(hasAnswered ? 'info' : 'warn', hasAnswered ? 'workerAnswers' : 'workerSilent', {
          worker: info?.workerId,
          fence,
        });
      }
      wasAnswering = hasAnswered;
      if (!hasAnswered) await clock.sleep(time, RETRY_MS);
      else if (hasUnacknowledged()) await waitForAcknowledgement();
    }
  };

  const raiseFence = (next: number): void => {
    if (next < fence) {
      throw errors.fail('staleEpoch', `fence ${next} is below ${fence}; nothing ran`);
    }
    if (next === fence) return;
    log('info', 'fenceRaised', { from: fence, to: next });
    fence = next;
    fenceSteps = 0;
  };

  const keepSpeed = ({ speedRecord: text, fence: givenUnder }: agentContract.SyncRequest): void => {
    if (text === undefined || text.length > speedRecord.MAX_RECORD_LENGTH) return;
    keptSpeed = { text, fence: givenUnder };
  };

  const buildUpdate = (): agentContract.WorkerUpdate => {
    const openOrders = sentStarts.ofEarlierLeaders(fence);
    const formerIncarnations = history.former();
    const silentForMs = history.silentForMs();
    return {
      bootId: options.bootId,
      version,
      ...(info === undefined ? {} : { worker: info }),
      ...(latest === undefined ? {} : { view: latest.view }),
      viewFence: latest?.fence ?? 0,
      viewAgeMs: latest === undefined ? 0 : Math.ceil(time.monotonicMs() - latest.receivedAtMs),
      ...(silentForMs === undefined ? {} : { silentForMs }),
      ...(openOrders.length === 0 ? {} : { openStarts: openOrders }),
      ...(formerIncarnations.length === 0 ? {} : { formerIncarnations }),
      ...(keptSpeed === undefined || keptSpeed.fence >= fence
        ? {}
        : { speedRecord: keptSpeed.text }),
    };
  };

  const delivery = orderDelivery.createOrderDelivery({
    ...options,
    info: () => info,
    report: () => latest?.view,
    clockMsOf: (incarnationMs) =>
      latest?.view.incarnationMs === incarnationMs
        ? latest.view.clockMs + (time.monotonicMs() - latest.receivedAtMs)
        : undefined,
    workerFence,
    sentStarts,
    history,
  });

  return {
    recordHeartbeat: (heartbeat) => {
      const next = heartbeat.info;
      const before = info;
      if (before !== undefined) {
        if (next.incarnationMs < before.incarnationMs) return;
        const isSameIncarnation = next.incarnationMs === before.incarnationMs;
        if (isSameIncarnation && heartbeat.sequence <= heartbeatSequence) return;
      }
      heartbeatSequence = heartbeat.sequence;
      info = next;
      recordIncarnation(next.incarnationMs, before);
      const isChanged =
        before?.workerId !== next.workerId ||
        before.incarnationMs !== next.incarnationMs ||
        before.state !== next.state ||
        !poolJob.areSameResources(before.capacity, next.capacity);
      if (!isChanged) return;
      log('info', 'workerChanged', {
        worker: next.workerId,
        incarnation: next.incarnationMs,
        sequence: heartbeat.sequence,
        state: next.state,
        remainingMs: next.remainingMs,
      });
      notifyChange();
      // The call in flight may hang on the previous incarnation, and a delayed order may arrive before it ends.
      const isSucceeded = before !== undefined && before.incarnationMs !== next.incarnationMs;
      if (isSucceeded && fence !== 0) void fetchReport(0);
    },
    recordDeparture: (workerId) => {
      if (info?.workerId !== workerId) return;
      log('info', 'workerLeft', { worker: workerId, incarnation: info.incarnationMs });
      info = { ...info, state: poolWorker.WorkerState.gone };
      notifyChange();
    },
    sync: async (request) => {
      raiseFence(request.fence);
      keepSpeed(request);
      const { incarnationMs } = request;
      if (request.leaseUntilMs > 0) {
        const isSame = lease.incarnationMs === incarnationMs;
        const untilMs = Math.max(isSame ? lease.untilMs : 0, request.leaseUntilMs);
        lease = { incarnationMs, untilMs };
      }
      if (incarnationMs !== 0) {
        const isLater =
          request.seenUpTo > acknowledged.upTo || incarnationMs !== acknowledged.incarnationMs;
        acknowledged = { incarnationMs, upTo: request.seenUpTo };
        if (isLater) onDidAcknowledge();
      }
      if (latest === undefined || latest.fence < fence) {
        const hasAnswered = await fetchReport(0);
        void poll();
        // If the worker refuses immediately, the leader would otherwise send requests in a busy loop.
        if (!hasAnswered) await waitForChange(Math.min(request.waitMs, UNREACHABLE_WAIT_MS));
        return buildUpdate();
      }
      void poll();
      if (request.knownVersion === version) await waitForChange(request.waitMs);
      return buildUpdate();
    },
    order: async (request) => {
      raiseFence(request.fence);
      const [starts, stops, paces] = await Promise.all([
        Promise.all(request.starts.map((it) => delivery.start(request, it))),
        Promise.all(request.stops.map((it) => delivery.stop(request, it))),
        Promise.all(request.paces.map((it) => delivery.pace(request, it))),
      ]);
      if (starts.some((it) => it.hasOpenCopy)) raiseWorkerFence();
      const isNewsLater = await fetchReport(0);
      return { starts, stops, paces, news: buildUpdate(), isNewsLater };
    },
    dispose: () => {
      isDisposed = true;
      notifyChange();
    },
  };
};
