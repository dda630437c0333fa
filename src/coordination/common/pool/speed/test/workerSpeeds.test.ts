/**
 * Speeds of workers learnt from their tasks: what shows a slow worker, and what does not.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as random from '../../../../../base/common/random.js';
import * as workerSpeeds from '../workerSpeeds.js';

const WORKERS = 12;
const IDS = Array.from({ length: WORKERS }, (_, index) => `worker-${index}`);
const SLOW_FACTOR = 2.4;

/** Slow for a caller who is owed one and a half times the work. */
const LATE_FACTOR = 1.5;

/** How a load differs from tasks that take what their step's others take. */
interface Load {
  readonly slowIds?: readonly string[];
  readonly runsPerWorker?: number;
  /** Declared work as a multiple of the true work, by step. */
  readonly declaredFactor?: (step: number) => number;
  /** Further factor of one run. */
  readonly runFactor?: (id: string, round: number) => number;
}

const learn = (load: Load): workerSpeeds.WorkerSpeeds => {
  const next = random.createRandom(7);
  const speeds = workerSpeeds.createWorkerSpeeds();
  for (let round = 0; round < (load.runsPerWorker ?? 4); round += 1) {
    IDS.forEach((id, index) => {
      // Six tasks a step, on other workers in each round.
      const step = 2 * round + (index % 2);
      const workMs = 2000 + 1000 * step;
      const own = load.slowIds?.includes(id) === true ? SLOW_FACTOR : 1;
      speeds.recordRun(id, {
        runKey: `${id}-${round}`,
        stepKey: String(step),
        timeMs: workMs * (0.85 + 0.3 * next()) * own * (load.runFactor?.(id, round) ?? 1),
        expectedMs: workMs * (load.declaredFactor?.(step) ?? 1),
      });
    });
    speeds.learn(new Set(IDS));
  }
  return speeds;
};

interface Case {
  readonly name: string;
  readonly load: Load;
  /** Workers that are found to be slow. */
  readonly slow: readonly string[];
}

const CASES: readonly Case[] = [
  { name: 'equal workers', load: {}, slow: [] },
  {
    name: 'slow workers',
    load: { slowIds: ['worker-1', 'worker-4', 'worker-7'] },
    slow: ['worker-1', 'worker-4', 'worker-7'],
  },
  {
    name: 'slow workers, each seen with three tasks',
    load: { slowIds: ['worker-1', 'worker-4', 'worker-7'], runsPerWorker: 3 },
    slow: ['worker-1', 'worker-4', 'worker-7'],
  },
  {
    name: 'slow workers, work declared between a tenth and ten times',
    load: {
      slowIds: ['worker-1', 'worker-4', 'worker-7'],
      declaredFactor: (step) => [0.1, 10, 1, 3, 0.3][step % 5] ?? 1,
    },
    slow: ['worker-1', 'worker-4', 'worker-7'],
  },
  {
    // Guards against declared work that is wrong and makes the workers look slow.
    name: 'equal workers, all work takes five times what is declared',
    load: { declaredFactor: () => 0.2 },
    slow: [],
  },
  {
    // Guards against a task that takes several times as long as its siblings and makes its worker look slow.
    name: 'one task of a worker takes seven times as long',
    load: { runFactor: (id, round) => (id === 'worker-3' && round === 2 ? 7 : 1) },
    slow: [],
  },
  {
    // Guards against a worker that is slow for some seconds and counts as slow for good.
    name: 'a worker is slow for two of twelve tasks',
    load: {
      runsPerWorker: 12,
      runFactor: (id, round) => (id === 'worker-3' && (round === 4 || round === 5) ? 4 : 1),
    },
    slow: [],
  },
  {
    // Guards against a trouble of the whole pool that makes its workers look slow.
    name: 'all workers are slow for two of six tasks',
    load: { runsPerWorker: 6, runFactor: (_, round) => (round === 2 || round === 3 ? 5 : 1) },
    slow: [],
  },
];

const slowIds = (speeds: workerSpeeds.WorkerSpeeds): string[] =>
  IDS.filter((id) => speeds.speedOf(id).factor > LATE_FACTOR);

test.describe('learnt speeds of workers', () => {
  for (const { name, load, slow } of CASES) {
    test.it(name, () => {
      assert.deepEqual(slowIds(learn(load)), slow);
    });
  }

  // Guards against placements that change in a pool in which there is nothing to learn.
  test.it('equal workers have exactly the factor 1', () => {
    const speeds = learn({ runsPerWorker: 8 });
    assert.deepEqual(new Set(IDS.map((id) => speeds.speedOf(id).factor)), new Set([1]));
  });

  test.it('too few tasks show nothing', () => {
    const speeds = learn({ slowIds: ['worker-1', 'worker-4'], runsPerWorker: 1 });
    assert.deepEqual(slowIds(speeds), []);
  });

  // Guards against bytes of another program that pass for a time.
  test.it('times that are none are left out', () => {
    const speeds = learn({});
    for (const timeMs of [0, -1, Number.NaN, Infinity]) {
      speeds.recordRun('worker-0', {
        runKey: `bad-${timeMs}`,
        stepKey: '1',
        timeMs,
        expectedMs: 1,
      });
      speeds.recordRun('worker-0', { runKey: 'bad', stepKey: '1', timeMs: 1000, expectedMs: 0 });
    }
    assert.equal(speeds.learn(new Set(IDS)), false);
  });

  test.it('a worker that is gone is forgotten', () => {
    const speeds = learn({ slowIds: ['worker-1', 'worker-4'] });
    const left = new Set(IDS.filter((id) => id !== 'worker-1'));
    speeds.learn(left);
    speeds.recordRun('worker-2', { runKey: 'r', stepKey: 's', timeMs: 1000, expectedMs: 1000 });
    speeds.learn(left);
    assert.deepEqual(speeds.speedOf('worker-1'), workerSpeeds.UNKNOWN_SPEED);
  });

  // Guards against a take-over after which workers differ that did not before.
  test.it('what another leader had learnt of equal workers changes nothing', () => {
    const before = learn({ runsPerWorker: 8 });
    const after = workerSpeeds.createWorkerSpeeds();
    for (const id of IDS) {
      const learnt = before.learntOf(id);
      assert.ok(learnt);
      after.restore(id, learnt);
    }
    assert.deepEqual(new Set(IDS.map((id) => after.speedOf(id).factor)), new Set([1]));
    after.learn(new Set(IDS));
    assert.deepEqual(new Set(IDS.map((id) => after.speedOf(id).factor)), new Set([1]));
  });

  // Guards against a new leader that sends urgent work to workers which the one before knew to be slow.
  test.it('what another leader had learnt counts at once', () => {
    const slow = ['worker-1', 'worker-4', 'worker-7'];
    const before = learn({ slowIds: slow });
    const after = workerSpeeds.createWorkerSpeeds();
    for (const id of IDS) {
      const learnt = before.learntOf(id);
      assert.ok(learnt);
      after.restore(id, learnt);
    }
    assert.deepEqual(slowIds(after), slow);
    after.learn(new Set(IDS));
    assert.deepEqual(slowIds(after), slow);
  });
});
