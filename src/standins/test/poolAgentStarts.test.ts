/**
 * Tests of an agent's start orders with a time until which the leader's knowledge of evacuations suffices.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as poolAgent from '../../coordination/node/pool/poolAgent.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import type * as agentContract from '../../state/common/pool/agentContract.js';

const FENCE = 16;
const INCARNATION_MS = 1;

/** The worker's clock when the order arrives. */
const CLOCK_MS = 40_000;

/** How long an attempt without an answer takes. */
const ATTEMPT_MS = 600;

const ACCEPTED: agentContract.WorkerAnswer = { outcome: 'accepted', reason: '' };
const UNANSWERED: agentContract.WorkerAnswer = { outcome: 'unknown', reason: 'no answer' };

interface Case {
  readonly name: string;
  /** After the worker's clock at the order's arrival; undefined without a limit. */
  readonly limitMs: number | undefined;
  readonly hasReported: boolean;
  /** Attempts that the worker leaves unanswered. */
  readonly unanswered: number;
  readonly outcome: agentContract.OrderOutcome;
  readonly hasOpenCopy: boolean;
  /** Copies that reach the worker. */
  readonly copies: number;
}

const CASES: readonly Case[] = [
  {
    name: 'in time is sent',
    limitMs: 10,
    hasReported: true,
    unanswered: 0,
    outcome: 'accepted',
    hasOpenCopy: false,
    copies: 1,
  },
  {
    name: 'without a limit is sent',
    limitMs: undefined,
    hasReported: false,
    unanswered: 0,
    outcome: 'accepted',
    hasOpenCopy: false,
    copies: 1,
  },
  {
    name: 'that arrives late is refused',
    limitMs: -10,
    hasReported: true,
    unanswered: 0,
    outcome: 'refused',
    hasOpenCopy: false,
    copies: 0,
  },
  {
    name: 'to a worker whose clock is not known is refused',
    limitMs: 10,
    hasReported: false,
    unanswered: 0,
    outcome: 'refused',
    hasOpenCopy: false,
    copies: 0,
  },
  {
    name: 'without an answer is sent again before the limit',
    limitMs: 3 * ATTEMPT_MS,
    hasReported: true,
    unanswered: 1,
    outcome: 'accepted',
    hasOpenCopy: true,
    copies: 2,
  },
  {
    name: 'without an answer is not sent again after the limit, and its outcome is open',
    limitMs: ATTEMPT_MS / 2,
    hasReported: true,
    unanswered: 1,
    outcome: 'unknown',
    hasOpenCopy: true,
    copies: 1,
  },
];

// Guards against a start in a zone that was evacuated while the order was on its way.
test.describe('a start', () => {
  for (const it of CASES) {
    test.it(it.name, async () => {
      const time = clock.createFakeClock(CLOCK_MS);
      let copies = 0;
      const worker: agentContract.WorkerApi = {
        start: async () => {
          copies += 1;
          if (copies > it.unanswered) return ACCEPTED;
          await clock.sleep(time, ATTEMPT_MS);
          return UNANSWERED;
        },
        stop: () => Promise.resolve(ACCEPTED),
        pace: () => Promise.resolve(ACCEPTED),
        view: async (_workerId, { waitMs }) => {
          if (waitMs > 0) await clock.sleep(time, waitMs);
          if (!it.hasReported) return UNANSWERED as { outcome: 'unknown'; reason: string };
          const clockMs = time.monotonicMs();
          return {
            outcome: 'view',
            view: { incarnationMs: INCARNATION_MS, clockMs, running: [], ended: [] },
          };
        },
      };
      const agent = poolAgent.createPoolAgent({
        worker,
        clock: time,
        log: logging.silentLog,
        metrics: metrics.createMetrics(),
        bootId: 'boot',
      });
      agent.recordHeartbeat({ info: fixtures.makeWorkerInfo('w'), sequence: 1 });
      const sync = { fence: FENCE, incarnationMs: 0, leaseUntilMs: 0, seenUpTo: 0 };
      void agent.sync({ ...sync, knownVersion: 0, waitMs: 0 });
      await time.advance(0);
      const reply = agent.order({
        fence: FENCE,
        workerId: 'w',
        incarnationMs: INCARNATION_MS,
        ...(it.limitMs === undefined ? {} : { startsUntilMs: CLOCK_MS + it.limitMs }),
        payloads: {},
        starts: [{ task: 'j.0.0.0', run: 1, jobId: 'j', leaseUntilMs: CLOCK_MS + 5000, saved: '' }],
        stops: [],
        paces: [],
      });
      await time.advance(3 * ATTEMPT_MS);
      const [start] = (await reply).starts;
      assert.deepEqual(
        [start?.outcome, start?.hasOpenCopy, copies],
        [it.outcome, it.hasOpenCopy, it.copies],
      );
      agent.dispose();
    });
  }
});
