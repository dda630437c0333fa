/**
 * Where tasks with open orders may start, and which room is held for their retry.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as progressRecord from '../../../../state/common/pool/progressRecord.js';
import * as delayedOrders from '../delayedOrders.js';
import * as jobState from '../jobState.js';
import * as startPlaces from '../startPlaces.js';
import * as workerSuspicion from '../workerSuspicion.js';
import * as workerTable from '../workerTable.js';
import * as fixtures from './poolFixtures.js';

const NOW = { monotonicMs: 100_000, wallMs: 1_700_000_000_000 };

/** The workers w0 and w1 with their agents agent-0 and agent-1; both have just answered. */
const createWorkers = (): Map<string, workerTable.WorkerEntry> => {
  const workers = new Map<string, workerTable.WorkerEntry>();
  for (const index of [0, 1]) {
    const agentId = `agent-${index}`;
    const worker = workerTable.createWorkerEntry(agentId, `http://${agentId}:1`, 1, 0, 0);
    worker.isReachable = true;
    worker.sample = { incarnationMs: 1, clockMs: 0, atMs: NOW.monotonicMs };
    worker.info = fixtures.makeWorkerInfo(`w${index}`);
    workers.set(agentId, worker);
  }
  return workers;
};

/** Opens an order of a task at a worker, sent that long ago. */
const openOrder = (task: jobState.TaskEntry, index: number, ageMs = 0): void => {
  const target = { agentId: `agent-${index}`, workerId: `w${index}` };
  task.openOrders = delayedOrders.addOpenOrder(task.openOrders, target, NOW, ageMs);
};

/** Changes what the leader knows of w0. */
type Change = (worker: workerTable.WorkerEntry) => void;

const withInfo =
  (changes: Partial<workerTable.WorkerEntry['info'] & object>): Change =>
  (worker) => {
    if (worker.info !== undefined) worker.info = { ...worker.info, ...changes };
  };

interface PlaceCase {
  readonly name: string;
  /** Ages of the open orders by index of the worker. */
  readonly orderAgesMs: Readonly<Record<number, number>>;
  readonly change?: Change;
  readonly avoided?: string;
  readonly expected: string;
}

const PLACE_CASES: readonly PlaceCase[] = [
  { name: 'no open order', orderAgesMs: {}, expected: 'anywhere' },
  { name: 'a worker that answers', orderAgesMs: { 0: 2000 }, expected: 'onWorker w0' },
  {
    name: 'an order that can arrive for a moment',
    orderAgesMs: { 0: 11_999 },
    expected: 'onWorker w0',
  },
  { name: 'an order that can no longer arrive', orderAgesMs: { 0: 12_000 }, expected: 'anywhere' },
  { name: 'orders to two workers', orderAgesMs: { 0: 2000, 1: 1000 }, expected: 'nowhere' },
  {
    name: 'two workers, one order over',
    orderAgesMs: { 0: 12_500, 1: 1000 },
    expected: 'onWorker w1',
  },
  {
    name: 'a silent worker',
    orderAgesMs: { 0: 2000 },
    change: (worker) => {
      worker.sample = { incarnationMs: 1, clockMs: 0, atMs: NOW.monotonicMs - 1600 };
    },
    expected: 'nowhere',
  },
  {
    name: 'a new incarnation that has not answered',
    orderAgesMs: { 0: 2000 },
    change: withInfo({ incarnationMs: 2 }),
    expected: 'nowhere',
  },
  {
    name: 'a draining worker',
    orderAgesMs: { 0: 2000 },
    change: withInfo({ state: 'draining' }),
    expected: 'nowhere',
  },
  {
    name: 'a suspect worker',
    orderAgesMs: { 0: 2000 },
    change: ({ suspicion }) => {
      workerSuspicion.suspect(suspicion, NOW.monotonicMs);
    },
    expected: 'nowhere',
  },
  {
    name: 'a worker that the task avoids',
    orderAgesMs: { 0: 2000 },
    avoided: 'w0',
    expected: 'nowhere',
  },
  {
    name: 'a worker that has shut down',
    orderAgesMs: { 0: 2000 },
    change: withInfo({ state: 'gone' }),
    expected: 'anywhere',
  },
  {
    name: 'a worker with another id',
    orderAgesMs: { 0: 2000 },
    change: withInfo({ workerId: 'w9' }),
    expected: 'anywhere',
  },
  {
    name: 'a worker of which nothing is known',
    orderAgesMs: { 0: 2000 },
    change: (worker) => {
      worker.info = undefined;
    },
    expected: 'nowhere',
  },
];

