/**
 * Tests of the decisions of a planning round: claims, reclaim, shares, large jobs.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as configuration from '../../../state/common/configuration.js';
import type * as job from '../../../state/common/job.js';
import * as guaranteeCheck from '../guaranteeCheck.js';
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

/** One borrower on each complete worker, by minutes since its start. */
const fullyBorrowedWorkers = (startedMinutesAgo: readonly number[], isCheckpointable: boolean) =>
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
    name: 'a claim preempts the borrower that loses least',
    document: documentOf(3, [['s', 8, 'worker', 1]]),
    jobs: [...fullyBorrowedWorkers([50, 10, 30], false), claimOf('claim', 's', 1, 8)],
    placed: [],
    stopped: ['b1'],
  },
  {
    name: 'a claim with adjacency preempts neighbours, though others would lose less',
    document: documentOf(4, [['s', 16, 'rack', 1]]),
    jobs: [...fullyBorrowedWorkers([50, 10, 30, 1], false), claimOf('claim', 's', 2, 8)],
    placed: [],
    stopped: ['b1', 'b2'],
  },
  {
    name: 'a borrower that can checkpoint is preempted before a younger one that would lose its work',
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
    name: 'a claim waits for a borrower that is already stopping and stops no other',
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
    name: 'the capacity that a waiting claim needs is not lent, the rest is',
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
    name: 'a gang that does not fit completely is not placed at all',
    document: documentOf(3),
    jobs: [
      ...fullyBorrowedWorkers([1], true),
      jobOf('gang', { members: 3, acceleratorsPerMember: 8, adjacency: 'rack' }),
    ],
    placed: [],
    stopped: [],
  },
  {
    name: 'a large job that has waited makes small backfill jobs yield',
    document: documentOf(2),
    jobs: [
      ...fullyBorrowedWorkers([5, 5], true),
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
    name: 'a large job that has not waited stops no job',
    document: documentOf(2),
    jobs: [
      ...fullyBorrowedWorkers([5, 5], true),
      jobOf('large', { members: 2, acceleratorsPerMember: 8, adjacency: 'rack' }),
    ],
    placed: [],
    stopped: [],
  },
  {
    name: 'a job is not placed again on the worker where it failed',
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

test.test(
  'lost workers that break a guarantee cause a warning, and only movable jobs may borrow',
  () => {
    // A rack fails and a customer's shape no longer fits. Lending to a job that can't checkpoint
    // would then lose its work as soon as the rack returns and the claim comes.
    const document = documentOf(3, [['whole-rack', 24, 'rack', 1]]);
    const workers = workersOf(3).map((it, index) =>
      index === 2 ? { ...it, health: 'unreachable' as const } : it,
    );
    const jobs = [jobOf('fixed', { isCheckpointable: false }), jobOf('movable')];
    const plan = placement.planRound(viewOf(document, workers, jobs));
    assert.match(plan.warnings[0] ?? '', /shape whole-rack/);
    assert.deepEqual(ids(plan.placements), ['movable']);
  },
);

test.test('a job that always exceeds its estimate is not stopped forever', () => {
  // Guards against a job that is started and stopped all day and never ends. It can't checkpoint
  // and runs longer than declared, so each reservation of a large job stopped it and it started
  // over. In a mixed workload such jobs used up two thirds of a cell.
  const overrunning = (attempt: number): job.JobRecord =>
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
    ids(
      placement.planRound(viewOf(documentOf(2), workersOf(2), [overrunning(attempt), large])).stops,
    );
  assert.deepEqual(stopsAt(1), ['stubborn']);
  assert.deepEqual(stopsAt(3), []);
});

test.test('small jobs return their allowance to a large one only where that is enough', () => {
  // Guards against a large job that never starts, since its customer's small jobs always use up the
  // rule, and against stopping them in vain because one that can't move blocks it.
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

test.test(
  'a gang that failed on most of a small cell is placed again, on the oldest failures first',
  () => {
    // Guards against a job that can never run and waits forever instead of becoming unrunnable. It
    // had failed on two of a rack's three workers, was never placed there again, and no rack had
    // two others.
    const gang = jobOf(
      'gang',
      { members: 2, acceleratorsPerMember: 8, adjacency: 'rack' },
      { failures: ['w0', 'w1'].map((workerId, at) => ({ atMs: at, workerId, reason: 'x' })) },
    );
    const plan = placement.planRound(viewOf(documentOf(4), workersOf(4), [gang]));
    const workers = plan.placements[0]?.placement.map((it) => it.workerId).sort();
    assert.deepEqual(workers, ['w0', 'w2']);
  },
);

/** A large job waits for one that can't be moved; `run` could borrow the worker beside it. */
const placedUnderReservation = (run: Partial<job.JobSpec>): string[] => {
  const fixed = jobOf(
    'fixed',
    { acceleratorsPerMember: 8, isCheckpointable: false, declaredRunMs: 40 * MINUTE_MS },
    running([[0, 0, 8]], 20 * MINUTE_MS),
  );
  const large = jobOf(
    'large',
    { members: 2, acceleratorsPerMember: 8, adjacency: 'rack' },
    { submittedAtMs: planFixtures.NOW_MS - 11 * MINUTE_MS },
  );
  const jobs = [fixed, large, jobOf('run', run)];
  return ids(placement.planRound(viewOf(documentOf(2), workersOf(2), jobs)).placements);
};

const BACKFILL_CASES = [
  { name: 'ends before', isCheckpointable: false, declaredRunMs: 10 * MINUTE_MS, isPlaced: true },
  { name: 'ends after', isCheckpointable: false, declaredRunMs: 30 * MINUTE_MS, isPlaced: false },
  { name: 'can yield', isCheckpointable: true, declaredRunMs: 30 * MINUTE_MS, isPlaced: true },
];

for (const { name, isPlaced, ...spec } of BACKFILL_CASES) {
  test.test(`a job that ${name} ${isPlaced ? 'runs' : 'waits'} under a reservation`, () => {
    assert.deepEqual(placedUnderReservation(spec), isPlaced ? ['run'] : []);
  });
}

const FORM_CASES = [
  { members: 2, per: 8, adjacency: 'rack', fits: true },
  { members: 4, per: 4, adjacency: 'rack', fits: true },
  { members: 3, per: 5, adjacency: 'rack', fits: false },
  { members: 2, per: 8, adjacency: 'worker', fits: false },
  { members: 1, per: 8, adjacency: 'worker', fits: true },
  { members: 2, per: 8, adjacency: 'zone', fits: true },
] as const;

for (const { members, per, adjacency, fits } of FORM_CASES) {
  test.test(
    `${members}x${per} in one ${adjacency} ${fits ? 'fits' : 'exceeds'} a rack's 16`,
    () => {
      const [shape] = documentOf(3, [['s', 16, 'rack', 1]]).shapes;
      const { spec } = jobOf('claim', { members, acceleratorsPerMember: per, adjacency });
      assert.ok(shape !== undefined);
      assert.equal(guaranteeCheck.fitsShape(spec, shape, planFixtures.PER_WORKER), fits);
    },
  );
}

test.test('a small job is moved for a large one where it fits elsewhere', () => {
  // Two racks, each with one worker partly occupied by a small job; jobs that can't be moved occupy
  // the other workers. One of the small jobs fits beside the other.
  const fixed = [1, 2, 4, 5].map((worker) =>
    jobOf(
      `fixed-${worker}`,
      { acceleratorsPerMember: worker === 1 ? 7 : 8, isCheckpointable: false },
      { ...running([[worker, 0, worker === 1 ? 7 : 8]], 60 * MINUTE_MS), attempt: 3 },
    ),
  );
  const small = [0, 3].map((worker) =>
    jobOf(`small-${worker}`, { acceleratorsPerMember: 2 }, running([[worker, 0, 2]], MINUTE_MS)),
  );
  const large = jobOf(
    'large',
    { acceleratorsPerMember: 8 },
    { submittedAtMs: planFixtures.NOW_MS - 11 * MINUTE_MS },
  );
  const document = documentOf(6, [], { largeJobAccelerators: 8 });
  const plan = placement.planRound(viewOf(document, workersOf(6), [...fixed, ...small, large]));
  assert.equal(plan.stops.length, 1);
  assert.match(plan.stops[0]?.jobId ?? '', /^small-/);
});
