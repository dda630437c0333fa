/**
 * The leader of the pools for one term: learns jobs and agents from the store, plans, stores each
 * start before it is sent, and removes what ended long ago.
 */
import type * as clock from '../../../base/common/clock.js';
import * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import type * as poolConfiguration from '../../../state/common/pool/poolConfiguration.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';
import * as jobBook from '../../common/pool/jobBook.js';
import * as jobRegistry from '../../common/pool/jobRegistry.js';
import * as leaseClock from '../../common/pool/leaseClock.js';
import * as planRound from '../../common/pool/planRound.js';
import type * as planTypes from '../../common/pool/planTypes.js';
import * as readyQueue from '../../common/pool/readyQueue.js';
import * as workerTable from '../../common/pool/workerTable.js';

import * as agentSession from './agentSession.js';
import * as orderDesk from './orderDesk.js';
import type * as poolLeadership from './poolLeadership.js';
import * as progressWriter from './progressWriter.js';
import * as runControl from './runControl.js';

/** Figures of the deployment that the leader works by. */
export interface PoolLimits {
  /** Longest lease that a worker grants. */
  readonly maxLeaseMs: number;
  /** A job's state is told at least this long after its end. */
  readonly statusMs: number;
}

/** What a leader needs. */
export interface PoolLeaderOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly link: agentContract.AgentLink;
  readonly term: poolLeadership.Term;
  readonly limits: PoolLimits;
  readonly configuration: () => poolConfiguration.PoolConfiguration | undefined;
  /** Somebody else leads or changed a record: the term is over. */
  readonly onDidConflict: (reason: string) => void;
}

/** The leader of the pools. */
export interface PoolLeader extends disposable.Disposable {
  /** Accepted jobs by queue of which no task has started; undefined before all jobs are loaded. */
  readonly pendingByQueue: () => Readonly<Record<string, number>> | undefined;
}

/** Below the longest lease, so that the worker shortens none. */
const LEASE_SLACK_MS = 300;

/** How often stops are repeated, lapsed leases looked for and due occurrences started. */
const TICK_MS = 200;

/** Pause after a failed call to the store. */
const RETRY_MS = 200;

/** Wait of a watch; a silent line is noticed this late. */
const WATCH_MS = 5000;

/** A start that waits for a certain leadership looks again after this time. */
const RECHECK_MS = 50;

/** An agent whose entry is gone and that is silent this long is forgotten. */
const FORGET_AGENT_MS = 60_000;

/** Ended jobs are removed this long after their state has to be told. */
const REMOVE_SLACK_MS = 60_000;

/** Ended jobs removed in one transaction: three records each. */
const REMOVED_AT_ONCE = 8;

/** How often ended jobs are looked for; their removal is not urgent. */
const REMOVE_PERIOD_MS = 10_000;

/**
 * Checkpoints are stored together this often, so that a loss of all power costs no more than this much
 * of saved work; stored one by one they would be most of the leader's writes.
 */
const CHECKPOINT_PERIOD_MS = 2000;

interface AgentRecord {
  readonly url: string;
}

/**
 * @param options - what the leader needs
 * @returns the leader; it loads what lasts and goes on until it is disposed
 */
