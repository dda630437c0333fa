/**
 * The format of log lines and metrics.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logging from '../logging.js';
import * as metrics from '../metrics.js';

const LINES = [
  { fields: { a: 1, b: true }, line: 'a=1 b=true' },
  { fields: { reason: 'two words' }, line: 'reason="two words"' },
  { fields: { reason: 'a\nb=c' }, line: 'reason="a\\nb=c"' },
  { fields: { reason: '' }, line: 'reason=""' },
  { fields: { gone: undefined, kept: null }, line: 'kept=null' },
];

test.test('an event is one line of key=value pairs, whatever its values contain', () => {
  for (const { fields, line } of LINES) {
    assert.equal(logging.formatLine(fields), line);
    assert.ok(!logging.formatLine(fields).includes('\n'));
  }
});

test.test('metrics render as Prometheus text with labels escaped', () => {
  const measured = metrics.createMetrics();
  measured.count('a_total', { customer: 'x"y' });
  measured.count('a_total', { customer: 'x"y' }, 2);
  measured.gauge('b', 7);
  [1, 2, 3, 4].forEach((durationMs) => measured.time('c_ms', durationMs));
  const lines = measured.render().split('\n');
  assert.ok(lines.includes('a_total{customer="x\\"y"} 3'));
  assert.ok(lines.includes('b 7'));
  assert.ok(lines.includes('c_ms_count 4'));
  assert.ok(lines.includes('c_ms_sum 10'));
  assert.equal(measured.read('a_total', { customer: 'x"y' }), 3);
});
