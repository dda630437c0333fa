/**
 * The leader of the pools for one term: connects the record feed, planning, the progress writer and the agents,
 * and declares unreachable runs lost.
 */
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import type * as clock from '../../../base/common/clock.js';
import * as disposable from '../../../base/common/disposable.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import type * as agentContract from '../../../state/common/pool/agentContract.js';
import type * as poolConfiguration from '../../../state/common/pool/poolConfiguration.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import type * as store from '../../../state/common/store.js';
import * as evacuations from '../../common/pool/evacuations.js';
import type * as doneRuns from '../../common/pool/doneRuns.js';
import * as fences from '../../common/pool/fences.js';
import * as runtimeEstimates from '../../common/pool/runtimeEstimates.js';
import * as jobState from '../../common/pool/jobState.js';
import * as jobTransitions from '../../common/pool/jobTransitions.js';
import * as jobRegistry from '../../common/pool/jobRegistry.js';
import * as leaseClock from '../../common/pool/leaseClock.js';
import * as workerTable from '../../common/pool/workerTable.js';

import type * as ticketCache from './ticketCache.js';
import * as agentDirectory from './agentDirectory.js';
import * as evacuationFeed from './evacuationFeed.js';
import * as endedJobsRemoval from './endedJobsRemoval.js';
import * as evacuationReport from './evacuationReport.js';
import * as orderSender from './orderSender.js';
import * as planDriver from './planDriver.js';
import type * as poolLeadership from './poolLeadership.js';
import * as progressWriter from './progressWriter.js';
import * as recordEncoding from './recordEncoding.js';
import * as recordFeed from './recordFeed.js';
import * as runControl from './runControl.js';
import * as speedRecorder from './speed/speedRecorder.js';
import * as storedRecordReader from './storedRecordReader.js';

/** Limits of the deployment that apply to the leader. */
export interface PoolLimits {
  /** Longest lease that a worker grants. */
  readonly maxLeaseMs: number;
  /** The end of a run is acknowledged within this time. */
  readonly maxAcknowledgementMs: number;
  /** A job's status is available at least this long after its end. */
  readonly statusMs: number;
  /** Factor by which a task takes longer away from its data or its rack. */
  readonly remoteFactor: number;
  /** Time that a task takes to resume from a checkpoint. */
  readonly restoreMs: number;
  /** Largest value that the store takes. */
  readonly maxValueBytes: number;
}

/** Dependencies of a leader. */
export interface PoolLeaderOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly link: agentContract.AgentApi;
  readonly term: poolLeadership.Term;
  readonly limits: PoolLimits;
  readonly configuration: () => poolConfiguration.PoolConfiguration | undefined;
  /** Completed runs that are not stored yet, of any term of this process. */
  readonly doneRuns: doneRuns.DoneRuns;
  /** Another process leads or changed a record: the term is over. */
  readonly onDidConflict: (reason: string) => void;
  /** Whether it learns how fast its workers are; otherwise they count as equal. */
  readonly learnsSpeeds: boolean;
  /** Absent where zones are never evacuated. */
  readonly evacuation?: evacuationFeed.EvacuationLimits;
  /** Requests from the policy service which workers may run a step. */
  readonly askAdvice: ticketCache.TicketCacheOptions['ask'];
}

/** The leader of the pools. */
export interface PoolLeader extends disposable.Disposable {
  /**
   * Number of accepted jobs by queue of which no task has started; undefined before all jobs are loaded, and
   * while the leader's state is too old to be reported.
   */
  readonly pendingByQueue: () => Readonly<Record<string, number>> | undefined;
  /** An entry has stored a record of a job; it is read if the watch does not deliver it shortly after. */
  readonly handleStoredRecord: (jobId: string, part: poolKeys.JobPart) => Promise<void>;
}

/** Leases are this much shorter than the longest one a worker grants, so that it does not shorten them. */
const LEASE_SLACK_MS = 300;

/** Interval of repeating stops, checking for expired leases and starting due occurrences. */
const TICK_MS = 200;

/**
 * Interval of storing new checkpoints, and which jobs have begun, in batches. A power loss of all machines costs at most
 * this much saved work, and a count of pending jobs may be this old; stored one by one, they would be most of the
 * leader's writes.
 */
const PROGRESS_PERIOD_MS = 2000;

/**
 * Callers may receive counts up to two seconds old, and entries cache a count for half a second. A watch of a slow
 * store, which answers in a quarter of a second, confirms the leader's state within this time.
 */
const MAX_REPORTED_AGE_MS = 1500;

/**
 * @param options - its dependencies
 * @returns the leader, which loads the stored state and runs until it is disposed
 */
