/**
 * Invalid input from callers and customers gets a typed error that names the field and states that nothing
 * ran, without affecting other work.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as http from '../../base/common/http.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as until from '../../standins/test/until.js';
import type * as job from '../../state/common/job.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as devHost from '../devHost.js';
import * as examples from '../examples.js';

const TOO_LARGE_BYTES = 1_048_577;

const VALID_JOB: job.JobSpec = {
  jobId: 'job-1',
  customerId: 'rosters',
  kind: 'plan',
  cell: 'austur-a',
  claim: 'spare',
  members: 1,
  acceleratorsPerMember: 1,
  adjacency: 'worker',
  declaredRunMs: 1000,
  isCheckpointable: true,
  payload: '{"runMs":200}',
};

interface Case {
  readonly name: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: string;
  readonly status: number;
  readonly kind: string;
  readonly field: string;
}

const jobCase = (
  name: string,
  change: Readonly<Record<string, unknown>>,
  kind: string,
  field: string,
  status = 400,
): Case => ({
  name,
  path: '/v1/jobs',
  body: JSON.stringify({ ...VALID_JOB, ...change }),
  status,
  kind,
  field,
});

const callCase = (
  name: string,
  headers: Readonly<Record<string, string>>,
  kind: string,
  field: string,
  status = 400,
): Case => ({ name, path: '/call/plan', headers, body: '{}', status, kind, field });

const CASES: readonly Case[] = [
  {
    name: 'a body that is not JSON',
    path: '/v1/jobs',
    body: '{"jobId": ',
    status: 400,
    kind: 'invalidRequest',
    field: 'body',
  },
  {
    name: 'a body that is too large',
    path: '/call/plan',
    headers: { 'auburnlift-customer': 'rosters' },
    body: 'x'.repeat(TOO_LARGE_BYTES),
    status: 413,
    kind: 'tooLarge',
    field: 'body',
  },
  jobCase('an unknown field', { colour: 'red' }, 'invalidRequest', 'colour'),
  jobCase('a field of the wrong type', { members: '3' }, 'invalidRequest', 'members'),
  jobCase('a number out of range', { members: 65 }, 'invalidRequest', 'members'),
  jobCase('an unknown customer', { customerId: 'nobody' }, 'invalidRequest', 'customerId'),
  jobCase('an unknown cell', { cell: 'nowhere' }, 'invalidRequest', 'cell'),
  jobCase(
    'a shape that is not held',
    { claim: 'guaranteed', shapeId: 'festival-plan' },
    'invalidRequest',
    'shapeId',
  ),
  jobCase(
    'a member larger than any worker',
    { acceleratorsPerMember: 9 },
    'unrunnable',
    'acceleratorsPerMember',
    422,
  ),
  jobCase(
    'a gang larger than any rack',
    { members: 4, acceleratorsPerMember: 8, adjacency: 'rack' },
    'unrunnable',
    'members',
    422,
  ),
  {
    name: 'an unknown job',
    path: '/v1/jobs/austur-a/nothing',
    method: 'GET',
    body: '',
    status: 404,
    kind: 'notFound',
    field: 'jobId',
  },
  {
    name: 'an unknown page',
    path: '/v2/jobs',
    body: '{}',
    status: 404,
    kind: 'notFound',
    field: 'path',
  },
  callCase('no customer', {}, 'invalidRequest', 'auburnlift-customer'),
  callCase(
    'an unknown customer',
    { 'auburnlift-customer': 'nobody' },
    'forbidden',
    'auburnlift-customer',
    403,
  ),
  callCase(
    'a deadline that is not a number',
    { 'auburnlift-customer': 'rosters', 'auburnlift-deadline-ms': 'soon' },
    'invalidRequest',
    'auburnlift-deadline-ms',
  ),
  callCase(
    'an idempotency key with spaces',
    { 'auburnlift-customer': 'rosters', 'idempotency-key': 'a b' },
    'invalidRequest',
    'idempotency-key',
  ),
  callCase(
    'a flag that is neither true nor false',
    { 'auburnlift-customer': 'rosters', 'auburnlift-idempotent': 'maybe' },
    'invalidRequest',
    'auburnlift-idempotent',
  ),
];

test.test('invalid input gets a typed error and does not affect other work', async () => {
  const example = examples.readExample('kamarvaki');
  const host = await devHost.startDevHost({ ...example, logLevel: 'error' });
  const client = httpClient.createHttpClient({
    clock: systemClock.systemClock,
    maxConnections: 8,
    maxIdleMs: 20_000,
    maxReplyBytes: 1_048_576,
  });
  const callersUrl = host.entries[0]?.program.callersUrl ?? '';
  const send = async (it: Pick<Case, 'path' | 'method' | 'headers' | 'body'>) => {
    const reply = await client.call({
      address: http.parseAddress(callersUrl),
      method: it.method ?? 'POST',
      path: it.path,
      headers: { 'content-type': 'application/json', ...it.headers },
      body: Buffer.from(it.body),
      timeoutMs: 5000,
    });
    const text = Buffer.from(reply.body).toString('utf8');
    return { status: reply.status, body: JSON.parse(text) as Record<string, unknown> };
  };
  const submit = { path: '/v1/jobs', body: JSON.stringify(VALID_JOB) };
  const state = async (): Promise<unknown> => {
    const { body } = await send({ path: '/v1/jobs/austur-a/job-1', method: 'GET', body: '' });
    return (body.job as { state?: unknown } | undefined)?.state;
  };
  try {
    await until.until('the job is accepted', async () => (await send(submit)).status === 201);
    for (const it of CASES) {
      const { status, body } = await send(it);
      const error = body.error as { kind?: string; field?: string; ran?: string } | undefined;
      assert.equal(error?.kind, it.kind, it.name);
      assert.equal(status, it.status, it.name);
      assert.equal(error?.field, it.field, it.name);
      assert.equal(error?.ran, 'no', it.name);
    }
    await until.until('the job is done', async () => (await state()) === 'done');
    const runs = host.vms.flatMap((it) => it.worker.runs());
    assert.deepEqual(
      runs.map((it) => it.key),
      ['job-1/1/0'],
    );
    assert.ok(host.vms.every((it) => it.upstream.executions().size === 0));
  } finally {
    await client.dispose();
    await host.dispose();
  }
});