export const startPoolLeader = (options: PoolLeaderOptions): PoolLeader => {
  const { clock: time, log, metrics, term } = options;
  const owned = disposable.createDisposableStore();
  const aborter = new AbortController();
  const registry = jobRegistry.createJobRegistry(log);
  const workers = new Map<string, workerTable.WorkerEntry>();
  const sessions = new Map<string, disposable.Disposable>();
  const listedAgents = new Set<string>();
  const queue = readyQueue.createReadyQueue();
  const savedJobs = new Set<string>();
  const waitReasons = new Map<string, string>();
  const startedAtMs = time.monotonicMs();
  let isLoaded = false;
  let isPlanDue = false;
  let removedAtMs = startedAtMs;
  let checkpointedAtMs = startedAtMs;

  const nowMs = (): number => time.monotonicMs();
  const grantMs = (): number => (term.isCertain() ? options.limits.maxLeaseMs - LEASE_SLACK_MS : 0);
  const pause = (durationMs: number): Promise<void> =>
    new Promise((resolve) => {
      time.after(durationMs, resolve);
    });

  const writer = progressWriter.createProgressWriter({
    store: options.store,
    clock: time,
    log,
    metrics,
    leadership: term.condition,
    recordOf: (jobId) => {
      const entry = registry.get(jobId);
      if (entry === undefined) return undefined;
      const value = progressRecord.encodeProgress(jobBook.toRecord(entry));
      return { key: poolKeys.progressKey(jobId), value, revision: entry.progressRevision };
    },
    onDidWrite: (jobId, revision) => {
      const entry = registry.get(jobId);
      if (entry !== undefined) entry.progressRevision = revision;
    },
    onDidConflict: options.onDidConflict,
  });

  const control: runControl.RunControl = runControl.createRunControl({
    clock: time,
    log,
    metrics,
    registry,
    workers,
    desk: () => desk,
    save: writer.save,
    whenStored: writer.whenStored,
    onDidSave: (jobId) => savedJobs.add(jobId),
    onDidChange: () => schedulePlan(),
  });
  const desk = orderDesk.createOrderDesk({
    link: options.link,
    clock: time,
    log,
    grantMs,
    onSettled: control.takeSettled,
  });

  /** Sends a stored start, as soon as the leadership is certain. */
  const sendStart = (worker: workerTable.WorkerEntry, run: workerTable.RunHolding): void => {
    if (owned.isDisposed() || run.phase !== workerTable.RunPhase.ordering) return;
    if (!control.isWanted(run)) {
      worker.runs.delete(workerTable.runKey(run.name, run.run));
      control.noteLost(run, 'notSent');
      schedulePlan();
      return;
    }
    if (!term.isCertain()) {
      time.after(RECHECK_MS, () => sendStart(worker, run));
      return;
    }
    desk.start(worker, { run, ticket: undefined });
  };

  const begin = (placement: planTypes.Placement): void => {
    const { entry, tasks } = placement.unit.unit;
    const assignments = tasks.map((task, index) => {
      const { workerId, incarnationMs, agentId } = placement.workers[index] as planTypes.PlanWorker;
      return { task, workerId, incarnationMs, agentId };
    });
    jobBook.assign(entry, assignments);
    const runs = tasks.flatMap((task) => {
      const worker = workers.get(task.agentId);
      if (worker === undefined) return [];
      const run = workerTable.createRun(entry, task, workerTable.RunPhase.ordering, nowMs());
      worker.runs.set(workerTable.runKey(run.name, run.run), run);
      return [{ worker, run }];
    });
    waitReasons.delete(placement.unit.groupKey);
    metrics.time('auburnlift_ready_to_start_ms', placement.unit.waitedMs);
    log('info', 'placed', {
      job: entry.job.jobId,
      group: placement.unit.groupKey,
      run: tasks[0]?.run,
      workers: tasks.map((it) => it.workerId).join(','),
      waitedMs: Math.round(placement.unit.waitedMs),
      configVersion: options.configuration()?.version,
    });
    void writer
      .save(entry.job.jobId)
      .then(() => runs.forEach(({ worker, run }) => sendStart(worker, run)));
  };

  const evict = (groupKey: string, beneficiary: planTypes.PlanUnit): void => {
    const victim = registry.get(groupKey.split('.')[0] ?? '');
    if (victim !== undefined) victim.preemptions += 1;
    for (const worker of workers.values()) {
      for (const run of worker.runs.values()) {
        const isVictim = run.groupKey === groupKey && run.phase === workerTable.RunPhase.present;
        if (isVictim) control.stopRun(worker, run, `reclaimedFor ${beneficiary.groupKey}`);
      }
    }
  };

  const noteWait = ({ unit, reason }: planTypes.Wait): void => {
    if (waitReasons.get(unit.groupKey) === reason) return;
    waitReasons.set(unit.groupKey, reason);
    log('info', 'waits', { job: unit.unit.entry.job.jobId, group: unit.groupKey, reason });
  };

  const guarantees = (): planTypes.Guarantees =>
    new Map(
      (options.configuration()?.customers ?? []).map((it) => [
        it.customerId,
        it.guaranteedAccelerators,
      ]),
    );

  const plan = (): void => {
    isPlanDue = false;
    const planStartedAtMs = nowMs();
    if (owned.isDisposed() || !isLoaded) return;
    const wallMs = time.wallMs();
    for (const entry of registry.all()) {
      if (entry.job.schedule !== undefined && !jobBook.isEnded(entry)) {
        jobBook.addDueOccurrences(entry, wallMs);
      }
    }
    const units = queue.units(registry.all(), nowMs(), wallMs);
    if (units.length === 0) return;
    const planWorkers = [...workers.values()]
      .map((it) => workerTable.toPlanWorker(it, nowMs()))
      .filter((it) => it !== undefined);
    const round = planRound.planRound({
      nowMs: nowMs(),
      workers: planWorkers,
      units,
      guarantees: guarantees(),
    });
    metrics.time('auburnlift_plan_round_ms', nowMs() - planStartedAtMs);
    round.starts.forEach(begin);
    round.evictions.forEach((unit, groupKey) => evict(groupKey, unit));
    round.waits.forEach(noteWait);
  };

  const schedulePlan = (): void => {
    if (isPlanDue) return;
    isPlanDue = true;
    // Changes that come together are planned together.
    time.after(1, plan);
  };

  const adoptRuns = (worker: workerTable.WorkerEntry): void => {
    for (const entry of registry.all()) {
      if (jobBook.isEnded(entry)) continue;
      for (const task of jobBook.tasksOf(entry)) {
        const isHere = task.phase === 'assigned' && task.agentId === worker.agentId;
        const { name } = workerTable.keysOf(entry, task);
        const isKnown = worker.runs.has(workerTable.runKey(name, task.run));
        if (isHere && !isKnown) control.adoptAssigned(worker, entry, task);
      }
    }
  };

  /** The first news of a worker tells which of the former leader's runs are its own. */
  const takeNews = (
    worker: workerTable.WorkerEntry,
    news: agentContract.WorkerNews,
    receivedAtMs: number,
  ): Promise<unknown> => {
    const isFirst = worker.info === undefined && news.worker !== undefined;
    if (isFirst) {
      worker.info = news.worker;
      adoptRuns(worker);
    }
    if (isFirst) schedulePlan();
    return control.takeNews(worker, news, receivedAtMs);
  };

  const openSession = (worker: workerTable.WorkerEntry): void => {
    const session = agentSession.startAgentSession({
      link: options.link,
      clock: time,
      log,
      worker,
      grantMs,
      onNews: (news, receivedAtMs) => takeNews(worker, news, receivedAtMs),
      onDidLose: () => {
        worker.isReachable = false;
      },
    });
    sessions.set(worker.agentId, session);
  };

  const takeAgent = (record: store.StoreEntry): void => {
    const agentId = record.key.slice(poolKeys.AGENTS.length);
    const { url } = JSON.parse(record.value) as AgentRecord;
    listedAgents.add(agentId);
    const known = workers.get(agentId);
    if (known !== undefined) {
      known.url = url;
      return;
    }
    const fence = workerTable.firstFence(term.epoch);
    const worker = workerTable.createWorkerEntry(agentId, url, fence, nowMs());
    workers.set(agentId, worker);
    openSession(worker);
  };

  const takeRecord = (record: store.StoreEntry): void => {
    if (record.key.startsWith(poolKeys.AGENTS)) {
      takeAgent(record);
      return;
    }
    const effect = registry.takeRecord(record, nowMs());
    if (effect === jobRegistry.RecordEffect.none || !isLoaded) return;
    const jobId = poolKeys.parseJobKey(record.key)?.jobId ?? '';
    log('info', effect === 'submitted' ? 'jobLearnt' : 'cancelLearnt', {
      job: jobId,
      revision: record.revision,
    });
    settleCancel(registry.get(jobId));
    schedulePlan();
  };

  const settleCancel = (entry: jobBook.JobEntry | undefined): void => {
    if (entry?.isCancelled !== true) return;
    if (!jobBook.cancel(entry, time.wallMs())) return;
    control.stopUnwanted(entry, 'cancelled');
    void writer.save(entry.job.jobId);
  };

  const takeDeletion = (key: string): void => {
    if (key === poolKeys.LEADER) options.onDidConflict('the leadership record is gone');
    if (key.startsWith(poolKeys.AGENTS)) listedAgents.delete(key.slice(poolKeys.AGENTS.length));
  };

  /** A term ends the moment a later one is seen. */
  const takeLeader = (record: store.StoreEntry): void => {
    if (record.key !== poolKeys.LEADER) return;
    if (record.revision !== term.condition.revision) options.onDidConflict('another leads');
  };

  const loadAll = async (): Promise<number> => {
    const live = await options.store.list(poolKeys.LIVE);
    const progress = await options.store.list(poolKeys.PROGRESS);
    live.entries.forEach(takeLeader);
    live.entries.forEach(takeRecord);
    progress.entries.forEach(registry.takeProgress);
    isLoaded = true;
    for (const entry of registry.all()) settleCancel(entry);
    log('info', 'loaded', {
      epoch: term.epoch,
      revision: live.revision,
      jobs: [...registry.all()].length,
      agents: workers.size,
      durationMs: Math.round(nowMs() - startedAtMs),
    });
    workers.forEach((worker) => {
      if (worker.info !== undefined) adoptRuns(worker);
    });
    schedulePlan();
    return live.revision;
  };

  const relist = async (): Promise<number> => {
    const live = await options.store.list(poolKeys.LIVE);
    live.entries.forEach(takeLeader);
    const agents = live.entries.filter((it) => it.key.startsWith(poolKeys.AGENTS));
    const present = new Set(agents.map((it) => it.key.slice(poolKeys.AGENTS.length)));
    const vanished = [...listedAgents].filter((it) => !present.has(it));
    vanished.forEach((it) => listedAgents.delete(it));
    if (!live.entries.some((it) => it.key === poolKeys.LEADER)) takeDeletion(poolKeys.LEADER);
    live.entries.forEach(takeRecord);
    log('info', 'relisted', { revision: live.revision });
    return live.revision;
  };

  const follow = async (afterRevision: number): Promise<void> => {
    let revision = afterRevision;
    while (!owned.isDisposed()) {
      try {
        const seen = await options.store.watch(poolKeys.LIVE, revision, WATCH_MS, aborter.signal);
        if (owned.isDisposed()) return;
        if (seen.isGap) {
          revision = await relist();
        } else {
          seen.entries.forEach(takeLeader);
          seen.entries.forEach(takeRecord);
          seen.deletedKeys.forEach(takeDeletion);
          revision = seen.revision;
        }
      } catch (thrown) {
        if (owned.isDisposed()) return;
        log('warn', 'watchFailed', { reason: errors.normalize(thrown).message });
        await pause(RETRY_MS);
      }
    }
  };

  const run = async (): Promise<void> => {
    while (!owned.isDisposed()) {
      try {
        await follow(await loadAll());
        return;
      } catch (thrown) {
        log('warn', 'loadFailed', { reason: errors.normalize(thrown).message });
        await pause(RETRY_MS);
      }
    }
  };

  const formerLapseAtMs = startedAtMs + leaseClock.formerLeasesLapseMs(options.limits.maxLeaseMs);

  /** Runs of workers that stay silent end when every lease there has lapsed. */
  const giveUpSilent = (): void => {
    if (nowMs() < formerLapseAtMs) return;
    for (const worker of workers.values()) {
      const isLapsed = nowMs() > worker.leasesLapseAtMs && !worker.isReachable;
      if (isLapsed && worker.runs.size > 0) control.giveUpWorker(worker, 'leasesLapsed');
    }
  };

  /** Tasks that a former leader gave to workers that nobody has seen since. */
  const giveUpUnseen = (): void => {
    if (nowMs() < formerLapseAtMs) return;
    const seen = new Set(
      [...workers.values()].filter((it) => it.info !== undefined).map((it) => it.agentId),
    );
    for (const entry of registry.all()) {
      if (jobBook.isEnded(entry)) continue;
      for (const task of jobBook.tasksOf(entry)) {
        if (task.phase === 'assigned' && !seen.has(task.agentId)) {
          const { closing } = workerTable.RunPhase;
          control.noteLost(workerTable.createRun(entry, task, closing, nowMs()), 'workerNeverSeen');
        }
      }
    }
  };

  const forgetAgents = (): void => {
    for (const worker of workers.values()) {
      const isSilent = nowMs() - worker.contactedAtMs > FORGET_AGENT_MS;
      if (isSilent && !listedAgents.has(worker.agentId) && worker.runs.size === 0) {
        void sessions.get(worker.agentId)?.dispose();
        sessions.delete(worker.agentId);
        workers.delete(worker.agentId);
      }
    }
  };

  const removeEnded = async (): Promise<void> => {
    if (nowMs() - removedAtMs < REMOVE_PERIOD_MS) return;
    removedAtMs = nowMs();
    const beforeMs = time.wallMs() - options.limits.statusMs - REMOVE_SLACK_MS;
    const due = [...registry.all()]
      .filter((it) => jobBook.isEnded(it) && it.endedAtMs < beforeMs)
      .slice(0, REMOVED_AT_ONCE)
      .map((it) => it.job.jobId);
    if (due.length === 0) return;
    const result = await options.store.transact({
      conditions: [term.condition],
      puts: [],
      removes: due.flatMap((jobId) => [
        poolKeys.jobKey(jobId, poolKeys.JobPart.spec),
        poolKeys.jobKey(jobId, poolKeys.JobPart.cancel),
        poolKeys.progressKey(jobId),
      ]),
    });
    if (result.isCommitted) due.forEach(registry.remove);
    log('info', 'endedJobsRemoved', { jobs: due.length, isCommitted: result.isCommitted });
  };

  const storeCheckpoints = (): void => {
    if (nowMs() - checkpointedAtMs < CHECKPOINT_PERIOD_MS) return;
    checkpointedAtMs = nowMs();
    for (const jobId of savedJobs) void writer.save(jobId);
    savedJobs.clear();
  };

  const tick = (): void => {
    if (owned.isDisposed()) return;
    control.repeatStops();
    control.inspect();
    storeCheckpoints();
    giveUpSilent();
    giveUpUnseen();
    forgetAgents();
    schedulePlan();
    removeEnded().catch((thrown: unknown) => {
      log('warn', 'removalFailed', { reason: errors.normalize(thrown).message });
    });
    time.after(TICK_MS, tick);
  };

  owned.add({
    dispose: () => {
      aborter.abort();
      writer.dispose();
      desk.dispose();
      sessions.forEach((it) => {
        void it.dispose();
      });
    },
  });
  void run();
  time.after(TICK_MS, tick);
  return {
    pendingByQueue: () => (isLoaded ? registry.pendingByQueue() : undefined),
    dispose: () => owned.dispose(),
  };
};
