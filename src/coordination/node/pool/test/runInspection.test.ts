/**
 * Which runs the inspection takes for stalled.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../../base/common/clock.js';
import * as fixtures from '../../../common/pool/test/poolFixtures.js';
import * as workerSuspicion from '../../../common/pool/workerSuspicion.js';
import * as workerTable from '../../../common/pool/workerTable.js';
import * as runInspection from '../runInspection.js';

const START_MS = 1000;

interface Case {
  readonly name: string;
  /** Whether the worker's latest report lists the run. */
  readonly isListed: boolean;
  readonly stalledMs: number;
  readonly isSuspect: boolean;
  readonly isStopped: boolean;
}

const CASES: readonly Case[] = [
  { name: 'moves', isListed: true, stalledMs: 0, isSuspect: false, isStopped: false },
  { name: 'stands still', isListed: true, stalledMs: 2000, isSuspect: true, isStopped: false },
  { name: 'stands still long', isListed: true, stalledMs: 7000, isSuspect: true, isStopped: true },
  {
    // Guards against sound workers that get no tasks: they had more ends than they list, and their ended runs seemed stalled.
    name: 'has ended, which a full list of ends leaves out',
    isListed: false,
    stalledMs: 7000,
    isSuspect: false,
    isStopped: false,
  },
];

test.describe('a run under inspection', () => {
  for (const { name, isListed, stalledMs, isSuspect, isStopped } of CASES) {
    test.it(name, async () => {
      const time = clock.createFakeClock(START_MS);
      const worker = workerTable.createWorkerEntry('agent', 'http://a:1', 1, START_MS, 0);
      worker.isReachable = true;
      worker.info = fixtures.makeWorkerInfo('w');
      const { present } = workerTable.RunPhase;
      const run = fixtures.addRun(worker, { estimatedMs: 1000 }, present, START_MS);
      await time.advance(stalledMs);
      const reportedAtMs = time.monotonicMs();
      worker.sample = { incarnationMs: 1, clockMs: 1, atMs: reportedAtMs };
      if (isListed) run.reportedAtMs = reportedAtMs;
      const stopped: string[] = [];
      runInspection
        .createRunInspection({
          clock: time,
          workers: new Map([['agent', worker]]),
          isWanted: () => true,
          stopRun: () => undefined,
          stopGroup: (groupKey) => stopped.push(groupKey),
        })
        .inspect();
      assert.equal(workerSuspicion.isSuspect(worker.suspicion, time.monotonicMs()), isSuspect);
      assert.deepEqual(stopped, isStopped ? [run.groupKey] : []);
    });
  }
});
