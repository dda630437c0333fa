/**
 * Tests of the limit on log lines of one kind.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logLimit from '../logLimit.js';

// Guards against a flood of one kind of line that leaves the others no room in the log.
test.test('lines of one kind are limited, counted and leave other kinds alone', () => {
  let nowMs = 0;
  let leftOut = 0;
  const lines: unknown[] = [];
  const log = logLimit.createLogLimit(
    (_level, event, fields) => lines.push([event, fields?.linesLeftOut]),
    () => nowMs,
    () => {
      leftOut += 1;
    },
  );
  for (let count = 0; count < 10; count += 1) log('404', 2, 'warn', 'flood');
  log('200', 2, 'info', 'ordinary');
  nowMs = 1000;
  log('404', 2, 'warn', 'flood');
  assert.deepEqual(lines, [
    ['flood', undefined],
    ['flood', undefined],
    ['ordinary', undefined],
    ['flood', 8],
  ]);
  assert.equal(leftOut, 8);
});
