/**
 * Tests of single parts of a pool, for checks whose absence an end-to-end test would not reveal.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as reportReconciliation from '../../coordination/common/pool/reportReconciliation.js';
import * as workerTable from '../../coordination/common/pool/workerTable.js';
import * as poolAgent from '../../coordination/node/pool/poolAgent.js';
import * as progressWriter from '../../coordination/node/pool/progressWriter.js';
import type * as agentContract from '../../state/common/pool/agentContract.js';
import * as poolWorker from '../../state/common/pool/poolWorker.js';
import * as memoryStore from '../memoryStore.js';

const put = (store: memoryStore.MemoryStore, key: string, value: string) =>
  store.transact({ conditions: [], puts: [{ key, value }], removes: [] });

test.describe('progressWriter', () => {
  // A previous leader has not noticed the takeover. Its write of a job that the new leader has not written
  // yet would start the job a second time.
  test.it('writes nothing after a takeover by another leader', async () => {
    const time = clock.createFakeClock();
    const store = memoryStore.createMemoryStore(time);
    await put(store, 'leader', 'first');
    const { revision = 0 } = (await store.get('leader')) ?? {};
    await put(store, 'leader', 'second');
    const conflicts: string[] = [];
    const writer = progressWriter.createProgressWriter({
      store,
      clock: time,
      log: logging.silentLog,
      metrics: metrics.createMetrics(),
      leadership: { key: 'leader', revision },
      recordOf: (jobId) => ({ key: jobId, value: 'progress', revision: 0 }),
      onDidWrite: () => assert.fail('no write may succeed'),
      onDidRefuse: () => assert.fail('no record is refused'),
      onDidFindCancel: () => assert.fail('no job is cancelled'),
      onDidConflict: (reason) => conflicts.push(reason),
    });
    void writer.save('job');
    await time.advance(1000);
    assert.equal(conflicts.length, 1);
    assert.equal(await store.get('job'), undefined);
    writer.dispose();
  });
});

test.describe('viewIntake', () => {
  const CASES: readonly [name: string, viewFence: number, isGone: boolean][] = [
    // The worker does not list the run, but the order that starts it may still be in flight.
    ['a report with the fence of the order itself does not show that the run is gone', 4, false],
    ['a report with the next fence shows that the run is gone', 5, true],
  ];
  for (const [name, viewFence, isGone] of CASES) {
    test.it(name, () => {
      const worker = workerTable.createWorkerEntry('agent', 'http://a:1', 5, 0, 0);
      fixtures.addRun(worker, {}, workerTable.RunPhase.closing).closeFence = 5;
      const view = { incarnationMs: 1, clockMs: 1, running: [], ended: [] };
      const facts = reportReconciliation.applyReport(worker, { view, viewFence }, 0);
      assert.equal(facts.gone.length, isGone ? 1 : 0);
      assert.equal(worker.runs.size, isGone ? 0 : 1);
    });
  }
});

const INFO: poolWorker.WorkerInfo = {
  workerId: 'w',
  incarnationMs: 5,
  service: 's',
  zone: 'z',
  state: 'ready',
  capacity: { cpuMillicores: 1, memoryMb: 1, accelerators: 1 },
  labels: [],
};

const createAgent = (
  answers: readonly agentContract.WorkerAnswer[],
  onStart?: (agent: poolAgent.PoolAgent) => void,
): { agent: poolAgent.PoolAgent; starts: () => number } => {
  let starts = 0;
  const accepted: agentContract.WorkerAnswer = { outcome: 'accepted', reason: '' };
  const agent: poolAgent.PoolAgent = poolAgent.createPoolAgent({
    worker: {
      start: () => {
        starts += 1;
        onStart?.(agent);
        return Promise.resolve(answers[starts - 1] ?? accepted);
      },
      stop: () => Promise.resolve(accepted),
      pace: () => Promise.resolve(accepted),
      view: () => Promise.resolve({ outcome: 'refused', reason: 'test' }),
    },
    clock: clock.createFakeClock(),
    log: logging.silentLog,
    metrics: metrics.createMetrics(),
    bootId: 'boot',
  });
  agent.recordHeartbeat({ info: INFO, sequence: 1 });
  return { agent, starts: () => starts };
};

const ORDER: agentContract.OrderRequest = {
  fence: 5,
  workerId: 'w',
  incarnationMs: 5,
  payloads: { j: 'text' },
  starts: [{ task: 'j.0.0.0', run: 1, jobId: 'j', leaseUntilMs: 9, saved: '' }],
  stops: [],
  paces: [],
};

const UNKNOWN: agentContract.WorkerAnswer = { outcome: 'unknown', reason: 'silence' };
const REFUSED: agentContract.WorkerAnswer = { outcome: 'refused', reason: 'room' };

interface AgentCase {
  readonly name: string;
  readonly answers: readonly agentContract.WorkerAnswer[];
  readonly before?: (agent: poolAgent.PoolAgent) => void;
  /** Called while the worker handles the start. */
  readonly meanwhile?: (agent: poolAgent.PoolAgent) => void;
  readonly order?: Partial<agentContract.OrderRequest>;
  readonly outcome: agentContract.OrderOutcome;
  readonly starts: number;
}

