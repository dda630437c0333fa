/**
 * What the contract tests of the store and the worker share: each subject is run once as the
 * stand-in itself and once through the client over HTTP.
 */
import * as timers from 'node:timers/promises';

import * as clock from '../../base/common/clock.js';
import * as disposable from '../../base/common/disposable.js';
import * as http from '../../base/common/http.js';
import * as metrics from '../../base/common/metrics.js';
import * as systemClock from '../../base/node/systemClock.js';
import type * as store from '../../state/common/store.js';
import type * as workerContract from '../../state/common/workerContract.js';
import * as httpStore from '../../state/node/httpStore.js';
import * as httpWorker from '../../state/node/httpWorker.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as memoryStore from '../memoryStore.js';
import * as memoryWorker from '../memoryWorker.js';
import * as storeServer from '../storeServer.js';
import * as workerServer from '../workerServer.js';

/** A call that gets no answer ends after this time. */
const TIMEOUT_MS = 150;

/** A subject under test with the switches of the stand-in behind it. */
export interface Subject<T, S> {
  readonly subject: T;
  readonly standIn: S;
  readonly clock: clock.FakeClock;
  readonly owned: disposable.DisposableStore;
}

/** Makes a fresh subject. */
export type CreateSubject<T, S> = () => Promise<Subject<T, S>>;

const createClient = (owned: disposable.DisposableStore): httpClient.HttpClient =>
  owned.add(
    httpClient.createHttpClient({
      clock: systemClock.systemClock,
      maxConnections: 8,
      maxIdleMs: 5000,
      maxReplyBytes: 4_194_304,
    }),
  );

/** The two ways to the store. */
export const STORES: readonly [string, CreateSubject<store.Store, memoryStore.MemoryStore>][] = [
  [
    'stand-in',
    () => {
      const time = clock.createFakeClock();
      const standIn = memoryStore.createMemoryStore(time);
      const owned = disposable.createDisposableStore();
      return Promise.resolve({ subject: standIn, standIn, clock: time, owned });
    },
  ],
  [
    'HTTP client',
    async () => {
      const time = clock.createFakeClock();
      const standIn = memoryStore.createMemoryStore(time);
      const owned = disposable.createDisposableStore();
      const server = owned.add(await storeServer.serveStore(standIn));
      const client = createClient(owned);
      const subject = httpStore.createHttpStore({
        url: http.formatAddress(server.address),
        timeoutMs: TIMEOUT_MS,
        call: (request) => client.call(request),
        metrics: metrics.createMetrics(),
      });
      return { subject, standIn, clock: time, owned };
    },
  ],
];

/** The two ways to the worker. */
export const WORKERS: readonly [
  string,
  CreateSubject<workerContract.Worker, memoryWorker.MemoryWorker>,
][] = [
  [
    'stand-in',
    () => {
      const time = clock.createFakeClock();
      const owned = disposable.createDisposableStore();
      const standIn = owned.add(memoryWorker.createMemoryWorker(time));
      return Promise.resolve({ subject: standIn, standIn, clock: time, owned });
    },
  ],
  [
    'HTTP client',
    async () => {
      const time = clock.createFakeClock();
      const owned = disposable.createDisposableStore();
      const standIn = owned.add(memoryWorker.createMemoryWorker(time));
      const server = owned.add(await workerServer.serveWorker(standIn));
      const client = createClient(owned);
      const subject = httpWorker.createHttpWorker({
        url: http.formatAddress(server.address),
        timeoutMs: TIMEOUT_MS,
        call: (request) => client.call(request),
      });
      return { subject, standIn, clock: time, owned };
    },
  ],
];

/**
 * @param isTrue - what to wait for, without regard to time
 */
export const until = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await timers.setImmediate();
};
