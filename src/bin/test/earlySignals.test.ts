/**
 * A program that loads is told to reload its settings. Its libraries take most of its start, and without a
 * listener the signal ended it: the platform had to start it again.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

const BIN = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');

test.describe('a signal to reload while a program loads', () => {
  for (const program of ['poolAgent', 'poolEntry', 'poolScheduler']) {
    test.it(`${program} listens for it before it loads anything else`, () => {
      const text = fs.readFileSync(path.join(BIN, `${program}.js`), 'utf8');
      const [first] = /^import .*$/m.exec(text) ?? [];
      assert.equal(first, "import '../base/node/earlySignals.js';");
    });
  }
});
