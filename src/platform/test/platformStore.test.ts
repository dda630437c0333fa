/**
 * Client of the platform's store, checked against the store's documentation: the requests sent, and the
 * outcome of each answer and of lost answers.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as metrics from '../../base/common/metrics.js';
import type * as recordStore from '../../state/common/pool/recordStore.js';
import * as store from '../../state/common/store.js';
import * as platformStore from '../platformStore.js';
import * as scripted from './scriptedCall.js';

const base64 = (text: string): string => Buffer.from(text).toString('base64');

const create = (scriptedCall: scripted.ScriptedCall, time?: clock.Clock): recordStore.RecordStore =>
  platformStore.createPlatformStore({
    ...(time === undefined ? {} : { clock: time }),
    address: () => ({ host: '127.0.0.1', port: 1 }),
    call: scriptedCall.call,
    metrics: metrics.createMetrics(),
    timeoutMs: 500,
  });

const TRANSACTION: recordStore.Transaction = {
  conditions: [{ key: 'a', revision: 0 }],
  puts: [{ key: 'a', value: 'text', leaseId: '7' }],
  removes: ['b'],
};

/** Returns the value of a call, or how it failed. */
const outcomeOf = async (call: () => Promise<unknown>): Promise<unknown> => {
  try {
    return await call();
  } catch (thrown) {
    if (thrown instanceof store.StoreOutcomeUnknown) return 'outcomeUnknown';
    if (thrown instanceof store.StoreRefused) return 'refused';
    return errors.normalize(thrown).kind;
  }
};

interface Case {
  readonly name: string;
  readonly answers: readonly scripted.ScriptedAnswer[];
  readonly call: (subject: recordStore.RecordStore) => Promise<unknown>;
  readonly outcome: unknown;
  readonly path?: string;
  readonly body?: unknown;
}

const transact = (subject: recordStore.RecordStore): Promise<unknown> =>
  subject.transact(TRANSACTION);

const watch = (subject: recordStore.RecordStore): Promise<unknown> =>
  subject.watch('p/', 5, 1000, new AbortController().signal);

const CASES: readonly Case[] = [
  {
    name: 'a transaction sends conditions, puts in base64 and removes',
    answers: [{ status: 200, body: { rev: 9 } }],
    call: transact,
    outcome: { isCommitted: true, revision: 9 },
    path: '/-/kv-txn',
    body: {
      if_rev: [{ key: 'a', rev: 0 }],
      set_keys: [{ key: 'a', value: base64('text'), lease: 7 }],
      remove: ['b'],
    },
  },
  {
    name: 'a failed condition returns the present records',
    answers: [
      {
        status: 412,
        body: {
          items: [
            { key: 'a', value: base64('x'), rev: 4 },
            { key: 'c', rev: 0 },
          ],
        },
      },
    ],
    call: transact,
    outcome: {
      isCommitted: false,
      isLeaseGone: false,
      current: [{ key: 'a', value: 'x', revision: 4 }],
    },
  },
  {
    name: 'an ended lease is distinguished',
    answers: [{ status: 404 }],
    call: transact,
    outcome: { isCommitted: false, isLeaseGone: true, current: [] },
  },
  {
    name: 'too many requests: nothing was done',
    answers: [{ status: 429 }],
    call: transact,
    outcome: 'storeUnavailable',
  },
  {
    name: 'unavailable: nothing was done',
    answers: [{ status: 503 }],
    call: transact,
    outcome: 'storeUnavailable',
  },
  {
    name: 'no connection: nothing was done',
    answers: [{ failure: 'notSent' }],
    call: transact,
    outcome: 'storeUnavailable',
  },
  {
    // Guards against telling a caller that its job was refused although it runs: the write took effect
    // and only its answer was lost.
    name: 'a write without an answer may take effect',
    answers: [{ failure: 'lost' }],
    call: transact,
    outcome: 'outcomeUnknown',
  },
  {
    name: 'a write that times out may take effect',
    answers: [{ failure: 'timeout' }],
    call: transact,
    outcome: 'outcomeUnknown',
  },
  {
    name: 'a failure of an intermediary may occur after the write took effect',
    answers: [{ status: 502 }],
    call: transact,
    outcome: 'outcomeUnknown',
  },
  {
    name: 'a forbidden write is refused for what it contains',
    answers: [{ status: 403 }],
    call: transact,
    outcome: 'refused',
  },
  {
    name: 'a write of a value that is too large is refused for what it contains',
    answers: [{ status: 413 }],
    call: transact,
    outcome: 'refused',
  },
  {
    name: 'a write for which the service has no time may take effect',
    answers: [{ status: 408 }],
    call: transact,
    outcome: 'outcomeUnknown',
  },
  {
    name: 'a list reads all pages and has the revision of the first',
    answers: [
      {
        status: 200,
        body: { items: [{ key: 'p/1', value: base64('1'), rev: 1 }], more_pages: true, as_of: 3 },
      },
      { status: 200, body: { items: [{ key: 'p/2', value: base64('2'), rev: 4 }], as_of: 5 } },
    ],
    call: (subject) => subject.list('p/'),
    outcome: {
      revision: 3,
      entries: [
        { key: 'p/1', value: '1', revision: 1 },
        { key: 'p/2', value: '2', revision: 4 },
      ],
    },
  },
  {
    name: 'a missing key',
    answers: [{ status: 404 }],
    call: (subject) => subject.get('a'),
    outcome: undefined,
    path: '/-/kv-key?key=a',
  },
  {
    name: 'a read without an answer changes nothing',
    answers: [{ failure: 'timeout' }],
    call: (subject) => subject.get('a'),
    outcome: 'storeUnavailable',
  },
  {
    name: 'a watch returns the last event of each key',
    answers: [
      {
        status: 200,
        body: {
          events: [
            { key: 'p/1', value: base64('old'), rev: 6 },
            { key: 'p/2', value: base64('x'), rev: 7 },
            { key: 'p/1', value: base64('new'), rev: 8 },
            { key: 'p/2', rev: 9, tombstone: true },
          ],
          as_of: 9,
        },
      },
    ],
    call: watch,
    outcome: {
      entries: [{ key: 'p/1', value: 'new', revision: 8 }],
      deletedKeys: ['p/2'],
      revision: 9,
      isGap: false,
    },
    path: '/-/kv-watch?prefix=p%2F&after=5&wait_ms=1000',
  },
  {
    name: 'a change history that is no longer available is a gap',
    answers: [{ status: 410 }],
    call: watch,
    outcome: { entries: [], deletedKeys: [], revision: 5, isGap: true },
  },
  {
    name: 'renewal of an expired lease',
    answers: [{ status: 404 }],
    call: (subject) => subject.renewLease('7'),
    outcome: false,
    path: '/-/kv-keep/7',
  },
  {
    name: 'a renewal without an answer leaves the state of the lease unknown',
    answers: [{ failure: 'lost' }],
    call: (subject) => subject.renewLease('7'),
    outcome: 'storeUnavailable',
  },
];

