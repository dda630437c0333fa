/**
 * Contract tests of an upstream, run on the stand-in directly and through the agent's request host: announcing,
 * serving, leaving, and an answer that is lost after the run.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as http from '../../base/common/http.js';
import * as metrics from '../../base/common/metrics.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as admission from '../../coordination/common/admission.js';
import * as requestHost from '../../protocol/node/requestHost.js';
import * as upstreamContract from '../../state/common/upstreamContract.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as httpServer from '../../transport/node/httpServer.js';
import * as upstream from '../upstream.js';

import * as until from './until.js';

const SLOTS = 2;
const SERVICE_MS = 20;
const LOST_ANSWER_MS = 300;
const MAX_BODY_BYTES = 65_536;

/** Outcome of one request, direct or through the request host. */
interface Result {
  readonly isAnswered: boolean;
  readonly text: string;
}

type Send = (requestId: string, body: string, timeoutMs: number) => Promise<Result>;

/** One VM: the upstream, its last announcement, and a function that sends it requests. */
interface Fixture {
  readonly instance: upstream.Upstream;
  readonly announced: () => upstreamContract.Announcement | undefined;
  readonly send: Send;
}

const sendDirectly =
  (call: http.HttpCall, announced: Fixture['announced']): Send =>
  async (requestId, body, timeoutMs) => {
    try {
      const reply = await call({
        address: http.parseAddress(announced()?.url ?? ''),
        method: 'POST',
        path: '/plan',
        headers: { 'request-id': requestId },
        body: Buffer.from(body),
        timeoutMs,
      });
      return { isAnswered: true, text: Buffer.from(reply.body).toString('utf8') };
    } catch {
      return { isAnswered: false, text: '' };
    }
  };

const sendThroughHost =
  (host: requestHost.RequestHost): Send =>
  async (requestId, body, timeoutMs) => {
    const outcome = await host.exchange(
      {
        from: { processId: 'entry-1', role: 'entry', configVersion: 1 },
        mode: 'run',
        requestId,
        attemptId: `${requestId}-1`,
        bootId: host.bootId,
        startBeforeMs: Math.floor(host.clockMs() + timeoutMs),
        customerId: 'customer-a',
        isIdempotent: false,
        remainingMs: timeoutMs,
        method: 'POST',
        path: '/plan',
        contentType: 'text/plain',
      },
      Buffer.from(body),
    );
    if (outcome.type === 'error') return { isAnswered: false, text: outcome.error.kind };
    return { isAnswered: true, text: Buffer.from(outcome.answer.body).toString('utf8') };
  };

const CASES: readonly {
  readonly name: string;
  readonly run: (fixture: Fixture) => Promise<void>;
}[] = [
  {
    name: 'it announces its address and its capacity',
    run: async ({ announced }) => {
      const { slots, connections, isLeaving } = announced() ?? {};
      assert.deepEqual([slots, connections, isLeaving], [SLOTS, 64, false]);
      await Promise.resolve();
    },
  },
  {
    name: 'it answers each request completely and with its own content',
    run: async ({ send, instance }) => {
      const bodies = ['a', 'b'.repeat(5000)];
      const results = await Promise.all(bodies.map((it, index) => send(`own-${index}`, it, 5000)));
      results.forEach((result, index) => {
        const answer = JSON.parse(result.text) as { requestId: string; echo: string };
        assert.deepEqual([answer.requestId, answer.echo], [`own-${index}`, bodies[index]]);
      });
      assert.equal(instance.executions().get('own-0'), 1);
    },
  },
  {
    // The upstream executes a request but its answer is lost. The caller must not get an error which says
    // that the request did not run, and the request must not run a second time.
    name: 'a request whose answer is lost runs once and gets no answer',
    run: async ({ send, instance }) => {
      instance.faults.loseAnswers = 1;
      const result = await send('lost-1', 'x', LOST_ANSWER_MS);
      assert.equal(result.isAnswered, false);
      assert.ok(result.text === '' || result.text === 'outcomeUnknown', result.text);
      assert.equal(instance.executions().get('lost-1'), 1);
      assert.equal((await send('after-1', 'x', 5000)).isAnswered, true);
    },
  },
  {
    name: 'it announces that it is leaving, and completes its open requests',
    run: async ({ send, instance, announced }) => {
      const open = send('open-1', 'x', 5000);
      await until.until('the running request', () =>
        Promise.resolve(instance.executions().has('open-1')),
      );
      instance.leave();
      assert.equal((await open).isAnswered, true);
      await until.until('the announcement', () => Promise.resolve(announced()?.isLeaving === true));
    },
  },
];

const SUBJECTS = ['the stand-in itself', "the agent's part"] as const;

for (const subject of SUBJECTS) {
  test.test(`the upstream's contract holds for ${subject}`, async (context) => {
    const clock = systemClock.systemClock;
    const client = httpClient.createHttpClient({
      clock,
      maxConnections: 8,
      maxIdleMs: 20_000,
      maxReplyBytes: MAX_BODY_BYTES,
    });
    const host = requestHost.createRequestHost({
      bootId: 'boot-1',
      clock,
      metrics: metrics.createMetrics(),
      call: client.call,
      maxQueued: 4,
      shareOf: () => admission.DEFAULT_SHARE,
    });
    const agent = await httpServer.listen(
      { host: '127.0.0.1', port: 0, maxBodyBytes: MAX_BODY_BYTES, maxConnections: 8 },
      httpServer.toListener((request) => {
        const body = httpServer.parseJsonBody(request);
        host.announce(schemaIssues.decodeOrFail(upstreamContract.Announcement, body, 'a'));
        return Promise.resolve(httpServer.jsonReply({}));
      }, MAX_BODY_BYTES),
    );
    const instance = await upstream.startUpstream({
      upstreamId: 'upstream-1',
      slots: SLOTS,
      connections: 64,
      agentUrl: http.formatAddress(agent.address),
      serviceMs: SERVICE_MS,
      clock,
      call: client.call,
    });
    try {
      await until.until('the first announcement', () =>
        Promise.resolve(host.upstream() !== undefined),
      );
      const send =
        subject === SUBJECTS[0] ? sendDirectly(client.call, host.upstream) : sendThroughHost(host);
      const fixture = { instance, announced: host.upstream, send };
      for (const it of CASES) await context.test(it.name, () => it.run(fixture));
    } finally {
      await instance.dispose();
      await agent.dispose();
      await client.dispose();
    }
  });
}
