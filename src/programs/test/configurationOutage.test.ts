/**
 * Processes that start during a store outage, and messages with a higher configuration version.
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
  assert.fail('the condition was not met in time');
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
  'a process that starts during an outage gets the configuration of a peer or is not ready',
  async () => {
    // The store is down for hours and an entry VM is replaced. If the new entry were ready without a
    // configuration, it would refuse every customer as unknown; if it never became ready, the store
    // outage would become a system outage once all VMs are replaced.
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
      const withPeer = owned.add(await entry.startEntry(settingsOf('helped', storeUrl, peers)));
      const withoutPeer = owned.add(await entry.startEntry(settingsOf('alone', storeUrl, [])));
      const led = owned.add(await scheduler.startScheduler(settingsOf('led', storeUrl, peers)));
      await until(() => isReady(withPeer.callersUrl));
      await until(() => isReady(led.peersUrl));
      assert.equal(await readiness(withoutPeer.callersUrl), 'no configuration yet\n');
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
  {
    name: 'requires the version and fetches it',
    handler: 'submit',
    canCatchUp: true,
    verdict: 'ran',
  },
  {
    name: 'requires the version and cannot fetch it',
    handler: 'submit',
    canCatchUp: false,
    verdict: 'staleConfiguration',
  },
  { name: 'is only a heartbeat', handler: 'report', canCatchUp: false, verdict: 'ran' },
];

for (const it of CASES) {
  test.test(`a message with a higher version that ${it.name}: ${it.verdict}`, async () => {
    const versions: number[] = [];
    const sync = {
      noteVersion: (version: number) => versions.push(version),
      catchUp: (version: number) => {
        versions.push(version);
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
    assert.deepEqual(versions, [9]);
  });
}
