/**
 * Planning rounds: what starts where, what is preempted or relocated, and what waits.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import type * as planTypes from '../planTypes.js';
import * as gangPlacement from '../gangPlacement.js';
import * as planCases from './planCases.js';
import * as fixtures from './poolFixtures.js';

/** Resources of a task that needs this number of accelerators. */
const needing = (accelerators: number): Partial<poolJob.Step> => ({
  resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators },
});

const guaranteed8: planTypes.Guarantees = new Map([['customer', 8]]);

const CASES: readonly planCases.Case[] = [
  {
    // A customer allows one task of a step per worker, so that a lost worker never takes two with it. Two
    // that became ready in one round were placed on the same worker, because the round counted only tasks
    // that ran before it.
    name: 'the spread limit counts what the same round has placed',
    workers: () => [fixtures.makeWorker('w1'), fixtures.makeWorker('w2')],
    jobs: [fixtures.makeJob([{ count: 3, maxPerWorker: 1 }])],
    starts: { 'job.0.0.0': ['w1'], 'job.0.0.1': ['w2'] },
  },
  {
    name: 'small tasks go where the least capacity is left, so that an entire worker stays free',
    workers: () => [
      fixtures.makeWorker('w1'),
      fixtures.makeWorker('w2', { allocations: [fixtures.makeAllocation('a', 6)] }),
    ],
    jobs: [fixtures.makeJob([{ count: 2 }])],
    starts: { 'job.0.0.0': ['w2'], 'job.0.0.1': ['w2'] },
  },
  {
    // Guards against a worker that fails what it starts and, free again, attracts the next task.
    name: 'a worker where a run has just failed is used only where no other has room',
    workers: () => [
      fixtures.makeWorker('w1', {
        isDoubtful: true,
        allocations: [fixtures.makeAllocation('a', 6)],
      }),
      fixtures.makeWorker('w2', { allocations: [fixtures.makeAllocation('b', 7)] }),
    ],
    jobs: [fixtures.makeJob([{ count: 2 }])],
    starts: { 'job.0.0.0': ['w2'], 'job.0.0.1': ['w1'] },
  },
  {
    name: 'a gang starts completely or not at all',
    workers: () => [fixtures.makeWorker('w1'), fixtures.makeWorker('w2')],
    jobs: [fixtures.makeJob([{ count: 3, isGang: true, ...needing(8) }])],
    starts: {},
  },
  {
    name: 'a gang that asks for one rack waits for it while that costs less time than several racks',
    workers: () => [
      fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('a', 8)] }),
      fixtures.makeWorker('w2'),
      fixtures.makeWorker('w3', { rack: 'r2' }),
    ],
    jobs: [fixtures.makeJob([{ count: 2, isGang: true, isSameRack: true, ...needing(8) }])],
    starts: {},
  },
  {
    name: 'it is spread over racks once it has waited longer than the spread costs',
    workers: () => [
      fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('a', 8)] }),
      fixtures.makeWorker('w2'),
      fixtures.makeWorker('w3', { rack: 'r2' }),
    ],
    jobs: [fixtures.makeJob([{ count: 2, isGang: true, isSameRack: true, ...needing(8) }])],
    waitedMs: 2000,
    starts: { 'job.0.0': ['w2', 'w3'] },
  },
  {
    // Guards against urgent gangs that occupy workers of several racks for a multiple of their time and are late.
    name: 'an urgent gang that would be late on several racks preempts work on one',
    workers: () => [
      fixtures.makeWorker('w1', {
        allocations: [fixtures.makeAllocation('small', 8, { remainingMs: 9e3 })],
      }),
      fixtures.makeWorker('w2'),
      fixtures.makeWorker('w3', { rack: 'r2' }),
    ],
    jobs: [
      fixtures.makeJob([{ count: 2, isGang: true, isSameRack: true, ...needing(8) }], {
        priority: 0,
      }),
    ],
    waitedMs: 1500,
    guarantees: new Map([['customer', 16]]),
    starts: {},
    preemptions: ['small'],
  },
  {
    name: 'a claim within the guarantee preempts lower-priority work that frees its capacity at the least loss',
    workers: () => [
      fixtures.makeWorker('w1', {
        allocations: [fixtures.makeAllocation('dear', 8, { unsavedMs: 9e3, remainingMs: 9e3 })],
      }),
      fixtures.makeWorker('w2', {
        allocations: [fixtures.makeAllocation('cheap', 8, { remainingMs: 9e3 })],
      }),
    ],
    jobs: [fixtures.makeJob([needing(8)], { priority: 0 })],
    guarantees: guaranteed8,
    starts: {},
    preemptions: ['cheap'],
  },
  {
    // Guards against preemption of work shortly before its end, for capacity that was about to become free.
    name: 'a claim waits for a run that ends by itself soon enough',
    workers: () => [
      fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('ends', 8)] }),
      fixtures.makeWorker('w2', {
        allocations: [fixtures.makeAllocation('cheap', 8, { unsavedMs: 1, remainingMs: 9e3 })],
      }),
    ],
    jobs: [fixtures.makeJob([needing(8)], { priority: 0 })],
    guarantees: guaranteed8,
    starts: {},
    preemptions: [],
  },
  {
    name: 'a claim that has waited as long as allowed preempts what does not end in time',
    workers: () => [
      fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('ends', 8)] }),
    ],
    jobs: [fixtures.makeJob([needing(8)], { priority: 0 })],
    waitedMs: 1400,
    guarantees: guaranteed8,
    starts: {},
    preemptions: ['ends'],
  },
  {
    // Guards against a burst of long tasks that takes every worker: each claim then destroys work.
    name: 'deferrable work without checkpoints leaves one worker in four for claims',
    workers: () => ['w1', 'w2', 'w3', 'w4'].map((it) => fixtures.makeWorker(it)),
    jobs: [fixtures.makeJob([{ count: 4, ...needing(8) }], { priority: 1 })],
    starts: { 'job.0.0.0': ['w1'], 'job.0.0.1': ['w2'], 'job.0.0.2': ['w3'] },
  },
  {
    name: 'checkpointing work takes every worker, since preemption costs it nothing',
    workers: () => ['w1', 'w2', 'w3', 'w4'].map((it) => fixtures.makeWorker(it)),
    jobs: [fixtures.makeJob([{ count: 4, isCheckpointing: true, ...needing(8) }], { priority: 1 })],
    starts: {
      'job.0.0.0': ['w1'],
      'job.0.0.1': ['w2'],
      'job.0.0.2': ['w3'],
      'job.0.0.3': ['w4'],
    },
  },
  {
    // Guards against a better fit that is preferred although the task takes three times as long there.
    name: 'a local worker goes before a remote one that fits better',
    workers: () => [
      fixtures.makeWorker('w1', { rack: 'near' }),
      fixtures.makeWorker('w2', {
        rack: 'far',
        allocations: [fixtures.makeAllocation('a', 4, { remainingMs: 9e3 })],
      }),
    ],
    jobs: [fixtures.makeJob([{ preferredRack: 'near', ...needing(4) }])],
    waitedMs: 3000,
    starts: { 'job.0.0.0': ['w1'] },
  },
  {
    name: 'it goes remote immediately where local capacity becomes free later than that costs',
    workers: () => [
      fixtures.makeWorker('w1', {
        rack: 'near',
        allocations: [fixtures.makeAllocation('a', 8, { remainingMs: 2500 })],
      }),
      fixtures.makeWorker('w2', { rack: 'far' }),
    ],
    jobs: [fixtures.makeJob([{ preferredRack: 'near', ...needing(4) }])],
    starts: { 'job.0.0.0': ['w2'] },
  },
  {
    name: 'a claim preempts nothing while a terminating run frees capacity for it',
    workers: () => [
      fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('runs', 8)] }),
      fixtures.makeWorker('w2', {
        allocations: [fixtures.makeAllocation('goes', 8, { isLeaving: true })],
      }),
    ],
    jobs: [fixtures.makeJob([needing(8)], { priority: 0 })],
    guarantees: guaranteed8,
    starts: {},
    preemptions: [],
  },
  {
    name: 'work beyond the guarantee preempts nothing',
    workers: () => [fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('a', 8)] })],
    jobs: [fixtures.makeJob([needing(8)], { priority: 0 })],
    guarantees: new Map([['customer', 7]]),
    starts: {},
    preemptions: [],
  },
  {
    // Guards against thousands of starts at once, which no worker takes in time and for which urgent ones wait.
    name: 'a round starts no more tasks than it may, but urgent ones',
    workers: () => [fixtures.makeWorker('w1')],
    jobs: [
      fixtures.makeJob([{ count: 3 }], { jobId: 'many', priority: 2 }),
      fixtures.makeJob([{ count: 3 }], { jobId: 'urgent', priority: 0 }),
    ],
    maxStarts: 1,
    starts: {
      'many.0.0.0': ['w1'],
      'urgent.0.0.0': ['w1'],
      'urgent.0.0.1': ['w1'],
      'urgent.0.0.2': ['w1'],
    },
  },
  {
    // Two waves of small tasks fill every gap on a busy worker, and a task that needs all of it never
    // starts. After its wait the gap is reserved for it.
    name: 'a wide task that has waited reserves capacity against small ones',
    workers: () => [fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('a', 4)] })],
    jobs: [
      fixtures.makeJob([needing(8)], { jobId: 'wide', priority: 1 }),
      fixtures.makeJob([needing(1)], { jobId: 'small', priority: 2 }),
    ],
    waitedMs: 2000,
    starts: {},
  },
  {
    // Guards against a fleet in which small tasks take the capacity that all but two of the waiting gangs need.
    name: 'a larger fleet reserves capacity for more wide tasks',
    workers: () =>
      Array.from({ length: 30 }, (_, index) =>
        fixtures.makeWorker(`w${index}`, {
          allocations: [fixtures.makeAllocation(`a${index}`, index < 3 ? 4 : 8)],
        }),
      ),
    jobs: [
      ...['first', 'second', 'third'].map((jobId) => fixtures.makeJob([needing(8)], { jobId })),
      fixtures.makeJob([{}], { jobId: 'small', priority: 2 }),
    ],
    waitedMs: 1900,
    starts: {},
  },
  {
    name: 'small tasks use the gap before the wide one has waited long enough',
    workers: () => [fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('a', 4)] })],
    jobs: [
      fixtures.makeJob([needing(8)], { jobId: 'wide', priority: 1 }),
      fixtures.makeJob([needing(1)], { jobId: 'small', priority: 2 }),
    ],
    starts: { 'small.0.0.0': ['w1'] },
  },
  {
    name: 'a straggler is relocated where a healthy worker has spare capacity',
    workers: () => [fixtures.makeWorker('w1'), fixtures.makeWorker('w2')],
    jobs: [],
    stragglers: [{ job: fixtures.makeJob([needing(8)], { jobId: 'slow' }), on: ['w1'] }],
    starts: {},
    relocations: ['slow.0.0.0'],
  },
  {
    // A run that is relocated without capacity on another worker loses its progress and has to wait.
    name: 'a straggler stays where no other worker has capacity',
    workers: () => [
      fixtures.makeWorker('w1'),
      fixtures.makeWorker('w2', { allocations: [fixtures.makeAllocation('a', 4)] }),
    ],
    jobs: [],
    stragglers: [{ job: fixtures.makeJob([needing(8)], { jobId: 'slow' }), on: ['w1'] }],
    starts: {},
    relocations: [],
  },
  {
    name: 'a straggler stays where a waiting unit takes the capacity',
    workers: () => [
      fixtures.makeWorker('w1', { allocations: [fixtures.makeAllocation('slow', 8)] }),
      fixtures.makeWorker('w2'),
    ],
    jobs: [fixtures.makeJob([needing(8)], { jobId: 'waits' })],
    stragglers: [{ job: fixtures.makeJob([needing(8)], { jobId: 'slow' }), on: ['w1'] }],
    starts: { 'waits.0.0.0': ['w2'] },
    relocations: [],
  },
  {
    name: 'a straggler is not relocated to a suspect worker',
    workers: () => [fixtures.makeWorker('w1'), fixtures.makeWorker('w2', { isSuspect: true })],
    jobs: [],
    stragglers: [{ job: fixtures.makeJob([needing(8)], { jobId: 'slow' }), on: ['w1'] }],
    starts: {},
    relocations: [],
  },
  {
    name: 'a required label is respected',
    workers: () => [fixtures.makeWorker('w1'), fixtures.makeWorker('w2', { labels: ['b'] })],
    jobs: [fixtures.makeJob([{ requiredLabel: 'b' }])],
    starts: { 'job.0.0.0': ['w2'] },
  },
  {
    name: 'workers of another service get nothing',
    workers: () => [fixtures.makeWorker('w1', { service: 'another' })],
    jobs: [fixtures.makeJob([{}])],
    starts: {},
  },
];

// On-call engineers who see a gang take three times as long have to know whether it is remote.
const REMOTE_TASKS: readonly [
  name: string,
  step: Partial<poolJob.Step>,
  racks: string[],
  away: number,
][] = [
  ['without a preference', { count: 2 }, ['r1', 'r2'], 0],
  ['local to their data', { count: 2, preferredRack: 'r1' }, ['r1', 'r1'], 0],
  ['one of them remote', { count: 2, preferredRack: 'r1' }, ['r1', 'r2'], 1],
  ['a gang on one rack', { count: 2, isGang: true, isSameRack: true }, ['r1', 'r1'], 0],
  ['a gang over two racks', { count: 2, isGang: true, isSameRack: true }, ['r1', 'r2'], 2],
];

test.describe('number of remote tasks', () => {
  for (const [name, step, racks, away] of REMOTE_TASKS) {
    test.it(name, () => {
      assert.equal(gangPlacement.countRemoteTasks(fixtures.makeStep(step), racks), away);
    });
  }
});

planCases.describeCases('planRound', CASES);
