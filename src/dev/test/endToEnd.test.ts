/**
 * End-to-end in one process: a request and a gang job through every role.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as systemClock from '../../base/node/systemClock.js';
import * as until from '../../standins/test/until.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as demoClient from '../demoClient.js';
import * as demoJobs from '../demoJobs.js';
import * as devHost from '../devHost.js';
import * as examples from '../examples.js';

test.test('a request is answered and a gang runs with all its members', async () => {
  const example = examples.readExample('kamarvaki');
  const host = await devHost.startDevHost({ ...example, logLevel: 'error' });
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
    await until.until('the entry to be ready', () => client.isReady(callersUrl));
    await until.until('every cell to have a leader', async () =>
      (await client.cells(operatorsUrl)).every((it) => it.isLed),
    );

    await until.until('the request to be answered', async () => {
      const result = await client.request(callersUrl, 'request-1', 'festivals');
      return result.status === 200;
    });
    const executed = host.vms.filter((it) => it.upstream.executions().has('request-1'));
    assert.equal(executed.length, 1);
    assert.equal(executed[0]?.upstream.executions().get('request-1'), 1);

    const { gang } = demoJobs.createDemoJobs(example.document);
    // A leader refuses jobs during its takeover and states that nothing ran.
    await until.until(
      'the gang to be accepted',
      async () => (await client.submit(callersUrl, gang)).status === 201,
    );
    await until.until(
      'the gang to be done',
      async () => (await client.show(callersUrl, gang)).state === 'done',
    );
    const runs = host.vms.flatMap((it) => it.worker.runs());
    assert.deepEqual(runs.map((it) => it.key).sort(), ['gang-0/1/0', 'gang-0/1/1', 'gang-0/1/2']);
    assert.ok(runs.every((it) => it.end === 'done'));
  } finally {
    await http.dispose();
    await host.dispose();
  }
});
