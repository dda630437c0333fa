/**
 * Number of store writes that bursts of submissions and cancellations cost, counted by the stand-in.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as errors from '../../base/common/errors.js';
import * as jobSegments from '../../coordination/common/jobSegments.js';

import * as cellHarness from './cellHarness.js';

const SETTLE_MS = 3000;

const writesOf = (cell: cellHarness.TestCell): number => cell.store.calls().cas ?? 0;

const createLedCell = async (): Promise<[cellHarness.TestCell, cellHarness.TestLeader]> => {
  const cell = cellHarness.createCell();
  await cell.clock.advance(100);
  const held = await cell.startLeader('first');
  await cell.clock.advance(SETTLE_MS);
  return [cell, held];
};

const idsOf = (count: number): string[] =>
  Array.from({ length: count }, (_unused, index) => `job-${index}`);

nodeTest.test(
  'a burst of 1,000 small jobs and a burst of 500 cancellations cost few writes',
  async (context) => {
    const [cell, { leader }] = await createLedCell();
    const ids = idsOf(1000);
    const before = writesOf(cell);
    await Promise.all(ids.map((it) => leader.submit(cellHarness.makeJobSpec(it))));
    const submitWrites = writesOf(cell) - before;
    await cell.clock.advance(SETTLE_MS);
    const beforeWave = writesOf(cell);
    await leader.cancel(ids.slice(0, 500));
    const cancelWrites = writesOf(cell) - beforeWave;
    await cell.clock.advance(SETTLE_MS);
    const settled = writesOf(cell) - beforeWave;
    context.diagnostic(
      `submissions ${submitWrites} writes, cancellations ${cancelWrites}, ${settled} including the following 3 s`,
    );
    const cancelled = leader.jobs().filter((it) => it.state === 'cancelled');
    assert.equal(cancelled.length, 500);
    assert.ok(submitWrites <= 2 * jobSegments.SEGMENT_COUNT, `${submitWrites} writes`);
    assert.ok(cancelWrites <= 2 * jobSegments.SEGMENT_COUNT, `${cancelWrites} writes`);
    assert.ok(settled <= 12 * jobSegments.SEGMENT_COUNT, `${settled} writes`);
    await cell.dispose();
  },
);

nodeTest.test('a cell with too many jobs refuses more as overloaded', async () => {
  // A customer submits too many jobs. Without a bound a segment would exceed the largest value of the store,
  // and no start or cancellation of any of its jobs could be written any more.
  const [cell, { leader }] = await createLedCell();
  const payload = 'x'.repeat(4096);
  const answers = await Promise.allSettled(
    idsOf(2000).map((it) => leader.submit(cellHarness.makeJobSpec(it, { payload }))),
  );
  const refused = answers.filter((it) => it.status === 'rejected');
  assert.ok(refused.length > 0);
  for (const { reason } of refused) assert.equal(errors.normalize(reason).kind, 'overloaded');
  assert.equal(leader.jobs().length, 2000 - refused.length);
  const { entries } = await cell.store.list('');
  const largest = Math.max(...entries.map((it) => it.value.length));
  assert.ok(largest <= jobSegments.MAX_SEGMENT_BYTES + 1000, `${largest} bytes`);
  await cell.dispose();
});
