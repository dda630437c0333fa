/**
 * Accepting jobs at an entry: what is stored, and that a refused job is never stored.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as configurationFeed from '../../coordination/node/pool/configurationFeed.js';
import * as jobRequestHandler from '../../coordination/node/pool/jobRequestHandler.js';
import type * as poolConfiguration from '../../state/common/pool/poolConfiguration.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import * as progressRecord from '../../state/common/pool/progressRecord.js';
import * as memoryStore from '../memoryStore.js';
import * as stores from '../../state/common/store.js';

const CONFIGURATION_KEY = 'configuration';
const ID = '5c0e7a21d94b36f8';

const makeConfiguration = (version: number, apiKeys: readonly string[], isQueueThere = true) => {
  const configuration: poolConfiguration.PoolConfiguration = {
    version,
    queues: isQueueThere
      ? [
          {
            policy: fixtures.makeJob([{}]).policy,
            host: 'h',
            pathPrefix: '/q/',
            isPublic: false,
            timeoutMs: 3000,
          },
        ]
      : [],
    services: [],
    customers: [{ customerId: 'c', apiKeys, guaranteedAccelerators: 0 }],
    maxBodyBytes: 1000,
  };
  return JSON.stringify(configuration);
};

interface Rig {
  readonly clock: clock.FakeClock;
  readonly store: memoryStore.MemoryStore;
  readonly feed: configurationFeed.ConfigurationFeed;
  readonly desk: jobRequestHandler.JobRequestHandler;
  readonly configure: (text: string) => Promise<void>;
  /** Records contact with the store without new data, as while a long answer is arriving. */
  readonly hear: () => void;
}

const createRig = async (): Promise<Rig> => {
  const time = clock.createFakeClock(1_000_000);
  const store = memoryStore.createMemoryStore(time);
  const configure = async (value: string): Promise<void> => {
    const puts = [{ key: CONFIGURATION_KEY, value }];
    await store.transact({ conditions: [], puts, removes: [] });
  };
  await configure(makeConfiguration(1, ['key']));
  const feed = configurationFeed.startConfigurationFeed({
    store,
    clock: time,
    log: logging.silentLog,
    key: CONFIGURATION_KEY,
    decode: (text) => JSON.parse(text) as poolConfiguration.PoolConfiguration,
  });
  await time.advance(100);
  let contactAtMs = Number.NEGATIVE_INFINITY;
  const desk = jobRequestHandler.createJobRequestHandler({
    store,
    clock: time,
    log: logging.silentLog,
    metrics: metrics.createMetrics(),
    feed,
    configurationKey: CONFIGURATION_KEY,
    storeAgeMs: () => Math.min(feed.ageMs(), time.monotonicMs() - contactAtMs),
    revokeMs: 5000,
    maxValueBytes: stores.MAX_VALUE_BYTES,
  });
  const hear = (): void => {
    contactAtMs = time.monotonicMs();
  };
  return { clock: time, store, feed, desk, configure, hear };
};

const call = (changes: Partial<jobRequestHandler.Call> = {}): jobRequestHandler.Call => ({
  requestId: 'id',
  host: 'h',
  path: `/q/${ID}`,
  apiKey: 'key',
  deadlineMs: 3000,
  ...changes,
});

const DRAFT: jobRequestHandler.JobDraft = {
  payload: 'text',
  steps: [fixtures.makeStep()],
  schedule: undefined,
};

/** The outcome of an action after 3 seconds of the fake clock. */
const outcomeOf = async (rig: Rig, action: () => Promise<unknown>): Promise<unknown> => {
  const settled = action().then(
    (value) => value ?? 'accepted',
    (thrown: unknown) => errors.normalize(thrown).kind,
  );
  await rig.clock.advance(3000);
  return settled;
};

const submit = (rig: Rig, request = call()): Promise<unknown> =>
  outcomeOf(rig, async () => rig.desk.submit(request, rig.desk.admit(request), DRAFT));

const isStored = async (rig: Rig): Promise<boolean> =>
  (await rig.store.get(poolKeys.jobKey(ID, poolKeys.JobPart.spec))) !== undefined;

interface Case {
  readonly name: string;
  readonly act: (rig: Rig) => Promise<unknown>;
  readonly outcome: unknown;
  /** Whether the job is stored at the end. */
  readonly isStored: boolean;
}

