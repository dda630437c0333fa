/**
 * Leads one cell: keeps its jobs and workers in memory, plans, commits and commands.
 *
 * What the leader decides is pure (`jobMachine`, `placement`, `ledgerBook`); this module carries
 * the decisions out and turns what happens into events. It acts only after `takeOver` has fenced
 * former leaders in the store and at the agents.
 */
import type * as clock from '../../base/common/clock.js';
import * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as metrics from '../../base/common/metrics.js';
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';
import * as store from '../../state/common/store.js';
import * as task from '../../state/common/task.js';
import type * as worker from '../../state/common/worker.js';
import type * as configurationHolder from '../common/configurationHolder.js';
import * as jobMachine from '../common/jobMachine.js';
import * as jobSegments from '../common/jobSegments.js';
import * as ledgerHoldings from '../common/ledgerHoldings.js';
import * as placement from '../common/placement.js';
import * as roster from '../common/workerRoster.js';

import * as commandOutbox from './commandOutbox.js';
import * as commitQueue from './commitQueue.js';
import * as jobArchive from './jobArchive.js';
import type * as jobStore from './jobStore.js';
import * as ledgerKeeper from './ledgerKeeper.js';
import * as workerInventory from './workerInventory.js';

/** What an agent holds, as it says when it accepts an epoch or reports. */
export interface AgentState {
  readonly bootId: string;
  readonly acceptedEpoch: number;
  readonly worker: worker.WorkerInfo | undefined;
  /** Command messages that the agent had handled when it wrote this. */
  readonly commandCount: number;
  readonly tasks: readonly task.TaskReport[];
}

/** A report as the leader takes it. */
export interface AgentReport extends AgentState {
  readonly worker: worker.WorkerInfo;
  readonly isFull: boolean;
  readonly isLeaving: boolean;
}

/** What the leader answers to a report. */
export interface ReportAnswer {
  readonly epoch: number;
  readonly leaseMs: number;
  readonly wantsFull: boolean;
  readonly acknowledged: readonly task.TaskToken[];
}

/** What the leader needs. */
export interface CellLeaderOptions {
  readonly cell: string;
  readonly epoch: number;
  readonly store: store.Store;
  readonly jobStore: jobStore.JobStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly configuration: configurationHolder.ConfigurationHolder;
  /** Makes the epoch known to an agent and asks what it holds. */
  readonly fence: (agentUrl: string) => Promise<AgentState>;
  readonly sendCommands: commandOutbox.SendCommands;
  /** Agents of the zone that entries know; an agent that is missing reports by itself later. */
  readonly discoverAgents: () => Promise<readonly string[]>;
  /** Another leader took the cell. */
  readonly onDeposed: () => void;
  /** Called after a job has changed its state. */
  readonly onDidChangeJob?: (before: job.JobRecord, after: job.JobRecord) => void;
}

/** A worker as operators see it. */
export interface WorkerView {
  readonly worker: worker.WorkerInfo;
  readonly health: worker.WorkerHealth;
  readonly healthReason: string;
}

/** The leader of one cell. */
export interface CellLeader extends disposable.Disposable {
  readonly cell: string;
  readonly epoch: number;
  /** Fences former leaders, reads the jobs and collects what runs. */
  readonly takeOver: () => Promise<void>;
  readonly submit: (spec: job.JobSpec) => Promise<job.JobRecord>;
  readonly cancel: (jobIds: readonly string[]) => Promise<readonly job.JobRecord[]>;
  readonly show: (jobId: string) => job.JobRecord;
  readonly jobs: () => readonly job.JobRecord[];
  readonly workers: () => readonly WorkerView[];
  readonly warnings: () => readonly string[];
  readonly report: (report: AgentReport) => ReportAnswer;
  readonly quarantine: (workerId: string, isQuarantined: boolean, reason: string) => void;
  /** Writes what is not yet written. */
  readonly flush: () => Promise<void>;
}

/** Wait before a start or stop whose answer was lost is sent again. */
const RESEND_MS = 500;

/** Wait that lets what happens together be planned together. */
const PLAN_DELAY_MS = 5;

/** Period of the checks that nothing else triggers: lapsed leases, the ledger. */
const TICK_MS = 500;

/** Reservations outlive a slow commit; a start after them is refused. */
const RESERVATION_LEASE_MS = 10_000;

/** Wait before writing again what could not be written. */
const COMMIT_RETRY_MS = 500;

const PHASE_EVENTS = {
  running: 'started',
  done: 'memberDone',
  failed: 'memberFailed',
  stopped: 'memberStopped',
} as const;

