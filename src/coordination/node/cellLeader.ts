/**
 * Leads one cell: holds its jobs and workers in memory, plans, commits and sends commands.
 *
 * Decisions are pure functions in `coordination/common`; this module performs their effects and
 * turns replies, reports and timers into events. It acts only after `takeOver` has fenced previous
 * leaders in the store and at the agents.
 */
import type * as clock from '../../base/common/clock.js';
import * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as metrics from '../../base/common/metrics.js';
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';
import type * as store from '../../state/common/store.js';
import type * as task from '../../state/common/task.js';
import type * as configurationHolder from '../common/configurationHolder.js';
import * as jobStateMachine from '../common/jobStateMachine.js';
import * as jobSegments from '../common/jobSegments.js';
import * as ledgerAllocations from '../common/ledgerAllocations.js';
import * as placement from '../common/placement.js';

import type * as agentReports from './agentReports.js';
import * as commandOutbox from './commandOutbox.js';
import * as commitQueue from './commitQueue.js';
import * as jobArchive from './jobArchive.js';
import * as jobRequestHandler from './jobRequestHandler.js';
import type * as jobStore from './jobStore.js';
import * as cellWorkerRegistry from './cellWorkerRegistry.js';
import * as ledgerRecorder from './ledgerRecorder.js';
import * as memberCommands from './memberCommands.js';
import * as planInputs from './planInputs.js';
import * as agentReportHandler from './agentReportHandler.js';
import * as transitionLog from './transitionLog.js';

/** Options of {@link createCellLeader}. */
export interface CellLeaderOptions {
  readonly cell: string;
  readonly epoch: number;
  readonly store: store.Store;
  readonly jobStore: jobStore.JobStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly configuration: configurationHolder.ConfigurationHolder;
  /** Announces the epoch to an agent and returns the agent's tasks. */
  readonly fence: (agentUrl: string) => Promise<agentReports.AgentState>;
  readonly sendCommands: (
    agentUrl: string,
    bootId: string,
    commands: readonly task.TaskCommand[],
  ) => Promise<commandOutbox.CommandResults>;
  /** Whether the leadership lease in the store is certainly still valid. */
  readonly isLeaseHeld: () => boolean;
  /** URLs of the zone's agents known to entries; a missing agent reports by itself later. */
  readonly discoverAgents: () => Promise<readonly string[]>;
  /** Called when another leader has taken over the cell. */
  readonly onLeadershipLost: () => void;
  /** Called after a job's state has changed. */
  readonly onDidChangeJob?: (before: job.JobRecord, after: job.JobRecord) => void;
}

/** The leader of one cell. */
export interface CellLeader extends disposable.Disposable {
  readonly cell: string;
  readonly epoch: number;
  /** Fences previous leaders, reads the jobs and collects the running tasks from agents. */
  readonly takeOver: () => Promise<void>;
  readonly submit: (spec: job.JobSpec) => Promise<job.JobRecord>;
  readonly cancel: (jobIds: readonly string[]) => Promise<readonly job.JobRecord[]>;
  readonly show: (jobId: string) => job.JobRecord;
  readonly jobs: () => readonly job.JobRecord[];
  readonly workers: () => readonly cellWorkerRegistry.WorkerStatus[];
  readonly warnings: () => readonly string[];
  readonly report: (report: agentReports.AgentReport) => agentReports.ReportAnswer;
  readonly quarantine: (workerId: string, isQuarantined: boolean, reason: string) => void;
  /** Writes all pending changes to the store. */
  readonly flush: () => Promise<void>;
}

/** Delay that lets concurrent changes share one planning round. */
const PLAN_DELAY_MS = 5;

/** Period of checks that no event triggers: expired leases, the ledger. */
const TICK_MS = 500;

/**
 * Ticks between planning rounds that only time triggers: reservations fall due, estimates expire,
 * probes end. A round at each tick would take a quarter of a node's control-plane budget.
 */
const PLAN_EVERY_TICKS = 4;

/** Ticks between attempts to fence agents that have not accepted the epoch. */
const FENCE_EVERY_TICKS = 8;

/** Delay before a failed write is retried. */
const COMMIT_RETRY_MS = 500;

/**
 * @param options - options
 * @returns a leader that has not taken over yet
 */