const SUBMIT_CASES: readonly Case[] = [
  { name: 'a job is stored', act: submit, outcome: 'accepted', isStored: true },
  {
    name: 'a repeated submission is accepted as the same job',
    act: async (rig) => {
      await submit(rig);
      return submit(rig);
    },
    outcome: 'accepted',
    isStored: true,
  },
  {
    name: 'no such queue',
    act: (rig) => submit(rig, call({ host: 'elsewhere' })),
    outcome: 'notFound',
    isStored: false,
  },
  {
    name: 'an unknown credential',
    act: (rig) => submit(rig, call({ apiKey: 'other' })),
    outcome: 'unauthenticated',
    isStored: false,
  },
  {
    name: 'no credential',
    act: (rig) => submit(rig, call({ apiKey: undefined })),
    outcome: 'unauthenticated',
    isStored: false,
  },
  {
    name: 'a step that depends on itself',
    act: (rig) => {
      const request = call();
      const steps = [fixtures.makeStep({ after: [0] })];
      return outcomeOf(rig, async () =>
        rig.desk.submit(request, rig.desk.admit(request), { ...DRAFT, steps }),
      );
    },
    outcome: 'invalidRequest',
    isStored: false,
  },
  {
    // The store applies the write and request answer is lost. If the caller received a refusal, request job would
    // run nevertheless.
    name: 'a lost answer is not reported as a refusal',
    act: (rig) => {
      rig.store.faults.loseWriteAnswers = 1;
      return submit(rig);
    },
    outcome: 'accepted',
    isStored: true,
  },
  {
    // No answer arrives while the caller waits, and the write takes effect afterwards.
    name: 'a write in flight is never reported as a refusal',
    act: async (rig) => {
      rig.store.faults.delayTransactions = 20;
      const outcome = await submit(rig);
      await rig.clock.advance(5000);
      return outcome;
    },
    outcome: 'outcomeUnknown',
    isStored: true,
  },
  {
    name: 'a job is refused and not stored while the store is down',
    act: async (rig) => {
      rig.store.faults.isDown = true;
      const outcome = await submit(rig);
      rig.store.faults.isDown = false;
      return outcome;
    },
    outcome: 'storeUnavailable',
    isStored: false,
  },
  {
    // The credential is revoked, and a job with it arrives before this entry has received the change: the
    // write is conditional on the configuration with which the call was admitted.
    name: 'a credential that was just revoked is not accepted',
    act: (rig) =>
      outcomeOf(rig, async () => {
        const request = call();
        const admitted = rig.desk.admit(request);
        await rig.configure(makeConfiguration(2, ['another']));
        return rig.desk.submit(request, admitted, DRAFT);
      }),
    outcome: 'unauthenticated',
    isStored: false,
  },
  {
    name: 'a configuration change that still allows the call does not refuse it',
    act: (rig) =>
      outcomeOf(rig, async () => {
        const request = call();
        const admitted = rig.desk.admit(request);
        await rig.configure(makeConfiguration(2, ['key', 'another']));
        return rig.desk.submit(request, admitted, DRAFT);
      }),
    outcome: 'accepted',
    isStored: true,
  },
  {
    // An entry is cut off from the store. Its copy of the configuration becomes stale, and a credential may
    // have been revoked since.
    name: 'no credential is accepted without a recent confirmation of the configuration',
    act: async (rig) => {
      rig.store.faults.isDown = true;
      await rig.clock.advance(6000);
      const outcome = await submit(rig);
      assert.throws(() => rig.desk.admit(call()), /credentials can not be checked/);
      rig.store.faults.isDown = false;
      return outcome;
    },
    outcome: 'storeUnavailable',
    isStored: false,
  },
  {
    name: 'a confirmation delayed by a long answer refuses no job',
    act: async (rig) => {
      rig.store.faults.areWatchesLost = true;
      await rig.clock.advance(2000);
      rig.hear();
      return submit(rig);
    },
    outcome: 'accepted',
    isStored: true,
  },
  {
    name: 'a job is refused and not stored where a new configuration does not arrive in time',
    act: async (rig) => {
      rig.store.faults.areWatchesLost = true;
      await rig.clock.advance(2000);
      const request = call();
      const admitted = rig.desk.admit(request);
      await rig.configure(makeConfiguration(2, ['key']));
      const outcome = await outcomeOf(rig, () => rig.desk.submit(request, admitted, DRAFT));
      rig.store.faults.areWatchesLost = false;
      return outcome;
    },
    outcome: 'storeUnavailable',
    isStored: false,
  },
  {
    name: 'a configuration change during a call costs no read of the complete configuration',
    act: async (rig) => {
      const request = call();
      const admitted = rig.desk.admit(request);
      await rig.configure(makeConfiguration(2, ['key']));
      await outcomeOf(rig, () => rig.desk.submit(request, admitted, DRAFT));
      return rig.store.calls().list;
    },
    outcome: 1,
    isStored: true,
  },
  {
    name: 'an older configuration is not adopted',
    act: async (rig) => {
      await rig.configure(makeConfiguration(5, ['key']));
      await rig.clock.advance(200);
      await rig.configure(makeConfiguration(4, ['key'], false));
      await rig.clock.advance(200);
      return rig.feed.current()?.configuration.version;
    },
    outcome: 5,
    isStored: false,
  },
  {
    // Guards against a caller that retries in vain, although the store will never take its job.
    name: 'a job that the store refuses for its size is refused at once',
    act: (rig) => {
      rig.store.faults.maxValueBytes = 10;
      return submit(rig);
    },
    outcome: 'tooLarge',
    isStored: false,
  },
];

