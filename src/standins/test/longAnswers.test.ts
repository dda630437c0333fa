/**
 * What depends on answers of the store that are long on their way.
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

const away = (): Promise<never> =>
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

interface DeskRig {
  readonly clock: clock.FakeClock;
  readonly desk: jobRequestHandler.JobRequestHandler;
  readonly store: memoryStore.MemoryStore;
  readonly failGets: () => void;
  readonly submit: () => Promise<unknown>;
}

const createDeskRig = async (): Promise<DeskRig> => {
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
    get: (key) => (areGetsFailing ? away() : store.get(key)),
  };
  const desk = jobRequestHandler.createJobRequestHandler({
    store: subject,
    clock: time,
    log: logging.silentLog,
    metrics: metrics.createMetrics(),
    feed,
    configurationKey: KEY,
    storeAgeMs: feed.ageMs,
    revokeMs: 5000,
  });
  const submit = async (): Promise<unknown> => {
    let outcome: unknown = 'no answer in the time of the caller';
    void desk.submit(CALL, desk.admit(CALL), DRAFT).then(
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
  return { clock: time, desk, store, failGets, submit };
};

// A refusal promises that the job never runs; a job that is stored runs.
test.describe('a submit whose record was refused without the records', () => {
  test.it('is not refused where its own first write took effect', async () => {
    const rig = await createDeskRig();
    rig.store.faults.loseWriteAnswers = 1;
    rig.failGets();
    const outcome = await rig.submit();
    assert.notEqual(await rig.store.get(poolKeys.jobKey(ID, poolKeys.JobPart.spec)), undefined);
    assert.notEqual(outcome, 'storeUnavailable');
  });

  test.it('is not refused where the job was accepted before', async () => {
    const rig = await createDeskRig();
    assert.equal(await rig.submit(), 'accepted');
    rig.failGets();
    assert.notEqual(await rig.submit(), 'storeUnavailable');
  });
});

// Guards against a caller that is held, and cut at the end of a process, for an answer that comes too late for it.
test.describe('a call whose answer of the store is long', () => {
  test.it('is answered within the time of its caller', async () => {
    const rig = await createDeskRig();
    rig.store.faults.delayMs = 6000;
    assert.equal(await rig.submit(), 'outcomeUnknown');
  });
});

const outcomeOfAdmit = (
  desk: jobRequestHandler.JobRequestHandler,
  call: jobRequestHandler.Call,
): string => {
  try {
    desk.admit(call);
    return 'admitted';
  } catch (thrown) {
    return errors.normalize(thrown).kind;
  }
};

/** An entry tells what a configuration says for 2.5 s after that one was replaced, and no longer. */
const APPLY_MS = 2500;

/** The watch that waits when answers begin to take long still proves the configuration at its end. */
const WAITING_WATCH_MS = 1200;

const UNKNOWN: readonly [name: string, changes: Partial<jobRequestHandler.Call>][] = [
  ['a queue', { path: `/later/${ID}` }],
  ['a key', { apiKey: 'later' }],
];

// Guards against answers by a configuration that was replaced long ago, while the next one is on its way.
test.describe('an entry that waits for a long configuration', () => {
  for (const [name, changes] of UNKNOWN) {
    test.it(`does not deny ${name} that the next one may have`, async () => {
      const rig = await createDeskRig();
      rig.store.faults.delayMs = 8000;
      await rig.clock.advance(WAITING_WATCH_MS + APPLY_MS);
      assert.equal(outcomeOfAdmit(rig.desk, { ...CALL, ...changes }), 'storeUnavailable');
    });
  }
});

// Guards against a line that is full of what is known at the end of each outage.
test.describe('a configuration that did not change in a short outage', () => {
  test.it('is not read whole again where the store refuses at once', async () => {
    const time = clock.createFakeClock(1_000_000);
    const store = memoryStore.createMemoryStore(time);
    const puts = [{ key: KEY, value: makeConfiguration(1) }];
    await store.transact({ conditions: [], puts, removes: [] });
    let isRefusing = false;
    let reads = 0;
    const feed = configurationFeed.startConfigurationFeed({
      store: {
        list: async (prefix) => {
          if (isRefusing) return away();
          reads += 1;
          return store.list(prefix);
        },
        watch: async (...watched) => {
          const seen = await store.watch(...watched);
          return isRefusing ? away() : seen;
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

// Guards against a loop without a pause, in which the scheduler never reads what the store has.
test.describe('a scheduler beside an entry without a fresh configuration', () => {
  test.it('reads the store where that no longer remembers what the entry saw', async () => {
    const time = clock.createFakeClock(1_000_000);
    const store = memoryStore.createMemoryStore(time);
    const configure = async (version: number): Promise<void> => {
      const puts = [{ key: KEY, value: makeConfiguration(version) }];
      await store.transact({ conditions: [], puts, removes: [] });
    };
    await configure(1);
    const common = { clock: time, log: logging.silentLog, key: KEY, decode };
    let isEntryAway = false;
    const entry = configurationFeed.startConfigurationFeed({
      ...common,
      store: {
        list: (prefix) => (isEntryAway ? away() : store.list(prefix)),
        watch: async (...watched) => {
          const seen = await store.watch(...watched);
          return isEntryAway ? away() : seen;
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
    isEntryAway = true;
    await configure(2);
    forgottenRevision = (await store.list(KEY)).revision;
    await time.advance(10_000);
    await scheduler.dispose();
    await entry.dispose();
    assert.equal(scheduler.current()?.configuration.version, 2, `after ${calls} calls`);
    assert.ok(calls < 60, `${calls} calls of the store`);
  });
});

// Guards against loads that fill a line beside each other, each making the others longer.
test.describe('counts of waiting jobs without a leader', () => {
  test.it('are loaded once at a time, however long that takes', async () => {
    const time = clock.createFakeClock(1_000_000);
    const store = memoryStore.createMemoryStore(time);
    let running = 0;
    let most = 0;
    const list: recordStore.RecordStore['list'] = async (prefix) => {
      running += 1;
      most = Math.max(most, running);
      await clock.sleep(time, 3000);
      running -= 1;
      return store.list(prefix);
    };
    const counts = pendingCounts.createPendingCounts({
      store: { ...store, list },
      clock: time,
      log: logging.silentLog,
      askLeader: away,
    });
    for (let asked = 0; asked < 40; asked += 1) {
      counts.ofQueue('q').catch(() => undefined);
      await time.advance(250);
    }
    assert.equal(most, 1);
  });
});

// Guards against a leader that asks for ever for changes that are too long to arrive.
test.describe('the leader beside changes that never arrive whole', () => {
  test.it('reads its records anew', async () => {
    const time = clock.createFakeClock(1_000_000);
    const store = memoryStore.createMemoryStore(time);
    const key = poolKeys.jobKey(ID, poolKeys.JobPart.spec);
    const told: string[] = [];
    let watches = 0;
    const feed = recordFeed.startRecordFeed({
      store: {
        ...store,
        watch: async () => {
          watches += 1;
          await clock.sleep(time, 8000);
          return away();
        },
      },
      clock: time,
      log: logging.silentLog,
      onRecord: (record) => {
        told.push(record.key);
      },
      onRemoved: () => undefined,
      onProgress: () => undefined,
      onDidLoad: () => undefined,
    });
    await time.advance(100);
    await store.transact({ conditions: [], puts: [{ key, value: '{}' }], removes: [] });
    await time.advance(60_000);
    await feed.dispose();
    assert.ok(told.includes(key), `not told within a minute, in ${watches} watches`);
  });
});
