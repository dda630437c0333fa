/**
 * What a worker's report says about runs that it does not list.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolWorker from '../../../../state/common/pool/poolWorker.js';
import * as reportReconciliation from '../reportReconciliation.js';
import * as workerTable from '../workerTable.js';
import * as fixtures from './poolFixtures.js';

const NOW_MS = 1000;
const FENCE = 8;

/** A list of ends that names another run. */
const OTHER_ENDS: readonly poolWorker.EndedRun[] = [
  { sequence: 1, task: 'other.0.0.0', run: 1, how: 'done', saved: '' },
];

interface Case {
  readonly name: string;
  readonly phase: workerTable.RunPhase;
  readonly mayOmitEnds: boolean;
  /** What the run counts as. */
  readonly change: 'gone' | 'missing' | undefined;
}

const { ordering, present, stopping, closing } = workerTable.RunPhase;

const CASES: readonly Case[] = [
  { name: 'one that was there', phase: present, mayOmitEnds: false, change: 'missing' },
  { name: 'one that may be there', phase: closing, mayOmitEnds: false, change: 'gone' },
  { name: 'one that is ordered', phase: ordering, mayOmitEnds: false, change: undefined },
  { name: 'one that is stopped', phase: stopping, mayOmitEnds: false, change: undefined },
  // Guards against done runs that are started again: the list of ends was full, and theirs came later.
  {
    name: 'one that was there, with a full list of ends',
    phase: present,
    mayOmitEnds: true,
    change: undefined,
  },
  {
    name: 'one that may be there, with a full list of ends',
    phase: closing,
    mayOmitEnds: true,
    change: undefined,
  },
];

test.describe('a run that a report does not list', () => {
  for (const { name, phase, mayOmitEnds, change } of CASES) {
    test.it(name, () => {
      const worker = workerTable.createWorkerEntry('agent', 'http://a:1', 1, 0, 0);
      const run = fixtures.addRun(worker, {}, phase);
      run.closeFence = FENCE;
      const view = {
        incarnationMs: 1,
        clockMs: 1,
        running: [],
        ended: OTHER_ENDS,
        ...(mayOmitEnds ? { mayOmitEnds } : {}),
      };
      const changes = reportReconciliation.applyReport(worker, { view, viewFence: FENCE }, NOW_MS);
      assert.deepEqual(changes.gone, change === 'gone' ? [run] : []);
      assert.deepEqual(changes.missing, change === 'missing' ? [run] : []);
      assert.equal(worker.runs.size, change === 'gone' ? 0 : 1);
      assert.equal(run.phase, phase);
    });
  }
});
