/**
 * What it means that a run was done which had been given up.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as progressRecord from '../../../../state/common/pool/progressRecord.js';
import * as jobBook from '../jobBook.js';
import * as jobEnds from '../jobEnds.js';
import * as fixtures from './poolFixtures.js';

const LOST = { run: 1, how: 'lost', saved: '' } as const;

const GANG: Partial<poolJob.Step> = { count: 2, isGang: true };

interface Case {
  readonly name: string;
  readonly step?: Partial<poolJob.Step>;
  /** Whether a second run is at work when the end of the first is heard. */
  readonly isGivenAgain: boolean;
  readonly how: jobEnds.RunOutcome['how'];
  /** How the second run ends, where there is one. */
  readonly laterHow?: jobEnds.RunOutcome['how'];
  readonly state: string;
  readonly isReady: boolean;
}

const CASES: readonly Case[] = [
  {
    // Guards against a task that begins again after its end was acknowledged.
    name: 'a task that waits is done',
    isGivenAgain: false,
    how: 'done',
    state: 'complete',
    isReady: false,
  },
  {
    name: 'a gang that waits is done',
    step: GANG,
    isGivenAgain: false,
    how: 'done',
    state: 'complete',
    isReady: false,
  },
  {
    // Guards against a job that is shown as complete while its task still works.
    name: 'a task at work goes on until its run has ended',
    isGivenAgain: true,
    how: 'done',
    state: 'running',
    isReady: false,
  },
  {
    name: 'a task whose later run is stopped is done',
    isGivenAgain: true,
    how: 'done',
    laterHow: 'stopped',
    state: 'complete',
    isReady: false,
  },
  {
    name: 'a failure of the later run counts for nothing',
    isGivenAgain: true,
    how: 'done',
    laterHow: 'failed',
    state: 'complete',
    isReady: false,
  },
  {
    name: 'any other end of an earlier run changes nothing',
    isGivenAgain: false,
    how: 'failed',
    state: 'running',
    isReady: true,
  },
  {
    name: 'a long-running task begins again',
    step: { isLongRunning: true },
    isGivenAgain: false,
    how: 'done',
    state: 'running',
    isReady: true,
  },
];

const assignAll = (entry: jobBook.JobEntry): void => {
  const place = { workerId: 'w', incarnationMs: 1, agentId: 'a' };
  for (const { tasks } of jobBook.readyUnits(entry)) {
    jobBook.assign(
      entry,
      tasks.map((task) => ({ task, ...place })),
    );
  }
};

/** What the next leader finds. */
const restored = (entry: jobBook.JobEntry): jobBook.JobEntry => {
  const text = progressRecord.encodeProgress(jobBook.toRecord(entry));
  const next = jobBook.createEntry(entry.job, 0);
  jobBook.restore(next, progressRecord.decodeProgress(text), 1);
  return next;
};

test.describe('a run that was given up and done all the same', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const job = fixtures.makeJob([it.step ?? {}], { attempts: 1 });
      let entry = jobBook.createEntry(job, 0);
      assignAll(entry);
      for (const task of jobBook.tasksOf(entry)) jobEnds.noteEnd(entry, task, LOST, 5);
      if (it.isGivenAgain) assignAll(entry);
      const [first] = jobBook.tasksOf(entry);
      assert.ok(first);
      jobEnds.noteEarlierDone(entry, first, { run: 1, how: it.how, saved: '' }, 5);
      entry = restored(entry);
      if (it.laterHow !== undefined) {
        const [later] = jobBook.tasksOf(entry);
        assert.ok(later);
        jobEnds.noteEnd(entry, later, { run: 2, how: it.laterHow, saved: '' }, 6);
      }
      assert.equal(entry.state, it.state);
      assert.equal(jobBook.readyUnits(entry).length > 0, it.isReady);
    });
  }
});
