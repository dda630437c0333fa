/**
 * How long a caller is held while the store is slow.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as event from '../../base/common/event.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as jobRequestHandler from '../../coordination/node/pool/jobRequestHandler.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../state/common/pool/recordStore.js';
import * as memoryStore from '../memoryStore.js';

const ID = '5c0e7a21d94b36f8';
const MOST_HELD_MS = 900;

/** Times that a read and a write take. */
const WAITS: readonly [name: string, readMs: number, writeMs: number][] = [
  ['reads that are slow one after the other', 600, 10],
  ['a write that begins late', 300, 2000],
  ['a write after slow reads', 500, 500],
  ['a store that answers nothing', 5000, 5000],
];

const CALL: jobRequestHandler.Call = {
  requestId: 'id',
  host: 'h',
  path: `/q/${ID}`,
  apiKey: undefined,
  deadlineMs: 3000,
};

const slowStore = (time: clock.Clock, readMs: number, writeMs: number): recordStore.RecordStore => {
  const prefix = poolKeys.jobPrefix(ID);
  const entries = [{ key: `${prefix}${poolKeys.JobPart.spec}`, value: '{}', revision: 1 }];
  return {
    ...memoryStore.createMemoryStore(time),
    get: async () => {
      await clock.sleep(time, readMs);
      return undefined;
    },
    list: async () => {
      await clock.sleep(time, readMs);
      return { entries, revision: 1 };
    },
    transact: async () => {
      await clock.sleep(time, writeMs);
      return { isCommitted: true, revision: 2 };
    },
  };
};

const createDesk = (
  time: clock.Clock,
  readMs: number,
  writeMs: number,
): jobRequestHandler.JobRequestHandler => {
  const queue = {
    policy: fixtures.makeJob([{}]).policy,
    host: 'h',
    pathPrefix: '/q/',
    isPublic: true,
    timeoutMs: 3000,
  };
  const configuration = {
    version: 1,
    queues: [queue],
    services: [],
    customers: [],
    maxBodyBytes: 1,
  };
  return jobRequestHandler.createJobRequestHandler({
    store: slowStore(time, readMs, writeMs),
    clock: time,
    log: logging.silentLog,
    metrics: metrics.createMetrics(),
    feed: {
      current: () => ({ configuration, revision: 1 }),
      record: () => undefined,
      seenRevision: () => 1,
      ageMs: () => 0,
      onDidChange: event.createEmitter<never>().event,
      dispose: () => undefined,
    },
    configurationKey: 'configuration',
    storeAgeMs: () => 0,
    revokeMs: 5000,
  });
};

const DEEDS = {
  submit: (desk: jobRequestHandler.JobRequestHandler, admitted: jobRequestHandler.AdmittedCall) =>
    desk.submit(CALL, admitted, {
      payload: 'text',
      steps: [fixtures.makeStep()],
      schedule: undefined,
    }),
  cancel: (desk: jobRequestHandler.JobRequestHandler, admitted: jobRequestHandler.AdmittedCall) =>
    desk.cancel(CALL, admitted),
  state: (desk: jobRequestHandler.JobRequestHandler, admitted: jobRequestHandler.AdmittedCall) =>
    desk.state(CALL, admitted),
} as const;

// Guards against a caller that is held for the sum of several calls of the store.
test.describe('a caller is told in time', () => {
  for (const [name, readMs, writeMs] of WAITS) {
    for (const [deedName, deed] of Object.entries(DEEDS)) {
      test.it(`${deedName}: ${name}`, async () => {
        const time = clock.createFakeClock(1000);
        const desk = createDesk(time, readMs, writeMs);
        let heldMs = Number.POSITIVE_INFINITY;
        const end = (): void => {
          heldMs = time.monotonicMs() - 1000;
        };
        const settled = deed(desk, desk.admit(CALL)).then(end, end);
        await time.advance(20_000);
        await settled;
        assert.ok(heldMs <= MOST_HELD_MS, `held ${heldMs} ms`);
      });
    }
  }
});
