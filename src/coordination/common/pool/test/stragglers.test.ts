/**
 * Stragglers: when a run counts as one, and when it is relocated.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as poolWorker from '../../../../state/common/pool/poolWorker.js';
import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as runtimeEstimates from '../runtimeEstimates.js';
import * as stragglers from '../stragglers.js';
import * as jobState from '../jobState.js';
import * as runPace from '../runPace.js';
import * as workerTable from '../workerTable.js';
import * as fixtures from './poolFixtures.js';

const createWorker = (index: number, rack = 'r1'): workerTable.WorkerEntry => {
  const worker = workerTable.createWorkerEntry(`agent-${index}`, '', 1, 0, 0);
  worker.isReachable = true;
  const capacity = { cpuMillicores: 64_000, memoryMb: 64_000, accelerators: 8 };
  worker.info = fixtures.makeWorkerInfo(`w${index}`, { capacity, rack });
  return worker;
};

/** Starts a job's first step, with its tasks on the workers in turn, and sets their speed. */
const startJob = (
  workers: readonly workerTable.WorkerEntry[],
  step: Partial<poolJob.Step>,
  speed: number,
  jobId = 'job',
): void => {
  const entry = jobState.createJobEntry(fixtures.makeJob([step], { jobId, acceptedAtMs: 0 }), 0);
  const tasks = jobState.tasksOf(entry);
  const assigned = tasks.map(
    (_, index) => workers[index % workers.length] as workerTable.WorkerEntry,
  );
  jobState.assign(
    tasks.map((task, index) => ({
      task,
      workerId: assigned[index]?.info?.workerId ?? '',
      incarnationMs: 1,
      agentId: assigned[index]?.agentId ?? '',
    })),
  );
  tasks.forEach((task, index) => {
    const run = workerTable.createActiveRun(entry, task, workerTable.RunPhase.present, 0);
    const percent = (100 * 1000 * speed) / run.step.estimatedMs;
    runPace.recordProgress(run.pace, 0, 0, run.step.estimatedMs);
    runPace.recordProgress(run.pace, 1000, percent, run.step.estimatedMs);
    run.percent = percent;
    assigned[index]?.runs.set(poolWorker.runKey(run.name, run.run), run);
  });
};

/** Estimates of a queue whose tasks took these multiples of their declared work. */
const estimatesOf = (factors: readonly number[]): runtimeEstimates.RuntimeEstimates => {
  const estimates = runtimeEstimates.createRuntimeEstimates();
  const step = fixtures.makeStep({ estimatedMs: 1000 });
  factors.forEach((factor, index) => {
    const job = fixtures.makeJob([step], { jobId: `done-${index}` });
    runtimeEstimates.recordTask(estimates, job, step, 1000 * factor);
  });
  return estimates;
};

const TRUSTED = estimatesOf([1, 1, 1.2, 0.8, 1, 1.5]);

interface Case {
  readonly name: string;
  readonly step: Partial<poolJob.Step>;
  readonly speed: number;
  readonly racks?: readonly string[];
  readonly nowMs?: number;
  /** Whether the job's group is to be relocated. */
  readonly isRelocated: boolean;
}

/** In time within 3 × 4 s + 1 s. */
const FOUR_SECONDS = { estimatedMs: 4000 };

const CASES: readonly Case[] = [
  { name: 'runs as declared', step: FOUR_SECONDS, speed: 1, isRelocated: false },
  {
    name: 'takes twice as long as declared',
    step: FOUR_SECONDS,
    speed: 0.5,
    nowMs: 8000,
    isRelocated: false,
  },
  {
    // Its worker turns slow when there is just enough time left to restart the task on another one.
    name: 'takes eight times as long, with just enough time left to restart',
    step: FOUR_SECONDS,
    speed: 0.125,
    nowMs: 8000,
    isRelocated: true,
  },
  {
    name: 'takes eight times as long, with time to wait',
    step: FOUR_SECONDS,
    speed: 0.125,
    nowMs: 1000,
    isRelocated: false,
  },
  {
    name: 'takes eight times as long, and is late on any worker',
    step: FOUR_SECONDS,
    speed: 0.125,
    nowMs: 10_000,
    isRelocated: false,
  },
  {
    name: 'runs at a third of the speed, remote from its data',
    step: { ...FOUR_SECONDS, preferredRack: 'r2' },
    speed: 0.33,
    nowMs: 8000,
    isRelocated: false,
  },
  {
    name: 'runs at a third of the speed, as a gang over two racks',
    step: { ...FOUR_SECONDS, count: 2, isGang: true, isSameRack: true },
    speed: 0.33,
    racks: ['r1', 'r2'],
    nowMs: 8000,
    isRelocated: false,
  },
  {
    // One slow worker slows down the entire gang; the progress of its members doesn't show which one.
    name: 'stalls as a gang over two workers, with just enough time left to restart',
    step: { ...FOUR_SECONDS, count: 2, isGang: true },
    speed: 0,
    racks: ['r1', 'r1'],
    nowMs: 8000,
    isRelocated: true,
  },
  {
    name: 'stalls as a long-running task',
    step: { ...FOUR_SECONDS, isLongRunning: true },
    speed: 0,
    nowMs: 8000,
    isRelocated: false,
  },
];

