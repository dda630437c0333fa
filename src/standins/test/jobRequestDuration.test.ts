/**
 * How long a caller waits while the store is slow.
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
import * as stores from '../../state/common/store.js';

const ID = '5c0e7a21d94b36f8';
const MAX_WAIT_MS = 900;

/** Durations of a read and of a write. */
const DELAYS: readonly [name: string, readMs: number, writeMs: number][] = [
  ['consecutive slow reads', 600, 10],
  ['a slow write after a read', 300, 2000],
  ['a write after slow reads', 500, 500],
  ['a store that does not answer in time', 5000, 5000],
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

const createHandler = (
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
    maxValueBytes: stores.MAX_VALUE_BYTES,
  });
};

const ACTIONS = {
  submit: (
    handler: jobRequestHandler.JobRequestHandler,
    admitted: jobRequestHandler.AdmittedCall,
  ) =>
    handler.submit(CALL, admitted, {
      payload: 'text',
      steps: [fixtures.makeStep()],
      schedule: undefined,
    }),
  cancel: (
    handler: jobRequestHandler.JobRequestHandler,
    admitted: jobRequestHandler.AdmittedCall,
  ) => handler.cancel(CALL, admitted),
  state: (handler: jobRequestHandler.JobRequestHandler, admitted: jobRequestHandler.AdmittedCall) =>
    handler.state(CALL, admitted),
} as const;

// Guards against a caller that waits for the sum of several calls of the store.
test.describe('a caller is answered in time', () => {
  for (const [name, readMs, writeMs] of DELAYS) {
    for (const [actionName, action] of Object.entries(ACTIONS)) {
      test.it(`${actionName}: ${name}`, async () => {
        const time = clock.createFakeClock(1000);
        const handler = createHandler(time, readMs, writeMs);
        let waitedMs = Number.POSITIVE_INFINITY;
        const end = (): void => {
          waitedMs = time.monotonicMs() - 1000;
        };
        const settled = action(handler, handler.admit(CALL)).then(end, end);
        await time.advance(20_000);
        await settled;
        assert.ok(waitedMs <= MAX_WAIT_MS, `waited ${waitedMs} ms`);
      });
    }
  }
});
