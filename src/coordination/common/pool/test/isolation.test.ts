/**
 * Planning rounds with units that are suspected of crashing their workers: they start on workers without tasks of other
 * jobs, and nothing is placed beside them.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import type * as planTypes from '../planTypes.js';
import * as planRound from '../planRound.js';
import * as fixtures from './poolFixtures.js';

interface Case {
  readonly name: string;
  readonly workers: () => planTypes.PlanWorker[];
  /** Jobs whose id begins with `suspect` are isolated. */
  readonly jobs: readonly poolJob.PoolJob[];
  readonly waitedMs?: number;
  readonly guarantees?: planTypes.Guarantees;
  readonly starts: Readonly<Record<string, readonly string[]>>;
}

const suspect = (
  step: Partial<poolJob.Step> = {},
  changes: fixtures.JobChanges = {},
): poolJob.PoolJob => fixtures.makeJob([step], { jobId: 'suspect', ...changes });

const other = (count = 1): poolJob.PoolJob => fixtures.makeJob([{ count }], { jobId: 'other' });

const occupied = (workerId: string, job = 'a', remainingMs = 1000): planTypes.PlanWorker =>
  fixtures.makeWorker(workerId, {
    allocations: [fixtures.makeAllocation(job, 1, { jobId: job, remainingMs })],
  });

/** Less than half of it is free. */
const busy = (workerId: string, remainingMs = 1000): planTypes.PlanWorker =>
  fixtures.makeWorker(workerId, {
    allocations: [fixtures.makeAllocation(`of-${workerId}`, 5, { remainingMs })],
  });

const CASES: readonly Case[] = [
  {
    name: 'a suspect starts on an empty worker, although another one fits better',
    workers: () => [occupied('w1'), fixtures.makeWorker('w2')],
    jobs: [suspect()],
    starts: { 'suspect.0.0.0': ['w2'] },
  },
  {
    name: 'it waits while no worker is empty',
    workers: () => [occupied('w1')],
    jobs: [suspect()],
    starts: {},
  },
  {
    name: 'it starts beside tasks of its own job',
    workers: () => [occupied('w1', 'suspect')],
    jobs: [suspect()],
    starts: { 'suspect.0.0.0': ['w1'] },
  },
  {
    name: 'nothing is placed beside it in the same round',
    workers: () => [fixtures.makeWorker('w1')],
    jobs: [suspect(), other()],
    starts: { 'suspect.0.0.0': ['w1'] },
  },
  {
    name: 'it is not placed beside a task that the same round has placed',
    workers: () => [fixtures.makeWorker('w1')],
    jobs: [other(), suspect()],
    starts: { 'other.0.0.0': ['w1'] },
  },
  {
    name: 'nothing is placed beside a run on probation',
    workers: () => [
      fixtures.makeWorker('w1', {
        allocations: [fixtures.makeAllocation('suspect', 1, { jobId: 'suspect' })],
        exclusiveJobId: 'suspect',
      }),
    ],
    jobs: [other()],
    starts: {},
  },
  {
    // Guards against a suspect that waits although half of the pool is idle, since no worker is quite empty.
    name: 'in a pool that is half idle it shares a worker rather than wait for long',
    workers: () => [occupied('w1', 'a', 60_000), occupied('w2', 'b', 60_000)],
    jobs: [suspect()],
    waitedMs: 2000,
    starts: { 'suspect.0.0.0': ['w1'] },
  },
  {
    // Guards against a long-running task that waits forever beside others.
    name: 'a long-running suspect shares a worker rather than wait for long',
    workers: () => [busy('w1')],
    jobs: [suspect({ isLongRunning: true })],
    waitedMs: 2000,
    starts: { 'suspect.0.0.0': ['w1'] },
  },
  {
    // Guards against suspects that crash each other after they have waited together.
    name: 'two suspects that have waited do not share a worker',
    workers: () => [busy('w1')],
    jobs: [suspect(), suspect({}, { jobId: 'suspect2' })],
    waitedMs: 15_000,
    starts: { 'suspect.0.0.0': ['w1'] },
  },
  {
    name: 'in a busy pool it shares a worker after a longer wait',
    workers: () => [busy('w1')],
    jobs: [suspect()],
    waitedMs: 15_000,
    starts: { 'suspect.0.0.0': ['w1'] },
  },
  {
    // Guards against a suspect that never starts in a pool that is always busy.
    name: 'once it has waited it keeps the worker that is empty soonest',
    workers: () => [busy('w1', 5000), busy('w2', 500)],
    jobs: [suspect(), other()],
    waitedMs: 2000,
    starts: { 'other.0.0.0': ['w1'] },
  },
  {
    // Guards against the loss of all work on a worker for one task that will crash it.
    name: 'an urgent suspect within its guarantee preempts nobody',
    workers: () => [occupied('w1')],
    jobs: [suspect({}, { priority: 0 })],
    guarantees: new Map([['customer', 8]]),
    starts: {},
  },
  {
    name: 'a suspect step whose first task waits does not hold back its other tasks',
    workers: () => [fixtures.makeWorker('w1')],
    jobs: [suspect({ count: 3 })],
    starts: { 'suspect.0.0.0': ['w1'], 'suspect.0.0.1': ['w1'], 'suspect.0.0.2': ['w1'] },
  },
];

test.describe('isolation of suspects', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const plan = planRound.planRound({
        nowMs: it.waitedMs ?? 0,
        workers: it.workers(),
        units: fixtures
          .makeUnits(it.jobs, it.waitedMs)
          .map((unit) => ({ ...unit, isIsolated: unit.groupKey.startsWith('suspect') })),
        stragglerUnits: [],
        remoteFactor: 3,
        guarantees: it.guarantees ?? new Map(),
      });
      const starts = Object.fromEntries(
        plan.starts.map(({ unit, workers }) => [
          unit.groupKey,
          workers.map(({ workerId }) => workerId),
        ]),
      );
      assert.deepEqual(starts, it.starts);
      assert.equal(plan.preemptions.size, 0);
    });
  }
});