test.describe('submitting a job', () => {
  for (const it of SUBMIT_CASES) {
    test.it(it.name, async () => {
      const rig = await createRig();
      assert.equal(await it.act(rig), it.outcome);
      assert.equal(await isStored(rig), it.isStored);
      await rig.feed.dispose();
    });
  }

  test.it('a caller gets an answer within a second while the store is down', async () => {
    const rig = await createRig();
    rig.store.faults.isDown = true;
    const startedAtMs = rig.clock.monotonicMs();
    let answeredAtMs = Infinity;
    const request = call();
    const settled = rig.desk.submit(request, rig.desk.admit(request), DRAFT).catch(() => {
      answeredAtMs = rig.clock.monotonicMs();
    });
    await rig.clock.advance(1000);
    await settled;
    assert.ok(answeredAtMs - startedAtMs <= 1000);
    await rig.feed.dispose();
  });
});

const state = (rig: Rig): Promise<unknown> => {
  const request = call();
  return outcomeOf(rig, async () => rig.desk.state(request, rig.desk.admit(request)));
};

const cancel = (rig: Rig): Promise<unknown> => {
  const request = call();
  return outcomeOf(rig, async () => rig.desk.cancel(request, rig.desk.admit(request)));
};

const STATE_CASES: readonly [string, (rig: Rig) => Promise<unknown>, unknown][] = [
  ['a job that was never submitted is gone', state, 'gone'],
  ['cancelling a job that was never submitted reports it as gone', cancel, 'gone'],
  [
    'a job that has not started is queued',
    async (rig) => {
      await submit(rig);
      return state(rig);
    },
    'queued',
  ],
  [
    'a cancelled job is cancelled before the leader has received the cancellation',
    async (rig) => {
      await submit(rig);
      await cancel(rig);
      return state(rig);
    },
    'cancelled',
  ],
  [
    'the state that the leader stored takes precedence',
    async (rig) => {
      await submit(rig);
      await cancel(rig);
      const value = progressRecord.encodeProgress({ state: 'complete', endedAtMs: 1, tasks: [] });
      const puts = [{ key: poolKeys.progressKey(ID), value }];
      await rig.store.transact({ conditions: [], puts, removes: [] });
      return state(rig);
    },
    'complete',
  ],
  [
    'the state of a job is unavailable while the store is down',
    async (rig) => {
      await submit(rig);
      rig.store.faults.isDown = true;
      return state(rig);
    },
    'storeUnavailable',
  ],
];

test.describe('a job’s state', () => {
  for (const [name, act, outcome] of STATE_CASES) {
    test.it(name, async () => {
      const rig = await createRig();
      assert.equal(await act(rig), outcome);
      await rig.feed.dispose();
    });
  }
});
