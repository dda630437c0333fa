/**
 * Whether workers that went down have gone down together with most of their pool.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as widespreadCrash from '../widespreadCrash.js';
import * as workerTable from '../workerTable.js';
import * as fixtures from './poolFixtures.js';

const CRASH_AT_MS = 10_000;
const NOW_MS = 13_500;

type Signs = Pick<workerTable.WorkerEntry, 'lastCrashAtMs' | 'silentSinceMs'> & {
  readonly reportedAtMs?: number;
  readonly service?: string;
};

const UP: Signs = { reportedAtMs: NOW_MS };
const CRASHED: Signs = { reportedAtMs: NOW_MS, lastCrashAtMs: CRASH_AT_MS };
const SILENT: Signs = { reportedAtMs: 9200, silentSinceMs: CRASH_AT_MS };

const CASES: readonly [name: string, others: readonly Signs[], expected: boolean][] = [
  ['no other worker', [], false],
  ['one of six', [UP, UP, UP, UP, UP], false],
  ['three of six', [CRASHED, SILENT, UP, UP, UP], false],
  ['four of six', [CRASHED, CRASHED, SILENT, UP, UP], true],
  ['others earlier', [{ ...CRASHED, lastCrashAtMs: 9000 }, UP], false],
  ['others silent since earlier', [{ ...SILENT, silentSinceMs: 9000 }, UP], false],
  ['others without their agents', [{ reportedAtMs: 9700 }, UP], true],
  ['others that no leader has heard of', [{}, {}], false],
  ['those of another service', [{ ...CRASHED, service: 'other' }, UP, UP], false],
];

const toWorker = (
  index: number,
  { reportedAtMs, service = 'service', ...signs }: Signs,
): workerTable.WorkerEntry => {
  const worker = workerTable.createWorkerEntry(`agent-${index}`, 'url', 0, 0, 0);
  if (reportedAtMs !== undefined) {
    worker.info = fixtures.makeWorkerInfo(`w${index}`, { service });
    worker.sample = { incarnationMs: 1, clockMs: 0, atMs: reportedAtMs };
  }
  return Object.assign(worker, signs);
};

test.describe('a crash is widespread', () => {
  for (const [name, others, expected] of CASES) {
    test.it(`${expected ? '' : 'not '}for ${name}`, () => {
      const workers = [CRASHED, ...others].map((signs, index) => toWorker(index, signs));
      const [first] = workers;
      assert.ok(first);
      const crash = { atMs: CRASH_AT_MS, toleranceMs: widespreadCrash.SAME_TIME_MS };
      assert.equal(widespreadCrash.isWidespread(workers, first, crash, NOW_MS), expected);
    });
  }
});
