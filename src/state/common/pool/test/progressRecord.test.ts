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

interface SizeCase {
  readonly name: string;
  readonly saved: string;
  /** Bytes that the store takes, beyond the record without checkpoints. */
  readonly spareBytes: number;
  readonly isKept: boolean;
}

const SIZE_CASES: readonly SizeCase[] = [
  { name: 'are kept where they fit', saved: 'x'.repeat(500), spareBytes: 1000, isKept: true },
  {
    name: 'are left out where they do not',
    saved: 'x'.repeat(500),
    spareBytes: 999,
    isKept: false,
  },
  { name: 'count in bytes', saved: 'ü'.repeat(500), spareBytes: 1999, isKept: false },
  { name: 'of no length change nothing', saved: '', spareBytes: 0, isKept: true },
];

test.describe('checkpoints in the record of a job', () => {
  for (const { name, saved, spareBytes, isKept } of SIZE_CASES) {
    // Guards against a job that never goes on since the checkpoints of its tasks make its record too large for the store.
    test.it(name, () => {
      const record = (text: string): progressRecord.ProgressRecord => ({
        state: 'running',
        endedAtMs: 0,
        tasks: [ROW, { ...ROW, index: 3 }].map((row) => ({ ...row, saved: text })),
      });
      const maxBytes = progressRecord.encodeProgress(record('')).length + spareBytes;
      const value = progressRecord.encodeProgressWithin(record(saved), maxBytes);
      const decoded = progressRecord.decodeProgress(value);
      assert.deepEqual(decoded, record(isKept ? saved : ''));
    });
  }
});
