/**
 * `KNOWN-RED.txt` lists exactly the tests whose failures are ignored because of a known fault.
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

test.it('every test marked KNOWN-RED is listed, and the list has no other lines', () => {
  const ignoredTests = testFiles('src')
    .flatMap((file) => [...fs.readFileSync(file, 'utf8').matchAll(TODO)])
    .map(([, title]) => title);
  const lines = fs
    .readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter((line) => line !== '' && !line.startsWith('#'));
  for (const title of ignoredTests) {
    assert.ok(
      lines.some((line) => line.includes(title)),
      `not listed: ${title}`,
    );
  }
  assert.equal(lines.length, ignoredTests.length);
});
