/**
 * Tests of failure attribution to workers or jobs, and of run time estimates.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as job from '../../../state/common/job.js';
import * as failureAttribution from '../failureAttribution.js';
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
  { name: 'two failures are not enough', failed: [[0], [0]], quarantined: [] },
  { name: 'three jobs that fail only there', failed: [[0], [0], [0]], quarantined: ['w0'] },
  {
    name: 'jobs that also fail on other workers clear the worker',
    failed: [[0], [0, 1], [0, 2], [0, 3]],
    quarantined: [],
  },
  { name: 'one job that fails three times', failed: [[0, 0, 0]], quarantined: [] },
  {
    name: 'a common cause beyond the cap quarantines no worker',
    failed: [0, 1, 2].flatMap((it) => [[it], [it], [it]]),
    quarantined: [],
    warning: /common cause/,
  },
] as const;

for (const it of CASES) {
  test.test(`failure attribution: ${it.name}`, () => {
    const jobs = it.failed.map((workers, index) => failedOn(`j${index}`, ...workers));
    const verdict = failureAttribution.attributeFailures(viewOf(documentOf(8), workersOf(8), jobs));
    assert.deepEqual(
      verdict.quarantines.map((found) => found.workerId),
      it.quarantined,
    );
    if ('warning' in it) assert.match(verdict.warnings[0] ?? '', it.warning);
  });
}

test.test('a quarantined worker is probed with one job, then released or kept', () => {
  // Guards against a repaired worker that stays idle, or a broken one that fails the queue again:
  // the probe must be one small job without failures, and its success must end the quarantine.
  const jobs = [0, 1, 2].map((it) => failedOn(`j${it}`, 0));
  const held = (sinceMs: number) =>
    workersOf(4).map((it, index) =>
      index === 0 ? { ...it, health: 'quarantined' as const, autoQuarantinedSinceMs: sinceMs } : it,
    );
  const fresh = jobOf('fresh');
  const early = viewOf(documentOf(4), held(NOW_MS - 1000), [...jobs, fresh]);
  const placedOnSuspect = (plan: ReturnType<typeof placement.planRound>): string[] =>
    plan.placements
      .filter((it) => it.placement.some((at) => at.workerId === 'w0'))
      .map((it) => it.jobId);
  assert.deepEqual(placedOnSuspect(placement.planRound(early)), []);
  const due = { ...early, nowMs: NOW_MS + failureAttribution.PROBE_AFTER_MS };
  assert.deepEqual(placedOnSuspect(placement.planRound(due)), ['fresh']);
  const good = jobOf('fresh', {}, running([[0, 0, 1]], failureAttribution.PROBE_SUCCESS_MS));
  const after = viewOf(documentOf(4), held(NOW_MS - 1000), [...jobs, good]);
  assert.deepEqual(
    placement.planRound(after).releases.map((it) => it.workerId),
    ['w0'],
  );
});

test.test('run times are estimated from finished jobs, not from declared run times', () => {
  let estimates = runEstimates.NO_ESTIMATES;
  const { spec } = jobOf('next', { declaredRunMs: 600_000 });
  for (const [index, runMs] of [40_000, 60_000, 50_000].entries()) {
    assert.equal(runEstimates.runMsOf(estimates, spec, 0.5), 600_000);
    const record = jobOf(`done-${index}`, {}, { state: 'done', startedAtMs: 0, endedAtMs: runMs });
    estimates = runEstimates.addFinishedRun(estimates, record);
  }
  assert.equal(runEstimates.runMsOf(estimates, spec, 0.5), 50_000);
  assert.equal(runEstimates.runMsOf(estimates, spec, 0.9), 60_000);
  const overrun = jobOf('long', {}, running([[0, 0, 1]], 100_000));
  assert.equal(runEstimates.remainingMs(estimates, overrun, NOW_MS, 0.9), 50_000);
});
