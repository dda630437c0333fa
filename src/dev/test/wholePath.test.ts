/**
 * The whole path in one process: a request and a gang job through every role.
 */
import * as assert from 'node:assert/strict';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as settingsFile from '../../base/node/settingsFile.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as configuration from '../../state/common/configuration.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as demoClient from '../demoClient.js';
import * as demoJobs from '../demoJobs.js';
import * as deployment from '../deployment.js';
import * as devHost from '../devHost.js';

const EXAMPLE = path.join(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../examples/kamarvaki',
);
const POLL_MS = 50;
const TRIES = 400;

const until = async (isDone: () => Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < TRIES; attempt += 1) {
    if (await isDone().catch(() => false)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  assert.fail('it never happened');
};

test.test('a request is answered whole and a gang runs with all its members', async () => {
  const document = settingsFile.readSettings(
    configuration.ConfigurationDocument,
    path.join(EXAMPLE, 'configuration.jsonc'),
  );
  const machines = settingsFile.readSettings(
    deployment.Deployment,
    path.join(EXAMPLE, 'deployment.jsonc'),
  );
  const host = await devHost.startDevHost({ deployment: machines, document, logLevel: 'error' });
  const http = httpClient.createHttpClient({
    clock: systemClock.systemClock,
    maxConnections: 8,
    maxIdleMs: 20_000,
    maxReplyBytes: 1_048_576,
  });
  try {
    const client = demoClient.createDemoClient(http.call, host.operatorToken);
    const [entry] = host.entries;
    assert.ok(entry !== undefined);
    const { callersUrl, operatorsUrl } = entry.program;
    await until(() => client.isReady(callersUrl));
    await until(async () => (await client.cells(operatorsUrl)).every((it) => it.isLed));

    await until(async () => {
      const result = await client.request(callersUrl, 'request-1', 'festivals');
      return result.status === 200;
    });
    const executed = host.vms.filter((it) => it.upstream.executions().has('request-1'));
    assert.equal(executed.length, 1);
    assert.equal(executed[0]?.upstream.executions().get('request-1'), 1);

    const { gang } = demoJobs.createDemoJobs(document);
    // A leader that is still taking over refuses, and says that nothing ran.
    await until(async () => (await client.submit(callersUrl, gang)).status === 201);
    await until(async () => (await client.show(callersUrl, gang)).state === 'done');
    const runs = host.vms.flatMap((it) => it.worker.runs());
    assert.deepEqual(runs.map((it) => it.key).sort(), ['gang-0/1/0', 'gang-0/1/1', 'gang-0/1/2']);
    assert.ok(runs.every((it) => it.end === 'done'));
  } finally {
    await http.dispose();
    await host.dispose();
  }
});
