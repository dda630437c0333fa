/**
 * The state of a worker as input of a planning round, and the expiry of its leases.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as runtimeEstimates from '../runtimeEstimates.js';
import * as jobState from '../jobState.js';
import * as planWorker from '../planWorker.js';
import * as workerTable from '../workerTable.js';
import * as fixtures from './poolFixtures.js';

const NOW_MS = 10_000;

/** Time by which the previous leader's leases have expired. */
const PREVIOUS_EXPIRY_MS = 6500;

const TIMES: planWorker.AllocationTimes = {
  nowMs: NOW_MS,
  boundMsOf: () => 0,
  remainingMsOf: () => 0,
  speedFactorOf: () => 1,
  restoreMs: 250,
};

const createWorker = (): workerTable.WorkerEntry => {
  const worker = workerTable.createWorkerEntry('agent', 'http://a:1', 1, 0, PREVIOUS_EXPIRY_MS);
  worker.isReachable = true;
  worker.sample = { incarnationMs: 1, clockMs: 0, atMs: 0 };
  worker.info = fixtures.makeWorkerInfo('w');
  return worker;
};

test.describe('a worker in a planning round', () => {
  const LOSSES: readonly [name: string, step: Partial<poolJob.Step>, unsavedMs: number][] = [
    ['a task without checkpoints loses all its work by a stop', {}, NOW_MS],
    // Guards against claims that preempt long tasks which lose everything, and spare those that checkpoint.
    ['a checkpointing task is saved by the stop', { isCheckpointing: true }, 250],
  ];
  for (const [name, step, unsavedMs] of LOSSES) {
    test.it(name, () => {
      const worker = createWorker();
      fixtures.addRun(worker, step);
      const [allocation] = planWorker.toPlanWorker(worker, TIMES)?.allocations ?? [];
      assert.equal(allocation?.unsavedMs, unsavedMs);
    });
  }

  test.it('a filler occupies memory and accelerators, but no processor capacity', () => {
    const worker = createWorker();
    fixtures.addRun(worker, { isFiller: true });
    assert.deepEqual(workerTable.freeCapacity(worker), {
      cpuMillicores: 8000,
      memoryMb: 7000,
      accelerators: 7,
    });
  });

  // Guards against a claim that, right after a takeover, preempts runs that are nearly done.
  test.it('a run of a previous leader counts from its start', () => {
    const entry = jobState.createJobEntry(fixtures.makeJob([{}]), 0);
    const tasks = jobState.tasksOf(entry);
    const assignments = tasks.map((task) => ({
      task,
      workerId: 'w',
      incarnationMs: 1,
      agentId: 'agent',
    }));
    jobState.assign(assignments, { wallMs: 500_000, distanceFactor: 3 });
    const [task] = tasks;
    assert.ok(task);
    const run = workerTable.createActiveRun(entry, task, workerTable.RunPhase.present, NOW_MS);
    const estimates = runtimeEstimates.createRuntimeEstimates();
    workerTable.restoreStartTime(run, estimates, { nowMs: NOW_MS, wallMs: 502_000 });
    assert.equal(run.startedAtMs, NOW_MS - 2000);
    assert.equal(run.expectedMs, 3000);
    assert.equal(workerTable.observedWorkMs(run, NOW_MS + 1000), 1000);
  });

  // Guards against tasks that run twice: after a takeover an unreachable worker runs on under the previous
  // leader's leases. Declared lost immediately, its tasks would start on other workers as well.
  const EXPIRIES: readonly [
    name: string,
    isReachable: boolean,
    nowMs: number,
    hasEnded: boolean,
  ][] = [
    ['while previous leases are valid', false, PREVIOUS_EXPIRY_MS, false],
    ['once previous leases have expired', false, PREVIOUS_EXPIRY_MS + 1, true],
    ['while it answers', true, PREVIOUS_EXPIRY_MS + 1, false],
  ];
  for (const [name, isReachable, nowMs, hasEnded] of EXPIRIES) {
    test.it(`whether a worker's runs have ended ${name}`, () => {
      const worker = createWorker();
      worker.isReachable = isReachable;
      assert.equal(workerTable.haveRunsExpired(worker, nowMs), hasEnded);
    });
  }

  const UNUSABLE: readonly [name: string, change: (worker: workerTable.WorkerEntry) => void][] = [
    [
      'that is draining',
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
      'whose current incarnation has not reported yet',
      (worker) => {
        if (worker.info !== undefined) worker.info = { ...worker.info, incarnationMs: 2 };
      },
    ],
  ];
  for (const [name, change] of UNUSABLE) {
    test.it(`a worker ${name} accepts no tasks`, () => {
      const worker = createWorker();
      change(worker);
      assert.equal(planWorker.toPlanWorker(worker, TIMES), undefined);
    });
  }
});
