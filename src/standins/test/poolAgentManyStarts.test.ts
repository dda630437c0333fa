/**
 * Tests of an agent that is ordered to start many tasks at once.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as poolAgent from '../../coordination/node/pool/poolAgent.js';
import type * as agentContract from '../../state/common/pool/agentContract.js';

const STARTS = 500;

/** Time within which the leader waits for the results of an order. */
const ORDER_MS = 2500;

const ORDER: agentContract.OrderRequest = {
  fence: 16,
  workerId: 'w',
  incarnationMs: 1,
  payloads: {},
  starts: Array.from({ length: STARTS }, (_, index) => ({
    task: `j.0.0.${index}`,
    run: 1,
    jobId: 'j',
    leaseUntilMs: 60_000,
    saved: '',
  })),
  stops: [],
  paces: [],
};

interface Case {
  readonly name: string;
  /** How long the worker takes to answer a start, and what. */
  readonly answerMs: number;
  readonly answer: agentContract.WorkerAnswer;
  readonly outcomes: readonly agentContract.OrderOutcome[];
}

const CASES: readonly Case[] = [
  {
    name: 'that answers in milliseconds takes all of them',
    answerMs: 5,
    answer: { outcome: 'accepted', reason: '' },
    outcomes: ['accepted'],
  },
  {
    name: 'that answers slowly takes some, and the others are refused in time',
    answerMs: 100,
    answer: { outcome: 'accepted', reason: '' },
    outcomes: ['accepted', 'refused'],
  },
  {
    name: 'that answers none gets some, and the others are refused in time',
    answerMs: 600,
    answer: { outcome: 'unknown', reason: 'no answer' },
    outcomes: ['unknown', 'refused'],
  },
];

test.describe('an order of many starts to a worker', () => {
  for (const { name, answerMs, answer, outcomes } of CASES) {
    // Guards against an agent that ends for lack of memory, or that sends starts after the leader has given them up.
    test.it(name, async () => {
      const time = clock.createFakeClock(1000);
      const sent = new Set<string>();
      let open = 0;
      let mostOpen = 0;
      let lastSentAtMs = 0;
      const agent = poolAgent.createPoolAgent({
        worker: {
          start: async (_workerId, { task }) => {
            sent.add(task);
            open += 1;
            mostOpen = Math.max(mostOpen, open);
            lastSentAtMs = time.monotonicMs();
            await clock.sleep(time, answerMs);
            open -= 1;
            return answer;
          },
          stop: () => Promise.resolve(answer),
          pace: () => Promise.resolve(answer),
          view: () => Promise.resolve({ outcome: 'refused', reason: 'test' }),
        },
        clock: time,
        log: logging.silentLog,
        metrics: metrics.createMetrics(),
        bootId: 'boot',
      });
      agent.recordHeartbeat({ info: fixtures.makeWorkerInfo('w'), sequence: 1 });
      const receivedAtMs = time.monotonicMs();
      const ordered = agent.order(ORDER);
      await time.advance(ORDER_MS);
      const { starts } = await ordered;
      assert.ok(mostOpen <= 64, `${mostOpen} starts at the same time`);
      assert.ok(lastSentAtMs <= receivedAtMs + ORDER_MS);
      assert.deepEqual(new Set(starts.map(({ outcome }) => outcome)), new Set(outcomes));
      for (const { task, outcome, hasOpenCopy } of starts) {
        assert.equal(sent.has(task), outcome !== 'refused', task);
        assert.equal(hasOpenCopy, outcome === 'unknown', task);
      }
      agent.dispose();
    });
  }
});