/**
 * @param options - what the leader needs
 * @returns a leader that has not taken over yet
 */
export const createCellLeader = (options: CellLeaderOptions): CellLeader => {
  const { clock: timeSource, log } = options;
  const owned = disposable.createDisposableStore();
  const runtimes = new Map<string, jobMachine.JobRuntime>();
  const entries = new Map<string, roster.RosterEntry>();
  let warnings: readonly string[] = [];
  let planTimer: disposable.Disposable | undefined;

  const nowMs = (): number => timeSource.monotonicMs();
  const policy = (): configuration.PlacementPolicy | undefined =>
    options.configuration.current()?.document.placement;
  const leaseMs = (): number => policy()?.taskLeaseMs ?? 30_000;
  const context = (): jobMachine.JobContext => ({
    nowMs: timeSource.wallMs(),
    configVersion: options.configuration.version(),
    epoch: options.epoch,
    unrunnableFailures: policy()?.unrunnableFailures ?? 3,
    reclaimGraceMs: policy()?.reclaimGraceMs ?? 0,
  });
  const records = (): job.JobRecord[] => [...runtimes.values()].map((it) => it.record);
  const noteAnswered = (agentUrl: string, commandCount: number): void => {
    for (const [workerId, entry] of entries) {
      if (entry.info.agentUrl === agentUrl) entries.set(workerId, { ...entry, commandCount });
    }
  };
  const outbox = commandOutbox.createCommandOutbox(options.sendCommands, log, noteAnswered);
  const commits = owned.add(
    commitQueue.createCommitQueue({
      jobStore: options.jobStore,
      clock: timeSource,
      log,
      recordsOf: (segment) =>
        records().filter((it) => jobSegments.segmentOf(it.spec.jobId) === segment),
      retryMs: COMMIT_RETRY_MS,
      onDeposed: options.onDeposed,
    }),
  );
  const inventory = workerInventory.createWorkerInventory(options.store, options.cell);
  const workerViews = (): WorkerView[] =>
    [...entries.values()].map((it) => ({
      worker: it.info,
      health: roster.healthOf(it, nowMs()),
      healthReason: it.healthReason,
    }));
  const ledger = owned.add(
    ledgerKeeper.createLedgerKeeper({
      cell: options.cell,
      epoch: options.epoch,
      store: options.store,
      clock: timeSource,
      log,
      metrics: options.metrics,
      onDeposed: options.onDeposed,
      holdings: () => ({
        ...ledgerHoldings.configuredCapacity(options.configuration.current(), options.cell),
        workers: workerViews().map((it) => ({
          workerId: it.worker.workerId,
          accelerators: it.worker.accelerators,
          health: it.health,
        })),
        jobs: records(),
        configVersion: options.configuration.version(),
      }),
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

  const dispatch = (jobId: string, event: jobMachine.JobEvent): void => {
    const before = runtimes.get(jobId);
    if (before === undefined) return;
    ledger.settle();
    const { next, effects } = jobMachine.step(before, event, context());
    runtimes.set(jobId, next);
    logTransition(before.record, next.record);
    // Effects speak of the placement that the event found.
    const placed = next.record.placement.length > 0 ? next.record : before.record;
    effects.forEach((effect) => perform(placed, effect));
    if (next.record.state !== before.record.state) planSoon();
  };
  const logTransition = (before: job.JobRecord, after: job.JobRecord): void => {
    if (before.state === after.state) return;
    const { spec, attempt } = after;
    log('info', 'jobChanged', { jobId: spec.jobId, from: before.state, to: after.state, attempt });
    options.metrics.count('auburnlift_job_transitions_total', { to: after.state });
    if (job.isTerminal(after.state)) archive.add(after);
    options.onDidChangeJob?.(before, after);
  };
  const perform = (record: job.JobRecord, effect: jobMachine.JobEffect): void => {
    switch (effect.type) {
      case 'persist':
        commits.markDirty(record.spec.jobId);
        break;
      case 'commit':
        void commitPlacement(record);
        break;
      default:
        sendToMember(record, effect);
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

  const commandOf = (
    record: job.JobRecord,
    effect: Exclude<jobMachine.JobEffect, { type: 'persist' | 'commit' }>,
  ): task.TaskCommand => {
    const { spec, attempt, checkpointMs } = record;
    const token = { jobId: spec.jobId, attempt, member: effect.member };
    const accelerators = record.placement[effect.member]?.accelerators ?? [];
    switch (effect.type) {
      case 'reserve':
        return { type: 'reserve', token, accelerators, leaseMs: RESERVATION_LEASE_MS };
      case 'start':
        return { type: 'start', token, resumeFromMs: checkpointMs, payload: spec.payload };
      case 'stop':
        return { type: 'stop', token, graceMs: effect.graceMs };
      default:
        return { type: 'release', token };
    }
  };
  const sendToMember = (
    record: job.JobRecord,
    effect: Exclude<jobMachine.JobEffect, { type: 'persist' | 'commit' }>,
  ): void => {
    const workerId = record.placement[effect.member]?.workerId ?? '';
    const agentUrl = entries.get(workerId)?.info.agentUrl;
    if (agentUrl === undefined) {
      onOutcome(record, effect, undefined);
      return;
    }
    outbox.enqueue(agentUrl, commandOf(record, effect), (outcome) =>
      onOutcome(record, effect, outcome),
    );
  };
  const onOutcome = (
    record: job.JobRecord,
    effect: Exclude<jobMachine.JobEffect, { type: 'persist' | 'commit' }>,
    outcome: commandOutbox.CommandOutcome,
  ): void => {
    const { jobId } = record.spec;
    const { member } = effect;
    if (runtimes.get(jobId)?.record.attempt !== record.attempt) return;
    const reason = outcome?.reason ?? 'the agent does not answer';
    if (effect.type === 'reserve') {
      dispatch(
        jobId,
        outcome?.isAccepted === true
          ? { type: 'reserved', member }
          : { type: 'reserveRefused', member, reason },
      );
      return;
    }
    if (effect.type === 'release') return;
    if (outcome === undefined) {
      resendLater(record, effect);
      return;
    }
    if (effect.type === 'start') {
      dispatch(
        jobId,
        outcome.isAccepted ? { type: 'started', member } : { type: 'startRefused', member, reason },
      );
    }
  };
  /** Starts and stops are idempotent by token, so what may be lost is sent again. */
  const resendLater = (
    record: job.JobRecord,
    effect: Exclude<jobMachine.JobEffect, { type: 'persist' | 'commit' }>,
  ): void => {
    owned.add(
      timeSource.after(RESEND_MS, () => {
        const current = runtimes.get(record.spec.jobId);
        const phase = current?.members[effect.member];
        const isSameAttempt = current?.record.attempt === record.attempt;
        if (current === undefined || phase === undefined || !isSameAttempt) return;
        if (phase === 'gone' || phase === 'done') return;
        const isStopping = current.record.state === job.JobState.stopping;
        if (effect.type === 'start' && isStopping) return;
        sendToMember(record, effect);
      }),
    );
  };

  const planSoon = (): void => {
    if (planTimer !== undefined || owned.isDisposed()) return;
    planTimer = timeSource.after(PLAN_DELAY_MS, () => {
      planTimer = undefined;
      plan();
    });
  };
  const plan = (): void => {
    const current = options.configuration.current();
    // Without the store nothing can be committed, so nothing may be started.
    if (current === undefined || !commits.isHealthy()) return;
    const startedMs = nowMs();
    const round = placement.planRound({
      nowMs: timeSource.wallMs(),
      cell: options.cell,
      configVersion: current.version,
      document: current.document,
      workers: workerViews().map((it) => ({
        workerId: it.worker.workerId,
        rack: it.worker.rack,
        accelerators: it.worker.accelerators,
        health: it.health,
      })),
      jobs: records()
        .filter((it) => !job.isTerminal(it.state))
        .sort((a, b) => a.submittedAtMs - b.submittedAtMs),
    });
    options.metrics.time('auburnlift_plan_ms', nowMs() - startedMs, { cell: options.cell });
    warnings = round.warnings;
    round.stops.forEach((it) => dispatch(it.jobId, { type: 'stop', cause: it.cause, why: it.why }));
    round.placements.forEach((it) => dispatch(it.jobId, { type: 'planned', ...it }));
  };

  const remember = (info: worker.WorkerInfo): void => {
    if (inventory.remember(info)) {
      void inventory.save().catch((thrown: unknown) => {
        log('warn', 'inventoryNotSaved', { reason: errors.normalize(thrown).message });
      });
    }
  };
  const enroll = (
    info: worker.WorkerInfo,
    seen: { readonly bootId: string; readonly isLeaving: boolean; readonly isFenced: boolean },
    isReport: boolean,
  ): roster.RosterEntry => {
    const known = entries.get(info.workerId);
    const isSameBoot = known?.bootId === seen.bootId;
    const entry: roster.RosterEntry = {
      isQuarantined: false,
      healthReason: '',
      ...known,
      commandCount: isSameBoot ? known.commandCount : 0,
      info,
      ...seen,
      // Only a report is answered with a lease, and a start without a lease would be stopped.
      lastReportMs: isReport ? nowMs() : Number.NEGATIVE_INFINITY,
      leaseUntilMs: nowMs() + roster.certainLapseMs(leaseMs()),
    };
    ledger.settle();
    entries.set(info.workerId, entry);
    remember(info);
    return entry;
  };

  const eventOf = (report: task.TaskReport): jobMachine.JobEvent | undefined => {
    const { member } = report.token;
    const reason = report.reason ?? 'no reason given';
    switch (PHASE_EVENTS[report.phase as keyof typeof PHASE_EVENTS]) {
      case 'started':
        return { type: 'started', member };
      case 'memberDone':
        return { type: 'memberDone', member };
      case 'memberFailed':
        return { type: 'memberFailed', member, reason };
      case 'memberStopped':
        return { type: 'memberStopped', member, checkpointMs: report.checkpointMs };
      default:
        return undefined;
    }
  };
  const isEnded = (report: task.TaskReport): boolean =>
    report.phase === 'done' || report.phase === 'failed' || report.phase === 'stopped';
  /** A task that no job wants any more: of an earlier attempt, or of a job that has ended. */
  const stopStray = (agentUrl: string, report: task.TaskReport): void => {
    if (isEnded(report)) return;
    outbox.enqueue(agentUrl, { type: 'stop', token: report.token, graceMs: 0 }, () => undefined);
  };
  const takeTask = (agentUrl: string, report: task.TaskReport): void => {
    const { jobId, attempt, member } = report.token;
    const runtime = runtimes.get(jobId);
    const isWanted =
      runtime !== undefined &&
      runtime.record.attempt === attempt &&
      runtime.members[member] !== undefined;
    if (!isWanted) {
      stopStray(agentUrl, report);
      return;
    }
    const isStopOwed =
      runtime.record.state === job.JobState.stopping && report.phase === task.TaskPhase.running;
    if (isStopOwed) {
      // The leader that decided to stop may have died before its command was sent.
      sendToMember(runtime.record, { type: 'stop', member, graceMs: context().reclaimGraceMs });
      return;
    }
    const event = eventOf(report);
    if (event !== undefined) dispatch(jobId, event);
  };
  /** Whether a statement was written before the agent handled commands that it has answered. */
  const isOutdated = (workerId: string, state: AgentState): boolean => {
    const known = entries.get(workerId);
    return known?.bootId === state.bootId && state.commandCount < known.commandCount;
  };
  /** A full report without a task that should be there: it is gone, and nothing of it runs. */
  const missTasks = (
    workerId: string,
    tasks: readonly task.TaskReport[],
    isTakeOver: boolean,
  ): void => {
    const present = new Set(tasks.map((it) => task.tokenKey(it.token)));
    for (const { record, members } of [...runtimes.values()]) {
      record.placement.forEach((place, member) => {
        const phase = members[member];
        const token = { jobId: record.spec.jobId, attempt: record.attempt, member };
        const isExpected = phase === 'running' || (phase === 'starting' && isTakeOver);
        if (place.workerId !== workerId || !isExpected) return;
        if (present.has(task.tokenKey(token))) return;
        const reason = `${workerId} does not know the task any more`;
        dispatch(token.jobId, { type: 'memberLost', member, reason });
      });
    }
  };
  const acknowledgeable = (report: task.TaskReport): boolean => {
    if (!isEnded(report)) return false;
    const runtime = runtimes.get(report.token.jobId);
    if (runtime === undefined || runtime.record.attempt !== report.token.attempt) return true;
    const phase = runtime.members[report.token.member];
    const isSettled = phase === undefined || phase === 'done' || phase === 'gone';
    return isSettled && !commits.isDirty(report.token.jobId);
  };

  const fenceAgent = async (agentUrl: string): Promise<void> => {
    try {
      const state = await options.fence(agentUrl);
      if (state.acceptedEpoch > options.epoch) options.onDeposed();
      if (state.worker === undefined || state.acceptedEpoch !== options.epoch) return;
      enroll(state.worker, { bootId: state.bootId, isLeaving: false, isFenced: true }, false);
      state.tasks.forEach((it) => takeTask(agentUrl, it));
      if (!isOutdated(state.worker.workerId, state)) {
        missTasks(state.worker.workerId, state.tasks, true);
      }
      planSoon();
    } catch (thrown) {
      log('warn', 'fenceFailed', { agentUrl, reason: errors.normalize(thrown).message });
    }
  };
  const loseLapsed = (): void => {
    for (const [workerId, entry] of entries) {
      if (!roster.isLapsed(entry, nowMs())) continue;
      missTasks(workerId, [], true);
    }
  };
  const tick = (): void => {
    loseLapsed();
    ledger.settle();
    planSoon();
    owned.add(timeSource.after(TICK_MS, tick));
  };
  const knownInventory = async (): Promise<void> => {
    const infos = await inventory.load();
    for (const info of infos) {
      enroll(info, { bootId: '', isLeaving: false, isFenced: false }, false);
    }
  };
  return {
    cell: options.cell,
    epoch: options.epoch,
    takeOver: async () => {
      const kept = await options.jobStore.takeOver();
      kept.forEach((it) => runtimes.set(it.spec.jobId, jobMachine.takeOver(it)));
      // A former leader may have died before it archived what ended last.
      archive.addLately(kept);
      await knownInventory();
      await ledger.load();
      const known = [...entries.values()].map((it) => it.info.agentUrl);
      const discovered = await options.discoverAgents();
      await Promise.all([...new Set([...known, ...discovered])].map(fenceAgent));
      log('info', 'cellTaken', { cell: options.cell, epoch: options.epoch, jobs: kept.length });
      tick();
    },
    submit: async (spec) => {
      const known = runtimes.get(spec.jobId);
      if (known !== undefined) {
        if (JSON.stringify(known.record.spec) === JSON.stringify(spec)) return known.record;
        throw errors.fail('conflict', `job ${spec.jobId} exists with another content`, {
          field: 'jobId',
        });
      }
      runtimes.set(spec.jobId, jobMachine.accept(spec, context()));
      try {
        await commits.commit(spec.jobId);
      } catch (thrown) {
        if (thrown instanceof store.StoreOutcomeUnknown) {
          throw errors.fail('outcomeUnknown', 'submit the same job id again to learn the outcome');
        }
        runtimes.delete(spec.jobId);
        throw thrown;
      }
      planSoon();
      return runtimes.get(spec.jobId)?.record ?? jobMachine.accept(spec, context()).record;
    },
    cancel: async (jobIds) => {
      const known = jobIds.filter((it) => runtimes.has(it));
      known.forEach((it) => dispatch(it, { type: 'cancel' }));
      try {
        await Promise.all(known.map((it) => commits.commit(it)));
      } catch {
        throw errors.fail('outcomeUnknown', 'the cancellation is not durable yet; ask again');
      }
      return known.map((it) => runtimes.get(it)?.record).filter((it) => it !== undefined);
    },
    show: (jobId) => {
      const record = runtimes.get(jobId)?.record;
      if (record === undefined) {
        throw errors.fail('notFound', `no job ${jobId} in cell ${options.cell}`, {
          field: 'jobId',
        });
      }
      return record;
    },
    jobs: records,
    workers: workerViews,
    warnings: () => warnings,
    report: (report) => {
      const { workerId, agentUrl } = report.worker;
      const known = entries.get(workerId);
      if (report.acceptedEpoch > options.epoch) options.onDeposed();
      const isFenced = report.acceptedEpoch === options.epoch;
      const isNew = known === undefined || known.bootId !== report.bootId || !known.isFenced;
      if (!isFenced) {
        void fenceAgent(agentUrl);
        return { epoch: options.epoch, leaseMs: leaseMs(), wantsFull: true, acknowledged: [] };
      }
      enroll(report.worker, { bootId: report.bootId, isLeaving: report.isLeaving, isFenced }, true);
      report.tasks.forEach((it) => takeTask(agentUrl, it));
      // A report that crossed a start on its way does not know the task yet.
      const isWhole = report.isFull && !isOutdated(workerId, report);
      if (isWhole) missTasks(workerId, report.tasks, isNew);
      if (isNew) planSoon();
      const acknowledged = report.tasks.filter(acknowledgeable).map((it) => it.token);
      const wantsFull = isNew && !report.isFull;
      return { epoch: options.epoch, leaseMs: leaseMs(), wantsFull, acknowledged };
    },
    quarantine: (workerId, isQuarantined, reason) => {
      const entry = entries.get(workerId);
      if (entry === undefined) {
        throw errors.fail('notFound', `no worker ${workerId}`, { field: 'workerId' });
      }
      ledger.settle();
      entries.set(workerId, {
        ...entry,
        isQuarantined,
        healthReason: isQuarantined ? reason : '',
      });
      planSoon();
    },
    flush: async () => {
      await commits.flush();
      await ledger.flush();
      await archive.flush();
    },
    dispose: async () => {
      void planTimer?.dispose();
      await owned.dispose();
    },
  };
};
