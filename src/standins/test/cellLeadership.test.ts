/**
 * Takeovers, store outages, lost answers and lost workers of a cell, with production leaders and agents and
 * stand-ins for the platform, on a fake clock.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import type * as memoryWorker from '../memoryWorker.js';

import * as cellHarness from './cellHarness.js';

const isLive = (it: memoryWorker.RunRecord): boolean => it.endedAtMs === undefined;

/** Number of runs that overlap in time with a later run of the same member. */
const overlaps = (runs: readonly memoryWorker.RunRecord[]): number =>
  runs.filter((a, index) =>
    runs
      .slice(index + 1)
      .some(
        (b) =>
          a.key.split('/')[2] === b.key.split('/')[2] &&
          a.startedAtMs < (b.endedAtMs ?? Infinity) &&
          b.startedAtMs < (a.endedAtMs ?? Infinity),
      ),
  ).length;

const SETTLE_MS = 3000;

/** After this time the uptime of the agents is long enough for their votes to count. */
const VOTING_UPTIME_MS = 40_000;

const withCell = async (run: (cell: cellHarness.TestCell) => Promise<void>): Promise<void> => {
  const cell = cellHarness.createCell();
  try {
    await cell.clock.advance(100);
    await run(cell);
  } finally {
    await cell.dispose();
  }
};

const leadAndSubmit = async (cell: cellHarness.TestCell): Promise<cellHarness.TestLeader> => {
  const first = await cell.startLeader('first');
  await cell.clock.advance(SETTLE_MS);
  const spec = cellHarness.makeJobSpec('gang', { members: 3, acceleratorsPerMember: 4 });
  await first.leader.submit(spec);
  await cell.clock.advance(SETTLE_MS);
  assert.equal(first.leader.show('gang').state, 'running');
  return first;
};

const kill = async (leader: cellHarness.TestLeader): Promise<void> => {
  leader.won.lease.abandon();
  await leader.leader.dispose();
};

nodeTest.test('a gang keeps running while its cell changes leaders', () =>
  // The scheduler is killed and another one takes over a few seconds later. The job stays running all the
  // time, because its agents keep its leases until the new leader renews them.
  withCell(async (cell) => {
    await kill(await leadAndSubmit(cell));
    await cell.clock.advance(cellHarness.STORE_LEASE_MS + 1000);
    const second = await cell.startLeader('second');
    await cell.clock.advance(60_000);
    assert.equal(second.leader.show('gang').state, 'running');
    assert.equal(cell.runsOf('gang').filter(isLive).length, 3);
    assert.equal(cell.runsOf('gang').length, 3);
  }),
);

nodeTest.test('running tasks survive a long store outage and no new task starts', () =>
  // The store is down for ten minutes, many times any lease. The running gang must not be affected, and a
  // submitted job is refused without having run. After the outage the old lease is gone and a new leader takes over.
  withCell(async (cell) => {
    const first = await leadAndSubmit(cell);
    await cell.clock.advance(VOTING_UPTIME_MS);
    cell.store.faults.isDown = true;
    await cell.clock.advance(cellHarness.TASK_LEASE_MS);
    await assert.rejects(first.leader.submit(cellHarness.makeJobSpec('late')), {
      kind: 'storeUnavailable',
    });
    await cell.clock.advance(600_000);
    assert.equal(first.won.lease.isHeld(), false);
    assert.equal(cell.runsOf('gang').filter(isLive).length, 3);
    cell.store.faults.isDown = false;
    await cell.clock.advance(SETTLE_MS);
    assert.equal(first.won.lease.isLost(), true);
    await kill(first);
    const second = await cell.startLeader('second');
    await cell.clock.advance(SETTLE_MS);
    assert.equal(second.leader.show('gang').state, 'running');
    assert.equal(cell.runsOf('gang').length, 3);
    assert.equal(cell.runsOf('late').length, 0);
  }),
);

nodeTest.test(
  'a previous leader that is the only one to reach a worker can not make its job run twice',
  () =>
    // The first leader loses the store and two of three agents, but still serves the third. The second
    // leader reaches the other two. If the first kept renewing leases, the job would run on the third
    // worker while the second leader restarts it on another one.
    withCell(async (cell) => {
      const first = await cell.startLeader('first');
      await cell.clock.advance(SETTLE_MS);
      await first.leader.submit(cellHarness.makeJobSpec('job', { acceleratorsPerMember: 4 }));
      await cell.clock.advance(VOTING_UPTIME_MS);
      const workerId = first.leader.show('job').placement[0]?.workerId ?? '';
      cell.cut.add('first store');
      for (const { info } of cell.agents) {
        cell.cut.add(`${info.workerId === workerId ? 'second' : 'first'} ${info.workerId}`);
      }
      await cell.clock.advance(cellHarness.STORE_LEASE_MS + 1000);
      const second = await cell.startLeader('second');
      await cell.clock.advance(10_000);
      assert.equal(cell.runsOf('job').length, 1);
      await cell.clock.advance(60_000);
      assert.equal(second.leader.show('job').state, 'running');
      assert.equal(cell.runsOf('job').length, 2);
      assert.equal(overlaps(cell.runsOf('job')), 0);
    }),
);

