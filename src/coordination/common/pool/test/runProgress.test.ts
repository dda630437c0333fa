/**
 * Expected time to the end of runs, and which of them make no progress.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as poolWorker from '../../../../state/common/pool/poolWorker.js';
import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as jobState from '../jobState.js';
import * as runPace from '../runPace.js';
import * as runProgress from '../runProgress.js';
import * as workerTable from '../workerTable.js';
import * as fixtures from './poolFixtures.js';

const NOW_MS = 10_000;
const DECLARED_MS = 10_000;

const createRuns = (step: Partial<poolJob.Step>): workerTable.ActiveRun[] => {
  const job = fixtures.makeJob([{ estimatedMs: DECLARED_MS, ...step }]);
  const entry = jobState.createJobEntry(job, 0);
  return jobState
    .tasksOf(entry)
    .map((task) => workerTable.createActiveRun(entry, task, workerTable.RunPhase.present, 0));
};

/** One worker for each run. */
const workersOf = (runs: readonly workerTable.ActiveRun[]): workerTable.WorkerEntry[] =>
  runs.map((run, index) => {
    const worker = workerTable.createWorkerEntry(`agent-${index}`, '', 1, 0, 0);
    worker.runs.set(poolWorker.runKey(run.name, run.run), run);
    return worker;
  });

/** The task takes this multiple of what is declared, and its worker reports each second in whole per cent. */
const FACTORS = [0.5, 1, 2, 5, 10];

/** Reported progress from which on the remaining time is known but for this share of it. */
const KNOWN_PERCENT = 25;
const KNOWN_WITHIN = 0.1;

test.describe('the remaining time of a run', () => {
  for (const factor of FACTORS) {
    for (const isCheckpointing of [false, true]) {
      const name = `${factor} times as long as declared${isCheckpointing ? ', resumed at half' : ''}`;
      test.it(`that takes ${name} is known after a quarter of its time`, () => {
        const workMs = DECLARED_MS * factor;
        const [run] = createRuns({ isCheckpointing });
        assert.ok(run);
        const resumed = isCheckpointing ? { ...run, isResumed: true, saved: 's' } : run;
        const donePercent = isCheckpointing ? 50 : 0;
        const percentAt = (atMs: number): number =>
          Math.min(100, Math.floor(donePercent + (100 * atMs) / workMs));
        const endMs = (workMs * (100 - donePercent)) / 100;
        for (let atMs = 0; atMs < endMs; atMs += 1000) {
          const percent = percentAt(atMs);
          resumed.firstProgress ??= { percent, atMs };
          resumed.percent = percent;
          resumed.reportedAtMs = atMs;
          if (percent - donePercent >= KNOWN_PERCENT) {
            const remainingMs = runProgress.remainingMsOf(resumed, atMs + 200);
            const errorMs = Math.abs(remainingMs - (endMs - atMs - 200));
            assert.ok(errorMs <= KNOWN_WITHIN * workMs, `${errorMs} ms off at ${atMs} ms`);
          }
        }
      });
    }
  }

  const CASES: readonly [
    name: string,
    changes: Partial<workerTable.ActiveRun>,
    remainingMs: number,
    /** The same for a plan that waits for the end. */
    cautiousMs: number,
  ][] = [
    ['before a report is the expected one', { expectedMs: 20_000 }, 10_000, 20_000],
    ['that is over due and silent is a part of the expected one', { expectedMs: 4000 }, 1000, 4000],
    [
      'at a few per cent lies between the expected and its own',
      { percent: 5, reportedAtMs: NOW_MS },
      17_295,
      190_000,
    ],
    [
      'at less than a few per cent lies between them for a plan as well',
      { percent: 2, reportedAtMs: NOW_MS },
      13_401,
      46_861,
    ],
    ['by its own progress', { percent: 50, reportedAtMs: NOW_MS }, 10_000, 10_000],
    ['is less by the time since the report', { percent: 50, reportedAtMs: 8000 }, 6000, 10_000],
    ['whose part is done is nothing', { percent: 100, reportedAtMs: NOW_MS }, 0, 0],
    // Guards against the progress of earlier runs being taken for the speed of this one.
    [
      'that resumes is the rest of the expected one before it has made progress',
      { percent: 60, isResumed: true, reportedAtMs: NOW_MS },
      4000,
      4000,
    ],
    [
      'that resumes follows its own progress',
      {
        percent: 75,
        isResumed: true,
        reportedAtMs: NOW_MS,
        firstProgress: { percent: 50, atMs: 0 },
      },
      10_000,
      10_000,
    ],
  ];
  for (const [name, changes, remainingMs, cautiousMs] of CASES) {
    test.it(name, () => {
      const [created] = createRuns({});
      assert.ok(created);
      const run = { ...created, ...changes };
      const progress = runProgress.createGroupProgress(workersOf([run]), NOW_MS);
      assert.equal(Math.round(runProgress.remainingMsOf(run, NOW_MS)), remainingMs);
      assert.equal(Math.round(progress.remainingMsOf(run)), remainingMs);
      assert.equal(Math.round(progress.cautiousRemainingMsOf(run)), cautiousMs);
    });
  }
});

