/**
 * Subjects shared by the contract tests of the store and the worker: each contract is tested on the
 * stand-in itself and on the HTTP client in front of it.
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

/** Timeout of a call. */
const TIMEOUT_MS = 150;

/** A subject under test with the stand-in behind it, whose fault switches tests set. */
export interface Subject<T, S> {
  readonly subject: T;
  readonly standIn: S;
  readonly clock: clock.FakeClock;
  readonly owned: disposable.DisposableStore;
}

/** Creates a new subject. */
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

/** The store as stand-in and through the HTTP client. */
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

/** The worker as stand-in and through the HTTP client. */
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
 * @param isTrue - condition to wait for, without a timeout
 */
export const until = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await timers.setImmediate();
};