test.describe('stragglers', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const workers = (it.racks ?? ['r1']).map((rack, index) => createWorker(index, rack));
      startJob(workers, it.step, it.speed);
      const relocated = stragglers.findStragglers(workers, TRUSTED, it.nowMs ?? 0);
      assert.equal(relocated.length, it.isRelocated ? 1 : 0);
    });
  }

  // Guards against a submitter who declares a fifth of the work: its tasks were restarted wherever they
  // ran, and their workers were suspected one after the other.
  const QUEUES: readonly [name: string, factors: readonly number[], isTrusted: boolean][] = [
    ['a queue without observations', [], false],
    ['a queue with few observations', [1, 1], false],
    ['a queue that declares accurately', [1, 1, 1.2, 0.8, 1, 1.5], true],
    ['a queue that declares a fifth', [5, 5, 4, 6, 5, 5], false],
    ['a queue that sometimes declares a fifth', [1, 5, 1, 5, 1, 1, 5], false],
    ['one slow task among many', [1, 1, 1, 8, 1, 1, 1, 1], true],
  ];
  for (const [name, factors, isTrusted] of QUEUES) {
    test.it(`${name} is ${isTrusted ? '' : 'not '}trusted`, () => {
      const worker = createWorker(0);
      startJob([worker], FOUR_SECONDS, 0.1);
      const estimates = estimatesOf(factors);
      assert.equal(stragglers.findStragglers([worker], estimates, 8000).length, isTrusted ? 1 : 0);
    });
  }

  // Guards against a job that declares a tenth of its work in an otherwise trusted queue. Its tasks ran
  // equally slowly on two workers; both workers were suspected, and thirteen tasks were restarted.
  const SIBLINGS: readonly [name: string, elsewhere: number, isTrusted: boolean][] = [
    ['as slowly as elsewhere', 0.1, false],
    ['four times as slowly as elsewhere', 0.4, true],
  ];
  for (const [name, elsewhere, isTrusted] of SIBLINGS) {
    test.it(`a job that runs ${name} is ${isTrusted ? '' : 'not '}a straggler`, () => {
      const workers = [createWorker(0), createWorker(1)];
      startJob(workers, { ...FOUR_SECONDS, count: 2 }, 0.1);
      const [, second] = workers;
      for (const run of second?.runs.values() ?? []) run.pace.speed = elsewhere;
      assert.equal(stragglers.findStragglers(workers, TRUSTED, 8000).length, isTrusted ? 1 : 0);
    });
  }

  test.it('is relocated at most twice', () => {
    const worker = createWorker(0);
    startJob([worker], FOUR_SECONDS, 0);
    for (const run of worker.runs.values()) run.task.relocations = stragglers.MAX_RELOCATIONS;
    assert.deepEqual(stragglers.findStragglers([worker], TRUSTED, 8000), []);
  });

  test.it(
    'has a speed only over a conclusive span, not between reports in quick succession',
    () => {
      const pace = runPace.createRunPace();
      runPace.recordProgress(pace, 0, 0, 10_000);
      runPace.recordProgress(pace, 100, 0, 10_000);
      assert.equal(pace.speed, undefined);
      runPace.recordProgress(pace, 1000, 10, 10_000);
      assert.equal(pace.speed, 1);
    },
  );
});

/** Tasks of one step that are all slower than declared, and how often the speed of each may be read. */
const SLOW_TASKS = 3000;
const MAX_READS_PER_RUN = 10;

test.describe('the search for stragglers', () => {
  // Guards against a leader that compares all runs of a large step with each other, for minutes, whenever it plans.
  test.it('reads the speed of each run a few times, however many siblings it has', () => {
    const workers = Array.from({ length: 10 }, (_, index) => createWorker(index));
    startJob(workers, { count: SLOW_TASKS, estimatedMs: 4000 }, 0.125);
    let reads = 0;
    const countReads = (pace: runPace.RunPace): void => {
      const { speed } = pace;
      const get = (): number | undefined => {
        reads += 1;
        return speed;
      };
      Object.defineProperty(pace, 'speed', { get });
    };
    for (const { runs } of workers) for (const { pace } of runs.values()) countReads(pace);
    assert.deepEqual(stragglers.findStragglers(workers, TRUSTED, 0), []);
    assert.ok(reads > 0 && reads <= MAX_READS_PER_RUN * SLOW_TASKS, `${reads} reads`);
  });
});