test.describe('the remaining time of a task that lasts', () => {
  const PERCENTS = [0, 50, 100];
  for (const percent of PERCENTS) {
    // Guards against a gang that waits for a task that lasts as for one that is nearly done.
    test.it(`is infinite for a plan that waits for its end, at ${percent} per cent`, () => {
      const runs = createRuns({ isLongRunning: true, count: 2, isGang: true });
      runs.forEach((run) => {
        run.percent = percent;
      });
      const progress = runProgress.createGroupProgress(workersOf(runs), NOW_MS);
      for (const run of runs) assert.equal(progress.cautiousRemainingMsOf(run), Infinity);
    });
  }
});

interface Member {
  readonly percent: number;
  readonly progressedAtMs: number;
}

interface GangCase {
  readonly name: string;
  readonly members: readonly Member[];
  /** For how long each member counts as stalled. */
  readonly stalledMs: readonly number[];
  readonly remainingMs: number;
}

/** At half of its part after ten seconds. */
const HALF = { percent: 50, progressedAtMs: NOW_MS };

const GANG_CASES: readonly GangCase[] = [
  {
    // Guards against a gang that is stopped, and workers that are suspected, as the fast members wait for the slow one.
    name: 'with one slow member waits for it',
    members: [{ percent: 100, progressedAtMs: 2000 }, HALF, { percent: 100, progressedAtMs: 2500 }],
    stalledMs: [0, 0, 0],
    remainingMs: 10_000,
  },
  {
    name: 'with one stalled member stalls by that member alone',
    members: [
      { percent: 100, progressedAtMs: 2000 },
      { percent: 50, progressedAtMs: 1000 },
    ],
    stalledMs: [0, 9000],
    remainingMs: 10_000,
  },
  {
    name: 'whose parts are all done stalls from the last one on',
    members: [
      { percent: 100, progressedAtMs: 2000 },
      { percent: 100, progressedAtMs: 4000 },
    ],
    stalledMs: [6000, 6000],
    remainingMs: 0,
  },
  {
    name: 'that works together makes progress',
    members: [HALF, HALF],
    stalledMs: [0, 0],
    remainingMs: 10_000,
  },
];

test.describe('a gang', () => {
  for (const { name, members, stalledMs, remainingMs } of GANG_CASES) {
    test.it(name, () => {
      const runs = createRuns({ count: members.length, isGang: true });
      runs.forEach((run, index) => {
        Object.assign(run, { ...members[index], reportedAtMs: NOW_MS });
      });
      const progress = runProgress.createGroupProgress(workersOf(runs), NOW_MS);
      assert.deepEqual(runs.map(progress.stalledMsOf), stalledMs);
      for (const run of runs) assert.equal(progress.remainingMsOf(run), remainingMs);
    });
  }
});

// Guards against a claim that waits for a run which ends somewhat later than it is expected to, and then preempts it.
test.test('a plan that waits for a run counts no progress since the last report', () => {
  const [run] = createRuns({});
  assert.ok(run);
  Object.assign(run, { percent: 50, reportedAtMs: NOW_MS - 800 });
  const progress = runProgress.createGroupProgress(workersOf([run]), NOW_MS);
  assert.equal(progress.remainingMsOf(run), 8400);
  assert.equal(progress.cautiousRemainingMsOf(run), 10_000);
});

// Guards against a run that has done its part and does not end: it has to be found as any other.
test.test('a task that is done and does not end stalls', () => {
  const [run] = createRuns({});
  assert.ok(run);
  Object.assign(run, { percent: 100, progressedAtMs: 1000, reportedAtMs: NOW_MS });
  const progress = runProgress.createGroupProgress(workersOf([run]), NOW_MS);
  assert.equal(progress.stalledMsOf(run), 9000);
});

// Guards against a member that waits for others being taken for a straggler.
test.test('a run that has done its part keeps its speed', () => {
  const pace = runPace.createRunPace();
  runPace.recordProgress(pace, 0, 0, DECLARED_MS);
  runPace.recordProgress(pace, 1000, 10, DECLARED_MS);
  for (let clockMs = 2000; clockMs < 9000; clockMs += 1000) {
    runPace.recordProgress(pace, clockMs, 100, DECLARED_MS);
  }
  assert.equal(pace.speed, 1);
  assert.equal(runPace.isStraggler(pace), false);
});