test.describe('platformStore', () => {
  for (const it of CASES) {
    test.it(it.name, async () => {
      const scriptedCall = scripted.createScriptedCall(...it.answers);
      assert.deepEqual(await outcomeOf(() => it.call(create(scriptedCall))), it.outcome);
      if (it.path !== undefined) assert.equal(scriptedCall.sent[0]?.path, it.path);
      if (it.body !== undefined) assert.deepEqual(scriptedCall.sent[0]?.body, it.body);
    });
  }
});

const PAGES: readonly scripted.ScriptedAnswer[] = [
  {
    status: 200,
    body: { items: [{ key: 'p/1', value: base64('1'), rev: 1 }], more_pages: true, as_of: 3 },
  },
  { status: 200, body: { items: [{ key: 'p/2', value: base64('2'), rev: 4 }], as_of: 5 } },
];

const FIRST_PATH = '/-/kv-range?prefix=p%2F';
const SECOND_PATH = '/-/kv-range?prefix=p%2F&after=p%2F1';

interface PageCase {
  readonly name: string;
  /** Failures of the second page, one per attempt. */
  readonly failures: readonly scripted.ScriptedAnswer[];
  readonly outcome: unknown;
}

const PAGE_CASES: readonly PageCase[] = [
  {
    // Guards against a list of many pages that never completes, because each failure restarts it.
    name: 'a failed page is requested again, but not those before it',
    failures: [{ failure: 'timeout' }, { status: 429 }, { failure: 'notSent' }, { status: 503 }],
    outcome: ['1', '2'],
  },
  {
    name: 'a page that fails repeatedly fails the list',
    failures: Array.from({ length: 5 }, () => ({ failure: 'timeout' }) as const),
    outcome: 'storeUnavailable',
  },
];

test.describe('a list of several pages', () => {
  for (const it of PAGE_CASES) {
    test.it(it.name, async () => {
      const [first, second] = PAGES;
      assert.ok(first !== undefined && second !== undefined);
      const scriptedCall = scripted.createScriptedCall(first, ...it.failures, second);
      const time = clock.createFakeClock();
      const listed = outcomeOf(async () => {
        const { entries } = await create(scriptedCall, time).list('p/');
        return entries.map(({ value }) => value);
      });
      await time.advance(5000);
      assert.deepEqual(await listed, it.outcome);
      const paths = scriptedCall.sent.map(({ path }) => path);
      assert.deepEqual(paths, [FIRST_PATH, ...Array.from({ length: 5 }, () => SECOND_PATH)]);
    });
  }

  test.it('fails if its first page fails, since no pages have been read yet', async () => {
    const scriptedCall = scripted.createScriptedCall({ failure: 'timeout' }, ...PAGES);
    const outcome = await outcomeOf(() => create(scriptedCall, clock.createFakeClock()).list('p/'));
    assert.equal(outcome, 'storeUnavailable');
  });
});
