/**
 * Runs that a worker holds up: when that is seen, and what is begun again.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as estimateBook from '../estimateBook.js';
import * as heldUpRuns from '../heldUpRuns.js';
import * as jobBook from '../jobBook.js';
import * as runPace from '../runPace.js';
import * as workerTable from '../workerTable.js';
import * as fixtures from './poolFixtures.js';

const createWorker = (index: number, rack = 'r1'): workerTable.WorkerEntry => {
  const worker = workerTable.createWorkerEntry(`agent-${index}`, '', 1, 0, 0);
  worker.isReachable = true;
  worker.info = {
    workerId: `w${index}`,
    incarnationMs: 1,
    service: 'service',
    zone: 'z',
    state: 'ready',
    capacity: { cpuMillicores: 64_000, memoryMb: 64_000, accelerators: 8 },
    labels: [],
    rack,
  };
  return worker;
};

/** Starts a job's first step, one task a worker in turn, and lets it get on at a speed. */
const startJob = (
  workers: readonly workerTable.WorkerEntry[],
  step: Partial<poolJob.Step>,
  speed: number,
  jobId = 'job',
): void => {
  const entry = jobBook.createEntry(fixtures.makeJob([step], { jobId, acceptedAtMs: 0 }), 0);
  const tasks = jobBook.tasksOf(entry);
  const homes = tasks.map((_, index) => workers[index % workers.length] as workerTable.WorkerEntry);
  jobBook.assign(
    entry,
    tasks.map((task, index) => ({
      task,
      workerId: homes[index]?.info?.workerId ?? '',
      incarnationMs: 1,
      agentId: homes[index]?.agentId ?? '',
    })),
  );
  tasks.forEach((task, index) => {
    const run = workerTable.createRun(entry, task, workerTable.RunPhase.present, 0);
    const percent = (100 * 1000 * speed) / run.step.estimatedMs;
    runPace.noteProgress(run.pace, 0, 0, run.step.estimatedMs);
    runPace.noteProgress(run.pace, 1000, percent, run.step.estimatedMs);
    run.percent = percent;
    homes[index]?.runs.set(workerTable.runKey(run.name, run.run), run);
  });
};

/** The tasks of the queue took so many times what was declared. */
const bookOf = (factors: readonly number[]): estimateBook.EstimateBook => {
  const book = estimateBook.createEstimateBook();
  const step = fixtures.makeStep({ estimatedMs: 1000 });
  factors.forEach((factor, index) => {
    const job = fixtures.makeJob([step], { jobId: `done-${index}` });
    estimateBook.noteDone(book, job, step, 1000 * factor);
  });
  return book;
};

const BELIEVED = bookOf([1, 1, 1.2, 0.8, 1, 1.5]);

interface Case {
  readonly name: string;
  readonly step: Partial<poolJob.Step>;
  readonly speed: number;
  readonly racks?: readonly string[];
  readonly nowMs?: number;
  /** Whether the job's group is to be begun again elsewhere. */
  readonly isMoved: boolean;
}

/** In time within 3 × 4 s + 1 s. */
const FOUR_SECONDS = { estimatedMs: 4000 };

const CASES: readonly Case[] = [
  { name: 'as declared', step: FOUR_SECONDS, speed: 1, isMoved: false },
  {
    name: 'twice as long as declared',
    step: FOUR_SECONDS,
    speed: 0.5,
    nowMs: 8000,
    isMoved: false,
  },
  {
    // A worker turns slow under a task that has just the time left to be done again elsewhere.
    name: 'eight times as long, with just the time left',
    step: FOUR_SECONDS,
    speed: 0.125,
    nowMs: 8000,
    isMoved: true,
  },
  {
    name: 'eight times as long, with time to wait',
    step: FOUR_SECONDS,
    speed: 0.125,
    nowMs: 1000,
    isMoved: false,
  },
  {
    name: 'eight times as long, and late wherever it goes',
    step: FOUR_SECONDS,
    speed: 0.125,
    nowMs: 10_000,
    isMoved: false,
  },
  {
    name: 'a third of the speed, away from its data',
    step: { ...FOUR_SECONDS, preferredRack: 'r2' },
    speed: 0.33,
    nowMs: 8000,
    isMoved: false,
  },
  {
    name: 'a third of the speed, a gang over two racks',
    step: { ...FOUR_SECONDS, count: 2, isGang: true, isSameRack: true },
    speed: 0.33,
    racks: ['r1', 'r2'],
    nowMs: 8000,
    isMoved: false,
  },
  {
    // One of its workers holds up a whole gang; which one, the gang does not tell.
    name: 'a gang over two workers, with just the time left',
    step: { ...FOUR_SECONDS, count: 2, isGang: true },
    speed: 0,
    racks: ['r1', 'r1'],
    nowMs: 8000,
    isMoved: true,
  },
  {
    name: 'a task that lasts',
    step: { ...FOUR_SECONDS, isLongRunning: true },
    speed: 0,
    nowMs: 8000,
    isMoved: false,
  },
];

