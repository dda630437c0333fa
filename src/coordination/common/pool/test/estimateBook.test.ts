/**
 * What tasks are expected to take, by declarations and by what was seen.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as estimateBook from '../estimateBook.js';
import * as jobChain from '../jobChain.js';
import * as fixtures from './poolFixtures.js';

const bookOf = (seen: readonly (readonly [declaredMs: number, workMs: number])[]) => {
  const book = estimateBook.createEstimateBook();
  seen.forEach(([estimatedMs, workMs], index) => {
    const job = fixtures.makeJob([{ estimatedMs }], { jobId: `job-${index}` });
    estimateBook.noteDone(book, job, fixtures.makeStep({ estimatedMs }), workMs);
  });
  return book;
};

interface Case {
  readonly name: string;
  readonly seen: readonly (readonly [declaredMs: number, workMs: number])[];
  readonly declaredMs: number;
  readonly atLeastMs: number;
  readonly atMostMs: number;
}

/** Declared between a sixth and six times the work, which hardly differs. */
const WILD = [
  [600, 3600],
  [20_000, 3300],
  [1200, 3900],
  [15_000, 3500],
  [900, 3700],
] as const;

const TRUE = [
  [1000, 1000],
  [8000, 8200],
  [3000, 2900],
  [500, 510],
  [12_000, 11_800],
] as const;

const TRUE_FEW = [
  [1000, 1000],
  [1200, 1200],
] as const;

const CASES: readonly Case[] = [
  { name: 'nothing seen: as declared', seen: [], declaredMs: 700, atLeastMs: 700, atMostMs: 700 },
  {
    name: 'wild declarations: near what the queue usually takes, declared far too little',
    seen: WILD,
    declaredMs: 600,
    atLeastMs: 2000,
    atMostMs: 4500,
  },
  {
    name: 'wild declarations: near what the queue usually takes, declared far too much',
    seen: WILD,
    declaredMs: 20_000,
    atLeastMs: 2800,
    atMostMs: 6500,
  },
  {
    name: 'true declarations: as declared, however far works spread',
    seen: TRUE,
    declaredMs: 6000,
    atLeastMs: 4800,
    atMostMs: 6600,
  },
  {
    name: 'two true declarations of small works: a large one is believed as well',
    seen: TRUE_FEW,
    declaredMs: 8000,
    atLeastMs: 7600,
    atMostMs: 8400,
  },
  {
    name: 'two wild declarations: most of the way to what the queue takes',
    seen: WILD.slice(0, 2),
    declaredMs: 20_000,
    atLeastMs: 3000,
    atMostMs: 6500,
  },
  {
    name: 'always half of it declared: about twice the declaration',
    seen: TRUE.map(([declaredMs, workMs]) => [declaredMs / 2, workMs] as const),
    declaredMs: 3000,
    atLeastMs: 4200,
    atMostMs: 6600,
  },
  {
    name: 'a work that is not known teaches nothing',
    seen: [[600, 0]],
    declaredMs: 600,
    atLeastMs: 600,
    atMostMs: 600,
  },
];

test.describe('expected work', () => {
  for (const { name, seen, declaredMs, atLeastMs, atMostMs } of CASES) {
    test.it(name, () => {
      const workMs = estimateBook.expectedWorkMs(bookOf(seen), 'queue', declaredMs);
      assert.ok(workMs >= atLeastMs && workMs <= atMostMs, `expected ${workMs} ms`);
    });
  }

  test.it('a new leader learns from what the former one saw of a job', () => {
    const book = estimateBook.createEstimateBook();
    const job = fixtures.makeJob([{ estimatedMs: 100, count: 2 }]);
    estimateBook.noteJob(book, job, [
      { step: 0, workMs: 3000 },
      { step: 0, workMs: 0 },
    ]);
    assert.ok(estimateBook.expectedWorkMs(book, 'queue', 100) > 300);
  });
});

test.describe('waves', () => {
  const CASES_OF_WAVES: readonly [name: string, count: number, isGang: boolean, waves: number][] = [
    ['a step within a quarter of the room', 5, false, 1],
    ['a step of a little more', 6, false, 2],
    ['a step of the whole room', 20, false, 4],
    ['a gang, which has to run at once', 20, true, 1],
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
