/**
 * The error table and the wire format of errors.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errorKinds from '../errorKinds.js';
import * as errors from '../errors.js';

const rows = Object.entries(errorKinds.ERROR_TABLE);

test.test('every kind maps to an error status and a non-zero exit status', () => {
  for (const [kind, answer] of rows) {
    assert.ok(answer.httpStatus >= 400 && answer.httpStatus < 600, kind);
    assert.ok(answer.exitCode > 0 && answer.exitCode < 126, kind);
  }
});

test.test('exit statuses are distinct for all kinds', () => {
  const codes = rows.map(([, answer]) => answer.exitCode);
  assert.equal(new Set(codes).size, codes.length);
});

test.test('of the kinds whose work may have run, only peerUnreachable is retryable', () => {
  // The system itself retries such calls, with idempotent messages.
  const retryable = rows.filter(([, answer]) => answer.isRetryable && answer.ran !== 'no');
  assert.deepEqual(
    retryable.map(([kind]) => kind),
    ['peerUnreachable'],
  );
});

const ROUND_TRIPS = [
  errors.fail('conflict', 'somebody was first', { field: 'baseVersion', facts: { version: 3 } }),
  errors.fail('overloaded', 'full', { retryAfterMs: 120 }),
  errors.fail('internal', 'a defect'),
];

test.test('an error keeps its kind, field, retry delay and facts over the wire', () => {
  for (const error of ROUND_TRIPS) {
    const back = errors.fromBody(JSON.parse(JSON.stringify(errors.toBody(error))));
    assert.equal(back.kind, error.kind);
    assert.equal(back.message, error.message);
    assert.deepEqual(back.detail, error.detail);
  }
});

const FOREIGN = [undefined, null, 'text', {}, { kind: 'toString' }, { kind: 'madeUp' }, []];

test.test('an unknown error becomes internal', () => {
  for (const body of FOREIGN) assert.equal(errors.fromBody(body).kind, 'internal');
  assert.equal(errors.normalize(new Error('boom')).kind, 'internal');
  assert.equal(errors.normalize('boom').message, 'boom');
});
