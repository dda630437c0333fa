/**
 * The error table and the form of errors on the wire.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errorKinds from '../errorKinds.js';
import * as errors from '../errors.js';

const rows = Object.entries(errorKinds.ERROR_TABLE);

test.test('every kind answers with an error status and a non-zero exit status', () => {
  for (const [kind, answer] of rows) {
    assert.ok(answer.httpStatus >= 400 && answer.httpStatus < 600, kind);
    assert.ok(answer.exitCode > 0 && answer.exitCode < 126, kind);
  }
});

test.test('exit statuses tell the kinds apart', () => {
  const codes = rows.map(([, answer]) => answer.exitCode);
  assert.equal(new Set(codes).size, codes.length);
});

test.test('a kind whose outcome is not known is never offered for a blind retry', () => {
  // A peer that does not answer is asked again by the system itself, with idempotent messages.
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

test.test('an error survives the wire with its kind, field, wait and facts', () => {
  for (const error of ROUND_TRIPS) {
    const back = errors.fromBody(JSON.parse(JSON.stringify(errors.toBody(error))));
    assert.equal(back.kind, error.kind);
    assert.equal(back.message, error.message);
    assert.deepEqual(back.detail, error.detail);
  }
});

const FOREIGN = [undefined, null, 'text', {}, { kind: 'toString' }, { kind: 'madeUp' }, []];

test.test('what is not an error of the list becomes internal', () => {
  for (const body of FOREIGN) assert.equal(errors.fromBody(body).kind, 'internal');
  assert.equal(errors.normalize(new Error('boom')).kind, 'internal');
  assert.equal(errors.normalize('boom').message, 'boom');
});
