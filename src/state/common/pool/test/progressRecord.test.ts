/**
 * Tests of a job's stored progress, also as earlier versions wrote it.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as progressRecord from '../progressRecord.js';

const ROW: progressRecord.TaskRow = {
  occurrence: 0,
  step: 1,
  index: 2,
  run: 3,
  phase: 'assigned',
  failures: 1,
  failedRun: 2,
  workerId: 'w',
  incarnationMs: 5,
  agentId: 'agent',
  saved: 'checkpoint',
  startedAtWallMs: 7,
  distanceFactor: 3,
  workMs: 8,
  earlierDoneRun: 0,
  openOrders: [],
};

const EARLIER_ROW = [0, 1, 2, 3, 1, 1, 2, 'w', 5, 'agent', 'checkpoint', 7, 3, 8, 0];

const OPEN_ORDERS: readonly progressRecord.OpenOrder[] = [
  { agentId: 'agent', workerId: 'w', untilWallMs: 20 },
  { agentId: 'other', workerId: 'v', untilWallMs: 10 },
];

const CRASHES: readonly progressRecord.WorkerCrash[] = [
  { run: 1, ranMs: 10, evidence: 'lastStarted' },
  { run: 3, ranMs: 1000, evidence: 'alone' },
];

const textOf = (row: readonly unknown[]): string =>
  JSON.stringify({ state: 'running', endedAtMs: 0, tasks: [row] });

const encode = (row: progressRecord.TaskRow): string =>
  progressRecord.encodeProgress({ state: 'running', endedAtMs: 0, tasks: [row] });

const CASES: readonly [name: string, text: string, expected: progressRecord.TaskRow][] = [
  ['without open orders', encode(ROW), ROW],
  [
    'with open orders at two agents',
    encode({ ...ROW, openOrders: OPEN_ORDERS }),
    { ...ROW, openOrders: OPEN_ORDERS },
  ],
  [
    'with crashes of workers and open orders',
    encode({ ...ROW, openOrders: OPEN_ORDERS, crashes: CRASHES, limitedStarts: 1 }),
    { ...ROW, openOrders: OPEN_ORDERS, crashes: CRASHES, limitedStarts: 1 },
  ],
  ['of an earlier version without an open order', textOf([...EARLIER_ROW, 0]), ROW],
  [
    'of an earlier version with an open order of the last run',
    textOf([...EARLIER_ROW, 20]),
    { ...ROW, openOrders: OPEN_ORDERS.slice(0, 1) },
  ],
];

test.describe('progressRecord', () => {
  for (const [name, text, expected] of CASES) {
    test.it(`reads a row ${name}`, () => {
      assert.deepEqual(progressRecord.decodeProgress(text).tasks, [expected]);
    });
  }

  // Guards against an earlier version that takes the crashes of a row for open orders.
  test.it('leaves the rows that earlier versions read as they were', () => {
    const withCrashes = JSON.parse(encode({ ...ROW, crashes: CRASHES })) as { tasks: unknown };
    const without = JSON.parse(encode(ROW)) as { tasks: unknown };
    assert.deepEqual(withCrashes.tasks, without.tasks);
  });

  // Guards against an earlier version that leads again and does not wait for an order of this one.
  test.it('tells an earlier version until when an order may arrive', () => {
    const { tasks } = JSON.parse(encode({ ...ROW, openOrders: OPEN_ORDERS })) as {
      tasks: unknown[][];
    };
    assert.equal(tasks[0]?.[15], 20);
  });
});
