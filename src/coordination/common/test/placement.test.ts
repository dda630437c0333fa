/**
 * Decisions of a planning round: tables of cases on claims, reclaim, shares, large jobs.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as configuration from '../../../state/common/configuration.js';
import type * as job from '../../../state/common/job.js';
import * as placement from '../placement.js';
import type * as planTypes from '../planTypes.js';

import * as planFixtures from './planFixtures.js';

const { documentOf, jobOf, running, viewOf, workersOf } = planFixtures;
const MINUTE_MS = 60_000;

const claimOf = (jobId: string, shapeId: string, members: number, per: number): job.JobRecord =>
  jobOf(jobId, {
    customerId: 'holder',
    claim: 'guaranteed',
    shapeId,
    members,
    acceleratorsPerMember: per,
    adjacency: members > 1 ? 'rack' : 'worker',
  });

/** One borrower on each whole worker, by how long ago it started. */
const fullWorkers = (startedMinutesAgo: readonly number[], isCheckpointable: boolean) =>
  startedMinutesAgo.map((minutes, worker) =>
    jobOf(
      `b${worker}`,
      { acceleratorsPerMember: 8, isCheckpointable },
      running([[worker, 0, 8]], minutes * MINUTE_MS),
    ),
  );

const ids = (items: readonly { readonly jobId: string }[]): string[] =>
  items.map((it) => it.jobId).sort();

interface Case {
  readonly name: string;
  readonly document: configuration.ConfigurationDocument;
  readonly workers?: readonly planTypes.PlanWorker[];
  readonly jobs: readonly job.JobRecord[];
  readonly placed: readonly string[];
  readonly stopped: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'a claim takes back the borrower that loses least, not any',
    document: documentOf(3, [['s', 8, 'worker', 1]]),
    jobs: [...fullWorkers([50, 10, 30], false), claimOf('claim', 's', 1, 8)],
    placed: [],
    stopped: ['b1'],
  },
  {
    name: 'a claim with adjacency takes back neighbours, though others would lose less',
    document: documentOf(4, [['s', 16, 'rack', 1]]),
    jobs: [...fullWorkers([50, 10, 30, 1], false), claimOf('claim', 's', 2, 8)],
    placed: [],
    stopped: ['b1', 'b2'],
  },
  {
    name: 'a borrower that can checkpoint goes before a younger one that would lose its work',
    document: documentOf(2, [['s', 8, 'worker', 1]]),
    jobs: [
      jobOf('old', { acceleratorsPerMember: 8 }, running([[0, 0, 8]], 60 * MINUTE_MS)),
      jobOf(
        'young',
        { acceleratorsPerMember: 8, isCheckpointable: false },
        running([[1, 0, 8]], 5 * MINUTE_MS),
      ),
      claimOf('claim', 's', 1, 8),
    ],
    placed: [],
    stopped: ['old'],
  },
  {
    name: 'a claim waits for a borrower that leaves already and stops no other',
    document: documentOf(2, [['s', 8, 'worker', 1]]),
    jobs: [
      jobOf(
        'leaving',
        { acceleratorsPerMember: 8 },
        { ...running([[0, 0, 8]], MINUTE_MS), state: 'stopping', stopCause: 'reclaimed' },
      ),
      jobOf('other', { acceleratorsPerMember: 8 }, running([[1, 0, 8]], 0)),
      claimOf('claim', 's', 1, 8),
    ],
    placed: [],
    stopped: [],
  },
  {
    name: 'what a waiting claim needs is not lent, the rest is',
    document: documentOf(2, [['s', 8, 'worker', 1]]),
    jobs: [
      jobOf('part', { acceleratorsPerMember: 2 }, running([[0, 0, 2]], 0)),
      ...[1].map((worker) =>
        jobOf('whole', { acceleratorsPerMember: 6 }, running([[worker, 0, 6]], 60 * MINUTE_MS)),
      ),
      claimOf('claim', 's', 1, 8),
      jobOf('small', { acceleratorsPerMember: 2 }),
    ],
    placed: ['small'],
    stopped: ['part'],
  },
  {
    name: 'a customer claims no more instances than it holds',
    document: documentOf(3, [['s', 8, 'worker', 1]]),
    jobs: [claimOf('first', 's', 1, 8), claimOf('second', 's', 1, 8)],
    placed: ['first'],
    stopped: [],
  },
  {
    name: 'a gang that does not fit whole is not placed at all',
    document: documentOf(3),
    jobs: [
      ...fullWorkers([1], true),
      jobOf('gang', { members: 3, acceleratorsPerMember: 8, adjacency: 'rack' }),
    ],
    placed: [],
    stopped: [],
  },
  {
    name: 'a large job that has waited makes small ones beneath it yield',
    document: documentOf(2),
    jobs: [
      ...fullWorkers([5, 5], true),
      jobOf(
        'large',
        { members: 2, acceleratorsPerMember: 8, adjacency: 'rack' },
        { submittedAtMs: planFixtures.NOW_MS - 11 * MINUTE_MS },
      ),
    ],
    placed: [],
    stopped: ['b0', 'b1'],
  },
  {
    name: 'a large job that has not waited stops nobody',
    document: documentOf(2),
    jobs: [
      ...fullWorkers([5, 5], true),
      jobOf('large', { members: 2, acceleratorsPerMember: 8, adjacency: 'rack' }),
    ],
    placed: [],
    stopped: [],
  },
  {
    name: 'a job is not tried again on the worker that it failed on',
    document: documentOf(1),
    workers: workersOf(2),
    jobs: [
      jobOf('b', { acceleratorsPerMember: 8 }, running([[1, 0, 8]], 0)),
      jobOf('failed', {}, { failures: [{ atMs: 1, workerId: 'w0', reason: 'x' }] }),
    ],
    placed: [],
    stopped: [],
  },
];

