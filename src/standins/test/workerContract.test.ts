/**
 * Contract tests of the platform's worker, run against both the stand-in and the HTTP client.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import type * as workerContract from '../../state/common/workerContract.js';
import type * as memoryWorker from '../memoryWorker.js';

import * as contractSubjects from './contractSubjects.js';

type Made = contractSubjects.Subject<workerContract.Worker, memoryWorker.MemoryWorker>;

const startOf = (key: string, runMs = 10_000): workerContract.WorkerStart => ({
  key,
  accelerators: [0],
  payload: JSON.stringify({ runMs }),
  resumeFromMs: 0,
  leaseMs: 1000,
});

const taskOf = async (
  { subject }: Made,
  key = 'j/1/0',
): Promise<workerContract.WorkerTask | undefined> =>
  (await subject.report()).tasks.find((it) => it.key === key);

const CASES: readonly [string, (it: Made) => Promise<void>][] = [
  [
    'a repeated start runs once',
    async (made) => {
      await made.subject.start(startOf('j/1/0'));
      await made.subject.start(startOf('j/1/0'));
      assert.equal(made.standIn.runs().length, 1);
    },
  ],
  [
    'a start whose answer is lost runs, and repeating it has no effect',
    async (made) => {
      made.standIn.faults.loseAnswers = 1;
      await assert.rejects(made.subject.start(startOf('j/1/0')));
      await made.subject.start(startOf('j/1/0'));
      assert.equal(made.standIn.runs().length, 1);
      assert.equal((await taskOf(made))?.phase, 'running');
    },
  ],
  [
    'a second task on busy accelerators is refused',
    async (made) => {
      await made.subject.start(startOf('j/1/0'));
      await assert.rejects(made.subject.start(startOf('k/1/0')));
      assert.equal(made.standIn.runs().length, 1);
    },
  ],
  [
    'a task runs while its lease is renewed and stops when the lease expires',
    async (made) => {
      await made.subject.start(startOf('j/1/0'));
      await made.clock.advance(900);
      await made.subject.renew(['j/1/0'], 1000);
      await made.clock.advance(900);
      assert.equal((await taskOf(made))?.phase, 'running');
      await made.clock.advance(200);
      assert.equal((await taskOf(made))?.phase, 'stopped');
    },
  ],
  [
    'a task that has ended is not restarted by a delayed duplicate of its start',
    async (made) => {
      await made.subject.start(startOf('j/1/0', 100));
      await made.clock.advance(200);
      assert.equal((await taskOf(made))?.phase, 'done');
      await made.subject.start(startOf('j/1/0', 100));
      assert.equal(made.standIn.runs().length, 1);
    },
  ],
  [
    'a checkpoint saves the work so far and the task continues',
    async (made) => {
      await made.subject.start(startOf('j/1/0'));
      await made.clock.advance(400);
      await made.subject.checkpoint('j/1/0');
      const seen = await taskOf(made);
      assert.deepEqual([seen?.phase, seen?.checkpointMs], ['running', 400]);
    },
  ],
  [
    'a throttled task progresses at its share',
    async (made) => {
      await made.subject.start(startOf('j/1/0'));
      await made.subject.throttle('j/1/0', 0.5);
      await made.clock.advance(400);
      assert.equal((await taskOf(made))?.progressMs, 200);
    },
  ],
  [
    'a stop with a grace period saves the work, and repeating it has no effect',
    async (made) => {
      await made.subject.start(startOf('j/1/0'));
      await made.clock.advance(300);
      await made.subject.stop('j/1/0', 500);
      await made.subject.stop('j/1/0', 500);
      await made.clock.advance(500);
      const seen = await taskOf(made);
      assert.equal(seen?.phase, 'stopped');
      assert.ok(seen.checkpointMs >= 300);
    },
  ],
  [
    'a report contains its age, and only ended tasks can be forgotten',
    async (made) => {
      await made.subject.start(startOf('j/1/0'));
      assert.ok((await made.subject.report()).lagMs > 0);
      await made.subject.forget(['j/1/0']);
      assert.equal((await taskOf(made))?.phase, 'running');
      await made.subject.stop('j/1/0', 0);
      await made.clock.advance(100);
      await made.subject.forget(['j/1/0']);
      assert.equal(await taskOf(made), undefined);
    },
  ],
  [
    'a worker with `isBlackHole` accepts every start and fails every task',
    async (made) => {
      made.standIn.faults.isBlackHole = true;
      await made.subject.start(startOf('j/1/0'));
      await made.clock.advance(100);
      assert.equal((await taskOf(made))?.phase, 'failed');
    },
  ],
  [
    'a silent worker accepts no calls, and its tasks stop when their leases expire',
    async (made) => {
      await made.subject.start(startOf('j/1/0'));
      made.standIn.faults.isSilent = true;
      await assert.rejects(made.subject.renew(['j/1/0'], 60_000));
      await made.clock.advance(1100);
      made.standIn.faults.isSilent = false;
      assert.equal((await taskOf(made))?.phase, 'stopped');
    },
  ],
];

for (const [name, create] of contractSubjects.WORKERS) {
  nodeTest.describe(`worker contract: ${name}`, () => {
    for (const [title, run] of CASES) {
      nodeTest.test(title, async () => {
        const made = await create();
        try {
          await run(made);
        } finally {
          await made.owned.dispose();
        }
      });
    }
  });
}