const AGENT_CASES: readonly AgentCase[] = [
  { name: 'a start is sent', answers: [], outcome: 'accepted', starts: 1 },
  { name: 'a refusal is reported', answers: [REFUSED], outcome: 'refused', starts: 1 },
  {
    name: 'an order without an answer is sent again',
    answers: [UNKNOWN],
    outcome: 'accepted',
    starts: 2,
  },
  {
    // The first copy got no answer and may arrive late; the refusal of the second for lack of capacity
    // does not show whether the first is executed.
    name: 'a refusal after an attempt without an answer leaves the outcome unknown',
    answers: [UNKNOWN, REFUSED],
    outcome: 'unknown',
    starts: 2,
  },
  {
    name: 'after three attempts without an answer the outcome is unknown',
    answers: [UNKNOWN, UNKNOWN, UNKNOWN],
    outcome: 'unknown',
    starts: 3,
  },
  {
    // The first copy may have been executed and its task be done. If the order were sent again to a new
    // incarnation with the same id, which does not know the run, the task would run once more.
    name: 'an order without an answer is not sent again to another incarnation',
    answers: [UNKNOWN],
    meanwhile: (agent) => {
      agent.recordHeartbeat({ info: { ...INFO, incarnationMs: 6 }, sequence: 1 });
    },
    outcome: 'unknown',
    starts: 1,
  },
  {
    name: 'the order addresses another incarnation of the worker',
    answers: [],
    order: { incarnationMs: 4 },
    outcome: 'refused',
    starts: 0,
  },
  {
    name: 'the worker is draining',
    answers: [],
    before: (agent) => {
      agent.recordHeartbeat({ info: { ...INFO, state: 'draining' }, sequence: 2 });
    },
    outcome: 'refused',
    starts: 0,
  },
  {
    // A heartbeat delayed by a cut link arrives after its sender has crashed and a new incarnation has
    // registered: it must not replace the current incarnation.
    name: 'a heartbeat of a previous incarnation changes nothing',
    answers: [],
    before: (agent) => {
      agent.recordHeartbeat({
        info: { ...INFO, incarnationMs: 4, state: 'draining' },
        sequence: 99,
      });
    },
    outcome: 'accepted',
    starts: 1,
  },
  {
    name: 'an older heartbeat of the same incarnation changes nothing',
    answers: [],
    before: (agent) => {
      agent.recordHeartbeat({ info: { ...INFO, state: 'draining' }, sequence: 1 });
    },
    outcome: 'accepted',
    starts: 1,
  },
];

test.describe('poolAgent', () => {
  for (const it of AGENT_CASES) {
    test.it(it.name, async () => {
      const { agent, starts } = createAgent(it.answers, it.meanwhile);
      it.before?.(agent);
      const reply = await agent.order({ ...ORDER, ...it.order });
      assert.equal(reply.starts[0]?.outcome, it.outcome);
      assert.equal(starts(), it.starts);
      void agent.dispose();
    });
  }

  // A previous leader still sends an order after a takeover.
  test.it('an order of a previous leader is refused', async () => {
    const { agent, starts } = createAgent([]);
    await agent.order({ ...ORDER, starts: [] });
    await assert.rejects(
      agent.order({ ...ORDER, fence: 4 }),
      (thrown) => errors.normalize(thrown).kind === 'staleEpoch',
    );
    assert.equal(starts(), 0);
    void agent.dispose();
  });
});
