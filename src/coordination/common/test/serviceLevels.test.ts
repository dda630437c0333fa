/**
 * Tests of objective evaluation, counting and burn rates.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as errorKinds from '../../../base/common/errorKinds.js';
import type * as configuration from '../../../state/common/configuration.js';
import type * as job from '../../../state/common/job.js';
import * as burnRate from '../burnRate.js';
import * as serviceLevelCounters from '../serviceLevelCounters.js';
import * as serviceLevelReport from '../serviceLevelReport.js';

import * as ledgerFixtures from './ledgerFixtures.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;

const objectiveOf = (
  kind: configuration.ObjectiveKind,
  customerId = 'acme',
): configuration.Objective => ({
  objectiveId: `${customerId}-${kind}`.toLowerCase(),
  customerId,
  kind,
  thresholdMs: 1000,
  target: 0.9,
  windowMs: HOUR_MS,
});

const OBJECTIVES = [
  objectiveOf('answeredWithin'),
  objectiveOf('notRefused'),
  objectiveOf('startWithin'),
  objectiveOf('notRefused', 'other'),
];

/** Error and time, then the results for `answeredWithin` and `notRefused`. */
const REQUEST_CASES: readonly (readonly [
  errorKinds.ErrorKind | undefined,
  number,
  boolean | undefined,
  boolean | undefined,
])[] = [
  [undefined, 1000, true, true],
  [undefined, 1001, false, true],
  ['overloaded', 5, undefined, false],
  ['quotaExceeded', 5, undefined, false],
  ['noUpstream', 5, undefined, false],
  ['outcomeUnknown', 5, false, true],
  ['incompleteAnswer', 5, false, true],
  ['internal', 5, false, true],
  ['invalidRequest', 5, undefined, undefined],
  ['forbidden', 5, undefined, undefined],
  ['cancelled', 5, undefined, undefined],
];

for (const [error, tookMs, isAnsweredGood, isRefusedGood] of REQUEST_CASES) {
  test.test(`request: ${error ?? 'answered'} after ${tookMs} ms`, () => {
    const verdicts = serviceLevelCounters.evaluateRequest(OBJECTIVES, {
      customerId: 'acme',
      tookMs,
      error,
    });
    const verdictOf = (id: string): boolean | undefined =>
      verdicts.find((it) => it.objectiveId === id)?.isGood;
    assert.equal(verdictOf('acme-answeredwithin'), isAnsweredGood);
    assert.equal(verdictOf('acme-notrefused'), isRefusedGood);
    assert.equal(verdictOf('other-notrefused'), undefined);
  });
}

const decision = (what: string): job.JobDecision => ({ atMs: 0, what, why: '', configVersion: 1 });

interface StartCase {
  readonly name: string;
  readonly from: job.JobState;
  readonly to: job.JobState;
  readonly decisions: readonly string[];
  readonly waitedMs: number;
  readonly claim?: job.Claim;
  readonly expected: readonly boolean[];
}

const START_CASES: readonly StartCase[] = [
  {
    name: 'in time',
    from: 'starting',
    to: 'running',
    decisions: ['started'],
    waitedMs: 1000,
    expected: [true],
  },
  {
    name: 'too late',
    from: 'starting',
    to: 'running',
    decisions: ['started'],
    waitedMs: 1001,
    expected: [false],
  },
  {
    name: 'a second start',
    from: 'starting',
    to: 'running',
    decisions: ['started', 'started'],
    waitedMs: 9000,
    expected: [],
  },
  {
    name: 'a borrower',
    from: 'starting',
    to: 'running',
    decisions: ['started'],
    waitedMs: 9000,
    claim: 'spare',
    expected: [],
  },
  {
    name: 'cancelled early',
    from: 'queued',
    to: 'cancelled',
    decisions: [],
    waitedMs: 10,
    expected: [],
  },
  {
    name: 'cancelled after too long a wait',
    from: 'queued',
    to: 'cancelled',
    decisions: [],
    waitedMs: 1001,
    expected: [false],
  },
  {
    name: 'ended after it ran',
    from: 'running',
    to: 'done',
    decisions: ['started'],
    waitedMs: 9000,
    expected: [],
  },
];

for (const it of START_CASES) {
  test.test(`start: ${it.name}`, () => {
    const { claim = 'guaranteed' } = it;
    const after = ledgerFixtures.jobOf('a', [], {
      claim,
      state: it.to,
      decisions: it.decisions.map(decision),
    });
    const before = { ...after, state: it.from };
    const verdicts = serviceLevelCounters.evaluateStart(OBJECTIVES, before, after, it.waitedMs);
    assert.deepEqual(
      verdicts.map((verdict) => verdict.isGood),
      it.expected,
    );
  });
}

const NOW_MS = 1000 * HOUR_MS;
const bucket = (agoMs: number, good: number, bad: number): burnRate.Bucket => ({
  fromMs: NOW_MS - agoMs,
  good,
  bad,
});

/** Buckets, then which of the three pairs burn at a target of 0.99. */
const BURN_CASES: readonly (readonly [string, readonly burnRate.Bucket[], readonly boolean[]])[] = [
  ['nothing happened', [], [false, false, false]],
  ['all good', [bucket(0, 1000, 0)], [false, false, false]],
  ['a sudden outage', [bucket(0, 0, 100)], [true, true, true]],
  [
    'a short one that is over',
    [bucket(50 * MINUTE_MS, 0, 100), bucket(0, 100, 0)],
    [false, false, true],
  ],
  [
    'a slow leak',
    [bucket(60 * HOUR_MS, 980, 20), bucket(HOUR_MS * 5, 980, 20)],
    [false, false, true],
  ],
  [
    'a leak that has stopped',
    [bucket(60 * HOUR_MS, 900, 100), bucket(0, 100, 0)],
    [false, false, false],
  ],
  ['older than three days', [bucket(73 * HOUR_MS, 0, 100)], [false, false, false]],
];

for (const [name, buckets, expected] of BURN_CASES) {
  test.test(`burn: ${name}`, () => {
    const pairs = burnRate.burnOfPairs(buckets, 0.99, NOW_MS);
    assert.deepEqual(
      pairs.map((it) => it.isBurning),
      expected,
    );
  });
}

test.test('counts of two processes add up in the report', () => {
  const [objective] = OBJECTIVES;
  assert.ok(objective);
  const { objectiveId } = objective;
  const verdicts = [{ objectiveId, isGood: true }];
  const bad = [{ objectiveId, isGood: false }];
  const first = serviceLevelCounters.add(new Map(), verdicts, NOW_MS - MINUTE_MS);
  const second = serviceLevelCounters.add(first, bad, NOW_MS);
  const hours = [...second].map(([hour, counts]) => ({ hour, objectives: [...counts.values()] }));
  const document = { objectives: [objective] } as unknown as configuration.ConfigurationDocument;
  const report = serviceLevelReport.createReport(
    { version: 1, document },
    [...hours, ...hours],
    NOW_MS,
  );
  const [found] = report.objectives;
  assert.deepEqual([found?.budget.good, found?.budget.bad], [2, 2]);
  assert.equal(found?.isBurning, true);
  assert.equal(Math.round((found?.budgetLeftShare ?? 0) * 100), -400);
});
