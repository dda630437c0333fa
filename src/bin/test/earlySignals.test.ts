/**
 * Guards against a settings reload that ends a program that is still loading: its libraries take most of the
 * start, and without a listener SIGHUP ended the process and the platform had to start it again.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

const BIN = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');

test.describe('a reload signal while a program is loading', () => {
  for (const program of ['poolAgent', 'poolEntry', 'poolScheduler']) {
    test.it(`${program} listens for SIGHUP before it loads anything else`, () => {
      const text = fs.readFileSync(path.join(BIN, `${program}.js`), 'utf8');
      const [first] = /^import .*$/m.exec(text) ?? [];
      assert.equal(first, "import '../base/node/earlySignals.js';");
    });
  }
});
