/**
 * What a crash of a worker says about the tasks whose runs ended with it, and what follows for their next starts.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as progressRecord from '../../../../state/common/pool/progressRecord.js';
import * as crashAttribution from '../crashAttribution.js';
import * as jobState from '../jobState.js';
import * as jobTransitions from '../jobTransitions.js';
import * as fixtures from './poolFixtures.js';

const { alone, lastStarted, bystander, widespread, unseen } = progressRecord.CrashEvidence;

const ran = (jobId: string, ranMs: number): crashAttribution.Interrupted => ({ jobId, ranMs });

const EVIDENCE: readonly (readonly [
  name: string,
  run: crashAttribution.Interrupted,
  others: readonly crashAttribution.Interrupted[],
  isWidespread: boolean,
  expected: progressRecord.CrashEvidence,
])[] = [
  ['nobody else was there', ran('a', 10), [], false, alone],
  ['only tasks of its job were there', ran('a', 9000), [ran('a', 10)], false, alone],
  ['it had just started', ran('a', 10), [ran('b', 8000)], false, lastStarted],
  ['another had just started', ran('a', 8000), [ran('b', 10)], false, bystander],
  ['both had started recently', ran('a', 2500), [ran('b', 1000)], false, lastStarted],
  ['it had started recently, another just now', ran('a', 2500), [ran('b', 10)], false, bystander],
  ['both had just started', ran('a', 400), [ran('b', 10)], false, lastStarted],
  ['it had started last, long ago', ran('a', 6000), [ran('b', 9000)], false, lastStarted],
  ['both had started at once, long ago', ran('a', 6200), [ran('b', 6000)], false, lastStarted],
  ['most workers went down', ran('a', 600), [], true, widespread],
  [
    'most workers went down, it had just started',
    ran('a', 10),
    [ran('b', 9000)],
    true,
    lastStarted,
  ],
  [
    'most workers went down, another had just started',
    ran('a', 9000),
    [ran('b', 10)],
    true,
    bystander,
  ],
];

test.describe('evidence of a crash', () => {
  for (const [name, run, others, isWidespread, expected] of EVIDENCE) {
    test.it(name, () => {
      assert.equal(crashAttribution.evidenceOf(run, [...others, run], isWidespread), expected);
    });
  }
});

type Crash = readonly [evidence: progressRecord.CrashEvidence, ranMs: number];

interface Case {
  readonly name: string;
  readonly crashes: readonly Crash[];
  readonly limitedStarts?: number;
  readonly needsIsolation: boolean;
  readonly mayNotStartAgain: boolean;
}

const CASES: readonly Case[] = [
  { name: 'no crash', crashes: [], needsIsolation: false, mayNotStartAgain: false },
  {
    name: 'a bystander once',
    crashes: [[bystander, 9000]],
    needsIsolation: false,
    mayNotStartAgain: false,
  },
  {
    name: 'a bystander twice',
    crashes: [
      [bystander, 9000],
      [bystander, 9000],
    ],
    needsIsolation: true,
    mayNotStartAgain: false,
  },
  {
    name: 'among those that started last',
    crashes: [[lastStarted, 10]],
    needsIsolation: true,
    mayNotStartAgain: false,
  },
  {
    // Guards against slow recovery from a power loss, after which every task would wait for a worker to itself.
    name: 'machines lost power twice',
    crashes: [
      [unseen, 0],
      [unseen, 0],
    ],
    needsIsolation: false,
    mayNotStartAgain: false,
  },
  {
    name: 'most workers went down once',
    crashes: [[widespread, 2000]],
    needsIsolation: false,
    mayNotStartAgain: false,
  },
  {
    // Guards against tasks that are given up since several others crashed most workers again and again.
    name: 'most workers went down twice',
    crashes: [
      [widespread, 2000],
      [widespread, 2000],
    ],
    needsIsolation: true,
    mayNotStartAgain: false,
  },
  {
    name: 'a loss of power after a crash beside others',
    crashes: [
      [bystander, 9000],
      [unseen, 0],
    ],
    needsIsolation: true,
    mayNotStartAgain: false,
  },
  {
    name: 'alone twice',
    crashes: [
      [alone, 10],
      [alone, 10],
    ],
    needsIsolation: true,
    mayNotStartAgain: false,
  },
  {
    name: 'alone twice right after its start, after a crash with others',
    crashes: [
      [lastStarted, 10],
      [alone, 10],
      [alone, 500],
    ],
    needsIsolation: true,
    mayNotStartAgain: true,
  },
  {
    name: 'alone twice, one of them later, after a crash with others',
    crashes: [
      [lastStarted, 10],
      [alone, 10],
      [alone, 501],
    ],
    needsIsolation: true,
    mayNotStartAgain: false,
  },
  {
    name: 'alone three times',
    crashes: [
      [alone, 6000],
      [alone, 10],
      [alone, 8000],
    ],
    needsIsolation: true,
    mayNotStartAgain: true,
  },
  {
    name: 'one start after three crashes of which one shows a suspect',
    crashes: [
      [unseen, 0],
      [bystander, 6000],
      [unseen, 0],
    ],
    limitedStarts: 1,
    needsIsolation: true,
    mayNotStartAgain: true,
  },
  {
    name: 'two starts after three crashes',
    crashes: [
      [unseen, 0],
      [unseen, 0],
      [unseen, 0],
    ],
    limitedStarts: 2,
    needsIsolation: false,
    mayNotStartAgain: true,
  },
];

test.describe('the next start of a task after crashes', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const crashes = it.crashes.map(([evidence, ranMs], index) => ({
        run: index + 1,
        ranMs,
        evidence,
      }));
      const task = { crashes, limitedStarts: it.limitedStarts ?? 0 };
      assert.equal(crashAttribution.needsIsolation(task), it.needsIsolation);
      assert.equal(crashAttribution.mayNotStartAgain(task), it.mayNotStartAgain);
    });
  }
});

const PROBATION: readonly (readonly [
  name: string,
  crashes: readonly Crash[],
  ranMs: number,
  expected: boolean,
])[] = [
  ['just started after an instant crash', [[lastStarted, 10]], 900, true],
  ['has outlived an instant crash', [[lastStarted, 10]], 1100, false],
  ['has not run twice as long as until the crash', [[lastStarted, 2000]], 4000, true],
  ['has run twice as long', [[lastStarted, 2000]], 5100, false],
  [
    'has crashed twice',
    [
      [lastStarted, 10],
      [alone, 10],
    ],
    60_000,
    true,
  ],
  ['was a bystander', [[bystander, 9000]], 0, false],
];

test.describe('probation of a run', () => {
  for (const [name, crashes, ranMs, expected] of PROBATION) {
    test.it(name, () => {
      const task = {
        crashes: crashes.map(([evidence, it]) => ({ run: 1, ranMs: it, evidence })),
        limitedStarts: 0,
      };
      assert.equal(crashAttribution.isOnProbation(task, ranMs), expected);
    });
  }
});

interface StartsCase {
  readonly name: string;
  /** Run numbers of the crashes, in the order in which they are learnt of. */
  readonly crashedRuns: readonly number[];
  /** Starts so far. */
  readonly runs: number;
  readonly limitedStarts: number;
  readonly crashes: number;
}

