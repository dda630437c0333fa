/**
 * One soak: a site of real processes, callers, overlapping faults from one seed, and the invariant checks.
 */
import * as fs from 'node:fs';
import * as perfHooks from 'node:perf_hooks';

import * as clock from '../base/common/clock.js';
import * as random from '../base/common/random.js';
import * as systemClock from '../base/node/systemClock.js';
import * as portBlock from '../standins/test/portBlock.js';
import * as poolWorker from '../state/common/pool/poolWorker.js';
import * as callers from './callers.js';
import type * as evidence from './evidence.js';
import * as faults from './faults.js';
import * as hostileClients from './hostileClients.js';
import * as invariants from './invariants.js';
import * as soakSite from './soakSite.js';
import * as waitWhile from './waitWhile.js';
import * as workerFaults from './workerFaults.js';

/** Parameters of a soak. */
export interface SoakOptions {
  /** Determines the jobs and the faults with their order and duration. */
  readonly seed: number;
  /** How long faults are injected. */
  readonly faultsMs: number;
  readonly sizes: soakSite.SoakSizes;
  /** Folder for settings files and logs; created if it does not exist. */
  readonly folder: string;
}

/** Result of a soak. */
export interface SoakReport {
  readonly seed: number;
  /** Violated invariants; empty if the soak passed. */
  readonly broken: readonly string[];
  /** Faults, each with the time at which it began. */
  readonly faults: readonly string[];
  readonly jobs: number;
  readonly calls: number;
  readonly runs: number;
  /** Longest pause of the event loop that carries the store, the workers and the callers; the product waits for it. */
  readonly longestPauseMs: number;
}

/** Longest pause between two faults. */
const MAX_FAULT_GAP_MS = 900;

/** Longest duration of a fault; several overlap. */
const MAX_FAULT_MS = 3500;

/** Longest pause between two calls of a caller with share 1. */
const MAX_CALL_GAP_MS = 220;

/** Without faults all jobs end within this time: the longest leases, a takeover and the backlog. */
const SETTLE_MS = 60_000;

/** Time for a key revocation to apply everywhere, as in the settings files of a soak. */
const REVOKE_MS = 5000;

/** Keys that stay valid, and keys that the soak revokes. */
const PERMANENT_KEYS = ['key-a', 'key-b', 'key-c', 'key-d'] as const;
const REVOCABLE_KEYS = ['key-x', 'key-y', 'key-z'] as const;

/** Share of seeds with low-bandwidth links; drawn from a separate generator, so a seed's faults don't change. */
const LOW_BANDWIDTH_SHARE = 0.4;

/** Times of a task on a worker relative to its work, one of which each worker has, and how long it keeps it. */
const WORKER_FACTORS = [0.7, 0.7, 1, 2.4] as const;
const FACTOR_MS = 12_000;

/** Share of seeds in which a worker has more unacknowledged ends than it lists. */
const MANY_ENDS_SHARE = 0.25;

/** Share of seeds in which a worker is lost for good, and of those with a job of thousands of tasks. */
const LOST_WORKER_SHARE = 0.25;
const LARGE_JOB_SHARE = 0.25;

/** Share of seeds with crowds of clients that don't behave. */
const HOSTILE_CLIENTS_SHARE = 0.4;

/** A job counts as pending this long after it was accepted at the latest. */
const VISIBLE_MS = 5000;

/** Longest pause between two evacuations, and longest evacuation. */
const MAX_EVACUATION_GAP_MS = 6000;
const MAX_EVACUATION_MS = 10_000;

const NS_PER_MS = 1e6;

/** Time until the entries accept calls and a leader has received the workers' reports. */
const START_MS = 4000;

/**
 * @param options - parameters of the soak
 * @returns the result; its processes have exited, logs stay in the folder
 */
