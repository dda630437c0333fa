/**
 * Grouping by a key.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as groupBy from '../groupBy.js';

const CASES: readonly [name: string, items: readonly string[], groups: [string, string[]][]][] = [
  ['nothing', [], []],
  ['one key', ['a1', 'a2'], [['a', ['a1', 'a2']]]],
  [
    'keys in the order of first use, items in their own',
    ['b2', 'a1', 'b1'],
    [
      ['b', ['b2', 'b1']],
      ['a', ['a1']],
    ],
  ],
];

test.describe('groupBy', () => {
  for (const [name, items, groups] of CASES) {
    test.it(name, () => {
      assert.deepEqual([...groupBy.groupBy(items, (it) => it.slice(0, 1))], groups);
    });
  }
});
