/**
 * The state of a job: which of its tasks may start, and how the end of a run changes it.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as progressRecord from '../../../../state/common/pool/progressRecord.js';
import * as jobState from '../jobState.js';
import * as jobTransitions from '../jobTransitions.js';
import * as fixtures from './poolFixtures.js';
import * as readyUnits from '../readyUnits.js';

type End = readonly [
  step: number,
  index: number,
  run: number,
  how: jobTransitions.RunOutcome['how'],
];

interface Case {
  readonly name: string;
  readonly steps: readonly Partial<poolJob.Step>[];
  readonly attempts?: number;
  /** Rounds; each assigns all ready units, then records these ends. */
  readonly rounds: readonly (readonly End[])[];
  readonly state: poolJob.PoolJobState;
  /** Units that may start after the last round, by step and first index. */
  readonly ready?: readonly string[];
}

const GANG: Partial<poolJob.Step> = { count: 2, isGang: true };

const CASES: readonly Case[] = [
  { name: 'nothing has started', steps: [{}], rounds: [], state: 'queued', ready: ['0.0'] },
  {
    // Guards against a job that counts as begun, and is left out of the pending jobs, before any task has started.
    name: 'a task is assigned, and its worker has not started it',
    steps: [{}],
    rounds: [[]],
    state: 'queued',
    ready: [],
  },
  {
    name: 'the only start did not begin',
    steps: [{}],
    rounds: [[[0, 0, 1, 'lost']]],
    state: 'queued',
    ready: ['0.0'],
  },
  {
    name: 'a step waits for all tasks of those before it',
    steps: [{ count: 2 }, { after: [0] }],
    rounds: [[[0, 0, 1, 'done']]],
    state: 'running',
    ready: [],
  },
  {
    name: 'a step may start once all tasks of those before it are done',
    steps: [{ count: 2 }, { after: [0] }],
    rounds: [
      [
        [0, 0, 1, 'done'],
        [0, 1, 1, 'done'],
      ],
    ],
    state: 'running',
    ready: ['1.0'],
  },
  {
    name: 'one done member completes the gang',
    steps: [GANG],
    rounds: [[[0, 1, 1, 'done']]],
    state: 'complete',
  },
  {
    name: 'a gang starts again only when all its members have ended',
    steps: [GANG],
    rounds: [[[0, 0, 1, 'failed']]],
    state: 'running',
    ready: [],
  },
  {
    name: 'two failed members are one failure of the gang',
    steps: [GANG],
    attempts: 2,
    rounds: [
      [
        [0, 0, 1, 'failed'],
        [0, 1, 1, 'failed'],
      ],
    ],
    state: 'running',
    ready: ['0.0'],
  },
  {
    name: 'as many failures as allowed end the job',
    steps: [{}],
    attempts: 2,
    rounds: [[[0, 0, 1, 'failed']], [[0, 0, 2, 'failed']]],
    state: 'failed',
    ready: [],
  },
  {
    name: 'a stopped or lost run does not count as a failure',
    steps: [{}],
    attempts: 1,
    rounds: [[[0, 0, 1, 'stopped']], [[0, 0, 2, 'lost']], [[0, 0, 3, 'lapsed']]],
    state: 'running',
    ready: ['0.0'],
  },
  {
    // The end of the first run arrives after the second has started. Taken for the end of the second, the
    // job would be shown as complete while its task is still running.
    name: 'the end of an earlier run changes nothing',
    steps: [{}],
    rounds: [[[0, 0, 1, 'lost']], [[0, 0, 1, 'done']]],
    state: 'running',
    ready: [],
  },
  {
    name: 'a long-running task starts again however it ends',
    steps: [{ isLongRunning: true }],
    attempts: 1,
    rounds: [[[0, 0, 1, 'failed']], [[0, 0, 2, 'done']]],
    state: 'running',
    ready: ['0.0'],
  },
];

const assignAll = (entry: jobState.JobEntry): void => {
  for (const { tasks } of readyUnits.readyUnits(entry)) {
    const place = { workerId: 'w', incarnationMs: 1, agentId: 'a' };
    jobState.assign(tasks.map((task) => ({ task, ...place })));
  }
};

const recordAll = (entry: jobState.JobEntry, ends: readonly End[]): void => {
  for (const [step, index, run, how] of ends) {
    const name = { jobId: 'job', occurrence: 0, step, index };
    const task = jobState.findTask(entry, name) as jobState.TaskEntry;
    jobTransitions.recordRunEnd(entry, task, { run, how, saved: '' }, 5);
  }
};

const readyOf = (entry: jobState.JobEntry): string[] =>
  readyUnits.readyUnits(entry).map((it) => `${it.stepIndex}.${it.tasks[0]?.index ?? ''}`);

test.describe('state of a job', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const job = fixtures.makeJob(it.steps, { attempts: it.attempts ?? 3 });
      const entry = jobState.createJobEntry(job, 0);
      for (const ends of it.rounds) {
        assignAll(entry);
        recordAll(entry, ends);
      }
      assert.equal(entry.state, it.state);
      if (it.ready !== undefined) assert.deepEqual(readyOf(entry), it.ready);
      // The stored record is sufficient for the next leader.
      const text = progressRecord.encodeProgress(jobState.toProgressRecord(entry));
      const restored = jobState.createJobEntry(job, 0);
      jobState.restoreProgress(restored, progressRecord.decodeProgress(text), 1);
      assert.equal(restored.state, it.state);
      assert.deepEqual(readyOf(restored), readyOf(entry));
    });
  }

  test.it('a gang resumes from one checkpoint, under one run number', () => {
    const entry = jobState.createJobEntry(fixtures.makeJob([GANG]), 0);
    assignAll(entry);
    const [first] = jobState.tasksOf(entry);
    assert.ok(first);
    jobTransitions.recordRunEnd(entry, first, { run: 1, how: 'stopped', saved: 'here' }, 5);
    recordAll(entry, [[0, 1, 1, 'broken']]);
    assignAll(entry);
    assert.deepEqual(
      jobState.tasksOf(entry).map((task) => [task.run, task.saved]),
      [
        [2, 'here'],
        [2, 'here'],
      ],
    );
  });

  test.it('an occurrence starts when it is due, and the job ends with the last one', () => {
    const schedule = { firstAtMs: 1000, intervalMs: 500, occurrences: 2 };
    const entry = jobState.createJobEntry(fixtures.makeJob([{}], { schedule }), 0);
    jobState.addDueOccurrences(entry, 999);
    assert.equal(readyUnits.readyUnits(entry).length, 0);
    jobState.addDueOccurrences(entry, 1000);
    assignAll(entry);
    recordAll(entry, [[0, 0, 1, 'done']]);
    assert.equal(entry.state, 'running');
    jobState.addDueOccurrences(entry, 1500);
    assignAll(entry);
    const task = jobState.findTask(entry, { jobId: 'job', occurrence: 1, step: 0, index: 0 });
    assert.ok(task);
    jobTransitions.recordRunEnd(entry, task, { run: 1, how: 'done', saved: '' }, 5);
    assert.equal(entry.state, 'complete');
  });

  test.it('a cancelled job starts nothing more', () => {
    const entry = jobState.createJobEntry(fixtures.makeJob([{ count: 2 }]), 0);
    assert.equal(jobTransitions.cancel(entry, 5), true);
    assert.deepEqual(readyOf(entry), []);
    assert.equal(entry.state, 'cancelled');
  });
});