export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
  const time = systemClock.systemClock;
  const eventLoopDelay = perfHooks.monitorEventLoopDelay();
  eventLoopDelay.enable();
  const next = random.createRandom(options.seed);
  fs.mkdirSync(options.folder, { recursive: true });
  const ports = await portBlock.reservePorts(options.seed);
  const submittedJobs = (): readonly evidence.SubmittedJob[] => soakCallers.jobs;
  const site = await soakSite.startSite({
    sizes: options.sizes,
    folder: options.folder,
    basePort: ports.firstPort,
    isLowBandwidth: random.createRandom(options.seed + 3)() > 1 - LOW_BANDWIDTH_SHARE,
    gangOf: (task) => {
      const name = poolWorker.parseTaskName(task);
      const step = submittedJobs().find((it) => it.jobId === name?.jobId)?.steps[name?.step ?? 0];
      return step?.isGang === true ? step.count : 1;
    },
  });
  const soakCallers = callers.createCallers({
    clock: time,
    random: random.createRandom(options.seed + 1),
    pendingRandom: random.createRandom(options.seed + 8),
    endpoints: site.callerPorts.map((port, index) => ({ name: `edge-${index}`, port })),
    ...soakSite.QUEUE,
    apiKeys: [...PERMANENT_KEYS, ...REVOCABLE_KEYS],
  });
  const revocations: evidence.Revocation[] = [];
  const disturbances: evidence.Disturbance[] = [];
  const faultLog: string[] = [];
  const activeFaults = new Set<() => void>();
  const startedAtMs = time.monotonicMs();
  let isLoadRunning = true;
  const hasLoad = (): boolean => isLoadRunning;

  const unrevokedKeys = (): string[] => REVOCABLE_KEYS.slice(revocations.length);
  const reconfigure = (): Promise<void> => site.configure([...PERMANENT_KEYS, ...unrevokedKeys()]);
  const scene: faults.FaultContext = {
    site,
    random: next,
    reconfigure,
    revokeKey: async () => {
      const [apiKey] = unrevokedKeys();
      if (apiKey === undefined) return;
      const record = { apiKey, atMs: Infinity };
      revocations.push(record);
      await reconfigure();
      record.atMs = time.monotonicMs();
    },
  };

  const injectFault = (): void => {
    const begin = faults.FAULTS[random.integerBelow(next, faults.FAULTS.length)];
    const lastsMs = next() * MAX_FAULT_MS;
    if (begin === undefined) return;
    const fault = begin(scene);
    const fromMs = time.monotonicMs();
    const records = fault.affects.map((entry) => ({ entry, fromMs, untilMs: Infinity }));
    disturbances.push(...records);
    faultLog.push(`${((fromMs - startedAtMs) / 1000).toFixed(2)} s: ${fault.what}`);
    const end = (): void => {
      if (!activeFaults.delete(end)) return;
      fault.end();
      for (const record of records) record.untilMs = time.monotonicMs();
    };
    activeFaults.add(end);
    setTimeout(end, lastsMs);
  };

  const evacuations: evidence.Evacuation[] = [];
  // From a generator of their own, so that the faults of a seed don't change.
  const nextZone = random.createRandom(options.seed + 4);
  const evacuateZones = async (): Promise<void> => {
    while (isLoadRunning) {
      await clock.sleep(time, nextZone() * MAX_EVACUATION_GAP_MS);
      const zone = random.pick(nextZone, soakSite.ZONES);
      await site.setEvacuated(zone, true);
      const fromMs = time.monotonicMs();
      await waitWhile.waitWhile(time, nextZone() * MAX_EVACUATION_MS, hasLoad);
      evacuations.push({ zone, fromMs, untilMs: time.monotonicMs() });
      await site.setEvacuated(zone, false);
    }
  };

  // From a generator of their own, so that the faults of a seed don't change.
  const nextFactor = random.createRandom(options.seed + 5);
  /** Workers differ in speed, and another one turns slow from time to time: what leaders have learnt is then wrong. */
  const changeSpeeds = async (): Promise<void> => {
    for (const { faults: its } of site.workers) {
      its.slowFactor = random.pick(nextFactor, WORKER_FACTORS);
    }
    while (isLoadRunning) {
      await clock.sleep(time, nextFactor() * FACTOR_MS);
      const worker = random.pick(nextFactor, site.workers);
      worker.faults.slowFactor = random.pick(nextFactor, WORKER_FACTORS);
    }
  };

  const workerFaultContext = (seed: number): workerFaults.WorkerFaultContext => ({
    clock: time,
    random: random.createRandom(seed),
    site,
    isLoadRunning: hasLoad,
  });
  const hasManyEnds = random.createRandom(options.seed + 7)() < MANY_ENDS_SHARE;
  const endMany = async (): Promise<void> => {
    if (!hasManyEnds) return;
    faultLog.push('many ends on one worker while the store is down');
    await workerFaults.endManyAtOnce(workerFaultContext(options.seed + 7), soakCallers);
  };

  const hasLargeJob = random.createRandom(options.seed + 9)() < LARGE_JOB_SHARE;
  const submitLarge = async (): Promise<void> => {
    if (!hasLargeJob) return;
    faultLog.push('a job of thousands of tasks');
    await workerFaults.submitLargeJob(workerFaultContext(options.seed + 9), soakCallers);
  };
  // Jobs whose many ends are to be held up run on one worker only, which must not be lost.
  const losesWorker = !hasManyEnds && random.createRandom(options.seed + 10)() < LOST_WORKER_SHARE;
  const loseWorker = async (): Promise<void> => {
    if (!losesWorker) return;
    const what = await workerFaults.loseWorker(workerFaultContext(options.seed + 10));
    if (what !== undefined) faultLog.push(what);
  };

  const hasHostileClients = random.createRandom(options.seed + 11)() < HOSTILE_CLIENTS_SHARE;
  const sendCrowds = async (): Promise<void> => {
    if (!hasHostileClients) return;
    faultLog.push("crowds of clients that don't behave");
    await hostileClients.sendCrowds({
      clock: time,
      random: random.createRandom(options.seed + 11),
      ports: site.callerPorts,
      isLoadRunning: hasLoad,
    });
  };

  const gaps = random.createRandom(options.seed + 2);
  const runLoad = async (act: () => Promise<void>, share: number): Promise<void> => {
    while (isLoadRunning) {
      await act();
      await clock.sleep(time, (gaps() * MAX_CALL_GAP_MS) / share);
    }
  };

  try {
    await reconfigure();
    await clock.sleep(time, START_MS);
    const loadLoops = [
      runLoad(soakCallers.submit, 0.2),
      runLoad(soakCallers.submit, 0.2),
      runLoad(soakCallers.readAny, 1),
      runLoad(soakCallers.readAny, 1),
      runLoad(soakCallers.cancelAny, 0.1),
      runLoad(soakCallers.readPending, 0.5),
      workerFaults.refuseStarts(workerFaultContext(options.seed + 6)),
      endMany(),
      submitLarge(),
      loseWorker(),
      evacuateZones(),
      changeSpeeds(),
      sendCrowds(),
    ];
    const untilMs = time.monotonicMs() + options.faultsMs;
    while (time.monotonicMs() < untilMs) {
      injectFault();
      await clock.sleep(time, next() * MAX_FAULT_GAP_MS);
    }
    [...activeFaults].forEach((end) => end());
    site.store.faults.loseWriteAnswers = 0;
    site.store.faults.delayTransactions = 0;
    isLoadRunning = false;
    await Promise.all(loadLoops);
    await soakCallers.pollUntilEnded(time.monotonicMs() + SETTLE_MS);
    await clock.sleep(time, START_MS);
    const seen: evidence.Evidence = {
      jobs: soakCallers.jobs,
      calls: soakCallers.calls,
      runs: site.runs(),
      revocations,
      disturbances,
      evacuations,
      evacuateMs: soakSite.EVACUATE_MS,
      visibleMs: VISIBLE_MS,
      failures: site.failures,
      acceleratorsPerWorker: soakSite.ACCELERATORS,
      revokeMs: REVOKE_MS,
      attempts: soakSite.QUEUE.attempts,
    };
    return {
      seed: options.seed,
      broken: invariants.findViolations(seen),
      faults: faultLog,
      jobs: seen.jobs.length,
      calls: seen.calls.length,
      runs: seen.runs.length,
      longestPauseMs: Math.round(eventLoopDelay.max / NS_PER_MS),
    };
  } finally {
    eventLoopDelay.disable();
    soakCallers.dispose();
    await site.dispose();
    await ports.dispose();
  }
};
