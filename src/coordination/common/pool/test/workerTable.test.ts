/**
 * What a planning round is told of a worker.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
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
