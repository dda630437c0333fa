/**
 * The configuration through the operators' API of a running entry: first version, dry run, conflict, history.
 */
import * as assert from 'node:assert/strict';
import * as crypto from 'node:crypto';
import * as test from 'node:test';

import * as disposable from '../../base/common/disposable.js';
import * as http from '../../base/common/http.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as memoryStore from '../../standins/memoryStore.js';
import * as storeServer from '../../standins/storeServer.js';
import * as configurationSample from '../../state/common/test/configurationSample.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as entry from '../entry.js';

const LOOPBACK = { host: '127.0.0.1', port: 0 } as const;
const TOKEN = 'a-token-of-no-value';
const { SAMPLE } = configurationSample;

interface Step {
  readonly name: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly status: number;
  readonly text: RegExp;
}

const change = (writeId: string, baseVersion: number, document: unknown = SAMPLE) => ({
  writeId,
  baseVersion,
  reason: `reason of ${writeId}`,
  document,
});

const grown = {
  ...SAMPLE,
  customers: SAMPLE.customers.map((it) => ({ ...it, quotaAccelerators: 40 })),
};

const STEPS: readonly Step[] = [
  { name: 'nothing yet', method: 'GET', path: '/api/config', status: 200, text: /"record":null/ },
  {
    name: 'dry run of the first',
    method: 'PUT',
    path: '/api/config?dryRun=true',
    body: change('one', 0),
    status: 200,
    text: /"path":"customers\[red\]\.name"/,
  },
  {
    name: 'the dry run wrote nothing',
    method: 'GET',
    path: '/api/config',
    status: 200,
    text: /"record":null/,
  },
  {
    name: 'a bad document',
    method: 'PUT',
    path: '/api/config',
    body: change('bad', 0, { ...SAMPLE, cells: [] }),
    status: 400,
    text: /shapes\[0\]\.cell.*\\"north\\" is not a cell; expected one of: none is defined/,
  },
  {
    name: 'no reason',
    method: 'PUT',
    path: '/api/config',
    body: { ...change('bad', 0), reason: '' },
    status: 400,
    text: /"field":"reason"/,
  },
  {
    name: 'the first',
    method: 'PUT',
    path: '/api/config',
    body: change('one', 0),
    status: 200,
    text: /"version":1,"writeId":"one","author":"anna"/,
  },
  {
    name: 'the first again',
    method: 'PUT',
    path: '/api/config',
    body: change('one', 0),
    status: 200,
    text: /"version":1,/,
  },
  {
    name: 'the second',
    method: 'PUT',
    path: '/api/config',
    body: change('two', 1, grown),
    status: 200,
    text: /"version":2,/,
  },
  {
    name: 'a race',
    method: 'PUT',
    path: '/api/config',
    body: change('three', 1),
    status: 409,
    text: /"current":\{"version":2.*"yours":\{.*"writeId":"three"/,
  },
  {
    name: 'an earlier version',
    method: 'GET',
    path: '/api/config/history/1',
    status: 200,
    text: /"reason":"reason of one"/,
  },
  {
    name: 'no such version',
    method: 'GET',
    path: '/api/config/history/9',
    status: 404,
    text: /no version 9/,
  },
  {
    name: 'not a version',
    method: 'GET',
    path: '/api/config/history/x',
    status: 400,
    text: /x given, an integer expected/,
  },
  {
    name: 'undone by a new version',
    method: 'PUT',
    path: '/api/config',
    body: change('four', 2, SAMPLE),
    status: 200,
    text: /"version":3,/,
  },
  {
    name: 'the history',
    method: 'GET',
    path: '/api/config/history',
    status: 200,
    text: /"version":3.*"version":2.*"version":1/,
  },
];

test.test('the configuration through the operators’ API', async (context) => {
  const owned = disposable.createDisposableStore();
  const store = memoryStore.createMemoryStore(systemClock.systemClock);
  const storeUrl = http.formatAddress(owned.add(await storeServer.serveStore(store)).address);
  const client = owned.add(
    httpClient.createHttpClient({
      clock: systemClock.systemClock,
      maxConnections: 4,
      maxIdleMs: 1000,
      maxReplyBytes: 1_048_576,
    }),
  );
  const salt = crypto.randomBytes(16);
  const program = owned.add(
    await entry.startEntry({
      processId: 'entry',
      region: 'up',
      zone: 'north',
      peers: LOOPBACK,
      callers: LOOPBACK,
      operators: LOOPBACK,
      peerSecret: 'a-secret-of-no-value',
      logLevel: 'error',
      drainMs: 100,
      storeUrl,
      storeTimeoutMs: 1000,
      leaseMs: 1000,
      operatorTokens: [
        {
          operatorId: 'anna',
          role: 'write',
          saltHex: salt.toString('hex'),
          hashHex: crypto.scryptSync(TOKEN, salt, 32).toString('hex'),
        },
      ],
      maxBodyBytes: 1_048_576,
      maxOpenRequests: 10,
    }),
  );
  try {
    for (const it of STEPS) {
      await context.test(it.name, async () => {
        const reply = await client.call({
          address: http.parseAddress(program.operatorsUrl),
          method: it.method,
          path: it.path,
          headers: { authorization: `Bearer ${TOKEN}` },
          body: Buffer.from(it.body === undefined ? '' : JSON.stringify(it.body)),
          timeoutMs: 5000,
        });
        const text = Buffer.from(reply.body).toString('utf8');
        assert.match(text, it.text);
        assert.equal(reply.status, it.status);
      });
    }
  } finally {
    await owned.dispose();
  }
});
