/**
 * Applies the results of the leader's orders to its state of the runs.
 */
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import type * as clock from '../../../base/common/clock.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import * as agentContract from '../../../state/common/pool/agentContract.js';
import * as jobState from '../../common/pool/jobState.js';
import * as runState from '../../common/pool/runState.js';
import * as workerSuspicion from '../../common/pool/workerSuspicion.js';
import * as workerTable from '../../common/pool/workerTable.js';
import type * as openOrderRecorder from './openOrderRecorder.js';
import type * as orderSender from './orderSender.js';

/** Dependencies of the handler. */
export interface OrderResultHandlerOptions {
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly openOrders: openOrderRecorder.OpenOrderRecorder;
  /** The worker has accepted the start of the run. */
  readonly recordBegun: (run: workerTable.ActiveRun) => void;
  readonly stopRun: (
    worker: workerTable.WorkerEntry,
    run: workerTable.ActiveRun,
    cause: string,
  ) => void;
  /** Marks the run as closing: it counts as gone once the worker has answered under a higher fence. */
  readonly close: (worker: workerTable.WorkerEntry, run: workerTable.ActiveRun) => void;
  /** The worker has become suspect. */
  readonly recordSuspicion: (worker: workerTable.WorkerEntry) => void;
  /** Ends a run that has certainly ended or can no longer start. */
  readonly markLost: (run: workerTable.ActiveRun, cause: string) => void;
}

/** Handles the results of start and stop orders. */
export interface OrderResultHandler {
  readonly handleStart: (worker: workerTable.WorkerEntry, order: orderSender.SettledOrder) => void;
  readonly handleStop: (
    settled: orderSender.SettledOrders,
    order: orderSender.SettledOrder,
  ) => void;
}

/** Further starts of a task on a worker that leaves them unanswered; then the task waits for another worker. */
const MAX_RETRIES = 3;

/**
 * @param options - its dependencies
 * @returns the handler
 */
export const createOrderResultHandler = (
  options: OrderResultHandlerOptions,
): OrderResultHandler => {
  const { clock: time, log, metrics, stopRun, close, markLost } = options;
  const nowMs = (): number => time.monotonicMs();

  const recordOpenOrder = (worker: workerTable.WorkerEntry, run: workerTable.ActiveRun): void => {
    const { task } = run;
    const workerId = task.run === run.run ? task.workerId : (worker.info?.workerId ?? '');
    options.openOrders.recordOwn(run, { agentId: worker.agentId, workerId });
  };

  /**
   * Each start without an answer binds its task to the worker for longer. Without a limit, a worker that answers no starts
   * would keep its tasks forever, and attract further ones to its free capacity.
   */
  const giveUpAfterRetries = (worker: workerTable.WorkerEntry, task: jobState.TaskEntry): void => {
    if (task.refusals <= MAX_RETRIES) return;
    jobState.avoidWorker(task);
    // Several tasks that give up at the same time show one fault.
    if (workerSuspicion.isSuspect(worker.suspicion, nowMs())) return;
    workerSuspicion.suspect(worker.suspicion, nowMs());
    options.recordSuspicion(worker);
  };

  const handleStart = (worker: workerTable.WorkerEntry, it: orderSender.SettledOrder): void => {
    const { run, outcome, reason, hasOpenCopy } = it;
    if (run.task.orderedRun === run.run) run.task.orderedRun = 0;
    if (hasOpenCopy) recordOpenOrder(worker, run);
    if (outcome === agentContract.OrderOutcome.accepted) options.recordBegun(run);
    const isOpen = worker.runs.get(poolWorker.runKey(run.name, run.run)) === run;
    if (!isOpen) return;
    if (outcome === agentContract.OrderOutcome.accepted) {
      if (run.phase === workerTable.RunPhase.ordering) run.phase = workerTable.RunPhase.present;
      run.task.refusals = 0;
      if (!runState.isWanted(run)) stopRun(worker, run, 'notWanted');
      return;
    }
    log('warn', 'startNotTaken', {
      task: run.name,
      run: run.run,
      agent: worker.agentId,
      outcome,
      reason,
    });
    metrics.count('auburnlift_starts_not_taken_total', { outcome });
    jobState.recordRefusal(run.task, nowMs());
    const { refused, unknown } = agentContract.OrderOutcome;
    if (outcome === refused && !hasOpenCopy) jobState.recordNotBegun(run.task, run.run);
    if (outcome === unknown) giveUpAfterRetries(worker, run.task);
    if (run.phase === workerTable.RunPhase.ordering) close(worker, run);
  };

  const handleStop = (settled: orderSender.SettledOrders, it: orderSender.SettledOrder): void => {
    const { worker, isNewsLater, news } = settled;
    const key = poolWorker.runKey(it.run.name, it.run.run);
    const isOpen = worker.runs.get(key) === it.run;
    if (!isOpen || it.outcome !== agentContract.OrderOutcome.accepted || !isNewsLater) return;
    // The report of an incarnation that no heartbeat has announced yet is applied later, with the ends that it lists.
    const view = news?.view;
    if (view === undefined || view.incarnationMs !== worker.info?.incarnationMs) return;
    // It may be done. The stop is repeated, so a later report decides.
    if (view.mayOmitEnds === true) return;
    const isListed = view.running.some(
      ({ task, run }) => task === it.run.name && run === it.run.run,
    );
    if (isListed) return;
    // Stopped before it started: the worker permanently refuses this run.
    worker.runs.delete(key);
    markLost(it.run, 'stoppedBeforeStart');
  };

  return { handleStart, handleStop };
};
