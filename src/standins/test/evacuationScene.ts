/**
 * A pool in two zones that the operators evacuate while work arrives, for the tests of evacuations.
 */
import * as assert from 'node:assert/strict';

import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as memoryPoolWorker from '../memoryPoolWorker.js';
import * as poolHarness from './poolHarness.js';
import * as poolPromises from './poolPromises.js';

/** Zones of the workers, in turn. */
export const ZONES = ['north', 'south'];
/** Workers of the pool, of eight accelerators. */
export const WORKERS = 4;
/** Duration of a task of the load. */
export const WORK_MS = 1000;
/** Interval at which tasks of the load arrive. */
export const SUBMIT_EVERY_MS = 200;

/** Without faults, all jobs are done within this time. */
export const SETTLE_MS = 40_000;

/** Tasks of the load: the workers of one zone can't hold all that run at the same time. */
export const HALF_WORKER = { resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 4 } };

/** A step whose tasks need a worker each. */
export const WHOLE_WORKER = { resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 8 } };

/** When a zone was evacuated, by the clock of the pool, and taken back. */
export interface Evacuation {
  readonly zone: string;
  readonly fromMs: number;
  untilMs: number;
}

/** A pool with what its operators and clients do. */
export interface Scene {
  readonly pool: poolHarness.Pool;
  readonly evacuate: (zone: string) => Promise<void>;
  readonly takeBack: (zone: string) => Promise<void>;
  readonly submit: (
    jobId: string,
    step?: Partial<poolJob.Step>,
    changes?: fixtures.JobChanges,
  ) => Promise<void>;
  /** Lets the time pass while short tasks arrive. */
  readonly work: (durationMs: number) => Promise<void>;
  /** Kills the leader; another one takes over once its lease has expired. */
  readonly killLeader: () => void;
}

/** The same with what a test checks at the end. */
export interface TestScene extends Scene {
  readonly evacuations: readonly Evacuation[];
  /** Ids of the submitted jobs. */
  readonly submitted: readonly string[];
}

/**
 * Calls of clients are not delayed, nor are their answers lost.
 *
 * @param pool - the pool
 * @param call - calls the store for a client
 */
export const withoutDelays = async (
  pool: poolHarness.Pool,
  call: () => Promise<void>,
): Promise<void> => {
  const { faults } = pool.store;
  const { delayMs, loseWriteAnswers } = faults;
  Object.assign(faults, { delayMs: 0, loseWriteAnswers: 0 });
  await call();
  Object.assign(faults, { delayMs, loseWriteAnswers });
};

const zoneOf = (pool: poolHarness.Pool, run: memoryPoolWorker.RecordedRun): string =>
  pool.sites.find(({ worker }) => worker.runs.includes(run))?.worker.info().zone ?? '';

/**
 * @param pool - the pool
 * @param zone - a zone
 * @returns all runs that started there
 */
export const startsIn = (pool: poolHarness.Pool, zone: string): memoryPoolWorker.RecordedRun[] =>
  pool.runs().filter((it) => zoneOf(pool, it) === zone);

/**
 * Asserts that nothing started in a zone long after its evacuation, and before it was taken back.
 *
 * @param pool - the pool
 * @param evacuations - its evacuations
 */
export const assertNoLateStart = (
  pool: poolHarness.Pool,
  evacuations: readonly Evacuation[],
): void => {
  for (const { zone, fromMs, untilMs } of evacuations) {
    const late = startsIn(pool, zone).filter(
      ({ startedAtMs }) => startedAtMs > fromMs + poolPromises.EVACUATE_MS && startedAtMs < untilMs,
    );
    assert.deepEqual(
      late.map(({ task, startedAtMs }) => `${task} ${startedAtMs - fromMs} ms after`),
      [],
      `starts in ${zone}`,
    );
  }
};

/**
 * @param options - options of the pool that differ from a load of short tasks
 * @returns the pool with its first leader
 */
export const createScene = (options: Partial<poolHarness.PoolOptions> = {}): TestScene => {
  const pool = poolHarness.createPool({
    workers: WORKERS,
    zones: ZONES,
    workMs: () => WORK_MS,
    ...options,
  });
  const evacuations: Evacuation[] = [];
  const submitted: string[] = [];
  let leader = pool.addCandidate();
  const submit: Scene['submit'] = async (jobId, step = {}, changes = {}) => {
    submitted.push(jobId);
    await pool.submit(fixtures.makeJob([step], { jobId, ...changes }));
  };
  return {
    pool,
    evacuations,
    submitted,
    submit,
    evacuate: async (zone) => {
      await pool.evacuate(zone);
      evacuations.push({ zone, fromMs: pool.clock.monotonicMs(), untilMs: Infinity });
    },
    takeBack: async (zone) => {
      for (const it of evacuations) {
        if (it.zone === zone) it.untilMs = Math.min(it.untilMs, pool.clock.monotonicMs());
      }
      await pool.takeBack(zone);
    },
    work: async (durationMs) => {
      const untilMs = pool.clock.monotonicMs() + durationMs;
      while (pool.clock.monotonicMs() < untilMs) {
        if (!pool.store.faults.isDown) {
          await withoutDelays(pool, () => submit(`j${submitted.length}`, HALF_WORKER));
        }
        await pool.clock.advance(SUBMIT_EVERY_MS);
      }
    },
    killLeader: () => {
      leader.kill();
      leader = pool.addCandidate();
    },
  };
};
