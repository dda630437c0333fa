/**
 * Tests of an agent whose worker is succeeded by a new incarnation with the same id: which calls reach that
 * incarnation, when, and with what of the previous one.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as poolAgent from '../../coordination/node/pool/poolAgent.js';
import type * as agentContract from '../../state/common/pool/agentContract.js';
import type * as poolWorker from '../../state/common/pool/poolWorker.js';

/** Fence of the leader, under which orders to the previous incarnation were sent. */
const FENCE = 16;

const FIRST_MS = 5;
const NEXT_MS = 6;

/** Longer than any case. */
const HANG_MS = 60_000;

const ACCEPTED: agentContract.WorkerAnswer = { outcome: 'accepted', reason: '' };

const infoOf = (incarnationMs: number): poolWorker.WorkerInfo => ({
  workerId: 'w',
  incarnationMs,
  service: 's',
  zone: 'z',
  state: 'ready',
  capacity: { cpuMillicores: 1, memoryMb: 1, accelerators: 1 },
  labels: [],
});

const syncOf = (incarnationMs: number): agentContract.SyncRequest => ({
  fence: FENCE,
  incarnationMs,
  leaseUntilMs: incarnationMs === 0 ? 0 : 20_000,
  seenUpTo: incarnationMs === 0 ? 0 : 7,
  knownVersion: 0,
  waitMs: 900,
});

/** An agent beside a worker. */
interface Scene {
  readonly time: clock.FakeClock;
  readonly calls: agentContract.WorkerReportRequest[];
  readonly beat: (incarnationMs: number) => void;
  readonly sync: (incarnationMs: number) => void;
  /** From now on the worker answers no call for its report. */
  readonly hang: () => void;
}

const createScene = (): Scene => {
  const time = clock.createFakeClock();
  const calls: agentContract.WorkerReportRequest[] = [];
  let isHanging = false;
  let incarnationMs = FIRST_MS;
  const worker: agentContract.WorkerApi = {
    start: () => Promise.resolve(ACCEPTED),
    stop: () => Promise.resolve(ACCEPTED),
    pace: () => Promise.resolve(ACCEPTED),
    view: async (_workerId, request) => {
      calls.push(request);
      if (isHanging) await clock.sleep(time, HANG_MS);
      const view = { incarnationMs, clockMs: time.monotonicMs(), running: [], ended: [] };
      if (request.waitMs > 0) await clock.sleep(time, request.waitMs);
      return { outcome: 'view', view };
    },
  };
  const agent = poolAgent.createPoolAgent({
    worker,
    clock: time,
    log: logging.silentLog,
    metrics: metrics.createMetrics(),
    bootId: 'boot',
  });
  return {
    time,
    calls,
    beat: (bornMs) => {
      incarnationMs = bornMs;
      agent.recordHeartbeat({ info: infoOf(bornMs), sequence: 1 });
    },
    sync: (knownMs) => {
      void agent.sync(syncOf(knownMs));
    },
    hang: () => {
      isHanging = true;
    },
  };
};

interface Case {
  readonly name: string;
  readonly act: (scene: Scene) => Promise<void>;
}

/** The last call for a report in each case is the first one to the next incarnation. */
const CASES: readonly Case[] = [
  {
    // Guards against a delayed order that the next incarnation executes while a call to the previous one hangs.
    name: 'a call in flight to the previous incarnation does not delay the fence',
    act: async ({ time, beat, sync, hang }) => {
      beat(FIRST_MS);
      sync(FIRST_MS);
      await time.advance(50);
      hang();
      await time.advance(1000);
      beat(NEXT_MS);
      await time.advance(0);
    },
  },
  {
    // Guards against a run that a delayed order has started and that a lease of the previous incarnation prolongs.
    name: 'the next incarnation gets no lease and no acknowledgement of the previous one',
    act: async ({ time, beat, sync }) => {
      beat(FIRST_MS);
      sync(FIRST_MS);
      await time.advance(500);
      beat(NEXT_MS);
      await time.advance(500);
    },
  },
];

test.describe('the next incarnation of a worker', () => {
  for (const { name, act } of CASES) {
    test.it(name, async () => {
      const scene = createScene();
      await act(scene);
      const last = scene.calls.at(-1);
      assert.ok(last);
      const before = scene.calls.filter((it) => it.leaseUntilMs > 0).map((it) => it.fence);
      assert.ok(last.fence > Math.max(...before), `fence ${last.fence} after ${before.join()}`);
      // Lease and acknowledgement are those of the previous incarnation, whose clock and counts began earlier.
      assert.equal(last.leaseUntilMs, 0);
      assert.equal(last.seenUpTo, 0);
    });
  }
});
