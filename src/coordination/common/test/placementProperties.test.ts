/**
 * Invariants of every planning round, over random cells and random sequences of events.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as random from '../../../base/common/random.js';
import type * as job from '../../../state/common/job.js';
import * as placement from '../placement.js';
import type * as planTypes from '../planTypes.js';

import * as planFixtures from './planFixtures.js';

const { documentOf, jobOf, viewOf, workersOf, NOW_MS } = planFixtures;
const SHAPES: readonly planFixtures.ShapeOf[] = [
  ['pair', 16, 'rack', 1],
  ['half', 4, 'worker', 2],
  ['one', 8, 'worker', 1],
];
const ADJACENCIES = ['worker', 'rack', 'zone'] as const;
const STEP_MS = 60_000;
const WORKERS = 7;

/** Exact search for slots of all unclaimed shapes, independent of the planner's check. */
const canPlaceAll = (
  left: readonly number[],
  forms: readonly { readonly wholes: number; readonly part: number; readonly isPair: boolean }[],
): boolean => {
  const [form, ...rest] = forms;
  if (form === undefined) return true;
  const options = form.isPair
    ? left.flatMap((_left, a) =>
        left.flatMap((_other, b) =>
          a < b && Math.floor(a / 3) === Math.floor(b / 3) ? [[a, b]] : [],
        ),
      )
    : left.map((_left, a) => [a]);
  return options.some((option) => {
    const need = form.wholes > 0 ? planFixtures.PER_WORKER : form.part;
    if (option.some((it) => (left[it] ?? 0) < need)) return false;
    const next = left.map((free, index) => (option.includes(index) ? free - need : free));
    return canPlaceAll(next, rest);
  });
};

const unclaimedForms = (jobs: readonly job.JobRecord[]) =>
  SHAPES.flatMap(([shapeId, size, , count]) => {
    const claimed = jobs.filter(
      (it) => it.placement.length > 0 && it.spec.shapeId === shapeId,
    ).length;
    const form = { wholes: Math.floor(size / 8), part: size % 8, isPair: size > 8 };
    return Array.from({ length: Math.max(0, count - claimed) }, () => form);
  });

interface Simulation {
  readonly workers: planTypes.PlanWorker[];
  jobs: job.JobRecord[];
  nowMs: number;
  createdJobs: number;
}

const newJob = (simulation: Simulation, next: random.Random): job.JobRecord => {
  simulation.createdJobs += 1;
  const jobId = `j${simulation.createdJobs}`;
  const submittedAtMs = simulation.nowMs;
  if (next() < 0.2) {
    const [shapeId, size] = SHAPES[random.integerBelow(next, SHAPES.length)] ?? ['one', 8];
    const members = size > 8 ? 2 : 1;
    const adjacency = size > 8 ? 'rack' : 'worker';
    const spec = {
      customerId: 'holder',
      claim: 'guaranteed',
      shapeId,
      members,
      adjacency,
    } as const;
    return jobOf(jobId, { ...spec, acceleratorsPerMember: size / members }, { submittedAtMs });
  }
  const isGang = next() < 0.2;
  return jobOf(
    jobId,
    {
      customerId: next() < 0.5 ? 'heavy' : 'light',
      members: isGang ? 1 + random.integerBelow(next, 3) : 1,
      acceleratorsPerMember: 1 + random.integerBelow(next, 8),
      adjacency: ADJACENCIES[isGang ? random.integerBelow(next, 3) : 0] ?? 'worker',
      declaredRunMs: 1 + random.integerBelow(next, 100 * STEP_MS),
      isCheckpointable: next() < 0.5,
    },
    { submittedAtMs },
  );
};

const checkPlan = (view: planTypes.PlanView, plan: planTypes.Plan): void => {
  const held = new Set<string>();
  const allocate = (members: readonly job.MemberPlacement[]): void => {
    for (const { workerId, accelerators } of members) {
      for (const index of accelerators) {
        const key = `${workerId}/${index}`;
        assert.ok(!held.has(key), `${key} is allocated twice`);
        held.add(key);
      }
    }
  };
  view.jobs.forEach((it) => allocate(it.placement));
  for (const { jobId, placement: members } of plan.placements) {
    allocate(members);
    const record = view.jobs.find((it) => it.spec.jobId === jobId);
    assert.ok(record?.state === 'queued');
    assert.equal(members.length, record.spec.members, 'a gang is placed completely');
    members.forEach((it) => {
      assert.equal(it.accelerators.length, record.spec.acceleratorsPerMember);
    });
    const workers = new Set(members.map((it) => it.workerId));
    const racks = new Set(
      view.workers.filter((it) => workers.has(it.workerId)).map((it) => it.rack),
    );
    if (record.spec.adjacency === 'worker') assert.equal(workers.size, 1);
    if (record.spec.adjacency === 'rack') assert.equal(racks.size, 1);
  }
  for (const { jobId } of plan.stops) {
    const victim = view.jobs.find((it) => it.spec.jobId === jobId);
    assert.equal(victim?.spec.claim, 'spare', 'only borrowers are preempted');
  }
};

