/**
 * Telling bad workers from bad jobs, and what is learned of run times.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as job from '../../../state/common/job.js';
import * as blame from '../blame.js';
import * as placement from '../placement.js';
import * as runEstimates from '../runEstimates.js';

import * as planFixtures from './planFixtures.js';

const { documentOf, jobOf, running, viewOf, workersOf, NOW_MS } = planFixtures;

const failedOn = (jobId: string, ...workers: readonly number[]): job.JobRecord =>
  jobOf(
    jobId,
    {},
    {
      failures: workers.map((it) => ({ atMs: NOW_MS - 1000, workerId: `w${it}`, reason: 'x' })),
    },
  );

const CASES = [
  { name: 'two failures are too few', failed: [[0], [0]], quarantined: [] },
  { name: 'three jobs that fail there alone', failed: [[0], [0], [0]], quarantined: ['w0'] },
  {
    name: 'jobs that fail elsewhere too clear the worker',
    failed: [[0], [0, 1], [0, 2], [0, 3]],
    quarantined: [],
  },
  { name: 'one job that fails three times', failed: [[0, 0, 0]], quarantined: [] },
  {
    name: 'a common cause beyond the cap quarantines nobody',
    failed: [0, 1, 2].flatMap((it) => [[it], [it], [it]]),
    quarantined: [],
    warning: /common cause/,
  },
] as const;

for (const it of CASES) {
  test.test(`blame: ${it.name}`, () => {
    const jobs = it.failed.map((workers, index) => failedOn(`j${index}`, ...workers));
    const verdict = blame.judge(viewOf(documentOf(8), workersOf(8), jobs));
    assert.deepEqual(
      verdict.quarantines.map((found) => found.workerId),
      it.quarantined,
    );
    if ('warning' in it) assert.match(verdict.warnings[0] ?? '', it.warning);
  });
}

test.test('a quarantined worker is probed with one job, then released or kept', () => {
  // Users see: a repaired worker stays idle for ever, or a broken one eats the queue again. The
  // probe must be one small job that never failed, and its good run must end the quarantine.
  const jobs = [0, 1, 2].map((it) => failedOn(`j${it}`, 0));
  const held = (sinceMs: number) =>
    workersOf(4).map((it, index) =>
      index === 0 ? { ...it, health: 'quarantined' as const, autoQuarantinedSinceMs: sinceMs } : it,
    );
  const fresh = jobOf('fresh');
  const early = viewOf(documentOf(4), held(NOW_MS - 1000), [...jobs, fresh]);
  const onBad = (plan: ReturnType<typeof placement.planRound>): string[] =>
    plan.placements
      .filter((it) => it.placement.some((at) => at.workerId === 'w0'))
      .map((it) => it.jobId);
  assert.deepEqual(onBad(placement.planRound(early)), []);
  const due = { ...early, nowMs: NOW_MS + blame.PROBE_AFTER_MS };
  assert.deepEqual(onBad(placement.planRound(due)), ['fresh']);
  const good = jobOf('fresh', {}, running([[0, 0, 1]], blame.PROBE_GOOD_MS));
  const after = viewOf(documentOf(4), held(NOW_MS - 1000), [...jobs, good]);
  assert.deepEqual(
    placement.planRound(after).releases.map((it) => it.workerId),
    ['w0'],
  );
});

test.test('run times are learned from what finished, not from what was declared', () => {
  let estimates = runEstimates.NO_ESTIMATES;
  const { spec } = jobOf('next', { declaredRunMs: 600_000 });
  for (const [index, runMs] of [40_000, 60_000, 50_000].entries()) {
    assert.equal(runEstimates.runMsOf(estimates, spec, 0.5), 600_000);
    const record = jobOf(`done-${index}`, {}, { state: 'done', startedAtMs: 0, endedAtMs: runMs });
    estimates = runEstimates.learn(estimates, record);
  }
  assert.equal(runEstimates.runMsOf(estimates, spec, 0.5), 50_000);
  assert.equal(runEstimates.runMsOf(estimates, spec, 0.9), 60_000);
  const outlived = jobOf('long', {}, running([[0, 0, 1]], 100_000));
  assert.equal(runEstimates.remainingMs(estimates, outlived, NOW_MS, 0.9), 50_000);
});
