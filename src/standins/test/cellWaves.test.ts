/**
 * What waves cost the platform's store: writes are counted by the stand-in.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as errors from '../../base/common/errors.js';
import * as jobSegments from '../../coordination/common/jobSegments.js';

import * as cellKit from './cellKit.js';

const SETTLE_MS = 3000;

const writesOf = (cell: cellKit.TestCell): number => cell.store.calls().cas ?? 0;

const led = async (): Promise<[cellKit.TestCell, cellKit.TestLeader]> => {
  const cell = cellKit.createCell();
  await cell.clock.advance(100);
  const held = await cell.lead('first');
  await cell.clock.advance(SETTLE_MS);
  return [cell, held];
};

const idsOf = (count: number): string[] =>
  Array.from({ length: count }, (_unused, index) => `job-${index}`);

nodeTest.test(
  'a burst of 1,000 small jobs and a wave of 500 cancellations cost few writes',
  async (context) => {
    const [cell, { leader }] = await led();
    const ids = idsOf(1000);
    const before = writesOf(cell);
    await Promise.all(ids.map((it) => leader.submit(cellKit.specOf(it))));
    const burst = writesOf(cell) - before;
    await cell.clock.advance(SETTLE_MS);
    const beforeWave = writesOf(cell);
    await leader.cancel(ids.slice(0, 500));
    const wave = writesOf(cell) - beforeWave;
    await cell.clock.advance(SETTLE_MS);
    const settled = writesOf(cell) - beforeWave;
    context.diagnostic(`burst ${burst} writes, wave ${wave}, with what followed in 3 s ${settled}`);
    const cancelled = leader.jobs().filter((it) => it.state === 'cancelled');
    assert.equal(cancelled.length, 500);
    assert.ok(burst <= 2 * jobSegments.SEGMENT_COUNT, `${burst} writes`);
    assert.ok(wave <= 2 * jobSegments.SEGMENT_COUNT, `${wave} writes`);
    assert.ok(settled <= 12 * jobSegments.SEGMENT_COUNT, `${settled} writes`);
    await cell.dispose();
  },
);

nodeTest.test(
  'a cell that keeps too many jobs refuses more and says that nothing ran',
  async () => {
    // A customer floods the cell. Without a bound a segment would outgrow the store's largest value;
    // then no start and no cancellation of any of its jobs could be written any more.
    const [cell, { leader }] = await led();
    const payload = 'x'.repeat(4096);
    const answers = await Promise.allSettled(
      idsOf(2000).map((it) => leader.submit(cellKit.specOf(it, { payload }))),
    );
    const refused = answers.filter((it) => it.status === 'rejected');
    assert.ok(refused.length > 0);
    for (const { reason } of refused) assert.equal(errors.normalize(reason).kind, 'overloaded');
    assert.equal(leader.jobs().length, 2000 - refused.length);
    const { entries } = await cell.store.list('');
    const largest = Math.max(...entries.map((it) => it.value.length));
    assert.ok(largest <= jobSegments.MAX_SEGMENT_BYTES + 1000, `${largest} bytes`);
    await cell.dispose();
  },
);
