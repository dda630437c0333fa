/**
 * Each guard and each mechanism names a text that the built code contains.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';

import * as guardList from './guardList.js';
import * as mechanismList from './mechanismList.js';

const contains = (file, from) => {
  const text = fs.readFileSync(path.join('dist', file), 'utf8');
  return typeof from === 'string' ? text.includes(from) : from.test(text);
};

const LISTS = [
  ['guard', guardList.GUARDS],
  ['mechanism', mechanismList.MECHANISMS],
];

// Guards against a guard, or a mechanism, that is checked no more since the code around it has changed.
for (const [kind, list] of LISTS) {
  test.it(`every ${kind} stands in the built code`, () => {
    const missing = list.filter(([, file, from]) => !contains(file, from)).map(([name]) => name);
    assert.deepEqual(missing, []);
  });
}
