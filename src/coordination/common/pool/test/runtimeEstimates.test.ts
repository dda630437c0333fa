/**
 * Expected runtimes of tasks, from declarations and observations, and the waves of a step.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as runtimeEstimates from '../runtimeEstimates.js';
import * as jobChain from '../jobChain.js';
import * as fixtures from './poolFixtures.js';

const estimatesOf = (observed: readonly (readonly [declaredMs: number, workMs: number])[]) => {
  const estimates = runtimeEstimates.createRuntimeEstimates();
  observed.forEach(([estimatedMs, workMs], index) => {
    const job = fixtures.makeJob([{ estimatedMs }], { jobId: `job-${index}` });
    runtimeEstimates.recordTask(estimates, job, fixtures.makeStep({ estimatedMs }), workMs);
  });
  return estimates;
};

interface Case {
  readonly name: string;
  readonly observed: readonly (readonly [declaredMs: number, workMs: number])[];
  readonly declaredMs: number;
  readonly atLeastMs: number;
  readonly atMostMs: number;
}

/** Declared between a sixth and six times the work; the work itself hardly differs. */
const UNRELIABLE = [
  [600, 3600],
  [20_000, 3300],
  [1200, 3900],
  [15_000, 3500],
  [900, 3700],
] as const;

const ACCURATE = [
  [1000, 1000],
  [8000, 8200],
  [3000, 2900],
  [500, 510],
  [12_000, 11_800],
] as const;

const TWO_ACCURATE = [
  [1000, 1000],
  [1200, 1200],
] as const;

const CASES: readonly Case[] = [
  {
    name: 'nothing observed: as declared',
    observed: [],
    declaredMs: 700,
    atLeastMs: 700,
    atMostMs: 700,
  },
  {
    name: 'unreliable declarations, far too little declared: close to the usual work of the queue',
    observed: UNRELIABLE,
    declaredMs: 600,
    atLeastMs: 2000,
    atMostMs: 4500,
  },
  {
    name: 'unreliable declarations, far too much declared: close to the usual work of the queue',
    observed: UNRELIABLE,
    declaredMs: 20_000,
    atLeastMs: 2800,
    atMostMs: 6500,
  },
  {
    name: 'accurate declarations: as declared, however widely the work is spread',
    observed: ACCURATE,
    declaredMs: 6000,
    atLeastMs: 4800,
    atMostMs: 6600,
  },
  {
    name: 'two accurate declarations of little work: a large declaration is trusted too',
    observed: TWO_ACCURATE,
    declaredMs: 8000,
    atLeastMs: 7600,
    atMostMs: 8400,
  },
  {
    name: 'two unreliable declarations: most of the way to the usual work of the queue',
    observed: UNRELIABLE.slice(0, 2),
    declaredMs: 20_000,
    atLeastMs: 3000,
    atMostMs: 6500,
  },
  {
    name: 'always half of the work declared: about twice the declaration',
    observed: ACCURATE.map(([declaredMs, workMs]) => [declaredMs / 2, workMs] as const),
    declaredMs: 3000,
    atLeastMs: 4200,
    atMostMs: 6600,
  },
  {
    name: 'unknown work is not taken into account',
    observed: [[600, 0]],
    declaredMs: 600,
    atLeastMs: 600,
    atMostMs: 600,
  },
];

test.describe('expected work', () => {
  for (const { name, observed, declaredMs, atLeastMs, atMostMs } of CASES) {
    test.it(name, () => {
      const workMs = runtimeEstimates.expectedWorkMs(estimatesOf(observed), 'queue', declaredMs);
      assert.ok(workMs >= atLeastMs && workMs <= atMostMs, `expected ${workMs} ms`);
    });
  }

  test.it('a new leader uses what the previous leader observed of a job', () => {
    const estimates = runtimeEstimates.createRuntimeEstimates();
    const job = fixtures.makeJob([{ estimatedMs: 100, count: 2 }]);
    runtimeEstimates.recordRestoredJob(estimates, job, [
      { step: 0, workMs: 3000 },
      { step: 0, workMs: 0 },
    ]);
    assert.ok(runtimeEstimates.expectedWorkMs(estimates, 'queue', 100) > 300);
  });
});

test.describe('waves', () => {
  const CASES_OF_WAVES: readonly [name: string, count: number, isGang: boolean, waves: number][] = [
    ['a step within a quarter of the slots', 5, false, 1],
    ['a step of slightly more than a quarter', 6, false, 2],
    ['a step of all slots', 20, false, 4],
    ['a gang, whose tasks run concurrently', 20, true, 1],
  ];
  for (const [name, count, isGang, waves] of CASES_OF_WAVES) {
    test.it(`${name}: ${waves}`, () => {
      const job = fixtures.makeJob([{ count, isGang }]);
      const step = fixtures.makeStep({ count, isGang });
      assert.equal(
        jobChain.wavesOf(job, step, () => 20),
        waves,
      );
    });
  }
});
