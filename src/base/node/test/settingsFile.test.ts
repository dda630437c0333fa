/**
 * Settings files: valid ones are decoded; errors in invalid ones name the line.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as Schema from 'effect/Schema';

import * as errors from '../../common/errors.js';
import * as settingsFile from '../settingsFile.js';

const Shape = Schema.Struct({
  name: Schema.String,
  parts: Schema.Array(Schema.Struct({ sizeBytes: Schema.Number })),
});

test.test('comments and trailing commas are allowed', () => {
  const text = '// a comment\n{ "name": "x", /* here too */ "parts": [{ "sizeBytes": 1 },], }';
  assert.deepEqual(settingsFile.parseSettings(Shape, text, 'f'), {
    name: 'x',
    parts: [{ sizeBytes: 1 }],
  });
});

const REJECTED = [
  { text: '', expected: 'f:1: ' },
  { text: '{\n"name": 1,\n"parts": [] }', expected: 'f:2: name: ' },
  {
    text: '{\n"name": "x",\n"parts": [\n{ "sizeBytes": "4" }] }',
    expected: 'f:4: parts[0].sizeBytes: ',
  },
  { text: '{\n"name": "x",\n"parts": [],\n"more": 1 }', expected: 'f:4: more: ' },
  { text: '{\n"name": "x" }', expected: 'f:1: parts: ' },
  { text: '{\n"name": }', expected: 'f:2: not JSON with comments' },
];

test.test('invalid settings are rejected with file, line and field', () => {
  for (const { text, expected } of REJECTED) {
    assert.throws(
      () => settingsFile.parseSettings(Shape, text, 'f'),
      (thrown) =>
        errors.isKnown(thrown) &&
        thrown.kind === 'invalidRequest' &&
        thrown.message.includes(expected),
      expected,
    );
  }
});

test.test('all errors are reported together', () => {
  try {
    settingsFile.parseSettings(Shape, '{ "name": 1, "parts": 2 }', 'f');
    assert.fail('invalid settings were accepted');
  } catch (thrown) {
    assert.equal(errors.normalize(thrown).message.split('\n').length, 2);
  }
});
