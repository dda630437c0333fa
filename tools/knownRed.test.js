/**
 * A test that is passed over because of a known fault is listed in `KNOWN-RED.txt`, and nothing else is.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';

const TODO = /todo: 'KNOWN-RED: ([^']+)'/g;

const testFiles = (folder) =>
  fs
    .readdirSync(folder, { recursive: true })
    .filter((it) => it.endsWith('.test.ts'))
    .map((it) => path.join(folder, it));

test.it('every test that is passed over is listed, and every line names one', () => {
  const passedOver = testFiles('src')
    .flatMap((file) => [...fs.readFileSync(file, 'utf8').matchAll(TODO)])
    .map(([, what]) => what);
  const lines = fs
    .readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter((line) => line !== '' && !line.startsWith('#'));
  for (const what of passedOver) {
    assert.ok(
      lines.some((line) => line.includes(what)),
      `not listed: ${what}`,
    );
  }
  assert.equal(lines.length, passedOver.length);
});
