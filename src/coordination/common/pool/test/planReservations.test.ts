/**
 * What planning rounds keep for units that wait for runs to end, and what others may use meanwhile.
 */
import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import type * as planTypes from '../planTypes.js';
import * as planCases from './planCases.js';
import * as fixtures from './poolFixtures.js';

/** A wait after which a unit reserves capacity. */
const WAITED_MS = 1900;

const needing = (accelerators: number): Partial<poolJob.Step> => ({
  resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators },
});

/** Two tasks that need an entire worker each. */
const gang = (changes: Partial<poolJob.Step> = {}): poolJob.PoolJob =>
  fixtures.makeJob([{ count: 2, isGang: true, ...needing(8), ...changes }], { jobId: 'gang' });

const small = fixtures.makeJob([needing(1)], { jobId: 'small', priority: 2 });

const workerWith = (
  workerId: string,
  accelerators: number,
  changes: Partial<planTypes.Allocation>,
): planTypes.PlanWorker =>
  fixtures.makeWorker(workerId, {
    allocations: [fixtures.makeAllocation(`on-${workerId}`, accelerators, changes)],
  });

const lasting = (workerId: string, accelerators = 1): planTypes.PlanWorker =>
  workerWith(workerId, accelerators, { remainingMs: Infinity });

const ending = (workerId: string, accelerators = 4): planTypes.PlanWorker =>
  workerWith(workerId, accelerators, { remainingMs: 1000 });

const long = (workerId: string, accelerators: number): planTypes.PlanWorker =>
  workerWith(workerId, accelerators, { remainingMs: 60_000 });

const CASES: readonly planCases.Case[] = [
  {
    // Guards against a gang that keeps an almost idle pool from all behind it, since it waits for tasks that do not end.
    name: 'a gang reserves nothing where only runs without an end are in its way',
    workers: () => [lasting('w1'), lasting('w2')],
    jobs: [gang(), small],
    waitedMs: WAITED_MS,
    starts: { 'small.0.0.0': ['w1'] },
  },
  {
    name: 'a gang reserves the workers whose runs end',
    workers: () => [ending('w1'), lasting('w2'), ending('w3')],
    jobs: [gang(), small],
    waitedMs: WAITED_MS,
    starts: { 'small.0.0.0': ['w2'] },
  },
  {
    name: 'a gang waits for runs without an end that are being stopped',
    workers: () => [
      workerWith('w1', 1, { remainingMs: Infinity, isLeaving: true }),
      workerWith('w2', 1, { remainingMs: Infinity, isLeaving: true }),
    ],
    jobs: [gang(), small],
    waitedMs: WAITED_MS,
    starts: {},
  },
  {
    name: 'a gang reserves nothing where one member of a gang in its way has no end',
    workers: () => [
      workerWith('w1', 1, { groupKey: 'lasts', remainingMs: Infinity }),
      workerWith('w2', 1, { groupKey: 'lasts', remainingMs: 1000 }),
    ],
    jobs: [gang(), small],
    waitedMs: WAITED_MS,
    starts: { 'small.0.0.0': ['w1'] },
  },
  {
    // Guards against a gang that keeps an almost idle pool from all behind it for as long as one long task runs.
    name: 'a gang that waits for long keeps nothing of a pool that is half idle from units without other room',
    workers: () => [long('w1', 1), long('w2', 1)],
    jobs: [gang(), small],
    waitedMs: WAITED_MS,
    starts: { 'small.0.0.0': ['w1'] },
  },
  {
    name: 'a gang that waits for long keeps its workers where others have room',
    workers: () => [long('w1', 1), long('w2', 1), lasting('w3', 4)],
    jobs: [gang(), small],
    waitedMs: WAITED_MS,
    starts: { 'small.0.0.0': ['w3'] },
  },
  {
    name: 'a gang that waits for long keeps its workers of a pool that is in use',
    workers: () => [long('w1', 6), long('w2', 6)],
    jobs: [gang(), small],
    waitedMs: WAITED_MS,
    starts: {},
  },
  {
    name: 'a gang that waits for a short time keeps its workers of a pool that is half idle',
    workers: () => [ending('w1', 1), ending('w2', 1)],
    jobs: [gang(), small],
    waitedMs: WAITED_MS,
    starts: {},
  },
  {
    // Guards against a claim that waits for a run without an end as for one that is about to end.
    name: 'a claim preempts a run without an end at once',
    workers: () => [lasting('w1', 8)],
    jobs: [fixtures.makeJob([needing(8)], { priority: 0 })],
    guarantees: new Map([['customer', 8]]),
    starts: {},
    preemptions: ['on-w1'],
  },
  {
    // Guards against a task that waits near its data for the end of a run that has none.
    name: 'a task goes remote where the runs near its data have no end',
    workers: () => [
      fixtures.makeWorker('w1', {
        rack: 'near',
        allocations: [fixtures.makeAllocation('a', 8, { remainingMs: Infinity })],
      }),
      fixtures.makeWorker('w2', { rack: 'far' }),
    ],
    jobs: [fixtures.makeJob([{ preferredRack: 'near', ...needing(4) }])],
    starts: { 'job.0.0.0': ['w2'] },
  },
];

planCases.describeCases('reservations of a planning round', CASES);
