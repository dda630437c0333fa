/**
 * Keeps up which workers are reachable. Only the age of a report that the leader has received counts: an agent that
 * answers without one, as after its restart, says nothing about its worker.
 */
import type * as logging from '../../../base/common/logging.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import * as workerTable from '../../common/pool/workerTable.js';

/** Dependencies of the reachability of workers. */
export interface ReachabilityOptions {
  readonly log: logging.Log;
  /** Something changed that requires a planning round. */
  readonly onDidChange: () => void;
}

/** Called after the report in an update has been applied. */
export type UpdateReachability = (
  worker: workerTable.WorkerEntry,
  news: agentContract.WorkerUpdate,
  receivedAtMs: number,
) => void;

/**
 * @param options - its dependencies
 * @returns updates whether a worker is reachable, and logs each change
 */
export const createReachability =
  ({ log, onDidChange }: ReachabilityOptions): UpdateReachability =>
  (worker, { bootId, view, silentForMs }, receivedAtMs) => {
    const wasReachable = worker.isReachable;
    worker.isReachable = workerTable.hasReportedRecently(worker, receivedAtMs);
    const { isReachable, agentId, runs } = worker;
    if (isReachable === wasReachable) return;
    log(isReachable ? 'info' : 'warn', isReachable ? 'workerReachable' : 'workerUnreachable', {
      agent: agentId,
      boot: bootId,
      hasReport: view !== undefined,
      reportAgeMs: Math.round(workerTable.reportAgeMs(worker, receivedAtMs)),
      silentForMs,
      runs: runs.size,
    });
    onDidChange();
  };
