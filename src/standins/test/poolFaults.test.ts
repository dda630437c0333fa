/**
 * A whole pool whose workers are at fault: what callers see, and that no task runs twice.
 */
import * as assert from 'node:assert/strict';

import * as clock from '../../base/common/clock.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolCases from './poolCases.js';
import * as poolKit from './poolKit.js';

const CASES: readonly poolCases.Case[] = [
  {
    name: 'steps run in their order',
    options: { workers: 2 },
    jobs: [[[{ count: 3 }, { count: 2, after: [0] }], { jobId: 'a' }]],
    act: () => Promise.resolve(),
    states: { a: 'complete' },
    runs: 5,
  },
  {
    name: 'a gang over two workers runs once, with all its members',
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
    // A caller cancels; two seconds later its tasks still held their accelerators, because the leader
    // looked at cancellations only when it planned something else.
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
    // An order gets no answer and is carried out three seconds later, on a sound worker. Given to
    // another worker meanwhile, the task would run on both.
    name: 'an order that is carried out late does not run beside its successor',
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
    // The worker crashes and comes back under the same id with nothing in it, while an order to its
    // former life is still on the way.
    name: 'a reborn worker does not carry out what its former life was told',
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
    // The first copy of an order gets no answer, the second is carried out and its task is done. The
    // worker crashes and comes back under the same id, and only then the first copy arrives: nothing in
    // the new life knows the run, and the task runs again after its end.
    name: 'an order to a former life does not run a task again that is done',
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
    // As before, and the agent is restarted with its worker: it does not know that there was a former life.
    name: 'an order to a former life does not run in a new life beside a new agent',
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
    // As before, and the new life answers nobody until the late copy has come: it can't be told the
    // fence that would refuse it, and the task that is done elsewhere begins again there.
    name: 'an order to a former life does not run in a new life that answers nobody',
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
    // One job's end is stored and acknowledged. The worker is born again under the same id, carries out
    // late what its former life was told, and its work is done before anybody has reached it. Told of the
    // former life's acknowledged ends, it forgets this one unheard, and the task runs again.
    name: 'a new life does not forget an end because its former life was told to',
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
    // A worker is cut off and runs on. Its task may start elsewhere only when its lease has lapsed.
    name: 'a worker that is cut off keeps its task until the lease has lapsed',
    options: { workers: 2, workMs: () => 20_000 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      await pool.clock.advance(1000);
      const busy = pool.sites.find(({ worker }) => worker.runs.length > 0);
      assert.ok(busy);
      busy.isCut = true;
      await pool.clock.advance(poolKit.MAX_LEASE_MS - 1000);
      assert.equal(pool.runs().length, 1);
      await pool.clock.advance(4000);
      assert.equal(pool.runs().length, 2);
    },
    states: { a: 'complete' },
    runs: 2,
  },
  {
    // Guards against an end that counts though its worker's lease has lapsed since: the task is at work
    // elsewhere by then, and what it has done there would be thrown away.
    name: 'an end that a worker lists after its lease has lapsed changes nothing',
    options: { workers: 2, workMs: () => 5000 },
    jobs: [[[{}], { jobId: 'a' }]],
    act: async (pool) => {
      await pool.clock.advance(1000);
      const busy = pool.sites.find(({ worker }) => worker.runs.length > 0);
      assert.ok(busy);
      busy.isCut = true;
      await pool.clock.advance(poolKit.MAX_LEASE_MS + 4000);
      assert.equal(pool.runs().length, 2);
      busy.isCut = false;
    },
    states: { a: 'complete' },
    runs: 2,
    hows: ['done', 'done'],
  },
  {
    // The policy service consents to one worker only, and refuses the first call.
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
    name: 'a restarted agent finds its tasks again',
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
    // Every task fails on one worker whose health looks good. It must not eat the attempts of all.
    name: 'a worker that fails everything is left alone',
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
    // An urgent task begins on a worker that has turned slow and would be done after eight times its
    // work. Its caller gets it late, though the worker beside it stands idle.
    name: 'a task on a slow worker is done in time elsewhere',
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
    name: 'a job that fails on every worker is given up after its attempts',
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
    // A customer claims its guarantee while a lower priority holds every accelerator.
    name: 'a claim stops what borrows its room and starts',
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
    // The first call to the policy service is swallowed. Every step that needs consent waited fifteen seconds
    // behind it. The service takes a second or so for an answer.
    name: 'a call for consent that is never answered does not hold up the others',
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

poolCases.describeCases('a pool under a fault of workers', CASES);
