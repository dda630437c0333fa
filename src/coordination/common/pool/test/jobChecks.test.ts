/**
 * Which jobs are accepted, and that the progress record of each accepted job fits into a value of the store.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errors from '../../../../base/common/errors.js';
import * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as progressRecord from '../../../../state/common/pool/progressRecord.js';
import * as store from '../../../../state/common/store.js';
import * as jobChecks from '../jobChecks.js';
import * as jobState from '../jobState.js';
import * as fixtures from './poolFixtures.js';

const MAX_TASKS = poolJob.maxTasksPerJob(store.MAX_VALUE_BYTES);

interface Case {
  readonly name: string;
  readonly counts: readonly number[];
  readonly occurrences?: number;
  /** Field that the error names; absent where the job is accepted. */
  readonly field?: string;
}

const CASES: readonly Case[] = [
  { name: 'as many tasks as a job may have', counts: [MAX_TASKS] },
  { name: 'one task more', counts: [MAX_TASKS + 1], field: 'steps[0].count' },
  { name: 'as many over all steps', counts: [1, MAX_TASKS - 2, 1] },
  { name: 'one task more over all steps', counts: [1, MAX_TASKS - 1, 1], field: 'steps' },
  { name: 'too many in a later step', counts: [1, 1e9], field: 'steps[1].count' },
  { name: 'as many over all repetitions', counts: [1], occurrences: MAX_TASKS },
  { name: 'more over all repetitions', counts: [2], occurrences: MAX_TASKS, field: 'steps' },
  { name: 'endless repetitions', counts: [1], occurrences: 1e15, field: 'steps' },
];

const scheduleOf = (occurrences: number | undefined): poolJob.Schedule | undefined =>
  occurrences === undefined ? undefined : { firstAtMs: 0, intervalMs: 1, occurrences };

test.describe('the tasks of a job', () => {
  for (const { name, counts, occurrences, field } of CASES) {
    // Guards against an accepted job whose progress record no store takes: nothing of any job started any more.
    test.it(`${name}: ${field === undefined ? 'accepted' : `refused by ${field}`}`, () => {
      const steps = counts.map((count) => fixtures.makeStep({ count }));
      const check = (): void =>
        jobChecks.checkJob({ steps, schedule: scheduleOf(occurrences) }, MAX_TASKS);
      if (field === undefined) {
        check();
        return;
      }
      assert.throws(check, (thrown) => {
        const { kind, message } = errors.normalize(thrown);
        assert.equal(kind, 'invalidRequest');
        assert.match(message, new RegExp(`at most ${MAX_TASKS} `));
        assert.ok(message.startsWith(`${field}: `), message);
        return true;
      });
    });
  }
});

const ID_LENGTH = 24;
const WALL_MS = 1_790_000_000_000;

/** Share of the tasks with an unacknowledged order and a crash. */
const FAULTY_SHARE = 0.1;

test.describe('the progress record of the largest job', () => {
  // Guards against a limit that is derived from smaller rows than those of a pool under faults.
  test.it('fits into a value of the store', () => {
    const job = fixtures.makeJob([{ count: MAX_TASKS }], { jobId: 'f'.repeat(16) });
    const entry = jobState.createJobEntry(job, 0);
    const tasks = jobState.tasksOf(entry);
    const ids = { workerId: 'w'.repeat(ID_LENGTH), agentId: 'a'.repeat(ID_LENGTH) };
    tasks.forEach((task, index) => {
      jobState.assign([{ task, ...ids, incarnationMs: WALL_MS }], {
        wallMs: WALL_MS,
        distanceFactor: 1,
      });
      task.run = 12;
      task.failures = 2;
      task.failedRun = 11;
      task.workMs = 1000 / 3;
      if (index >= FAULTY_SHARE * MAX_TASKS) return;
      task.openOrders = [{ ...ids, untilWallMs: WALL_MS }];
      task.crashes = [{ run: 9, ranMs: 12_345, evidence: 'unseen' }];
    });
    const value = progressRecord.encodeProgress(jobState.toProgressRecord(entry));
    assert.ok(Buffer.byteLength(value) <= store.MAX_VALUE_BYTES, `${value.length} bytes`);
  });
});