test.describe('where a task with open orders may start', () => {
  for (const it of PLACE_CASES) {
    test.it(it.name, () => {
      const workers = createWorkers();
      const [task] = jobState.tasksOf(jobState.createJobEntry(fixtures.makeJob([{}]), 0));
      const first = workers.get('agent-0');
      assert.ok(task && first);
      for (const [index, ageMs] of Object.entries(it.orderAgesMs)) {
        openOrder(task, Number(index), ageMs);
      }
      if (it.avoided !== undefined) task.avoidedWorkerIds.push(it.avoided);
      it.change?.(first);
      const place = startPlaces.startPlaceOf(workers, task, NOW);
      const text = place.kind === 'onWorker' ? `${place.kind} ${place.workerId}` : place.kind;
      assert.equal(text, it.expected);
    });
  }
});

interface RoomCase {
  readonly name: string;
  readonly isGang?: boolean;
  /** Starts of the first task that were not accepted. */
  readonly refusals: number;
  /** The first task is placed by the round itself. */
  readonly isInRound?: boolean;
  readonly change?: (entry: jobState.JobEntry, task: jobState.TaskEntry) => void;
  /** Accelerators held on w0 for the first task, which takes five. */
  readonly heldAccelerators: number;
}

const ROOM_CASES: readonly RoomCase[] = [
  { name: 'a retry that backs off', refusals: 1, heldAccelerators: 5 },
  {
    name: 'a member of a gang whose others still stop',
    isGang: true,
    refusals: 1,
    heldAccelerators: 5,
  },
  { name: 'a task that was preempted', refusals: 0, heldAccelerators: 0 },
  { name: 'a retry that the round places', refusals: 1, isInRound: true, heldAccelerators: 0 },
  {
    name: 'a task that runs',
    refusals: 1,
    change: (_, task) => {
      task.phase = progressRecord.TaskPhase.assigned;
    },
    heldAccelerators: 0,
  },
  {
    name: 'a task that avoids the worker',
    refusals: 4,
    change: (_, task) => {
      task.avoidedWorkerIds.push('w0');
    },
    heldAccelerators: 0,
  },
  {
    name: 'a cancelled job',
    refusals: 1,
    change: (entry) => {
      entry.isCancelled = true;
    },
    heldAccelerators: 0,
  },
];

test.describe('room that is held for a retry', () => {
  for (const it of ROOM_CASES) {
    test.it(it.name, () => {
      const workers = createWorkers();
      const step = {
        count: 2,
        isGang: it.isGang === true,
        resources: { cpuMillicores: 1000, memoryMb: 1000, accelerators: 5 },
      };
      const job = fixtures.makeJob([step]);
      const entry = jobState.createJobEntry(job, 0);
      const [task] = jobState.tasksOf(entry);
      assert.ok(task);
      openOrder(task, 0);
      task.refusals = it.refusals;
      it.change?.(entry, task);
      const planWorker = fixtures.makeWorker('w0');
      const [unit] = fixtures.makeUnits([job]);
      assert.ok(unit);
      const placed = { ...unit, unit: { ...unit.unit, tasks: [task] } };
      startPlaces.holdRetryRooms({
        workers,
        entries: [entry],
        planWorkers: [planWorker],
        units: it.isInRound === true ? [placed] : [],
        now: NOW,
      });
      assert.equal(8 - planWorker.free.accelerators, it.heldAccelerators);
    });
  }
});
