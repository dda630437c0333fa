/**
 * Planning rounds on workers that aren't equally fast: what starts where, what waits and what is preempted for it.
 */
import type * as poolJob from '../../../../../state/common/pool/poolJob.js';
import * as planCases from '../../test/planCases.js';
import * as fixtures from '../../test/poolFixtures.js';
import type * as planTypes from '../../planTypes.js';

const WORK_MS = 2000;

/** Owed in three times its work and a second (the fixture's policy), so late with a factor above 3.5. */
const LATE_FACTOR = 4;

const step = (
  accelerators: number,
  changes: Partial<poolJob.Step> = {},
): Partial<poolJob.Step> => ({
  resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators },
  estimatedMs: WORK_MS,
  ...changes,
});

const urgent = (accelerators: number, changes: Partial<poolJob.Step> = {}): poolJob.PoolJob =>
  fixtures.makeJob([step(accelerators, changes)], { jobId: 'urgent', priority: 0 });

const patient = (accelerators: number, changes: Partial<poolJob.Step> = {}): poolJob.PoolJob =>
  fixtures.makeJob([step(accelerators, changes)], { jobId: 'patient', priority: 2 });

const worker = (
  workerId: string,
  speedFactor: number,
  allocations: readonly planTypes.Allocation[] = [],
): planTypes.PlanWorker => fixtures.makeWorker(workerId, { speedFactor, allocations });

const CASES: readonly planCases.Case[] = [
  {
    name: 'urgent work goes to a fast worker, though a slow one is left with less room',
    workers: () => [
      worker('slow', 2, [fixtures.makeAllocation('a', 6)]),
      worker('fast', 0.7),
      worker('mean', 1),
    ],
    jobs: [urgent(2)],
    starts: { 'urgent.0.0.0': ['fast'] },
  },
  {
    name: 'work with slack leaves the fast worker to urgent work',
    workers: () => [worker('fast', 0.7, [fixtures.makeAllocation('a', 6)]), worker('slow', 2)],
    jobs: [patient(2)],
    starts: { 'patient.0.0.0': ['slow'] },
  },
  {
    name: 'work with slack goes to a fast worker rather than be late on a slow one',
    workers: () => [worker('slow', LATE_FACTOR), worker('fast', 0.7)],
    jobs: [patient(2)],
    starts: { 'patient.0.0.0': ['fast'] },
  },
  {
    name: 'work with slack finds out how fast an unknown worker is',
    workers: () => [worker('fast', 0.7), worker('unknown', 1)],
    jobs: [patient(2)],
    starts: { 'patient.0.0.0': ['unknown'] },
  },
  {
    // Guards against a gang that occupies fast workers for as long as its one slow member takes.
    name: 'a gang starts on workers of like speed',
    workers: () => [worker('slow', 2), worker('fast-1', 0.7), worker('fast-2', 0.7)],
    jobs: [patient(8, { count: 2, isGang: true })],
    starts: { 'patient.0.0': ['fast-1', 'fast-2'] },
  },
  {
    name: 'a gang mixes workers where nothing else has room',
    workers: () => [worker('slow', 2), worker('fast', 0.7)],
    jobs: [patient(8, { count: 2, isGang: true })],
    starts: { 'patient.0.0': ['slow', 'fast'] },
  },
  {
    // Guards against urgent work that starts at once on a worker on which it is late.
    name: 'urgent work waits for a fast worker that is free soon rather than be late on a slow one',
    workers: () => [
      worker('slow', LATE_FACTOR),
      worker('fast', 0.7, [fixtures.makeAllocation('a', 8, { remainingMs: 300, priority: 0 })]),
    ],
    jobs: [urgent(8)],
    starts: {},
  },
  {
    name: 'urgent work preempts on a fast worker what loses less than its own work',
    workers: () => [
      worker('slow', LATE_FACTOR),
      worker('fast', 0.7, [
        fixtures.makeAllocation('victim', 8, { remainingMs: 20_000, unsavedMs: 300 }),
      ]),
    ],
    jobs: [urgent(8)],
    starts: {},
    preemptions: ['victim'],
  },
  {
    name: 'urgent work starts late on a slow worker rather than preempt what loses more',
    workers: () => [
      worker('slow', LATE_FACTOR),
      worker('fast', 0.7, [
        fixtures.makeAllocation('other', 8, { remainingMs: 20_000, unsavedMs: 15_000 }),
      ]),
    ],
    jobs: [urgent(8)],
    starts: { 'urgent.0.0.0': ['slow'] },
  },
  {
    // Guards against urgent work that waits for fast workers for ever.
    name: 'urgent work that is late on every worker starts where there is room',
    workers: () => [
      worker('slow', LATE_FACTOR),
      worker('fast', 0.7, [fixtures.makeAllocation('a', 8, { remainingMs: 300, priority: 0 })]),
    ],
    jobs: [urgent(8)],
    waitedMs: 6500,
    starts: { 'urgent.0.0.0': ['slow'] },
  },
];

planCases.describeCases('planning on workers that are not equally fast', CASES);
