/**
 * Behaviour while answers of the store take long to arrive.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as configurationFeed from '../../coordination/node/pool/configurationFeed.js';
import * as configurationShare from '../../coordination/node/pool/configurationShare.js';
import * as jobRequestHandler from '../../coordination/node/pool/jobRequestHandler.js';
import * as pendingCounts from '../../coordination/node/pool/pendingCounts.js';
import * as recordFeed from '../../coordination/node/pool/recordFeed.js';
import type * as poolConfiguration from '../../state/common/pool/poolConfiguration.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import type * as recordStore from '../../state/common/pool/recordStore.js';
import * as memoryStore from '../memoryStore.js';
import * as stores from '../../state/common/store.js';

const KEY = 'configuration';
const ID = '5c0e7a21d94b36f8';

const decode = (text: string): poolConfiguration.PoolConfiguration =>
  JSON.parse(text) as poolConfiguration.PoolConfiguration;

const makeConfiguration = (version: number): string => {
  const queue = {
    policy: fixtures.makeJob([{}]).policy,
    host: 'h',
    pathPrefix: '/q/',
    isPublic: false,
    timeoutMs: 3000,
  };
  const customers = [{ customerId: 'c', apiKeys: ['key'], guaranteedAccelerators: 0 }];
  return JSON.stringify({ version, queues: [queue], services: [], customers, maxBodyBytes: 1000 });
};

const unavailable = (): Promise<never> =>
  Promise.reject(errors.fail('storeUnavailable', 'the store does not answer'));

const CALL: jobRequestHandler.Call = {
  requestId: 'id',
  host: 'h',
  path: `/q/${ID}`,
  apiKey: 'key',
  deadlineMs: 3000,
};

const DRAFT: jobRequestHandler.JobDraft = {
  payload: 'text',
  steps: [fixtures.makeStep()],
  schedule: undefined,
};

interface HandlerRig {
  readonly clock: clock.FakeClock;
  readonly handler: jobRequestHandler.JobRequestHandler;
  readonly store: memoryStore.MemoryStore;
  readonly failGets: () => void;
  readonly submit: () => Promise<unknown>;
}

const createHandlerRig = async (): Promise<HandlerRig> => {
  const time = clock.createFakeClock(1_000_000);
  const store = memoryStore.createMemoryStore(time);
  const puts = [{ key: KEY, value: makeConfiguration(1) }];
  await store.transact({ conditions: [], puts, removes: [] });
  const feed = configurationFeed.startConfigurationFeed({
    store,
    clock: time,
    log: logging.silentLog,
    key: KEY,
    decode,
  });
  await time.advance(100);
  let areGetsFailing = false;
  const subject: recordStore.RecordStore = {
    ...store,
    get: (key) => (areGetsFailing ? unavailable() : store.get(key)),
  };
  const handler = jobRequestHandler.createJobRequestHandler({
    store: subject,
    clock: time,
    log: logging.silentLog,
    metrics: metrics.createMetrics(),
    feed,
    configurationKey: KEY,
    storeAgeMs: feed.ageMs,
    revokeMs: 5000,
    maxValueBytes: stores.MAX_VALUE_BYTES,
  });
  const submit = async (): Promise<unknown> => {
    let outcome: unknown = 'no answer before the deadline of the caller';
    void handler.submit(CALL, handler.admit(CALL), DRAFT).then(
      () => {
        outcome = 'accepted';
      },
      (thrown: unknown) => {
        outcome = errors.normalize(thrown).kind;
      },
    );
    await time.advance(CALL.deadlineMs);
    return outcome;
  };
  const failGets = (): void => {
    areGetsFailing = true;
  };
  return { clock: time, handler, store, failGets, submit };
};

// A refusal guarantees that the job never runs, but a stored job runs.
test.describe('a submit whose write was refused while the record can not be read', () => {
  test.it('is not refused where its first write took effect', async () => {
    const rig = await createHandlerRig();
    rig.store.faults.loseWriteAnswers = 1;
    rig.failGets();
    const outcome = await rig.submit();
    assert.notEqual(await rig.store.get(poolKeys.jobKey(ID, poolKeys.JobPart.spec)), undefined);
    assert.notEqual(outcome, 'storeUnavailable');
  });

  test.it('is not refused where the job was already accepted', async () => {
    const rig = await createHandlerRig();
    assert.equal(await rig.submit(), 'accepted');
    rig.failGets();
    assert.notEqual(await rig.submit(), 'storeUnavailable');
  });
});

// Guards against a caller that waits, until the end of the process cuts it off, for an answer past its deadline.
test.describe('a call for which the store answers slowly', () => {
  test.it('is answered within the deadline of its caller', async () => {
    const rig = await createHandlerRig();
    rig.store.faults.delayMs = 6000;
    assert.equal(await rig.submit(), 'outcomeUnknown');
  });
});

const outcomeOfAdmit = (
  handler: jobRequestHandler.JobRequestHandler,
  call: jobRequestHandler.Call,
): string => {
  try {
    handler.admit(call);
    return 'admitted';
  } catch (thrown) {
    return errors.normalize(thrown).kind;
  }
};

/** An entry applies a configuration for at peak 2.5 s after it was replaced. */
const APPLY_MS = 2500;

/** The watch in flight when answers become slow still confirms the configuration when it ends. */
const WAITING_WATCH_MS = 1200;

const UNKNOWN_ITEMS: readonly [name: string, changes: Partial<jobRequestHandler.Call>][] = [
  ['a queue', { path: `/later/${ID}` }],
  ['a key', { apiKey: 'later' }],
];

