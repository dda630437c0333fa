/**
 * Operator actions on a running system: consent to a change that strands jobs, drain, quarantine.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as http from '../../base/common/http.js';
import * as systemClock from '../../base/node/systemClock.js';
import type * as configuration from '../../state/common/configuration.js';
import * as httpClient from '../../transport/node/httpClient.js';
import type * as operatorGateway from '../../transport/node/operatorGateway.js';
import * as consoleHost from './consoleHost.js';
import * as demoClient from '../demoClient.js';
import * as demoJobs from '../demoJobs.js';

const TIMEOUT_MS = 5000;
const LONG_RUN_MS = 60_000;
const REQUESTS = 20;

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

const createSender = (
  client: httpClient.HttpClient,
  hosted: consoleHost.ConsoleHost,
): ((method: string, path: string, body?: unknown) => Promise<Reply>) => {
  const address = http.parseAddress(hosted.operatorsUrl);
  const headers = { authorization: `Bearer ${hosted.host.operatorToken}` };
  return async (method, path, body) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const request = { address, method, path, headers, body: Buffer.from(text) };
    const reply = await client.call({ ...request, timeoutMs: TIMEOUT_MS });
    const parsed = JSON.parse(Buffer.from(reply.body).toString('utf8')) as unknown;
    return { status: reply.status, body: parsed };
  };
};

const withoutFirstShape = (
  document: configuration.ConfigurationDocument,
): configuration.ConfigurationDocument => {
  const [shape] = document.shapes;
  const isStart = (it: configuration.Objective): boolean =>
    it.customerId === shape?.customerId && it.kind === 'startWithin';
  return {
    ...document,
    shapes: document.shapes.slice(1),
    objectives: document.objectives.filter((it) => !isStart(it)),
  };
};

test.test('operator actions on a running system', async (context) => {
  const hosted = await consoleHost.startConsoleHost();
  const client = httpClient.createHttpClient({
    clock: systemClock.systemClock,
    maxConnections: 8,
    maxIdleMs: 20_000,
    maxReplyBytes: 8_388_608,
  });
  const send = createSender(client, hosted);
  const { host, document } = hosted;
  const callersUrl = host.entries[0]?.program.callersUrl ?? '';
  const caller = demoClient.createDemoClient(client.call, host.operatorToken);
  try {
    await context.test('deletion of a shape with a guaranteed job needs consent', async () => {
      // Guards against a deleted shape that silently takes the guarantee from a running job, so that the
      // customer discovers it only when the job is preempted.
      const { claim } = demoJobs.createDemoJobs(document);
      const spec = { ...claim, payload: JSON.stringify({ runMs: LONG_RUN_MS }) };
      await consoleHost.until(async () => (await caller.submit(callersUrl, spec)).status === 201);
      await consoleHost.until(
        async () => (await caller.show(callersUrl, spec)).state === 'running',
      );
      const change = {
        baseVersion: 1,
        writeId: 'strands',
        reason: 'a test',
        document: withoutFirstShape(document),
      };
      const dryRun = await send('PUT', '/api/config?dryRun=true', change);
      assert.match(JSON.stringify(dryRun.body), /"strands".*claim-0.*shape festival-plan is gone/);
      const refused = await send('PUT', '/api/config', change);
      assert.equal(refused.status, 409);
      assert.match(JSON.stringify(refused.body), /without your consent.*claim-0/);
      const accepted = await send('PUT', '/api/config', { ...change, isStrandingAccepted: true });
      assert.equal(accepted.status, 200);
      await consoleHost.until(async () => {
        const status = (await send('GET', '/api/config/status'))
          .body as operatorGateway.ConfigurationStatus;
        return status.stragglers.length === 0 && status.inForceAfterMs !== undefined;
      });
    });

    await context.test('a drained upstream gets no request until undrained', async () => {
      const upstreams = async (): Promise<readonly operatorGateway.UpstreamSummary[]> =>
        (
          (await send('GET', '/api/upstreams')).body as {
            upstreams: operatorGateway.UpstreamSummary[];
          }
        ).upstreams;
      await consoleHost.until(async () => (await upstreams()).length === host.vms.length);
      const vm = host.vms.find((it) => it.region === host.entries[0]?.region);
      const target = (await upstreams()).find((it) => it.zone === vm?.zone);
      assert.ok(target !== undefined);
      const { upstreamId } = target;
      const countExecutions = (): number => {
        const at = host.vms.find((it) => it.workerId.slice(6) === upstreamId.slice(8));
        assert.ok(at !== undefined);
        return at.upstream.executions().size;
      };
      const path = `/api/upstreams/${upstreamId}/drain`;
      assert.equal((await send('POST', path, { isDraining: true })).status, 200);
      // The region's entry applies the drain before the operator gets the response.
      const before = countExecutions();
      for (let index = 0; index < REQUESTS; index += 1) {
        const result = await caller.request(callersUrl, `drain-${index}`, 'pumping');
        assert.equal(result.status, 200);
      }
      assert.equal(countExecutions(), before);
      const back = await send('POST', path, { isDraining: false });
      assert.match(JSON.stringify(back.body), /"isLeaving":false/);
      const unknown = await send('POST', '/api/upstreams/none/drain', { isDraining: true });
      assert.equal(unknown.status, 404);
    });

    await context.test('a quarantined worker is shown with the reason', async () => {
      const { cell = '' } = document.cells[1] ?? {};
      const workerId = host.vms.find((it) => it.zone === cell)?.workerId ?? '';
      const path = `/api/cells/${cell}/quarantine`;
      const quarantine = { workerId, isQuarantined: true, reason: 'fans are loud' };
      const reply = await send('POST', path, quarantine);
      assert.equal(reply.status, 200);
      assert.match(JSON.stringify(reply.body), /"quarantined","healthReason":"[^"]*fans are loud/);
    });
  } finally {
    await client.dispose();
    await hosted.dispose();
  }
});
