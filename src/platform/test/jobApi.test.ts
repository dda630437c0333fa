/**
 * Decoding of clients' calls. Invalid input must be answered with the right status immediately, without
 * calling the job handler.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import type * as jobRequestHandler from '../../coordination/node/pool/jobRequestHandler.js';
import type * as httpServer from '../../transport/node/httpServer.js';
import * as jobApi from '../jobApi.js';

const ID = '5c0e7a21d94b36f8';

interface Desk extends jobRequestHandler.JobRequestHandler {
  readonly drafts: jobRequestHandler.JobDraft[];
}

const createDesk = (): Desk => {
  const drafts: jobRequestHandler.JobDraft[] = [];
  return {
    drafts,
    canCheckCredentials: () => true,
    checkStore: () => undefined,
    admit: (call) => ({
      queue: {
        policy: {
          queue: 'q',
          service: 's',
          priority: 0,
          attempts: 1,
          stretch: 1,
          objectiveMs: 1,
          needsAdvice: false,
        },
        host: call.host,
        pathPrefix: '/q/',
        isPublic: false,
        timeoutMs: 1,
      },
      customerId: 'c',
      jobId: call.path.slice('/q/'.length),
      configurationRevision: 1,
    }),
    submit: (_call, _admitted, draft) => {
      drafts.push(draft);
      return Promise.resolve();
    },
    cancel: () => Promise.resolve(),
    state: () => Promise.resolve('running'),
  };
};

const send = async (
  desk: jobRequestHandler.JobRequestHandler,
  method: string,
  path: string,
  body: string,
  overrides: Partial<jobApi.JobApiOptions> = {},
): Promise<httpServer.ServerReply> => {
  const { handler } = jobApi.createJobApi({
    jobs: desk,
    pending: () => Promise.resolve(12),
    maxBodyBytes: () => 3000,
    shouldCloseConnections: () => false,
    onDidStore: () => undefined,
    quota: { begin: () => () => undefined },
    maxRefusalLinesPerS: 20,
    newRequestId: () => 'id',
    nowMs: () => 0,
    log: logging.silentLog,
    metrics: metrics.createMetrics(),
    ...overrides,
  });
  return handler({
    method,
    path,
    query: new URLSearchParams(),
    headers: { host: 'h.example' },
    body: Buffer.from(body),
    signal: new AbortController().signal,
  });
};

const job = (steps: unknown, overrides: object = {}): string =>
  JSON.stringify({ spec: 'text', steps, ...overrides });

const REFUSED: readonly [string, string, string, number, RegExp][] = [
  ['a body that is not JSON', `/q/${ID}`, '{', 400, /body/],
  ['a body above the limit', `/q/${ID}`, ' '.repeat(3001), 413, /body/],
  ['a malformed id', '/q/nonsense', job([{ count: 1 }]), 404, /hexadecimal/],
  ['a step without tasks', `/q/${ID}`, job([{ cpu: 1 }]), 400, /steps\[0\]\.count/],
  ['a count of another type', `/q/${ID}`, job([{ count: 'two' }]), 400, /steps\[0\]\.count/],
  ['a negative resource request', `/q/${ID}`, job([{ count: 1, gpu: -1 }]), 400, /steps\[0\]\.gpu/],
  ['a spec of another type', `/q/${ID}`, JSON.stringify({ spec: 5 }), 400, /spec/],
];

test.describe('jobApi', () => {
  for (const [name, path, body, status, expected] of REFUSED) {
    test.it(`${name} is answered with ${status}`, async () => {
      const desk = createDesk();
      const reply = await send(desk, 'POST', path, body);
      assert.equal(reply.status, status);
      assert.match(String(reply.body), expected);
      assert.equal(desk.drafts.length, 0);
    });
  }

  test.it('a job is decoded, with defaults for omitted fields', async () => {
    const desk = createDesk();
    const steps = [
      { count: 4, cpu: 500, mem_mb: 256, est_ms: 900, affinity: 'r1-3' },
      { count: 2, gpu: 8, after: [0], gang: true, same_rack: true, checkpoint: true },
    ];
    const reply = await send(desk, 'POST', `/q/${ID}`, job(steps));
    assert.equal(reply.status, 200);
    const [draft] = desk.drafts;
    assert.equal(draft?.payload, 'text');
    assert.deepEqual(draft.steps[1], {
      count: 2,
      resources: { cpuMillicores: 0, memoryMb: 0, accelerators: 8 },
      estimatedMs: 0,
      after: [0],
      isCheckpointing: true,
      isGang: true,
      isSameRack: true,
      maxPerWorker: 0,
      isSpeculative: false,
      isLongRunning: false,
      targetLatencyMs: 0,
      isFiller: false,
    });
    assert.equal(draft.steps[0]?.preferredRack, 'r1-3');
    assert.equal(draft.schedule, undefined);
  });

  test.it('a schedule is decoded', async () => {
    const desk = createDesk();
    const times = { repeats: 3, start_time_ms: 1000, interval_ms: 500 };
    await send(desk, 'POST', `/q/${ID}`, job([{ count: 1 }], times));
    assert.deepEqual(desk.drafts[0]?.schedule, {
      firstAtMs: 1000,
      intervalMs: 500,
      occurrences: 3,
    });
  });

  const ANSWERS: readonly [string, string, string, unknown][] = [
    ['GET', `/q/${ID}`, 'a state', { state: 'running' }],
    ['GET', '/q/', 'a count', { pending: 12 }],
    ['DELETE', `/q/${ID}`, 'an empty object', {}],
  ];
  for (const [method, path, name, body] of ANSWERS) {
    test.it(`${method} ${path} returns ${name}`, async () => {
      const reply = await send(createDesk(), method, path, '');
      assert.equal(reply.status, 200);
      assert.deepEqual(JSON.parse(String(reply.body)), body);
    });
  }
});

test.describe('a record of a job', () => {
  test.it('is reported once it is stored', async () => {
    const reported: string[] = [];
    const onDidStore = (jobId: string, part: string): void => {
      reported.push(`${jobId} ${part}`);
    };
    await send(createDesk(), 'POST', `/q/${ID}`, job([{ count: 1 }]), { onDidStore });
    await send(createDesk(), 'DELETE', `/q/${ID}`, '', { onDidStore });
    await send(createDesk(), 'GET', `/q/${ID}`, '', { onDidStore });
    assert.deepEqual(reported, [`${ID} spec`, `${ID} cancel`]);
  });
});
