/**
 * Updates the leader's in-memory state from agents' reports and fence replies, and declares tasks
 * lost that are missing from a full report.
 */
import type * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as task from '../../state/common/task.js';
import type * as worker from '../../state/common/worker.js';
import * as jobStateMachine from '../common/jobStateMachine.js';
import * as jobSteps from '../common/jobSteps.js';
import * as taskReports from '../common/taskReports.js';

import type * as agentReports from './agentReports.js';
import type * as commitQueue from './commitQueue.js';
import type * as cellWorkerRegistry from './cellWorkerRegistry.js';
import type * as memberCommands from './memberCommands.js';

/** Options of {@link createAgentReportHandler}. */
export interface AgentReportHandlerOptions {
  readonly epoch: number;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Announces the epoch to an agent and returns the agent's tasks. */
  readonly fence: (agentUrl: string) => Promise<agentReports.AgentState>;
  /** Called when an agent has accepted a later epoch. */
  readonly onLeadershipLost: () => void;
  readonly isDisposed: () => boolean;
  readonly runtimes: ReadonlyMap<string, jobStateMachine.JobRuntime>;
  readonly workers: cellWorkerRegistry.CellWorkerRegistry;
  readonly members: memberCommands.MemberCommands;
  readonly commits: Pick<commitQueue.CommitQueue, 'isDirty'>;
  readonly context: () => jobStateMachine.JobContext;
  readonly dispatch: (jobId: string, event: jobStateMachine.JobEvent) => void;
  readonly schedulePlanning: () => void;
}

/** Handles agents' reports and fences agents. */
export interface AgentReportHandler {
  readonly report: (agentReport: agentReports.AgentReport) => agentReports.ReportAnswer;
  readonly fenceAgent: (agentUrl: string) => Promise<void>;
  /** Declares members on the worker lost that are missing from its full list of tasks. */
  readonly markMissingTasksLost: (
    workerId: string,
    tasks: readonly task.TaskReport[],
    why: string,
  ) => void;
}

type FullState = agentReports.AgentState & { readonly worker: worker.WorkerInfo };

/**
 * @param options - options
 * @returns the handler
 */
export const createAgentReportHandler = (
  options: AgentReportHandlerOptions,
): AgentReportHandler => {
  const { runtimes, workers, members, commits, context, dispatch, schedulePlanning, log } = options;
  const fencing = new Set<string>();
  const nowMs = (): number => options.clock.monotonicMs();

  const handleTask = (agentUrl: string, report: task.TaskReport, isTakeOver: boolean): void => {
    const { jobId } = report.token;
    const runtime = runtimes.get(jobId);
    const reading = taskReports.interpretTaskReport(runtime, report, isTakeOver);
    if (reading.type === 'event') dispatch(jobId, reading.event);
    if (reading.type === 'stopStray') members.stopStray(agentUrl, report.token);
    if (runtime === undefined) return;
    if (reading.type === 'startOwed') {
      members.send(runtime.record, { type: 'start', member: reading.member });
    }
    if (reading.type === 'stopOwed') {
      const { reclaimGraceMs } = context();
      const graceMs = jobSteps.graceMsOf(runtime.record, reclaimGraceMs);
      members.send(runtime.record, { type: 'stop', member: reading.member, graceMs });
    }
  };
  /** Whether the state was built before the agent handled commands that it has since answered. */
  const isOutdated = (workerId: string, state: agentReports.AgentState): boolean => {
    const known = workers.get(workerId);
    return known?.bootId === state.bootId && state.commandCount < known.commandCount;
  };
  /** A task that is missing from a full list does not run on the worker. */
  const markMissingTasksLost = (
    workerId: string,
    tasks: readonly task.TaskReport[],
    why: string,
  ): void => {
    for (const { jobId, member } of taskReports.missingMembers(
      [...runtimes.values()],
      workerId,
      tasks,
    )) {
      dispatch(jobId, { type: 'memberLost', member, reason: `${workerId} ${why}` });
    }
  };
  const handleTasks = (state: FullState, isNew: boolean): void => {
    const { agentUrl } = state.worker;
    state.tasks.forEach((it) => handleTask(agentUrl, it, isNew));
    if (isNew) schedulePlanning();
  };
  /** Ignores outdated lists: one built before a start command lacks that command's task. */
  const handleFullList = (state: FullState): void => {
    const { workerId } = state.worker;
    if (isOutdated(workerId, state)) return;
    markMissingTasksLost(workerId, state.tasks, 'does not know the task any more');
  };

  const fenceAgent = async (agentUrl: string): Promise<void> => {
    if (fencing.has(agentUrl) || options.isDisposed()) return;
    fencing.add(agentUrl);
    try {
      const state = await options.fence(agentUrl);
      if (options.isDisposed()) return;
      if (state.acceptedEpoch > options.epoch) options.onLeadershipLost();
      if (state.worker === undefined || state.acceptedEpoch !== options.epoch) return;
      const { bootId, uptimeMs } = state;
      workers.recordWorker(state.worker, {
        bootId,
        uptimeMs,
        stampMs: undefined,
        isLeaving: false,
        isReport: false,
      });
      const fullState = { ...state, worker: state.worker };
      handleTasks(fullState, true);
      handleFullList(fullState);
    } catch (thrown) {
      log('warn', 'fenceFailed', { agentUrl, reason: errors.normalize(thrown).message });
    } finally {
      fencing.delete(agentUrl);
    }
  };
  const report = (agentReport: agentReports.AgentReport): agentReports.ReportAnswer => {
    const { workerId, agentUrl } = agentReport.worker;
    const known = workers.get(workerId);
    const answer = {
      epoch: options.epoch,
      stampMs: Math.floor(nowMs()),
      reportMs: workers.reportMs(),
    };
    if (agentReport.acceptedEpoch > options.epoch) options.onLeadershipLost();
    const isFenced = agentReport.acceptedEpoch === options.epoch;
    const isKnownBoot = known?.isFenced === true && known.bootId === agentReport.bootId;
    if (!isFenced || !isKnownBoot) {
      if (known !== undefined) workers.markUnfenced(workerId);
      void fenceAgent(agentUrl);
      return { ...answer, leaseMs: 0, wantsFull: true, acknowledged: [] };
    }
    const isFirst = known.lastReportMs === Number.NEGATIVE_INFINITY;
    workers.recordWorker(agentReport.worker, { ...agentReport, isReport: true });
    handleTasks(agentReport, false);
    if (agentReport.isFull) handleFullList(agentReport);
    if (isFirst) schedulePlanning();
    const acknowledged = agentReport.tasks
      .filter((it) => {
        const { jobId } = it.token;
        return taskReports.isAcknowledgeable(runtimes.get(jobId), it, !commits.isDirty(jobId));
      })
      .map((it) => it.token);
    return { ...answer, leaseMs: workers.grantLease(workerId), wantsFull: false, acknowledged };
  };
  return { report, fenceAgent, markMissingTasksLost };
};
