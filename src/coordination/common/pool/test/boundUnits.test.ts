/**
 * Planning rounds with units whose tasks are bound to the workers of their open orders.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as planRound from '../planRound.js';
import type * as planTypes from '../planTypes.js';
import * as fixtures from './poolFixtures.js';

const needing = (accelerators: number): Partial<poolJob.Step> => ({
  resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators },
});

interface Binding {
  /** For each task of the unit the worker that it is bound to. */
  readonly workerIds: readonly (string | undefined)[];
  /** Starts of its first task that were not accepted. */
  readonly refusals: number;
}

interface Case {
  readonly name: string;
  readonly workers: () => planTypes.PlanWorker[];
  readonly jobs: readonly poolJob.PoolJob[];
  /** Bindings by group key. */
  readonly bindings: Readonly<Record<string, Binding>>;
  readonly guarantees?: planTypes.Guarantees;
  /** Group keys that start, each with the workers of its tasks in their order. */
  readonly starts: Readonly<Record<string, readonly string[]>>;
  readonly preemptions?: readonly string[];
}

const retryOn = (...workerIds: readonly (string | undefined)[]): Binding => ({
  workerIds,
  refusals: 1,
});

const preemptedOn = (...workerIds: readonly (string | undefined)[]): Binding => ({
  workerIds,
  refusals: 0,
});

const full = (task: string, changes: Partial<planTypes.Allocation> = {}) => ({
  allocations: [fixtures.makeAllocation(task, 8, { remainingMs: 9000, ...changes })],
});

const guaranteed16: planTypes.Guarantees = new Map([['customer', 16]]);