const checkGuarantees = (simulation: Simulation, plan: planTypes.Plan): void => {
  const left = simulation.workers.map((it) => (it.health === 'ready' ? it.accelerators : 0));
  for (const record of simulation.jobs) {
    if (record.spec.claim !== 'guaranteed') continue;
    for (const { workerId, accelerators } of record.placement) {
      const index = simulation.workers.findIndex((it) => it.workerId === workerId);
      left[index] = Math.max(0, (left[index] ?? 0) - accelerators.length);
    }
  }
  const isReported = plan.warnings.some((it) => it.includes('shape'));
  const isPlaceable = canPlaceAll(left, unclaimedForms(simulation.jobs));
  assert.ok(isPlaceable || isReported, 'guarantees that do not fit are reported');
};

const applyPlan = (simulation: Simulation, plan: planTypes.Plan, next: random.Random): void => {
  const placed = new Map(plan.placements.map((it) => [it.jobId, it]));
  const stopped = new Set(plan.stops.map((it) => it.jobId));
  simulation.jobs = simulation.jobs.map((record) => {
    const planned = placed.get(record.spec.jobId);
    if (planned !== undefined) {
      return {
        ...record,
        state: 'running' as const,
        attempt: record.attempt + 1,
        startedAtMs: simulation.nowMs,
        placement: planned.placement,
        ...(planned.ruleId === undefined ? {} : { ruleId: planned.ruleId }),
      };
    }
    if (stopped.has(record.spec.jobId)) return { ...record, state: 'stopping' as const };
    if (record.state !== 'stopping' || next() < 0.3) return record;
    const { startedAtMs: _started, ...rest } = record;
    return { ...rest, state: 'queued' as const, placement: [] };
  });
};

const checkClaimCounts = (simulation: Simulation): void => {
  for (const [shapeId, , , count] of SHAPES) {
    const claimed = simulation.jobs.filter(
      (it) => it.placement.length > 0 && it.spec.shapeId === shapeId,
    );
    assert.ok(claimed.length <= count, 'no more instances are claimed than exist');
  }
};

test.test('no double allocation, complete gangs and guarantees over random events', () => {
  fc.assert(
    fc.property(fc.integer(), fc.constantFrom(0.2, 1, 4), (seed, pressure) => {
      const next = random.createRandom(seed);
      const document = documentOf(WORKERS, SHAPES);
      const simulation: Simulation = {
        workers: workersOf(WORKERS),
        jobs: [],
        nowMs: NOW_MS,
        createdJobs: 0,
      };
      for (let step = 0; step < 25; step += 1) {
        simulation.nowMs += STEP_MS;
        const burst = Math.floor(next() * 8 * pressure);
        for (let at = 0; at < burst; at += 1) simulation.jobs.push(newJob(simulation, next));
        simulation.jobs = simulation.jobs.filter((it) => it.state !== 'running' || next() > 0.15);
        if (next() < 0.15) {
          const index = random.integerBelow(next, WORKERS);
          const it = simulation.workers[index];
          const health = it?.health === 'ready' ? 'unreachable' : 'ready';
          if (it !== undefined) simulation.workers[index] = { ...it, health };
        }
        const view = {
          ...viewOf(document, simulation.workers, simulation.jobs),
          nowMs: simulation.nowMs,
        };
        const plan = placement.planRound(view);
        checkPlan(view, plan);
        applyPlan(simulation, plan, next);
        checkGuarantees(simulation, placement.planRound({ ...view, jobs: simulation.jobs }));
        checkClaimCounts(simulation);
      }
    }),
    { seed: 5, numRuns: 60 },
  );
});

test.test(
  'a claim on a cell full of borrowers starts once they have stopped, whatever their layout',
  () => {
    fc.assert(
      fc.property(fc.integer(), fc.constantFrom(...SHAPES), (seed, shape) => {
        const next = random.createRandom(seed);
        const document = documentOf(WORKERS, SHAPES);
        const simulation: Simulation = {
          workers: workersOf(WORKERS),
          jobs: [],
          nowMs: NOW_MS,
          createdJobs: 0,
        };
        simulation.jobs = Array.from({ length: 40 }, () => newJob(simulation, next)).filter(
          (it) => it.spec.claim === 'spare',
        );
        const round = (): planTypes.Plan =>
          placement.planRound({
            ...viewOf(document, simulation.workers, simulation.jobs),
            nowMs: simulation.nowMs,
          });
        applyPlan(simulation, round(), () => 1);
        const [shapeId, size] = shape;
        const members = size > 8 ? 2 : 1;
        const claim = jobOf('claim', {
          customerId: 'holder',
          claim: 'guaranteed',
          shapeId,
          members,
          acceleratorsPerMember: size / members,
          adjacency: size > 8 ? 'rack' : 'worker',
        });
        simulation.jobs.push(claim);
        const first = round();
        applyPlan(simulation, first, () => 1);
        // By now the stopped borrowers have released their accelerators.
        applyPlan(simulation, { ...first, placements: [], stops: [] }, () => 1);
        const second = round();
        const isPlaced = [first, second].some((plan) =>
          plan.placements.some((it) => it.jobId === 'claim'),
        );
        assert.ok(isPlaced, 'lending never blocks reclaim');
      }),
      { seed: 7, numRuns: 100 },
    );
  },
);
