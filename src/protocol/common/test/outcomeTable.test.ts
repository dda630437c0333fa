/**
 * The outcome table's limits: what is evicted, and that no eviction lets a request run again.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as outcomeTable from '../outcomeTable.js';
import type * as requestRecord from '../requestRecord.js';

const LIMITS = { maxRecords: 3, maxTombstones: 2, maxAnswerBytes: 100 };

const msg = (
  requestId: string,
  mode: 'run' | 'settle' = 'run',
  change: Partial<outcomeTable.AttemptHeader> = {},
): outcomeTable.AttemptHeader => ({
  mode,
  bootId: 'boot-1',
  startBeforeMs: 1000,
  customerId: 'festivals',
  requestId,
  attemptId: `${requestId}/1`,
  ...change,
});

const answer = (bytes: number): requestRecord.Outcome => ({
  type: 'answer',
  answer: { status: 200, contentType: 'text/plain', body: new Uint8Array(bytes) },
});

const rejection: requestRecord.Outcome = {
  type: 'error',
  error: { kind: 'overloaded', message: 'full', ran: 'no', isRetryable: true },
};

const run = (table: outcomeTable.OutcomeTable, id: string, bytes: number): void => {
  table.handle(msg(id), 0);
  table.end(msg(id), answer(bytes), 10);
};

const create = (): outcomeTable.OutcomeTable => outcomeTable.createOutcomeTable('boot-1', LIMITS);

const CASES: readonly [string, (table: outcomeTable.OutcomeTable) => string, string][] = [
  ['a new request runs', (it) => it.handle(msg('a'), 0).type, 'run'],
  [
    'a repeat of a running request attaches to it',
    (it) => it.handle(msg('a'), 0).type + it.handle(msg('a'), 1).type,
    'runattach',
  ],
  [
    'a message for another boot gets no proof',
    (it) => it.handle(msg('a', 'run', { bootId: 'b' }), 0).type,
    'unknowable',
  ],
  [
    'a run message after its latest start is too late',
    (it) => it.handle(msg('a'), 1001).type,
    'tooLate',
  ],
  [
    'a settle message after the settle window gets no proof',
    (it) => it.handle(msg('a', 'settle'), 61_001).type,
    'unknowable',
  ],
  [
    'a settle message keeps the attempt from running later',
    (it) => it.handle(msg('a', 'settle'), 0).type + it.handle(msg('a'), 1).type,
    'neverRanneverRan',
  ],
  [
    'the same request id of another customer is another request',
    (it) => {
      run(it, 'a', 1);
      return it.handle(msg('a', 'run', { customerId: 'weddings' }), 20).type;
    },
    'run',
  ],
  [
    'a rejected attempt stays rejected; a new attempt may run',
    (it) => {
      it.handle(msg('a'), 0);
      it.end(msg('a'), rejection, 1);
      return it.handle(msg('a'), 2).type + it.handle(msg('a', 'run', { attemptId: 'z' }), 3).type;
    },
    'neverRanrun',
  ],
  [
    'the oldest answer is evicted first; the record that it ran remains',
    (it) => {
      run(it, 'a', 60);
      run(it, 'b', 60);
      return it.handle(msg('a'), 20).type + it.handle(msg('b'), 20).type;
    },
    'answerDroppedreplay',
  ],
  [
    'when the table is full, a new request is rejected and old ones stay recorded',
    (it) => {
      ['a', 'b', 'c'].forEach((id) => run(it, id, 1));
      return it.handle(msg('d'), 20).type + it.handle(msg('a'), 20).type;
    },
    'fullreplay',
  ],
  [
    'when the tombstones are full, a settle message gets no proof',
    (it) => ['a', 'b', 'c'].map((id) => it.handle(msg(id, 'settle'), 0).type).join(),
    'neverRan,neverRan,unknowable',
  ],
];

for (const [name, exercise, expected] of CASES) {
  test.test(name, () => assert.equal(exercise(create()), expected));
}

test.test('expired records and tombstones are removed', () => {
  const table = create();
  run(table, 'a', 50);
  table.handle(msg('b', 'settle'), 0);
  for (let nowMs = 0; nowMs < 200_000; nowMs += 10_000) table.handle(msg('x', 'settle'), nowMs);
  assert.deepEqual(table.sizes(), { records: 0, tombstones: 0, answerBytes: 0 });
});