const STARTS: readonly StartsCase[] = [
  {
    name: 'are not counted before the third crash',
    crashedRuns: [1, 2],
    runs: 5,
    limitedStarts: 0,
    crashes: 2,
  },
  {
    name: 'are counted from the third crash on',
    crashedRuns: [1, 2, 3],
    runs: 3,
    limitedStarts: 0,
    crashes: 3,
  },
  {
    name: 'since the third crash count where it is learnt of late',
    crashedRuns: [1, 3, 2],
    runs: 4,
    limitedStarts: 1,
    crashes: 3,
  },
  {
    name: 'count once for a crash that is reported again',
    crashedRuns: [1, 1, 2, 2],
    runs: 2,
    limitedStarts: 0,
    crashes: 2,
  },
];

const startTask = (): { entry: jobState.JobEntry; task: jobState.TaskEntry } => {
  const entry = jobState.createJobEntry(fixtures.makeJob([{}]), 0);
  const task = entry.occurrences[0]?.[0]?.[0];
  assert.ok(task);
  return { entry, task };
};

/** Assigns the task to a worker that starts it. */
const assign = (entry: jobState.JobEntry, task: jobState.TaskEntry): void => {
  jobState.assign([{ task, workerId: 'w', incarnationMs: 1, agentId: 'agent' }]);
  jobState.recordBegun(entry);
};

test.describe('starts of a task', () => {
  for (const it of STARTS) {
    test.it(it.name, () => {
      const { entry, task } = startTask();
      for (let run = 0; run < it.runs; run += 1) assign(entry, task);
      for (const run of it.crashedRuns) {
        jobTransitions.recordCrash(entry, task, { run, ranMs: 9000, evidence: bystander }, 0);
      }
      assert.equal(task.limitedStarts, it.limitedStarts);
      assert.equal(task.crashes.length, it.crashes);
    });
  }

  // Guards against a task that is given up because workers had no room for it.
  test.it('do not count if their worker refused them', () => {
    const { entry, task } = startTask();
    for (const run of [1, 2, 3]) {
      assign(entry, task);
      jobTransitions.recordCrash(entry, task, { run, ranMs: 9000, evidence: bystander }, 0);
      jobTransitions.recordRunEnd(entry, task, { run, how: 'lost', saved: '' }, 0);
    }
    for (let run = 4; run < 9; run += 1) {
      assign(entry, task);
      jobState.recordNotBegun(task, run);
      jobState.recordNotBegun(task, run);
      jobTransitions.recordRunEnd(entry, task, { run, how: 'lost', saved: '' }, 0);
    }
    assert.equal(entry.state, 'running');
    assert.equal(task.limitedStarts, 0);
  });

  // Guards against a start that does not count twice, by which a task starts once more than allowed.
  test.it('do not count, once, if it is told twice that they did not begin', () => {
    const { entry, task } = startTask();
    for (const run of [1, 2, 3]) {
      assign(entry, task);
      jobTransitions.recordCrash(entry, task, { run, ranMs: 9000, evidence: bystander }, 0);
    }
    assign(entry, task);
    assign(entry, task);
    jobState.recordNotBegun(task, 5);
    jobState.recordNotBegun(task, 5);
    assert.equal(task.limitedStarts, 1);
  });
});
