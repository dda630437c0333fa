/**
 * End-to-end tests of a pool under worker faults: the final state of jobs, and that no task runs twice.
 */
import * as assert from 'node:assert/strict';

import * as clock from '../../base/common/clock.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolCases from './poolCases.js';
import * as poolHarness from './poolHarness.js';

const CASES: readonly poolCases.Case[] = [
  {
    name: 'steps run in order',
    options: { workers: 2 },
    jobs: [[[{ count: 3 }, { count: 2, after: [0] }], { jobId: 'a' }]],
    act: () => Promise.resolve(),
    states: { a: 'complete' },
    runs: 5,
  },
  {
    name: 'a gang on two workers runs once, with all its members',
    options: { workers: 3 },
    jobs: [
      [
        [{ count: 2, isGang: true, resources: { cpuMillicores: 1, memoryMb: 1, accelerators: 8 } }],
        { jobId: 'a' },
      ],
    ],
    act: () => Promise.resolve(),
    states: { a: 'complete' },
    runs: 2,
  },
  {
    // Guards against tasks that hold their accelerators two seconds after the cancellation, because the
    // leader handled cancellations only while planning other work.
    name: 'a cancelled job stops',
    options: { workers: 1, workMs: () => 60_000 },
    jobs: [[[{ count: 2 }], { jobId: 'a' }]],
    act: async (pool) => {
      await pool.clock.advance(1000);
      await pool.cancel('a');
      await pool.clock.advance(1000);
      assert.deepEqual(
        pool.runs().map((it) => it.how),
        ['stopped', 'stopped'],
      );
    },
    states: { a: 'cancelled' },
    runs: 2,
  },
  {
    // An order gets no answer and is executed three seconds later by a healthy worker. If the task were
    // started on another worker in the meantime, it would run on both.
    name: 'a delayed order does not run a task concurrently with its next run',
    options: { workers: 2, workMs: () => 8000 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      pool.sites.forEach(({ worker }) => {
        worker.faults.delayOrders = 3;
      });
      await pool.clock.advance(5000);
    },
    states: { a: 'complete' },
  },
  {
    // The worker crashes and restarts with the same id and no state, while an order to its previous
    // incarnation is still in flight.
    name: 'a restarted worker does not execute an order to its previous incarnation',
    options: { workers: 1, workMs: () => 4000 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      const [site] = pool.sites;
      assert.ok(site);
      site.worker.faults.delayOrders = 3;
      await pool.clock.advance(1200);
      site.worker.crash();
      await pool.clock.advance(5000);
    },
    states: { a: 'complete' },
  },
  {
    // The first copy of an order gets no answer, the retry is executed and its task is done. The worker
    // crashes and restarts with the same id, and only then the first copy arrives: the new incarnation
    // does not know the run, and would run the task again after its end.
    name: 'an order to a previous incarnation does not run a task again that is done',
    options: { workers: 1, workMs: () => 500 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      const [site] = pool.sites;
      assert.ok(site);
      site.worker.faults.delayOrders = 1;
      await pool.clock.advance(2000);
      assert.equal((await pool.progress('a'))?.state, 'complete');
      site.worker.crash();
      await pool.clock.advance(4000);
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // As before, but the agent restarts with its worker and does not know of the previous incarnation.
    name: 'an order to a previous incarnation does not run after the agent has restarted too',
    options: { workers: 1, workMs: () => 500 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      const [site] = pool.sites;
      assert.ok(site);
      site.worker.faults.delayOrders = 1;
      await pool.clock.advance(2000);
      assert.equal((await pool.progress('a'))?.state, 'complete');
      site.worker.crash();
      site.restartAgent();
      await pool.clock.advance(4000);
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // As before, but the new incarnation is unreachable until the delayed duplicate arrives: it can't receive
    // the fence that would refuse the order, and would start a task that is already done on another worker.
    name: 'an order to a previous incarnation does not run in an unreachable new incarnation',
    options: { workers: 2, workMs: () => 500 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      pool.sites.forEach(({ worker }) => {
        worker.faults.delayOrders = 3;
      });
      await pool.clock.advance(900);
      pool.sites.forEach(({ worker }) => {
        if (worker.faults.delayOrders > 0) {
          worker.faults.delayOrders = 0;
          return;
        }
        worker.crash();
        worker.faults.isSilent = true;
      });
      await pool.clock.advance(4000);
      pool.sites.forEach(({ worker }) => {
        worker.faults.isSilent = false;
      });
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // One job's end is stored and acknowledged. The worker restarts with the same id, executes a delayed order
    // to its previous incarnation, and finishes that task before it is reachable. If it received the
    // previous incarnation's acknowledgements, it would drop this end unreported, and the task would run again.
    name: 'a new incarnation does not drop an end because of an acknowledgement to the previous one',
    options: { workers: 1, workMs: () => 500 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      const [site] = pool.sites;
      assert.ok(site);
      await pool.clock.advance(2000);
      assert.equal((await pool.progress('a'))?.state, 'complete');
      site.worker.faults.delayOrders = 3;
      await pool.submit(fixtures.makeJob([{}], { jobId: 'b' }));
      await pool.clock.advance(100);
      assert.equal(site.worker.faults.delayOrders, 0);
      site.worker.crash();
      site.worker.faults.isSilent = true;
      await pool.clock.advance(3800);
      assert.equal(pool.runs().length, 2);
      site.worker.faults.isSilent = false;
    },
    states: { a: 'complete', b: 'complete' },
    runs: 2,
  },
  {
    // A worker is cut off and keeps running. Its task may start on another worker only when its lease has expired.
    name: 'a worker that is cut off keeps its task until its lease expires',
    options: { workers: 2, workMs: () => 20_000 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      await pool.clock.advance(1000);
      const busy = pool.sites.find(({ worker }) => worker.runs.length > 0);
      assert.ok(busy);
      busy.isCut = true;
      await pool.clock.advance(poolHarness.MAX_LEASE_MS - 1000);
      assert.equal(pool.runs().length, 1);
      await pool.clock.advance(4000);
      assert.equal(pool.runs().length, 2);
    },
    states: { a: 'complete' },
    runs: 2,
  },
  {
    // Guards against accepting an end after the worker's lease has expired: by then the task runs on another
    // worker, and the work done there would be discarded.
    name: 'an end that a worker reports after its lease has expired is ignored',
    options: { workers: 2, workMs: () => 5000 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      await pool.clock.advance(1000);
      const busy = pool.sites.find(({ worker }) => worker.runs.length > 0);
      assert.ok(busy);
      busy.isCut = true;
      await pool.clock.advance(poolHarness.MAX_LEASE_MS + 4000);
      assert.equal(pool.runs().length, 2);
      busy.isCut = false;
    },
    states: { a: 'complete' },
    runs: 2,
    runEnds: ['done', 'done'],
  },
  {
    // The policy service allows one worker only, and refuses the first call.
    name: 'a step that needs consent runs where the policy service allows it',
    options: {
      workers: 3,
      askAdvice: (() => {
        let calls = 0;
        return (_step, workerIds) => {
          calls += 1;
          if (calls === 1) return Promise.reject(new Error('busy'));
          const allowed = workerIds.filter((it) => it === 'w2');
          const ticketsByWorker = new Map(allowed.map((it) => [it, `ticket-${it}`]));
          return Promise.resolve({ ticketsByWorker, validMs: 3000 });
        };
      })(),
    },
    jobs: [[[{ count: 2 }], { jobId: 'a', needsAdvice: true }]],
    act: async (pool) => {
      await pool.clock.advance(5000);
      assert.deepEqual(
        pool.sites.map(({ worker }) => worker.runs.length),
        [0, 0, 2],
      );
    },
    states: { a: 'complete' },
    runs: 2,
  },
  {
    name: 'a restarted agent recovers its tasks',
    options: { workers: 1, workMs: () => 5000 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      await pool.clock.advance(1500);
      pool.sites[0]?.restartAgent();
    },
    states: { a: 'complete' },
    runs: 1,
  },
  {
    // Every task fails on one worker that reports itself healthy. It must not use up the attempts of all jobs.
    name: 'a worker on which every task fails is avoided',
    options: { workers: 3, acceleratorsPerWorker: 2 },
    jobs: Array.from({ length: 8 }, (_, index) => [
      [{ count: 1 }],
      { jobId: `j${index}`, attempts: 3 },
    ]),
    act: (pool) => {
      const [site] = pool.sites;
      assert.ok(site);
      site.worker.faults.failsAll = true;
      return Promise.resolve();
    },
    states: Object.fromEntries(Array.from({ length: 8 }, (_, index) => [`j${index}`, 'complete'])),
  },
  {
    // An urgent task starts on a worker that has become slow, and would take eight times its normal
    // duration. Its caller would get the result late although another worker is idle.
    name: 'a task on a slow worker is done in time on another worker',
    options: { workers: 2, workMs: (task) => (task.startsWith('known') ? 1000 : 3000) },
    jobs: ['known-1', 'known-2', 'known-3'].map((jobId) => [[{}], { jobId }]),
    act: async (pool) => {
      await pool.clock.advance(3000);
      const [slow] = pool.sites;
      assert.ok(slow);
      slow.worker.faults.slowFactor = 8;
      const acceptedAtMs = pool.clock.wallMs();
      await pool.submit(fixtures.makeJob([{ estimatedMs: 3000 }], { jobId: 'a', acceptedAtMs }));
      await pool.clock.advance(10_000);
      assert.equal((await pool.progress('a'))?.state, 'complete');
    },
    states: { 'known-1': 'complete', a: 'complete' },
  },
  {
    name: 'a job that fails on every worker fails after its attempts',
    options: { workers: 3 },
    jobs: [[[{}], { jobId: 'a', attempts: 2 }]],
    act: (pool) => {
      pool.sites.forEach(({ worker }) => {
        worker.faults.failsAll = true;
      });
      return Promise.resolve();
    },
    states: { a: 'failed' },
    runs: 2,
  },
  {
    // A customer claims its guarantee while a job of lower priority holds every accelerator.
    name: 'a guaranteed job preempts the job that borrows its capacity and starts',
    options: {
      workers: 1,
      workMs: (task) => (task.startsWith('low') ? 20_000 : 1000),
      guarantees: { owner: 8 },
    },
    jobs: [[[{ count: 8 }], { jobId: 'low', priority: 2 }]],
    act: async (pool) => {
      await pool.clock.advance(1500);
      await pool.submit(
        fixtures.makeJob([{ resources: { cpuMillicores: 1, memoryMb: 1, accelerators: 8 } }], {
          jobId: 'claim',
          customerId: 'owner',
          priority: 0,
        }),
      );
      await pool.clock.advance(1000);
      assert.equal(pool.runs().filter((it) => it.task.startsWith('claim')).length, 1);
    },
    states: { claim: 'complete', low: 'complete' },
  },
  {
    // The first call to the policy service is never answered. Every step that needs consent was blocked for
    // fifteen seconds behind it, while the service normally answers in about a second.
    name: 'an unanswered call for consent does not delay the others',
    options: {
      workers: 2,
      askAdvice: (() => {
        let calls = 0;
        return (_step, workerIds, timeoutMs, time) => {
          calls += 1;
          if (calls === 1) {
            return clock.sleep(time, timeoutMs).then(() => Promise.reject(new Error('silence')));
          }
          const ticketsByWorker = new Map(workerIds.map((it) => [it, `ticket-${it}`]));
          return Promise.resolve({ ticketsByWorker, validMs: 3000 });
        };
      })(),
    },
    jobs: [
      [[{}], { jobId: 'a', needsAdvice: true }],
      [[{}], { jobId: 'b', needsAdvice: true }],
    ],
    act: async (pool) => {
      await pool.clock.advance(5000);
      assert.equal(pool.runs().length, 2);
    },
    states: { a: 'complete', b: 'complete' },
    runs: 2,
  },
];

poolCases.describeCases('a pool with worker faults', CASES);
