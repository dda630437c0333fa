/**
 * Which units of a large step a planning round looks at.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as jobState from '../jobState.js';
import * as readyQueue from '../readyQueue.js';
import * as runtimeEstimates from '../runtimeEstimates.js';
import * as fixtures from './poolFixtures.js';

const NOW_MS = 10_000;

interface Case {
  readonly name: string;
  readonly step: Partial<poolJob.Step>;
  readonly openStarts?: number;
  /** The first tasks have an open order, or back off. */
  readonly bound?: number;
  readonly backingOff?: number;
  readonly units: number;
}

const { MAX_OPEN_STARTS } = readyQueue;

const CASES: readonly Case[] = [
  { name: 'all tasks of a small step', step: { count: MAX_OPEN_STARTS }, units: MAX_OPEN_STARTS },
  { name: 'some of a large step', step: { count: 5000 }, units: MAX_OPEN_STARTS },
  {
    name: 'fewer while others of the step are on their way',
    step: { count: 5000 },
    openStarts: 200,
    units: MAX_OPEN_STARTS - 200,
  },
  { name: 'none while as many are', step: { count: 5000 }, openStarts: MAX_OPEN_STARTS, units: 0 },
  {
    // Guards against a step that waits as a whole for the tasks that may start nowhere for a while.
    name: 'tasks with an open order besides',
    step: { count: 5000 },
    bound: 300,
    units: MAX_OPEN_STARTS + 300,
  },
  {
    name: 'others in place of those that back off',
    step: { count: 5000 },
    backingOff: 300,
    units: MAX_OPEN_STARTS,
  },
  { name: 'a gang as one, whatever its size', step: { count: 5000, isGang: true }, units: 1 },
];

test.describe('a planning round looks at', () => {
  for (const { name, step, openStarts = 0, bound = 0, backingOff = 0, units } of CASES) {
    // Guards against a round that lasts longer than the leader's lease with the number of tasks that wait.
    test.it(name, () => {
      const entry = jobState.createJobEntry(fixtures.makeJob([step]), 0);
      const tasks = jobState.tasksOf(entry);
      for (const task of tasks.slice(0, bound)) {
        task.openOrders = [{ agentId: 'a', workerId: 'w', untilWallMs: NOW_MS }];
      }
      for (const task of tasks.slice(0, backingOff)) task.notBeforeMs = NOW_MS + 1;
      const queue = readyQueue.createReadyQueue(runtimeEstimates.createRuntimeEstimates());
      const found = queue.units([entry], NOW_MS, NOW_MS, undefined, (stepKey) =>
        stepKey === 'job.0.0' ? openStarts : 0,
      );
      assert.equal(found.length, units);
    });
  }
});