export const startPoolLeader = (options: PoolLeaderOptions): PoolLeader => {
  const { clock: time, log, metrics, term } = options;
  const owned = disposable.createDisposableStore();
  const registry = jobRegistry.createJobRegistry(log, (job) =>
    poolJob.isTooLargeToEnd(job, options.limits.maxValueBytes),
  );
  const workers = new Map<string, workerTable.WorkerEntry>();
  const progressedJobs = new Set<string>();
  const estimates = runtimeEstimates.createRuntimeEstimates();
  const speeds = options.learnsSpeeds
    ? speedRecorder.createSpeedRecorder({ clock: time, log, metrics, workers })
    : speedRecorder.EQUAL_SPEEDS;
  const startedAtMs = time.monotonicMs();
  const previousLeasesExpireAtMs =
    startedAtMs + leaseClock.previousLeasesExpiryMs(options.limits.maxLeaseMs);
  let isLoaded = false;
  let progressStoredAtMs = startedAtMs;

  const nowMs = (): number => time.monotonicMs();
  const followEvacuations = (limits: evacuationFeed.EvacuationLimits): evacuations.Evacuations =>
    owned.add(
      evacuationFeed.startEvacuationFeed({
        ...limits,
        store: options.store,
        clock: time,
        log,
        onDidChange: () => driver.schedule(),
      }),
    );
  const evacuated =
    options.evacuation === undefined
      ? evacuations.NO_EVACUATIONS
      : followEvacuations(options.evacuation);
  /** The jobs and the evacuations are known. */
  const isReady = (): boolean =>
    isLoaded && evacuated.startsUntilMs() !== -Infinity && !owned.isDisposed();
  const fullGrantMs = options.limits.maxLeaseMs - LEASE_SLACK_MS;
  const grantMs = (): number => (term.isLeaseValid() ? fullGrantMs : 0);

  const writer = progressWriter.createProgressWriter({
    store: options.store,
    clock: time,
    log,
    metrics,
    leadership: term.condition,
    recordOf: recordEncoding.createRecordEncoding(registry, options.limits.maxValueBytes),
    onDidWrite: (jobId, revision) => {
      const entry = registry.get(jobId);
      if (entry === undefined) return;
      entry.progressRevision = revision;
      if (entry.isRecordRefused) driver.schedule();
      entry.isRecordRefused = false;
    },
    onDidRefuse: (jobId) => {
      const entry = registry.get(jobId);
      if (entry === undefined) return;
      entry.isRecordRefused = true;
      control.dropUnsentStarts(entry);
      driver.schedule();
    },
    onDidFindCancel: (record) => handleJobRecord(record, 'write'),
    onDidConflict: options.onDidConflict,
  });
  /** Stores all that is new of the job, so nothing of it is left for the next batch. */
  const save = (jobId: string): Promise<void> => {
    progressedJobs.delete(jobId);
    return writer.save(jobId);
  };
  const control: runControl.RunControl = runControl.createRunControl({
    clock: time,
    log,
    metrics,
    registry,
    workers,
    orderSender: () => sender,
    grantMs: fullGrantMs,
    maxAcknowledgementMs: options.limits.maxAcknowledgementMs,
    previousLeasesExpireAtMs,
    doneRuns: options.doneRuns,
    estimates,
    speeds,
    save,
    whenStored: writer.whenStored,
    onDidProgress: (jobId) => progressedJobs.add(jobId),
    onDidChange: () => driver.schedule(),
  });
  const sender = orderSender.createOrderSender({
    link: options.link,
    clock: time,
    log,
    grantMs,
    startsUntilMs: evacuated.startsUntilMs,
    onSettled: control.applyOrderResults,
  });
  const driver = planDriver.createPlanDriver({
    clock: time,
    log,
    metrics,
    term,
    registry,
    workers,
    estimates,
    speeds,
    remoteFactor: options.limits.remoteFactor,
    restoreMs: options.limits.restoreMs,
    control: () => control,
    orderSender: () => sender,
    save,
    configuration: options.configuration,
    askAdvice: options.askAdvice,
    evacuations: evacuated,
    recordsAgeMs: () => feed.ageMs(),
    isReady,
  });

  const adoptRuns = (worker: workerTable.WorkerEntry): void => {
    for (const entry of registry.all()) {
      if (jobState.isEnded(entry)) continue;
      for (const task of jobState.tasksOf(entry)) {
        const isHere = task.phase === 'assigned' && task.agentId === worker.agentId;
        const { name } = workerTable.keysOf(entry, task);
        const isKnown = worker.runs.has(poolWorker.runKey(name, task.run));
        if (isHere && !isKnown) control.adoptAssigned(worker, entry, task);
      }
    }
  };

  /** The first update about a worker triggers the adoption of runs that a previous leader assigned to it. */
  const applyUpdate = (
    worker: workerTable.WorkerEntry,
    news: agentContract.WorkerUpdate,
    receivedAtMs: number,
  ): Promise<unknown> => {
    const isFirst = worker.info === undefined && news.worker !== undefined;
    if (isFirst) {
      worker.info = news.worker;
      if (news.speedRecord !== undefined) speeds.restore(worker, news.speedRecord);
      adoptRuns(worker);
      driver.schedule();
    }
    return control.applyUpdate(worker, news, receivedAtMs);
  };

  const agents = agentDirectory.createAgentDirectory({
    link: options.link,
    clock: time,
    log,
    workers,
    createWorker: (agentId, url) =>
      workerTable.createWorkerEntry(
        agentId,
        url,
        fences.firstFence(term.epoch),
        nowMs(),
        previousLeasesExpireAtMs,
        evacuated.zones,
      ),
    grantMs,
    speedRecordOf: speeds.recordOf,
    onUpdate: applyUpdate,
  });

  const applyCancellation = (entry: jobState.JobEntry | undefined): void => {
    if (entry?.isCancelled !== true) return;
    if (!jobTransitions.cancel(entry, time.wallMs())) return;
    control.stopUnwanted(entry, 'cancelled');
    void save(entry.job.jobId);
  };

  /** @param source - how the leader received the record */
  const handleJobRecord = (record: store.StoreEntry, source: 'watch' | 'write' | 'entry'): void => {
    const effect = registry.applyRecord(record, nowMs());
    if (effect === jobRegistry.RecordEffect.none || !isLoaded) return;
    const jobId = poolKeys.parseJobKey(record.key)?.jobId ?? '';
    log('info', effect === 'submitted' ? 'jobLearnt' : 'cancelLearnt', {
      job: jobId,
      revision: record.revision,
      recordsAgeMs: Math.round(feed.ageMs()),
      source,
    });
    applyCancellation(registry.get(jobId));
    driver.schedule();
  };

  const handleRecord = (record: store.StoreEntry): void => {
    if (record.key === poolKeys.LEADER) {
      // The term ends as soon as another one is observed.
      if (record.revision !== term.condition.revision) options.onDidConflict('another term began');
    } else if (record.key.startsWith(poolKeys.AGENTS)) {
      agents.handleRecord(record);
    } else {
      handleJobRecord(record, 'watch');
    }
  };

  const handleRemoval = (key: string): void => {
    if (key === poolKeys.LEADER) options.onDidConflict('the leadership record is gone');
    if (key.startsWith(poolKeys.AGENTS)) agents.handleRemoval(key);
  };

  const handleLoaded = (revision: number): void => {
    isLoaded = true;
    for (const entry of registry.all()) {
      applyCancellation(entry);
      runtimeEstimates.recordRestoredJob(estimates, entry.job, jobState.tasksOf(entry));
    }
    control.applyDoneRuns();
    for (const worker of workers.values()) if (worker.info !== undefined) adoptRuns(worker);
    log('info', 'loaded', {
      epoch: term.epoch,
      revision,
      jobs: [...registry.all()].length,
      agents: workers.size,
      durationMs: Math.round(nowMs() - startedAtMs),
    });
    driver.schedule();
  };

  const storeProgressedJobs = (): void => {
    if (nowMs() - progressStoredAtMs < PROGRESS_PERIOD_MS) return;
    progressStoredAtMs = nowMs();
    for (const jobId of progressedJobs) void save(jobId);
  };

  const reportEvacuations = evacuationReport.createEvacuationReport({
    log,
    metrics,
    evacuations: evacuated,
    workers,
  });

  const removeEndedJobs = endedJobsRemoval.createEndedJobsRemoval({
    store: options.store,
    clock: time,
    log,
    registry,
    leadership: term.condition,
    statusMs: options.limits.statusMs,
  });

  const tick = (): void => {
    if (owned.isDisposed()) return;
    control.repeatStops();
    control.inspect();
    storeProgressedJobs();
    control.declareLost();
    agents.removeGone();
    reportEvacuations();
    driver.schedule();
    void removeEndedJobs();
    time.after(TICK_MS, tick);
  };

  owned.add({
    dispose: () => {
      writer.dispose();
      sender.dispose();
      void agents.dispose();
    },
  });
  const feed: recordFeed.RecordFeed = owned.add(
    recordFeed.startRecordFeed({
      store: options.store,
      clock: time,
      log,
      onRecord: handleRecord,
      onRemoved: handleRemoval,
      onProgress: registry.applyProgress,
      onDidLoad: handleLoaded,
    }),
  );
  time.after(TICK_MS, tick);
  return {
    handleStoredRecord: storedRecordReader.createStoredRecordReader({
      store: options.store,
      clock: time,
      log,
      registry,
      isReady,
      onRecord: (record) => handleJobRecord(record, 'entry'),
    }),
    pendingByQueue: () =>
      isLoaded && feed.ageMs() <= MAX_REPORTED_AGE_MS ? registry.pendingByQueue() : undefined,
    dispose: () => owned.dispose(),
  };
};
