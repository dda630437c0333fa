/**
 * What a leader's recorder learns from runs of workers: of which runs, and compared with whom.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as metrics from '../../../../../base/common/metrics.js';
import type * as poolJob from '../../../../../state/common/pool/poolJob.js';
import * as speedRecord from '../../../../../state/common/pool/speedRecord.js';
import * as jobState from '../../../../common/pool/jobState.js';
import * as workerSuspicion from '../../../../common/pool/workerSuspicion.js';
import * as workerTable from '../../../../common/pool/workerTable.js';
import * as fixtures from '../../../../common/pool/test/poolFixtures.js';
import * as speedRecorder from '../speedRecorder.js';

const WORKERS = 8;
const ROUNDS = 6;
const WORK_MS = 2000;
const SLOW_FACTOR = 3;

interface Scene {
  readonly workers: readonly workerTable.WorkerEntry[];
  readonly recorder: speedRecorder.SpeedRecorder;
  /** Learns after some time without runs. */
  readonly learnLater: () => void;
}

/** How the runs of a scene differ from single tasks of one service on workers of which the first is slow. */
interface Changes {
  readonly serviceOf?: (index: number) => string;
  readonly factorOf?: (index: number) => number;
  readonly step?: Partial<poolJob.Step>;
  readonly distanceFactor?: number;
  readonly isSuspect?: boolean;
}

const scene = (changes: Changes): Scene => {
  const time = { nowMs: 0 };
  const workers = Array.from({ length: WORKERS }, (_, index) => {
    const worker = workerTable.createWorkerEntry(`agent-${index}`, '', 1, 0, 0);
    const service = changes.serviceOf?.(index) ?? 'service';
    worker.info = fixtures.makeWorkerInfo(`w${index}`, { service });
    return worker;
  });
  const recorder = speedRecorder.createSpeedRecorder({
    clock: { monotonicMs: () => time.nowMs },
    log: () => undefined,
    metrics: metrics.createMetrics(),
    workers: new Map(workers.map((it) => [it.agentId, it])),
  });
  for (let round = 0; round < ROUNDS; round += 1) {
    const step = { count: WORKERS, estimatedMs: WORK_MS, ...changes.step };
    const job = fixtures.makeJob([step], { jobId: `job-${round}` });
    const entry = jobState.createJobEntry(job, time.nowMs);
    const startedAtMs = time.nowMs;
    const runs = jobState.tasksOf(entry).map((task) => {
      const assigned = { ...task, distanceFactor: changes.distanceFactor ?? 1 };
      const { present } = workerTable.RunPhase;
      return workerTable.createActiveRun(entry, assigned, present, startedAtMs);
    });
    workers.forEach((worker, index) => {
      const run = runs[index] ?? assert.fail('no run');
      if (changes.isSuspect === true) workerSuspicion.suspect(worker.suspicion, time.nowMs);
      const factor = changes.factorOf?.(index) ?? (index === 0 ? SLOW_FACTOR : 1);
      time.nowMs = startedAtMs + WORK_MS * factor * (changes.distanceFactor ?? 1);
      recorder.recordRuns(worker, [], [run]);
    });
    time.nowMs = startedAtMs + 10 * WORK_MS;
    recorder.learn();
  }
  return {
    workers,
    recorder,
    learnLater: () => {
      time.nowMs += 10 * WORK_MS;
      recorder.learn();
    },
  };
};

interface Case {
  readonly name: string;
  readonly changes: Changes;
  /** Workers that are found to be slow. */
  readonly slow: readonly number[];
}

const CASES: readonly Case[] = [
  { name: 'single tasks', changes: {}, slow: [0] },
  { name: 'remote tasks count with their distance', changes: { distanceFactor: 3 }, slow: [0] },
  {
    // Guards against the fast members of a gang that look as slow as its slowest one.
    name: 'the end of a gang tells nothing of its members',
    changes: { step: { isGang: true } },
    slow: [],
  },
  { name: 'tasks that last tell nothing', changes: { step: { isLongRunning: true } }, slow: [] },
  { name: 'an unknown distance tells nothing', changes: { distanceFactor: 0 }, slow: [] },
  {
    // Guards against a passing trouble of a worker that counts as its lasting speed.
    name: 'runs on suspect workers tell nothing',
    changes: { isSuspect: true },
    slow: [],
  },
  {
    // Guards against a service whose work is declared too short and whose workers all look slow for it.
    name: 'workers are compared with those of their own service only',
    changes: {
      serviceOf: (index) => (index < WORKERS / 2 ? 'one' : 'other'),
      factorOf: (index) => (index < WORKERS / 2 ? SLOW_FACTOR : 1),
    },
    slow: [],
  },
];

// Guards against a worker that each new leader takes for unknown, since what is known of it for certain can't be written.
test.it('a record of a well known worker can be read', () => {
  const { workers, recorder, learnLater } = scene({});
  const [worker] = workers;
  assert.ok(worker?.info);
  const { workerId } = worker.info;
  worker.info = { ...worker.info, incarnationMs: 2 };
  const known = { workerId, incarnationMs: 2, factor: 2, variance: 2e-4, isApplied: true };
  recorder.restore(worker, speedRecord.encodeSpeed(known));
  learnLater();
  const text = recorder.recordOf(worker);
  assert.ok(text !== undefined);
  assert.ok(speedRecord.decodeSpeed(text) !== undefined, text);
});

test.describe('speeds recorded from runs', () => {
  for (const { name, changes, slow } of CASES) {
    test.it(name, () => {
      const { workers, recorder } = scene(changes);
      const found = workers.flatMap((it, index) => (recorder.factorOf(it) > 1.5 ? [index] : []));
      assert.deepEqual(found, slow);
    });
  }
});
