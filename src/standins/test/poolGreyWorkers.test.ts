/**
 * End-to-end tests of gangs in a pool in which some workers fail what they start at once.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from './poolHarness.js';
import * as runAssertions from './runAssertions.js';

const WORKERS = 24;
const GANGS = 10;
const GANG_SIZE = 6;
const ATTEMPTS = 3;
const SUBMIT_EVERY_MS = 400;

interface Case {
  readonly name: string;
  /** Every how many workers one fails all that it starts. */
  readonly failingEvery: number;
}

const CASES: readonly Case[] = [
  { name: 'one worker of twelve', failingEvery: 12 },
  { name: 'one worker of eight', failingEvery: 8 },
  { name: 'one worker of six', failingEvery: 6 },
];

const HALF_WORKER = { cpuMillicores: 1000, memoryMb: 1000, accelerators: 4 };

// Guards against a job that is done nowhere: each start of a gang over many workers met another faulty one until its
// attempts were used up, although most workers had shown that they work.
test.describe('no gang uses up its attempts while tasks fail on', () => {
  for (const { name, failingEvery } of CASES) {
    test.it(name, async () => {
      const pool = poolHarness.createPool({
        workers: WORKERS,
        workMs: (task) => (task.startsWith('long') ? 30_000 : 1500),
      });
      pool.addCandidate();
      await pool.submit(fixtures.makeJob([{ count: WORKERS, maxPerWorker: 1 }], { jobId: 'long' }));
      await pool.clock.advance(3000);
      pool.sites.forEach(({ worker }, index) => {
        worker.faults.failsAll = index % failingEvery === 0;
      });
      for (let index = 0; index < GANGS; index += 1) {
        const step = { count: GANG_SIZE, isGang: true, resources: HALF_WORKER, estimatedMs: 1500 };
        const changes = { jobId: `gang${index}`, attempts: ATTEMPTS, priority: 0 };
        await pool.submit(fixtures.makeJob([step], changes));
        await pool.clock.advance(SUBMIT_EVERY_MS);
      }
      await pool.clock.advance(30_000);
      for (let index = 0; index < GANGS; index += 1) {
        const jobId = `gang${index}`;
        assert.equal((await pool.progress(jobId))?.state, 'complete', jobId);
      }
      runAssertions.assertAtMostOnce(pool.runs());
      pool.dispose();
    });
  }
});