// Guards against answers based on a configuration replaced long ago, while the next one is arriving.
test.describe('an entry that waits for a large configuration', () => {
  for (const [name, changes] of UNKNOWN_ITEMS) {
    test.it(`does not reject ${name} that the next one may contain`, async () => {
      const rig = await createHandlerRig();
      rig.store.faults.delayMs = 8000;
      await rig.clock.advance(WAITING_WATCH_MS + APPLY_MS);
      assert.equal(outcomeOfAdmit(rig.handler, { ...CALL, ...changes }), 'storeUnavailable');
    });
  }
});

// Guards against a link saturated by known data at the end of each outage.
test.describe('a configuration that did not change during a short outage', () => {
  test.it('is not read again completely where the store refuses immediately', async () => {
    const time = clock.createFakeClock(1_000_000);
    const store = memoryStore.createMemoryStore(time);
    const puts = [{ key: KEY, value: makeConfiguration(1) }];
    await store.transact({ conditions: [], puts, removes: [] });
    let isRefusing = false;
    let reads = 0;
    const feed = configurationFeed.startConfigurationFeed({
      store: {
        list: async (prefix) => {
          if (isRefusing) return unavailable();
          reads += 1;
          return store.list(prefix);
        },
        watch: async (...watched) => {
          const seen = await store.watch(...watched);
          return isRefusing ? unavailable() : seen;
        },
      },
      clock: time,
      log: logging.silentLog,
      key: KEY,
      decode,
    });
    await time.advance(1000);
    isRefusing = true;
    await time.advance(3000);
    isRefusing = false;
    await time.advance(3000);
    await feed.dispose();
    assert.equal(reads, 1);
  });
});

// Guards against a busy loop in which the scheduler never reads the record from the store.
test.describe('a scheduler whose entry has a stale configuration', () => {
  test.it(
    'reads the store where its history no longer reaches the revision of the entry',
    async () => {
      const time = clock.createFakeClock(1_000_000);
      const store = memoryStore.createMemoryStore(time);
      const configure = async (version: number): Promise<void> => {
        const puts = [{ key: KEY, value: makeConfiguration(version) }];
        await store.transact({ conditions: [], puts, removes: [] });
      };
      await configure(1);
      const common = { clock: time, log: logging.silentLog, key: KEY, decode };
      let isEntryCutOff = false;
      const entry = configurationFeed.startConfigurationFeed({
        ...common,
        store: {
          list: (prefix) => (isEntryCutOff ? unavailable() : store.list(prefix)),
          watch: async (...watched) => {
            const seen = await store.watch(...watched);
            return isEntryCutOff ? unavailable() : seen;
          },
        },
      });
      let forgottenRevision = 0;
      let calls = 0;
      const shared = configurationShare.createSharedConfigurationStore({
        ask: configurationShare.shareConfiguration({
          feed: entry,
          clock: time,
          storeAgeMs: entry.ageMs,
        }),
        store: {
          list: (prefix) => {
            calls += 1;
            return store.list(prefix);
          },
          watch: async (prefix, afterRevision, ...rest) => {
            calls += 1;
            if (afterRevision >= forgottenRevision) {
              return store.watch(prefix, afterRevision, ...rest);
            }
            return { entries: [], deletedKeys: [], revision: afterRevision, isGap: true };
          },
        },
        key: KEY,
        log: logging.silentLog,
      });
      const scheduler = configurationFeed.startConfigurationFeed({ ...common, store: shared });
      await time.advance(5000);
      isEntryCutOff = true;
      await configure(2);
      forgottenRevision = (await store.list(KEY)).revision;
      await time.advance(10_000);
      await scheduler.dispose();
      await entry.dispose();
      assert.equal(scheduler.current()?.configuration.version, 2, `after ${calls} calls`);
      assert.ok(calls < 60, `${calls} calls of the store`);
    },
  );
});

// Guards against concurrent loads that saturate a link and slow each other down.
test.describe('counts of waiting jobs without a leader', () => {
  test.it('are loaded by one load at a time, however long it takes', async () => {
    const time = clock.createFakeClock(1_000_000);
    const store = memoryStore.createMemoryStore(time);
    let running = 0;
    let peak = 0;
    const list: recordStore.RecordStore['list'] = async (prefix) => {
      running += 1;
      peak = Math.max(peak, running);
      await clock.sleep(time, 3000);
      running -= 1;
      return store.list(prefix);
    };
    const counts = pendingCounts.createPendingCounts({
      store: { ...store, list },
      clock: time,
      log: logging.silentLog,
      askLeader: unavailable,
    });
    for (let request = 0; request < 40; request += 1) {
      counts.ofQueue('q').catch(() => undefined);
      await time.advance(250);
    }
    assert.equal(peak, 1);
  });
});

// Guards against a leader that forever requests changes that are too large to arrive.
test.describe('a leader whose changes never arrive completely', () => {
  test.it('reads all its records again', async () => {
    const time = clock.createFakeClock(1_000_000);
    const store = memoryStore.createMemoryStore(time);
    const key = poolKeys.jobKey(ID, poolKeys.JobPart.spec);
    const receivedKeys: string[] = [];
    let watches = 0;
    const feed = recordFeed.startRecordFeed({
      store: {
        ...store,
        watch: async () => {
          watches += 1;
          await clock.sleep(time, 8000);
          return unavailable();
        },
      },
      clock: time,
      log: logging.silentLog,
      onRecord: (record) => {
        receivedKeys.push(record.key);
      },
      onRemoved: () => undefined,
      onProgress: () => undefined,
      onDidLoad: () => undefined,
    });
    await time.advance(100);
    await store.transact({ conditions: [], puts: [{ key, value: '{}' }], removes: [] });
    await time.advance(60_000);
    await feed.dispose();
    assert.ok(receivedKeys.includes(key), `not received within a minute, in ${watches} watches`);
  });
});