nodeTest.test('a commit whose answer is lost starts the gang once', () =>
  // The store applies the write that commits a placement, but its answer is lost. The leader reads the
  // record back and finds its own write id; treating the write as failed would start a second attempt.
  withCell(async (cell) => {
    const first = await cell.startLeader('first');
    await cell.clock.advance(SETTLE_MS);
    cell.store.faults.loseWriteAnswers = 3;
    await first.leader.submit(cellHarness.makeJobSpec('job'));
    await cell.clock.advance(SETTLE_MS);
    assert.equal(first.leader.show('job').state, 'running');
    assert.equal(cell.runsOf('job').length, 1);
  }),
);

nodeTest.test('a start whose answer from the worker is lost runs once', () =>
  withCell(async (cell) => {
    const first = await cell.startLeader('first');
    await cell.clock.advance(SETTLE_MS);
    cell.agents.forEach((it) => {
      it.worker.faults.loseAnswers = 1;
    });
    await first.leader.submit(cellHarness.makeJobSpec('job'));
    await cell.clock.advance(SETTLE_MS);
    assert.equal(first.leader.show('job').state, 'running');
    assert.equal(cell.runsOf('job').length, 1);
  }),
);

nodeTest.test('a gang that loses a machine stops completely and restarts completely', () =>
  // A VM fails with its worker and its agent. When its leases have expired, the other members are stopped
  // and the gang is placed again; until it has enough machines it waits, and no member of it runs.
  withCell(async (cell) => {
    const first = await cell.startLeader('first');
    await cell.clock.advance(SETTLE_MS);
    await first.leader.submit(
      cellHarness.makeJobSpec('gang', { members: 2, acceleratorsPerMember: 4 }),
    );
    await cell.clock.advance(SETTLE_MS);
    const workerId = first.leader.show('gang').placement[0]?.workerId ?? '';
    cell.cut.add(`first ${workerId}`);
    cell.agents.find((it) => it.info.workerId === workerId)?.worker.crash();
    await cell.clock.advance(cellHarness.TASK_LEASE_MS + 10_000);
    assert.equal(first.leader.show('gang').state, 'running');
    assert.equal(cell.runsOf('gang').filter(isLive).length, 2);
    assert.equal(overlaps(cell.runsOf('gang')), 0);
  }),
);

nodeTest.test('a live but unreachable worker stops its task before it runs on another worker', () =>
  withCell(async (cell) => {
    const first = await cell.startLeader('first');
    await cell.clock.advance(SETTLE_MS);
    await first.leader.submit(cellHarness.makeJobSpec('job', { acceleratorsPerMember: 4 }));
    await cell.clock.advance(SETTLE_MS);
    cell.cut.add(`first ${first.leader.show('job').placement[0]?.workerId ?? ''}`);
    await cell.clock.advance(40_000);
    assert.equal(first.leader.show('job').state, 'running');
    assert.equal(cell.runsOf('job').length, 2);
    assert.equal(overlaps(cell.runsOf('job')), 0);
  }),
);

nodeTest.test('a task keeps running while its agent is replaced', () =>
  withCell(async (cell) => {
    const first = await leadAndSubmit(cell);
    cell.agents[0]?.restart();
    await cell.clock.advance(60_000);
    assert.equal(first.leader.show('gang').state, 'running');
    assert.equal(cell.runsOf('gang').length, 3);
  }),
);

nodeTest.test(
  'a job that was being stopped when its leader ended is stopped by the next leader',
  () =>
    // An operator cancels; the leader stores the cancellation and ends before any stop is sent. The next
    // leader finds the members running and must send the stops itself.
    withCell(async (cell) => {
      const first = await leadAndSubmit(cell);
      for (const { info } of cell.agents) cell.cut.add(`first ${info.workerId}`);
      await first.leader.cancel(['gang']);
      await kill(first);
      assert.equal(cell.runsOf('gang').filter(isLive).length, 3);
      await cell.clock.advance(cellHarness.STORE_LEASE_MS + 500);
      const second = await cell.startLeader('second');
      await cell.clock.advance(SETTLE_MS);
      assert.equal(second.leader.show('gang').state, 'cancelled');
      assert.equal(cell.runsOf('gang').filter(isLive).length, 0);
    }),
);

nodeTest.test('a finished member still counts as finished after its leader has ended', () =>
  // One member of a gang is done and the other still runs when the leader is killed. The next leader
  // must not treat the finished member as lost, or the whole gang would run again.
  withCell(async (cell) => {
    const first = await leadAndSubmit(cell);
    await first.leader.cancel(['gang']);
    await cell.clock.advance(SETTLE_MS);
    await first.leader.submit(
      cellHarness.makeJobSpec('pair', { members: 2, acceleratorsPerMember: 4 }),
    );
    await cell.clock.advance(SETTLE_MS);
    const workerId = first.leader.show('pair').placement[0]?.workerId ?? '';
    cell.agents.find((it) => it.info.workerId === workerId)?.worker.finish('pair/1/0');
    await cell.clock.advance(30_000);
    await kill(first);
    await cell.clock.advance(cellHarness.STORE_LEASE_MS + 500);
    const second = await cell.startLeader('second');
    await cell.clock.advance(30_000);
    assert.equal(second.leader.show('pair').state, 'running');
    assert.equal(cell.runsOf('pair').length, 2);
  }),
);