test.describe('a run that gets on', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const workers = (it.racks ?? ['r1']).map((rack, index) => createWorker(index, rack));
      startJob(workers, it.step, it.speed);
      const moved = heldUpRuns.findHeldUp(workers, BELIEVED, it.nowMs ?? 0);
      assert.equal(moved.length, it.isMoved ? 1 : 0);
    });
  }

  // A submitter declares a fifth of the true work. Its tasks were begun again wherever they ran, and the
  // workers that had them were suspected one after the other.
  const BOOKS: readonly [name: string, factors: readonly number[], isBelieved: boolean][] = [
    ['a queue that nobody has seen yet', [], false],
    ['a queue of which little has been seen', [1, 1], false],
    ['a queue that declares what it takes', [1, 1, 1.2, 0.8, 1, 1.5], true],
    ['a queue that declares a fifth', [5, 5, 4, 6, 5, 5], false],
    ['a queue that declares a fifth now and then', [1, 5, 1, 5, 1, 1, 5], false],
    ['one slow task among many', [1, 1, 1, 8, 1, 1, 1, 1], true],
  ];
  for (const [name, factors, isBelieved] of BOOKS) {
    test.it(`${name} is ${isBelieved ? '' : 'not '}believed`, () => {
      const worker = createWorker(0);
      startJob([worker], FOUR_SECONDS, 0.1);
      const book = bookOf(factors);
      assert.equal(heldUpRuns.findHeldUp([worker], book, 8000).length, isBelieved ? 1 : 0);
    });
  }

  // A submitter of a queue that is believed otherwise declares a tenth of the true work of one job. Its
  // tasks get on alike on two workers; both were suspected, and thirteen tasks begun again.
  const SIBLINGS: readonly [name: string, elsewhere: number, isBelieved: boolean][] = [
    ['as slow as elsewhere', 0.1, false],
    ['four times slower than elsewhere', 0.4, true],
  ];
  for (const [name, elsewhere, isBelieved] of SIBLINGS) {
    test.it(`a job that gets on ${name} is ${isBelieved ? '' : 'not '}held up`, () => {
      const workers = [createWorker(0), createWorker(1)];
      startJob(workers, { ...FOUR_SECONDS, count: 2 }, 0.1);
      const [, second] = workers;
      for (const run of second?.runs.values() ?? []) run.pace.speed = elsewhere;
      assert.equal(heldUpRuns.findHeldUp(workers, BELIEVED, 8000).length, isBelieved ? 1 : 0);
    });
  }

  test.it('is moved twice at most', () => {
    const worker = createWorker(0);
    startJob([worker], FOUR_SECONDS, 0);
    for (const run of worker.runs.values()) run.task.moves = heldUpRuns.MAX_MOVES;
    assert.deepEqual(heldUpRuns.findHeldUp([worker], BELIEVED, 8000), []);
  });

  test.it('is judged by spans that tell, not by lists that come close together', () => {
    const pace = runPace.createRunPace();
    runPace.noteProgress(pace, 0, 0, 10_000);
    runPace.noteProgress(pace, 100, 0, 10_000);
    assert.equal(pace.speed, undefined);
    runPace.noteProgress(pace, 1000, 10, 10_000);
    assert.equal(pace.speed, 1);
  });
});
