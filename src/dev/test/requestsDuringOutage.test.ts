/**
 * Requests through real entries, agents and upstreams while the store is down and processes shut down.
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
import * as devHost from '../devHost.js';

const EXAMPLE = path.join(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../examples/kamarvaki/configuration.jsonc',
);
const POLL_MS = 50;
const TRIES = 300;
const BATCH = 40;

/** A draining entry accepts requests for a quarter of it (5 s): a busy machine needs that to send the last one. */
const DRAIN_MS = 20_000;

const DEPLOYMENT = {
  name: 'requests',
  zones: [{ region: 'sudvestur', zone: 'sudvestur-a', entries: 2, vms: 3 }],
  workersPerRack: 3,
  worker: { accelerators: 1, cores: 1, memoryBytes: 1 },
  upstream: { slots: 8, connections: 64, serviceMs: 60 },
};

const until = async (isDone: () => Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < TRIES; attempt += 1) {
    if (await isDone().catch(() => false)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  assert.fail('the condition never held');
};

const ranField = (result: demoClient.CallResult): string => {
  if (result.status === 200) return 'yes';
  return (result.body as { error?: { ran?: string } }).error?.ran ?? 'none';
};

const assertOnce = (host: devHost.DevHost, results: readonly demoClient.CallResult[]): void => {
  for (const result of results) {
    const runs = host.vms.map((it) => it.upstream.executions().get(result.requestId) ?? 0);
    const total = runs.reduce((sum, it) => sum + it, 0);
    assert.equal(total, result.status === 200 ? 1 : 0, JSON.stringify(result));
    if (result.status === 200) {
      assert.equal((result.body as { requestId?: string }).requestId, result.requestId);
    }
  }
};

test.test(
  'no request is cut, lost or duplicated when an agent and an entry shut down during a store outage',
  async () => {
    // Guards against lost or duplicated requests when a VM and an entry are replaced during a store outage:
    // each caller must get its own complete response or an error that states that nothing ran.
    const document = settingsFile.readSettings(configuration.ConfigurationDocument, EXAMPLE);
    const host = await devHost.startDevHost({
      deployment: DEPLOYMENT,
      document,
      logLevel: 'error',
      drainMs: DRAIN_MS,
    });
    const http = httpClient.createHttpClient({
      clock: systemClock.systemClock,
      maxConnections: 64,
      maxIdleMs: 20_000,
      maxReplyBytes: 1_048_576,
    });
    try {
      const client = demoClient.createDemoClient(http.call, host.operatorToken);
      const [first, second] = host.entries.map((it) => it.program);
      assert.ok(first !== undefined && second !== undefined);
      let probes = 0;
      const areAllServing = async (): Promise<boolean> => {
        probes += 1;
        const ids = Array.from({ length: 12 }, (_, index) => `probe-${probes}-${index}`);
        const all = [first, second].flatMap((it) =>
          ids.map((id) => client.request(it.callersUrl, `${id}-${it.callersUrl}`, 'festivals')),
        );
        const isAnswered = (await Promise.all(all)).every((it) => it.status === 200);
        return isAnswered && host.vms.every((it) => it.upstream.executions().size > 0);
      };
      await until(() => client.isReady(first.callersUrl));
      await until(() => client.isReady(second.callersUrl));
      await until(areAllServing);
      host.store.faults.isDown = true;
      const sendBatch = (entryUrl: string, name: string): Promise<demoClient.CallResult>[] =>
        Array.from({ length: BATCH }, (_, index) =>
          client.request(entryUrl, `${name}-${index}`, 'festivals'),
        );

      const hasExecuted = (prefix: string): boolean =>
        host.vms
          .flatMap((it) => [...it.upstream.executions().keys()])
          .some((it) => it.startsWith(prefix));

      const duringAgent = sendBatch(first.callersUrl, 'agent');
      await until(() => Promise.resolve(hasExecuted('agent-')));
      await host.vms[0]?.agent.shutdown();
      const duringEntry = sendBatch(second.callersUrl, 'entry');
      await until(() => Promise.resolve(hasExecuted('entry-')));
      const shutdown = second.shutdown();
      assert.equal(
        await client.isReady(second.callersUrl),
        false,
        'it reports not ready before it refuses requests',
      );
      const late = await client.request(second.callersUrl, 'late', 'festivals');
      const results = [...(await Promise.all([...duringAgent, ...duringEntry])), late];
      await shutdown;

      assert.ok(results.every((it) => ['yes', 'no'].includes(ranField(it))));
      assert.equal(late.status, 200, 'a draining entry still accepts requests');
      assertOnce(host, results);
    } finally {
      await http.dispose();
      await host.dispose();
    }
  },
);