export const createCellLeader = (options: CellLeaderOptions): CellLeader => {
  const { clock: timeSource, log } = options;
  const owned = disposable.createDisposableStore();
  const runtimes = new Map<string, jobStateMachine.JobRuntime>();
  let warnings: readonly string[] = [];
  let planTimer: disposable.Disposable | undefined;
  let tickTimer: disposable.Disposable | undefined;
  let ticks = 0;

  const nowMs = (): number => timeSource.monotonicMs();
  const policy = (): configuration.PlacementPolicy | undefined =>
    options.configuration.current()?.document.placement;
  const leaseMs = (): number => policy()?.taskLeaseMs ?? 30_000;
  const context = (): jobStateMachine.JobContext => ({
    nowMs: timeSource.wallMs(),
    configVersion: options.configuration.version(),
    epoch: options.epoch,
    unrunnableFailures: policy()?.unrunnableFailures ?? 3,
    badWorkerIds: workers.quarantinedIds(),
    reclaimGraceMs: policy()?.reclaimGraceMs ?? 0,
  });
  const records = (): job.JobRecord[] => [...runtimes.values()].map((it) => it.record);
  const workers = cellWorkerRegistry.createCellWorkerRegistry({
    cell: options.cell,
    store: options.store,
    clock: timeSource,
    log,
    leaseMs,
    isLeaseHeld: options.isLeaseHeld,
    onWillChange: () => ledger.settle(),
  });
  const planningInputs = planInputs.createPlanInputs({ clock: timeSource, log, workers });
  const outbox = commandOutbox.createCommandOutbox(
    (agentUrl, commands) => options.sendCommands(agentUrl, workers.bootIdOf(agentUrl), commands),
    log,
    workers.recordCommandCount,
    workers.markUnreachable,
  );
  const commits = owned.add(
    commitQueue.createCommitQueue({
      jobStore: options.jobStore,
      clock: timeSource,
      log,
      recordsOf: (segment) =>
        records().filter((it) => jobSegments.segmentOf(it.spec.jobId) === segment),
      retryMs: COMMIT_RETRY_MS,
      onLeadershipLost: options.onLeadershipLost,
    }),
  );
  const ledger = owned.add(
    ledgerRecorder.createLedgerRecorder({
      cell: options.cell,
      epoch: options.epoch,
      store: options.store,
      clock: timeSource,
      log,
      metrics: options.metrics,
      onLeadershipLost: options.onLeadershipLost,
      allocations: () => ({
        ...ledgerAllocations.configuredCapacity(options.configuration.current(), options.cell),
        workers: workers.statuses().map((it) => ({
          workerId: it.worker.workerId,
          accelerators: it.worker.accelerators,
          health: it.health,
        })),
        jobs: records(),
        configVersion: options.configuration.version(),
      }),
    }),
  );
  const members = owned.add(
    memberCommands.createMemberCommands({
      clock: timeSource,
      outbox,
      agentUrlOf: workers.agentUrlOf,
      runtimeOf: (jobId) => runtimes.get(jobId),
      dispatch: (jobId, event) => dispatch(jobId, event),
    }),
  );

  const archive = owned.add(
    jobArchive.createJobArchive({
      cell: options.cell,
      store: options.store,
      clock: timeSource,
      log,
      metrics: options.metrics,
    }),
  );

  const logStateChange = transitionLog.createTransitionLog(log, options.metrics);
  const recordTransition = (before: job.JobRecord, after: job.JobRecord): void => {
    if (before.state === after.state) return;
    logStateChange(before, after);
    if (job.isTerminal(after.state)) archive.add(after);
    options.onDidChangeJob?.(before, after);
  };
  const dispatch = (jobId: string, event: jobStateMachine.JobEvent): void => {
    const before = runtimes.get(jobId);
    if (before === undefined) return;
    const { next, effects } = jobStateMachine.step(before, event, context());
    // Most reports change nothing; only a change is worth the cost of updating the ledger.
    if (next === before && effects.length === 0) return;
    ledger.settle();
    runtimes.set(jobId, next);
    if (before.record.state !== next.record.state) planningInputs.updateEstimates(next.record);
    recordTransition(before.record, next.record);
    // If the event cleared the placement, its effects refer to the one before.
    const placed = next.record.placement.length > 0 ? next.record : before.record;
    effects.forEach((effect) => perform(placed, effect));
    if (next.record.state !== before.record.state) schedulePlanning();
  };
  const perform = (record: job.JobRecord, effect: jobStateMachine.JobEffect): void => {
    switch (effect.type) {
      case 'persist':
        commits.markDirty(record.spec.jobId);
        break;
      case 'commit':
        void commitPlacement(record);
        break;
      default:
        members.send(record, effect);
    }
  };
  const commitPlacement = async (record: job.JobRecord): Promise<void> => {
    const { jobId } = record.spec;
    try {
      await commits.commit(jobId);
      dispatch(jobId, { type: 'committed' });
    } catch (thrown) {
      const reason = errors.normalize(thrown).message;
      dispatch(jobId, { type: 'commitFailed', reason });
    }
  };

  const schedulePlanning = (): void => {
    if (planTimer !== undefined || owned.isDisposed()) return;
    planTimer = timeSource.after(PLAN_DELAY_MS, () => {
      planTimer = undefined;
      plan();
    });
  };
  const plan = (): void => {
    const current = options.configuration.current();
    // Without the store nothing can be committed, so nothing may start.
    if (current === undefined || !commits.isHealthy()) return;
    const startedMs = nowMs();
    const round = placement.planRound({
      nowMs: timeSource.wallMs(),
      cell: options.cell,
      configVersion: current.version,
      document: current.document,
      workers: planningInputs.toPlanWorkers(workers.statuses()),
      endedFailedJobs: records().filter((it) => job.isTerminal(it.state) && it.failures.length > 0),
      estimates: planningInputs.estimates(),
      jobs: records()
        .filter((it) => !job.isTerminal(it.state))
        .sort((a, b) => a.submittedAtMs - b.submittedAtMs),
    });
    options.metrics.time('auburnlift_plan_ms', nowMs() - startedMs, { cell: options.cell });
    warnings = round.warnings;
    round.quarantines.forEach((it) => planningInputs.setQuarantine(it.workerId, it.why));
    round.releases.forEach((it) => planningInputs.setQuarantine(it.workerId, undefined));
    if (round.quarantines.length + round.releases.length > 0) schedulePlanning();
    round.stops.forEach((it) => dispatch(it.jobId, { type: 'stop', cause: it.cause, why: it.why }));
    round.placements.forEach((it) => dispatch(it.jobId, { type: 'planned', ...it }));
  };

  const jobRequests = jobRequestHandler.createJobRequestHandler({
    cell: options.cell,
    runtimes,
    commits,
    context,
    dispatch,
    onDidAccept: schedulePlanning,
  });
  const reportHandler = agentReportHandler.createAgentReportHandler({
    epoch: options.epoch,
    clock: timeSource,
    log,
    fence: options.fence,
    onLeadershipLost: options.onLeadershipLost,
    isDisposed: owned.isDisposed,
    runtimes,
    workers,
    members,
    commits,
    context,
    dispatch,
    schedulePlanning,
  });
  const tick = (): void => {
    ticks += 1;
    workers
      .lapsed()
      .forEach((it) =>
        reportHandler.markMissingTasksLost(it, [], 'is silent and its leases have lapsed'),
      );
    if (ticks % FENCE_EVERY_TICKS === 0) {
      for (const agentUrl of workers.unfencedUrls()) void reportHandler.fenceAgent(agentUrl);
      workers.retrySave();
    }
    ledger.settle();
    if (ticks % PLAN_EVERY_TICKS === 1) schedulePlanning();
    if (!owned.isDisposed()) tickTimer = timeSource.after(TICK_MS, tick);
  };
  return {
    cell: options.cell,
    epoch: options.epoch,
    takeOver: async () => {
      const storedJobs = await options.jobStore.takeOver();
      storedJobs.forEach((it) => {
        runtimes.set(it.spec.jobId, jobStateMachine.takeOver(it));
        planningInputs.updateEstimates(it);
      });
      // The previous leader may have died before it archived the jobs that ended last.
      archive.addRecent(storedJobs);
      await workers.load();
      await ledger.load();
      const discovered = await options.discoverAgents();
      await Promise.all(
        [...new Set([...workers.unfencedUrls(), ...discovered])].map(reportHandler.fenceAgent),
      );
      log('info', 'cellTaken', {
        cell: options.cell,
        epoch: options.epoch,
        jobs: storedJobs.length,
      });
      tick();
    },
    submit: jobRequests.submit,
    cancel: jobRequests.cancel,
    show: jobRequests.show,
    jobs: records,
    workers: workers.statuses,
    warnings: () => [...warnings, ...workers.warnings()],
    report: reportHandler.report,
    quarantine: (workerId, isQuarantined, reason) => {
      if (!workers.noteQuarantine(workerId, isQuarantined, reason)) {
        throw errors.fail('notFound', `no worker ${workerId}`, { field: 'workerId' });
      }
      planningInputs.recordOperatorDecision(workerId, isQuarantined);
      schedulePlanning();
    },
    flush: async () => {
      await commits.flush();
      await ledger.flush();
      await archive.flush();
    },
    dispose: async () => {
      void planTimer?.dispose();
      void tickTimer?.dispose();
      await owned.dispose();
    },
  };
};
