/**
 * How a job changes when a run that was declared lost turns out to be done.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as progressRecord from '../../../../state/common/pool/progressRecord.js';
import * as jobState from '../jobState.js';
import * as jobTransitions from '../jobTransitions.js';
import * as fixtures from './poolFixtures.js';
import * as readyUnits from '../readyUnits.js';

const LOST = { run: 1, how: 'lost', saved: '' } as const;

const GANG: Partial<poolJob.Step> = { count: 2, isGang: true };

interface Case {
  readonly name: string;
  readonly step?: Partial<poolJob.Step>;
  /** Whether a second run is in progress when the end of the first is reported. */
  readonly isReassigned: boolean;
  readonly how: jobTransitions.RunOutcome['how'];
  /** How the second run ends, where there is one. */
  readonly laterHow?: jobTransitions.RunOutcome['how'];
  readonly state: string;
  readonly isReady: boolean;
}

const CASES: readonly Case[] = [
  {
    // Guards against a task that starts again after its end was acknowledged.
    name: 'a waiting task is done',
    isReassigned: false,
    how: 'done',
    state: 'complete',
    isReady: false,
  },
  {
    name: 'a waiting gang is done',
    step: GANG,
    isReassigned: false,
    how: 'done',
    state: 'complete',
    isReady: false,
  },
  {
    // Guards against a job that is shown as complete while its task is still running.
    name: 'a task with a later run goes on until that run has ended',
    isReassigned: true,
    how: 'done',
    state: 'running',
    isReady: false,
  },
  {
    name: 'a task is done once its later run is stopped',
    isReassigned: true,
    how: 'done',
    laterHow: 'stopped',
    state: 'complete',
    isReady: false,
  },
  {
    name: 'a failure of the later run does not count',
    isReassigned: true,
    how: 'done',
    laterHow: 'failed',
    state: 'complete',
    isReady: false,
  },
  {
    name: 'any other end of an earlier run changes nothing',
    isReassigned: false,
    how: 'failed',
    state: 'running',
    isReady: true,
  },
  {
    name: 'a long-running task starts again',
    step: { isLongRunning: true },
    isReassigned: false,
    how: 'done',
    state: 'running',
    isReady: true,
  },
];

const assignAll = (entry: jobState.JobEntry): void => {
  const place = { workerId: 'w', incarnationMs: 1, agentId: 'a' };
  for (const { tasks } of readyUnits.readyUnits(entry)) {
    jobState.assign(tasks.map((task) => ({ task, ...place })));
  }
};

/** The state of the job after the next leader has restored it. */
const restored = (entry: jobState.JobEntry): jobState.JobEntry => {
  const text = progressRecord.encodeProgress(jobState.toProgressRecord(entry));
  const next = jobState.createJobEntry(entry.job, 0);
  jobState.restoreProgress(next, progressRecord.decodeProgress(text), 1);
  return next;
};

test.describe('a run that was declared lost and is done', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const job = fixtures.makeJob([it.step ?? {}], { attempts: 1 });
      let entry = jobState.createJobEntry(job, 0);
      assignAll(entry);
      for (const task of jobState.tasksOf(entry)) jobTransitions.recordRunEnd(entry, task, LOST, 5);
      if (it.isReassigned) assignAll(entry);
      const [first] = jobState.tasksOf(entry);
      assert.ok(first);
      jobTransitions.recordEarlierRunDone(entry, first, { run: 1, how: it.how, saved: '' }, 5);
      entry = restored(entry);
      if (it.laterHow !== undefined) {
        const [later] = jobState.tasksOf(entry);
        assert.ok(later);
        jobTransitions.recordRunEnd(entry, later, { run: 2, how: it.laterHow, saved: '' }, 6);
      }
      assert.equal(entry.state, it.state);
      assert.equal(readyUnits.readyUnits(entry).length > 0, it.isReady);
    });
  }
});
