/**
 * A short soak of the real programs.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as soakRun from '../soakRun.js';

/** Seeds, each with the reason for running it. */
const SEEDS: readonly [seed: number, faultsMs: number, reason: string][] = [
  [1, 10_000, 'a short soak for every change'],
];

test.describe('a soak of real processes', () => {
  for (const [seed, faultsMs, reason] of SEEDS) {
    test.it(`seed ${seed}: ${reason}`, async () => {
      const folder = fs.mkdtempSync(path.join(os.tmpdir(), `auburnlift-soak-${seed}-`));
      const sizes = { entries: 2, schedulers: 2, workers: 3 };
      const report = await soakRun.runSoak({ seed, faultsMs, sizes, folder });
      assert.deepEqual(report.broken, [], `logs and settings are in ${folder}`);
      assert.ok(report.runs > 0);
      fs.rmSync(folder, { recursive: true, force: true });
    });
  }
});
