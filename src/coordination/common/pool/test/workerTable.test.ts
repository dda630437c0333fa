/**
 * What a planning round is told of a worker.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as estimateBook from '../estimateBook.js';
import * as jobBook from '../jobBook.js';
import * as workerTable from '../workerTable.js';
import * as fixtures from './poolFixtures.js';

const NOW_MS = 10_000;

/** When the former leader's leases have run out. */
const FORMER_LAPSE_MS = 6500;

const createWorker = (): workerTable.WorkerEntry => {
  const worker = workerTable.createWorkerEntry('agent', 'http://a:1', 1, 0, FORMER_LAPSE_MS);
  worker.isReachable = true;
  worker.sample = { incarnationMs: 1, clockMs: 0, atMs: 0 };
  worker.info = {
    workerId: 'w',
    incarnationMs: 1,
    service: 'service',
    zone: 'z',
    state: 'ready',
    capacity: { cpuMillicores: 8000, memoryMb: 8000, accelerators: 8 },
    labels: [],
  };
  return worker;
};

const addRun = (worker: workerTable.WorkerEntry, step: Partial<poolJob.Step>): void => {
  const entry = jobBook.createEntry(fixtures.makeJob([step]), 0);
  const [task] = jobBook.tasksOf(entry);
  assert.ok(task);
  const run = workerTable.createRun(entry, task, workerTable.RunPhase.present, 0);
  worker.runs.set(workerTable.runKey(run.name, run.run), run);
};

test.describe('a worker as a planning round sees it', () => {
  const LOSSES: readonly [name: string, step: Partial<poolJob.Step>, unsavedMs: number][] = [
    ['a task without checkpoints loses all its work by a stop', {}, NOW_MS],
    // Claims stopped long-running tasks that would have lost everything, and spared those that save.
    ['a task that checkpoints is saved by the stop', { isCheckpointing: true }, 250],
  ];
  for (const [name, step, unsavedMs] of LOSSES) {
    test.it(name, () => {
      const worker = createWorker();
      addRun(worker, step);
      const [holding] = workerTable.toPlanWorker(worker, NOW_MS)?.holdings ?? [];
      assert.equal(holding?.unsavedMs, unsavedMs);
    });
  }

  test.it('a filler takes memory and accelerators, and no processor room', () => {
    const worker = createWorker();
    addRun(worker, { isFiller: true });
    assert.deepEqual(workerTable.freeRoom(worker), {
      cpuMillicores: 8000,
      memoryMb: 7000,
      accelerators: 7,
    });
  });

  // Guards against a claim that, right after a take-over, throws away what is nearly done.
  test.it('a run of a former leader counts from its beginning', () => {
    const entry = jobBook.createEntry(fixtures.makeJob([{}]), 0);
    const tasks = jobBook.tasksOf(entry);
    const assignments = tasks.map((task) => ({
      task,
      workerId: 'w',
      incarnationMs: 1,
      agentId: 'agent',
    }));
    jobBook.assign(entry, assignments, { wallMs: 500_000, distanceFactor: 3 });
    const [task] = tasks;
    assert.ok(task);
    const run = workerTable.createRun(entry, task, workerTable.RunPhase.present, NOW_MS);
    const book = estimateBook.createEstimateBook();
    workerTable.countFromStart(run, book, { nowMs: NOW_MS, wallMs: 502_000 });
    assert.equal(run.sinceMs, NOW_MS - 2000);
    assert.equal(run.expectedMs, 3000);
    assert.equal(workerTable.observedWorkMs(run, NOW_MS + 1000), 1000);
  });

  const REMAINING: readonly [
    name: string,
    run: { percent: number; saved?: string; first?: { percent: number; atMs: number } },
    remainingMs: number,
  ][] = [
    ['by its progress', { percent: 50 }, NOW_MS],
    ['by what is expected before that tells', { percent: 2 }, 250],
    // Guards against a percentage of earlier runs that is taken for this one's speed.
    ['of a resumed run before it has got on', { percent: 60, saved: 's' }, 400],
    [
      'of a resumed run by what it did itself',
      { percent: 60, saved: 's', first: { percent: 50, atMs: NOW_MS - 1000 } },
      4000,
    ],
  ];
  for (const [name, { percent, saved = '', first }, remainingMs] of REMAINING) {
    test.it(`what remains ${name}`, () => {
      const entry = jobBook.createEntry(fixtures.makeJob([{}]), 0);
      const [task] = jobBook.tasksOf(entry);
      assert.ok(task);
      task.saved = saved;
      const run = workerTable.createRun(entry, task, workerTable.RunPhase.present, 0);
      run.percent = percent;
      run.first = first;
      assert.equal(workerTable.remainingMsOf(run, NOW_MS), remainingMs);
    });
  }

  // A leader takes over and can't reach a worker that runs on under the former leader's leases. Given up
  // at once, its tasks start elsewhere and run twice.
  const LAPSES: readonly [name: string, isReachable: boolean, nowMs: number, isOver: boolean][] = [
    ['while former leases stand', false, FORMER_LAPSE_MS, false],
    ['once they have run out', false, FORMER_LAPSE_MS + 1, true],
    ['while it answers', true, FORMER_LAPSE_MS + 1, false],
  ];
  for (const [name, isReachable, nowMs, isOver] of LAPSES) {
    test.it(`whether a worker's runs are over ${name}`, () => {
      const worker = createWorker();
      worker.isReachable = isReachable;
      assert.equal(workerTable.isLapsed(worker, nowMs), isOver);
    });
  }

  const UNUSABLE: readonly [name: string, change: (worker: workerTable.WorkerEntry) => void][] = [
    [
      'that is leaving',
      (worker) => {
        if (worker.info !== undefined) worker.info = { ...worker.info, state: 'draining' };
      },
    ],
    [
      'that does not answer',
      (worker) => {
        worker.isReachable = false;
      },
    ],
    [
      'whose present life has not been heard yet',
      (worker) => {
        if (worker.info !== undefined) worker.info = { ...worker.info, incarnationMs: 2 };
      },
    ],
  ];
  for (const [name, change] of UNUSABLE) {
    test.it(`a worker ${name} takes nothing`, () => {
      const worker = createWorker();
      change(worker);
      assert.equal(workerTable.toPlanWorker(worker, NOW_MS), undefined);
    });
  }
});