const CASES: readonly Case[] = [
  {
    name: 'a bound task starts on its worker, although another one fits better',
    workers: () => [
      fixtures.makeWorker('w1'),
      fixtures.makeWorker('w2', { allocations: [fixtures.makeAllocation('a', 6)] }),
    ],
    jobs: [fixtures.makeJob([{}])],
    bindings: { 'job.0.0.0': retryOn('w1') },
    starts: { 'job.0.0.0': ['w1'] },
  },
  {
    // Guards against a task that starts elsewhere while a delayed copy may start it on its worker's next incarnation.
    name: 'a bound task waits for its worker, although another one is free',
    workers: () => [fixtures.makeWorker('w1', full('a')), fixtures.makeWorker('w2')],
    jobs: [fixtures.makeJob([{}])],
    bindings: { 'job.0.0.0': retryOn('w1') },
    starts: {},
  },
  {
    // Guards against a bound task without room that keeps the other tasks of its step from free workers.
    name: 'other tasks of the step start while a bound one waits',
    workers: () => [fixtures.makeWorker('w1', full('a')), fixtures.makeWorker('w2')],
    jobs: [fixtures.makeJob([{ count: 2 }])],
    bindings: { 'job.0.0.0': preemptedOn('w1') },
    starts: { 'job.0.0.1': ['w2'] },
  },
  {
    name: 'a bound task of a step starts although others of the step found no room',
    workers: () => [
      fixtures.makeWorker('w1', { labels: ['b'] }),
      fixtures.makeWorker('w2', full('a')),
    ],
    jobs: [fixtures.makeJob([{ count: 2, maxPerWorker: 1, ...needing(8) }])],
    bindings: { 'job.0.0.0': preemptedOn('w2'), 'job.0.0.1': preemptedOn('w1') },
    starts: { 'job.0.0.1': ['w1'] },
  },
  {
    name: 'a bound member of a gang starts on its worker, although the gang fits on another one',
    workers: () => [fixtures.makeWorker('w1'), fixtures.makeWorker('w2')],
    jobs: [fixtures.makeJob([{ count: 2, isGang: true, ...needing(4) }])],
    bindings: { 'job.0.0': retryOn(undefined, 'w2') },
    starts: { 'job.0.0': ['w1', 'w2'] },
  },
  {
    name: 'several members of a gang that are bound to one worker start there',
    workers: () => [fixtures.makeWorker('w1'), fixtures.makeWorker('w2')],
    jobs: [fixtures.makeJob([{ count: 3, isGang: true, ...needing(4) }])],
    bindings: { 'job.0.0': retryOn('w2', undefined, 'w2') },
    starts: { 'job.0.0': ['w2', 'w1', 'w2'] },
  },
  {
    name: 'a gang waits for the worker of its bound member',
    workers: () => [
      fixtures.makeWorker('w1', full('a')),
      fixtures.makeWorker('w2'),
      fixtures.makeWorker('w3'),
    ],
    jobs: [fixtures.makeJob([{ count: 2, isGang: true, ...needing(8) }])],
    bindings: { 'job.0.0': retryOn('w1', undefined) },
    starts: {},
  },
  {
    // Guards against a retry whose room is given to another unit of the same round.
    name: 'a retry takes its room back before work of a higher priority',
    workers: () => [fixtures.makeWorker('w1')],
    jobs: [
      fixtures.makeJob([needing(8)], { jobId: 'urgent', priority: 0 }),
      fixtures.makeJob([needing(8)]),
    ],
    bindings: { 'job.0.0.0': retryOn('w1') },
    starts: { 'job.0.0.0': ['w1'] },
  },
  {
    // Guards against a claim that preempts a task and loses the room to it again in the next round.
    name: 'a preempted task does not take back the room from what preempted it',
    workers: () => [fixtures.makeWorker('w1')],
    jobs: [
      fixtures.makeJob([needing(8)], { jobId: 'urgent', priority: 0 }),
      fixtures.makeJob([needing(8)]),
    ],
    bindings: { 'job.0.0.0': preemptedOn('w1') },
    starts: { 'urgent.0.0.0': ['w1'] },
  },
  {
    name: 'a claim with a bound member preempts on its worker, although another run loses less',
    workers: () => [
      fixtures.makeWorker('w1', full('dear', { unsavedMs: 9000 })),
      fixtures.makeWorker('w2', full('cheap')),
      fixtures.makeWorker('w3'),
    ],
    jobs: [fixtures.makeJob([{ count: 2, isGang: true, ...needing(8) }], { priority: 0 })],
    bindings: { 'job.0.0': preemptedOn(undefined, 'w1') },
    guarantees: guaranteed16,
    starts: {},
    preemptions: ['dear'],
  },
  {
    // Guards against a victim that waits seconds for its worker while a claim could have preempted another run.
    name: 'a claim spares a run whose task could not start elsewhere',
    workers: () => [
      fixtures.makeWorker('w1', full('bound', { boundMs: 9000 })),
      fixtures.makeWorker('w2', full('free', { unsavedMs: 2000 })),
    ],
    jobs: [fixtures.makeJob([needing(8)], { priority: 0 })],
    bindings: {},
    guarantees: guaranteed16,
    starts: {},
    preemptions: ['free'],
  },
];

const bind = (unit: planTypes.PlanUnit, binding: Binding | undefined): planTypes.PlanUnit => {
  const [first] = unit.unit.tasks;
  if (binding === undefined || first === undefined) return unit;
  first.refusals = binding.refusals;
  return { ...unit, boundWorkerIds: binding.workerIds };
};

test.describe('units that are bound to workers', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const plan = planRound.planRound({
        nowMs: 0,
        workers: it.workers(),
        units: fixtures.makeUnits(it.jobs).map((unit) => bind(unit, it.bindings[unit.groupKey])),
        stragglerUnits: [],
        remoteFactor: 3,
        guarantees: it.guarantees ?? new Map(),
      });
      const starts = plan.starts.map(({ unit, workers }) => [
        unit.groupKey,
        workers.map((worker) => worker.workerId),
      ]);
      assert.deepEqual(Object.fromEntries(starts), it.starts);
      assert.deepEqual([...plan.preemptions.keys()], it.preemptions ?? []);
    });
  }
});
