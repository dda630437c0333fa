/**
 * One soak: a site of real processes, callers, overlapping faults from one seed, and the judgement.
 */
import * as fs from 'node:fs';

import * as clock from '../base/common/clock.js';
import * as random from '../base/common/random.js';
import * as systemClock from '../base/node/systemClock.js';
import * as portBlock from '../standins/test/portBlock.js';
import * as poolWorker from '../state/common/pool/poolWorker.js';
import * as callers from './callers.js';
import type * as evidence from './evidence.js';
import * as faults from './faults.js';
import * as promises from './promises.js';
import * as soakSite from './soakSite.js';

/** What a soak is. */
export interface SoakOptions {
  /** Decides the jobs, the faults, their order and their length. */
  readonly seed: number;
  /** How long faults are made. */
  readonly faultsMs: number;
  readonly sizes: soakSite.SoakSizes;
  /** Folder for settings files and logs; made where it does not exist. */
  readonly folder: string;
}

/** What came of a soak. */
export interface SoakReport {
  readonly seed: number;
  /** Broken promises; empty in a good soak. */
  readonly broken: readonly string[];
  /** Faults with the time at which they began. */
  readonly faults: readonly string[];
  readonly jobs: number;
  readonly calls: number;
  readonly runs: number;
}

/** Between two faults, at most. */
const MAX_GAP_MS = 900;

/** A fault lasts at most this long; several overlap. */
const MAX_FAULT_MS = 3500;

/** Between two calls of a caller, at most. */
const MAX_CALL_GAP_MS = 220;

/** Without faults everything ends within this: the longest leases, a take-over and the work that waits. */
const SETTLE_MS = 60_000;

/** As in the settings files of a soak. */
const REVOKE_MS = 5000;

/** Keys that stay, and keys that the soak takes away. */
const STAYING_KEYS = ['key-a', 'key-b', 'key-c', 'key-d'] as const;
const LEAVING_KEYS = ['key-x', 'key-y', 'key-z'] as const;

/** Of the seeds, so many have narrow lines; told by a generator of its own, so that a seed's faults stay. */
const NARROW_SHARE = 0.4;

/** The entries take calls, and a leader has heard of the workers. */
const START_MS = 4000;

/**
 * @param options - what the soak is
 * @returns what came of it; processes are ended, logs stay in the folder
 */
export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
  const time = systemClock.systemClock;
  const next = random.createRandom(options.seed);
  fs.mkdirSync(options.folder, { recursive: true });
  const ports = await portBlock.takePorts(options.seed);
  const submitted = (): readonly evidence.SubmittedJob[] => people.jobs;
  const site = await soakSite.startSite({
    sizes: options.sizes,
    folder: options.folder,
    basePort: ports.firstPort,
    isNarrow: random.createRandom(options.seed + 3)() > 1 - NARROW_SHARE,
    gangOf: (task) => {
      const name = poolWorker.parseTaskName(task);
      const step = submitted().find((it) => it.jobId === name?.jobId)?.steps[name?.step ?? 0];
      return step?.isGang === true ? step.count : 1;
    },
  });
  const people = callers.createCallers({
    clock: time,
    random: random.createRandom(options.seed + 1),
    doors: site.doorPorts.map((port, index) => ({ name: `edge-${index}`, port })),
    ...soakSite.QUEUE,
    apiKeys: [...STAYING_KEYS, ...LEAVING_KEYS],
  });
  const revocations: evidence.Revocation[] = [];
  const disturbances: evidence.Disturbance[] = [];
  const told: string[] = [];
  const open = new Set<() => void>();
  const startedAtMs = time.monotonicMs();
  let isPressing = true;

  const keysLeft = (): string[] => LEAVING_KEYS.slice(revocations.length);
  const reconfigure = (): Promise<void> => site.configure([...STAYING_KEYS, ...keysLeft()]);
  const scene: faults.FaultScene = {
    site,
    random: next,
    reconfigure,
    takeKeyAway: async () => {
      const [apiKey] = keysLeft();
      if (apiKey === undefined) return;
      const record = { apiKey, atMs: Infinity };
      revocations.push(record);
      await reconfigure();
      record.atMs = time.monotonicMs();
    },
  };

  const makeFault = (): void => {
    const begin = faults.FAULTS[random.integerBelow(next, faults.FAULTS.length)];
    const lastsMs = next() * MAX_FAULT_MS;
    if (begin === undefined) return;
    const fault = begin(scene);
    const fromMs = time.monotonicMs();
    const records = fault.disturbs.map((entry) => ({ entry, fromMs, untilMs: Infinity }));
    disturbances.push(...records);
    told.push(`${((fromMs - startedAtMs) / 1000).toFixed(2)} s: ${fault.what}`);
    const end = (): void => {
      if (!open.delete(end)) return;
      fault.end();
      for (const record of records) record.untilMs = time.monotonicMs();
    };
    open.add(end);
    setTimeout(end, lastsMs);
  };

  const gaps = random.createRandom(options.seed + 2);
  const press = async (act: () => Promise<void>, share: number): Promise<void> => {
    while (isPressing) {
      await act();
      await clock.sleep(time, (gaps() * MAX_CALL_GAP_MS) / share);
    }
  };

  try {
    await reconfigure();
    await clock.sleep(time, START_MS);
    const pressing = [
      press(people.submit, 0.2),
      press(people.submit, 0.2),
      press(people.askAny, 1),
      press(people.askAny, 1),
      press(people.cancelAny, 0.1),
    ];
    const untilMs = time.monotonicMs() + options.faultsMs;
    while (time.monotonicMs() < untilMs) {
      makeFault();
      await clock.sleep(time, next() * MAX_GAP_MS);
    }
    [...open].forEach((end) => end());
    site.store.faults.loseWriteAnswers = 0;
    site.store.faults.delayTransactions = 0;
    isPressing = false;
    await Promise.all(pressing);
    await people.askUntilEnded(time.monotonicMs() + SETTLE_MS);
    await clock.sleep(time, START_MS);
    const seen: evidence.Evidence = {
      jobs: people.jobs,
      calls: people.calls,
      runs: site.runs(),
      revocations,
      disturbances,
      failures: site.failures,
      acceleratorsPerWorker: soakSite.ACCELERATORS,
      revokeMs: REVOKE_MS,
      attempts: soakSite.QUEUE.attempts,
    };
    return {
      seed: options.seed,
      broken: promises.findBroken(seen),
      faults: told,
      jobs: seen.jobs.length,
      calls: seen.calls.length,
      runs: seen.runs.length,
    };
  } finally {
    people.dispose();
    await site.dispose();
    await ports.dispose();
  }
};
