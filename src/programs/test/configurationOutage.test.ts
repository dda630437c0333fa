/**
 * Processes that start while the store is down, and messages that carry a higher version.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import * as systemClock from '../../base/node/systemClock.js';
import type * as configurationSync from '../../coordination/node/configurationSync.js';
import * as configurationStore from '../../coordination/node/configurationStore.js';
import * as memoryStore from '../../standins/memoryStore.js';
import * as storeServer from '../../standins/storeServer.js';
import * as configurationSample from '../../state/common/test/configurationSample.js';
import type * as settings from '../../state/common/settings.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as configurationLinks from '../configurationLinks.js';
import * as entry from '../entry.js';
import * as scheduler from '../scheduler.js';

const LOOPBACK = { host: '127.0.0.1', port: 0 } as const;
const POLL_MS = 20;
const TRIES = 400;

const until = async (isDone: () => Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < TRIES; attempt += 1) {
    if (await isDone()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  assert.fail('it never happened');
};

const settingsOf = (
  processId: string,
  storeUrl: string,
  peerUrls: readonly string[],
): settings.EntrySettings => ({
  processId,
  region: 'up',
  zone: 'north',
  peers: LOOPBACK,
  callers: LOOPBACK,
  operators: LOOPBACK,
  peerSecret: 'a-secret-of-no-value',
  logLevel: 'error',
  drainMs: 100,
  storeUrl,
  storeTimeoutMs: 200,
  leaseMs: 1000,
  peerUrls: [...peerUrls],
  operatorTokens: [],
  maxBodyBytes: 65_536,
  maxOpenRequests: 10,
});

test.test(
  'a process that starts in an outage takes its peer’s version or is not ready',
  async () => {
    // The store is down for hours and an entry VM is replaced. Were the new entry ready without a
    // configuration, it would refuse every customer as unknown; were it never ready, the outage of
    // the store would become one of the system as soon as all VMs are replaced.
    const owned = disposable.createDisposableStore();
    const store = memoryStore.createMemoryStore(systemClock.systemClock);
    const storeUrl = http.formatAddress(owned.add(await storeServer.serveStore(store)).address);
    const client = owned.add(
      httpClient.createHttpClient({
        clock: systemClock.systemClock,
        maxConnections: 4,
        maxIdleMs: 1000,
        maxReplyBytes: 65_536,
      }),
    );
    const readiness = async (url: string): Promise<string> => {
      const reply = await client.call({
        address: http.parseAddress(url),
        method: 'GET',
        path: '/readyz',
        headers: {},
        body: new Uint8Array(),
        timeoutMs: 1000,
      });
      return Buffer.from(reply.body).toString('utf8');
    };
    const isReady = async (url: string): Promise<boolean> => (await readiness(url)) === 'ready\n';
    try {
      const { SAMPLE: document } = configurationSample;
      const change = { baseVersion: 0, writeId: 'one', author: 'a', reason: 'r', document };
      await configurationStore.writeConfiguration(store, change, 0);
      const first = owned.add(await entry.startEntry(settingsOf('first', storeUrl, [])));
      await until(() => isReady(first.callersUrl));
      store.faults.isDown = true;
      const peers = [first.peersUrl];
      const helped = owned.add(await entry.startEntry(settingsOf('helped', storeUrl, peers)));
      const alone = owned.add(await entry.startEntry(settingsOf('alone', storeUrl, [])));
      const led = owned.add(await scheduler.startScheduler(settingsOf('led', storeUrl, peers)));
      await until(() => isReady(helped.callersUrl));
      await until(() => isReady(led.peersUrl));
      assert.equal(await readiness(alone.callersUrl), 'no configuration yet\n');
    } finally {
      await owned.dispose();
    }
  },
);

interface VersionCase {
  readonly name: string;
  readonly handler: 'submit' | 'report';
  readonly canCatchUp: boolean;
  readonly verdict: string;
}

const CASES: readonly VersionCase[] = [
  { name: 'decides and catches up', handler: 'submit', canCatchUp: true, verdict: 'ran' },
  {
    name: 'decides and can not catch up',
    handler: 'submit',
    canCatchUp: false,
    verdict: 'staleConfiguration',
  },
  { name: 'only beats', handler: 'report', canCatchUp: false, verdict: 'ran' },
];

for (const it of CASES) {
  test.test(`a message with a higher version that ${it.name}: ${it.verdict}`, async () => {
    const noted: number[] = [];
    const sync = {
      noteVersion: (version: number) => noted.push(version),
      catchUp: (version: number) => {
        noted.push(version);
        return Promise.resolve(it.canCatchUp);
      },
    } as unknown as configurationSync.ConfigurationSync;
    const from = { processId: 'p', role: 'entry', configVersion: 9 } as const;
    const handle = () => Promise.resolve({ from });
    const service = configurationLinks.withVersions({ submit: handle, report: handle }, sync, [
      'submit',
    ]);
    const call = service[it.handler] as (request: unknown) => Promise<unknown>;
    const verdict = await call({ from }).then(
      () => 'ran',
      (thrown: unknown) => errors.normalize(thrown).kind,
    );
    assert.equal(verdict, it.verdict);
    assert.deepEqual(noted, [9]);
  });
}
