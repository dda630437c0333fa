/**
 * What a refused transaction of progress means to the leader.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as store from '../../../../state/common/store.js';
import * as progressBatch from '../progressBatch.js';

const LEADERSHIP = { key: 'leader', revision: 7 };

const dueJob = (jobId: string, revision: number): progressBatch.DueJob => ({
  jobId,
  record: {
    key: `progress/${jobId}`,
    value: `new ${jobId}`,
    revision,
    cancelKey: `${jobId}/cancel`,
  },
});

const BATCH = [dueJob('a', 3), dueJob('b', 0)];

const entry = (key: string, revision: number, value = ''): store.StoreEntry => ({
  key,
  value,
  revision,
});

interface Case {
  readonly name: string;
  readonly current: readonly store.StoreEntry[];
  readonly outcome: progressBatch.BatchOutcome;
  readonly cancels?: readonly string[];
  readonly revisions?: readonly [jobId: string, revision: number][];
}

const CASES: readonly Case[] = [
  {
    name: 'another process leads',
    current: [entry('leader', 8), entry('progress/a', 3), entry('a/cancel', 9)],
    outcome: 'conflict',
  },
  {
    name: 'no process leads any more',
    current: [entry('progress/a', 3)],
    outcome: 'conflict',
  },
  {
    name: 'one of two jobs was cancelled',
    current: [entry('leader', 7), entry('progress/a', 3), entry('a/cancel', 9)],
    outcome: 'outdated',
    cancels: ['a/cancel'],
  },
  {
    name: 'an earlier attempt was written',
    current: [entry('leader', 7), entry('progress/a', 9, 'new a'), entry('progress/b', 9, 'new b')],
    outcome: 'written',
    revisions: [
      ['a', 9],
      ['b', 9],
    ],
  },
  {
    name: 'an earlier attempt was written, and a job was cancelled after it',
    current: [
      entry('leader', 7),
      entry('progress/a', 9, 'new a'),
      entry('progress/b', 9, 'new b'),
      entry('b/cancel', 10),
    ],
    outcome: 'written',
    cancels: ['b/cancel'],
    revisions: [
      ['a', 9],
      ['b', 9],
    ],
  },
  {
    name: 'another process changed a record',
    current: [entry('leader', 7), entry('progress/a', 4, 'other')],
    outcome: 'conflict',
  },
  {
    name: 'another process changed a record, and a job was cancelled',
    current: [entry('leader', 7), entry('progress/a', 4, 'other'), entry('b/cancel', 9)],
    outcome: 'conflict',
    cancels: ['b/cancel'],
  },
];

test.describe('a refused batch of progress', () => {
  for (const it of CASES) {
    test.it(it.name, () => {
      const refusal = { isCommitted: false, current: it.current, isLeaseGone: false } as const;
      const refused = progressBatch.interpretRefusal(BATCH, LEADERSHIP, refusal);
      assert.equal(refused.outcome, it.outcome);
      assert.deepEqual(
        refused.cancels.map(({ key }) => key),
        it.cancels ?? [],
      );
      assert.deepEqual([...refused.revisions], it.revisions ?? []);
    });
  }

  test.it('a full batch fits into one transaction', () => {
    const jobs = Array.from({ length: progressBatch.MAX_JOBS }, (_, index) =>
      dueJob(`j${index}`, 1),
    );
    const { conditions, puts } = progressBatch.toTransaction(jobs, LEADERSHIP);
    assert.ok(conditions.length + puts.length <= 32);
  });
});