for (const it of CASES) {
  test.test(it.name, () => {
    const workers = it.workers ?? workersOf(it.document.cells[0]?.workers ?? 0);
    const plan = placement.planRound(viewOf(it.document, workers, it.jobs));
    assert.deepEqual(ids(plan.placements), it.placed);
    assert.deepEqual(ids(plan.stops), it.stopped);
    const queued = it.jobs.filter((record) => record.state === 'queued').length;
    assert.equal(plan.placements.length + plan.waits.length, queued, 'each job is placed or waits');
  });
}

test.test('borrowed accelerators are shared by the weights of the rules', () => {
  const jobs = ['heavy', 'light'].flatMap((customerId) =>
    Array.from({ length: 20 }, (_unused, index) => jobOf(`${customerId}-${index}`, { customerId })),
  );
  const plan = placement.planRound(viewOf(documentOf(2), workersOf(2), jobs));
  const heavy = plan.placements.filter((it) => it.jobId.startsWith('heavy')).length;
  assert.equal(plan.placements.length, 16);
  assert.equal(heavy, 12);
});

test.test('lost workers that break a guarantee are told, and only movable jobs borrow then', () => {
  // Users see: a rack fails, and the shape that they pay for no longer fits. Lending to a job that
  // can't checkpoint would then cost its work as soon as the rack returns and the claim comes.
  const document = documentOf(3, [['whole-rack', 24, 'rack', 1]]);
  const workers = workersOf(3).map((it, index) =>
    index === 2 ? { ...it, health: 'unreachable' as const } : it,
  );
  const jobs = [jobOf('fixed', { isCheckpointable: false }), jobOf('movable')];
  const plan = placement.planRound(viewOf(document, workers, jobs));
  assert.match(plan.warnings[0] ?? '', /shape whole-rack/);
  assert.deepEqual(ids(plan.placements), ['movable']);
});

test.test('a job that always outlives its estimate is not stopped for ever', () => {
  // Users see: one job starts and stops all day and never ends. It can't checkpoint and runs longer
  // than declared, so each reservation of a large job stopped it and it began anew. Found by the
  // mixed workload of the measurement, where such jobs used up two thirds of a cell.
  const stubborn = (attempt: number): job.JobRecord =>
    jobOf(
      'stubborn',
      { acceleratorsPerMember: 8, isCheckpointable: false, declaredRunMs: 1000 },
      { ...running([[0, 0, 8]], 5 * MINUTE_MS), attempt },
    );
  const large = jobOf(
    'large',
    { members: 2, acceleratorsPerMember: 8, adjacency: 'rack' },
    { submittedAtMs: planFixtures.NOW_MS - 11 * MINUTE_MS },
  );
  const stopsAt = (attempt: number): string[] =>
    ids(placement.planRound(viewOf(documentOf(2), workersOf(2), [stubborn(attempt), large])).stops);
  assert.deepEqual(stopsAt(1), ['stubborn']);
  assert.deepEqual(stopsAt(3), []);
});

test.test('small jobs give up their rule to a large one only where that is enough', () => {
  // Users see: a customer's large job never starts, though the cell has room, since its own small
  // jobs always use up the rule; or they are stopped for it although one that can't move blocks it.
  const document = documentOf(4);
  const rules = document.rules.map((it) => ({ ...it, maxAccelerators: 16 }));
  const small = (jobId: string, worker: number, isCheckpointable: boolean): job.JobRecord =>
    jobOf(
      jobId,
      { acceleratorsPerMember: 4, isCheckpointable },
      running([[worker, 0, 4]], 20 * MINUTE_MS),
    );
  const large = jobOf(
    'large',
    { members: 2, acceleratorsPerMember: 8, adjacency: 'rack' },
    { submittedAtMs: planFixtures.NOW_MS - 11 * MINUTE_MS },
  );
  const stopsWith = (isSecondMovable: boolean): string[] => {
    const jobs = [small('first', 0, true), small('second', 3, isSecondMovable), large];
    return ids(placement.planRound(viewOf({ ...document, rules }, workersOf(4), jobs)).stops);
  };
  assert.deepEqual(stopsWith(true), ['first', 'second']);
  assert.deepEqual(stopsWith(false), []);
});
