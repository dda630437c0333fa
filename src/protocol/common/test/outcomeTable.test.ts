/**
 * The outcome table's bounds: what is dropped, and that nothing dropped lets a request run again.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as outcomeTable from '../outcomeTable.js';
import type * as requestRecord from '../requestRecord.js';

const LIMITS = { maxRecords: 3, maxBars: 2, maxAnswerBytes: 100 };

const head = (
  requestId: string,
  mode: 'run' | 'settle' = 'run',
  change: Partial<outcomeTable.AttemptHead> = {},
): outcomeTable.AttemptHead => ({
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

const refusal: requestRecord.Outcome = {
  type: 'error',
  error: { kind: 'overloaded', message: 'full', ran: 'no', isRetryable: true },
};

const run = (table: outcomeTable.OutcomeTable, id: string, bytes: number): void => {
  table.arrive(head(id), 0);
  table.end(head(id), answer(bytes), 10);
};

const create = (): outcomeTable.OutcomeTable => outcomeTable.createOutcomeTable('boot-1', LIMITS);

const CASES: readonly [string, (table: outcomeTable.OutcomeTable) => string, string][] = [
  ['a new request runs', (it) => it.arrive(head('a'), 0).type, 'run'],
  [
    'a repeat of a running one attaches',
    (it) => it.arrive(head('a'), 0).type + it.arrive(head('a'), 1).type,
    'runattach',
  ],
  [
    'another boot knows nothing',
    (it) => it.arrive(head('a', 'run', { bootId: 'b' }), 0).type,
    'unknowable',
  ],
  ['too late to start', (it) => it.arrive(head('a'), 1001).type, 'tooLate'],
  ['too late for proof', (it) => it.arrive(head('a', 'settle'), 61_001).type, 'unknowable'],
  [
    'a question bars the attempt',
    (it) => it.arrive(head('a', 'settle'), 0).type + it.arrive(head('a'), 1).type,
    'neverRanneverRan',
  ],
  [
    'another customer has its own requests',
    (it) => {
      run(it, 'a', 1);
      return it.arrive(head('a', 'run', { customerId: 'weddings' }), 20).type;
    },
    'run',
  ],
  [
    'a refused attempt stays refused, a new one may run',
    (it) => {
      it.arrive(head('a'), 0);
      it.end(head('a'), refusal, 1);
      return it.arrive(head('a'), 2).type + it.arrive(head('a', 'run', { attemptId: 'z' }), 3).type;
    },
    'neverRanrun',
  ],
  [
    'the bytes of the oldest answer go first, and that it ran stays',
    (it) => {
      run(it, 'a', 60);
      run(it, 'b', 60);
      return it.arrive(head('a'), 20).type + it.arrive(head('b'), 20).type;
    },
    'answerDroppedreplay',
  ],
  [
    'without room a new request is refused, and old ones stay known',
    (it) => {
      ['a', 'b', 'c'].forEach((id) => run(it, id, 1));
      return it.arrive(head('d'), 20).type + it.arrive(head('a'), 20).type;
    },
    'fullreplay',
  ],
  [
    'without room for a bar there is no proof',
    (it) => ['a', 'b', 'c'].map((id) => it.arrive(head(id, 'settle'), 0).type).join(),
    'neverRan,neverRan,unknowable',
  ],
];

for (const [name, act, expected] of CASES) {
  test.test(name, () => assert.equal(act(create()), expected));
}

test.test('memory is free again when its time has passed', () => {
  const table = create();
  run(table, 'a', 50);
  table.arrive(head('b', 'settle'), 0);
  for (let nowMs = 0; nowMs < 200_000; nowMs += 10_000) table.arrive(head('x', 'settle'), nowMs);
  assert.deepEqual(table.sizes(), { records: 0, bars: 0, answerBytes: 0 });
});
