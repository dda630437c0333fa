/**
 * Tests operators' routes for jobs, ledger days and service levels, and the observer of callers' requests.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../../base/common/clock.js';
import * as errors from '../../../base/common/errors.js';
import * as ledgerFixtures from '../../../coordination/common/test/ledgerFixtures.js';
import type * as serviceLevelCounters from '../../../coordination/common/serviceLevelCounters.js';
import * as callObserver from '../callObserver.js';
import type * as httpServer from '../httpServer.js';
import type * as operatorAuth from '../operatorAuth.js';
import * as operatorJobsApi from '../operatorJobsApi.js';
import * as operatorLedgerApi from '../operatorLedgerApi.js';
import * as operatorRoutes from '../operatorRoutes.js';

const requestOf = (
  method: string,
  path: string,
  body: unknown = null,
  headers: httpServer.ServerRequest['headers'] = {},
): httpServer.ServerRequest => ({
  method,
  path,
  query: new URLSearchParams(),
  headers,
  body: Buffer.from(JSON.stringify(body)),
  signal: new AbortController().signal,
});

const RECORD = ledgerFixtures.jobOf('a', []);

const jobRoutes = (shown: 'found' | 'notFound' | 'notLeader', isArchived: boolean) =>
  operatorJobsApi.createJobRoutes({
    jobs: {
      submit: () => Promise.resolve(RECORD),
      show: () =>
        shown === 'found' ? Promise.resolve(RECORD) : Promise.reject(errors.fail(shown, 'none')),
      cancel: () => Promise.resolve([RECORD]),
    },
    findArchived: () => Promise.resolve(isArchived ? RECORD : undefined),
  });

const SHOW_CASES = [
  { shown: 'found', isArchived: true, expected: 'leader' },
  { shown: 'notFound', isArchived: true, expected: 'archive' },
  { shown: 'notLeader', isArchived: true, expected: 'archive' },
  { shown: 'notFound', isArchived: false, expected: 'notFound' },
  { shown: 'notLeader', isArchived: false, expected: 'notLeader' },
] as const;

const dispatch = (
  routes: readonly operatorRoutes.Route[],
  request: httpServer.ServerRequest,
  role: operatorAuth.Role,
): Promise<httpServer.ServerReply> =>
  operatorRoutes.dispatch(routes, request, () => Promise.resolve({ operatorId: 'ada', role }));

for (const { shown, isArchived, expected } of SHOW_CASES) {
  test.test(`show a job: leader ${shown}, ${isArchived ? '' : 'not '}archived`, async () => {
    const request = requestOf('GET', '/api/jobs/zone-a/a');
    const answered = await dispatch(jobRoutes(shown, isArchived), request, 'read').then(
      (reply) => (JSON.parse(String(reply.body)) as { readonly source: string }).source,
      (thrown: unknown) => errors.normalize(thrown).kind,
    );
    assert.equal(answered, expected);
  });
}

const CANCEL = { cell: 'zone-a', jobIds: ['a'] };

/** Method, path, body and role, then the expected status or error kind. */
const ROLE_CASES = [
  ['POST', '/api/jobs', RECORD.spec, 'write', 201],
  ['POST', '/api/jobs', RECORD.spec, 'read', 'forbidden'],
  ['POST', '/api/jobs', { ...RECORD.spec, members: 0 }, 'write', 'invalidRequest'],
  ['POST', '/api/jobs/cancel', CANCEL, 'write', 200],
  ['POST', '/api/jobs/cancel', CANCEL, 'read', 'forbidden'],
  ['POST', '/api/jobs/cancel', { ...CANCEL, jobIds: [] }, 'write', 'invalidRequest'],
  ['GET', '/api/jobs', null, 'read', 'notFound'],
  ['GET', '/api/jobs/zone-a', null, 'read', 'notFound'],
] as const;

for (const [method, path, body, role, expected] of ROLE_CASES) {
  test.test(`${method} ${path} with the role ${role}: ${expected}`, async () => {
    const answered = await dispatch(
      jobRoutes('found', false),
      requestOf(method, path, body),
      role,
    ).then(
      (reply) => reply.status,
      (thrown: unknown) => errors.normalize(thrown).kind,
    );
    assert.equal(answered, expected);
  });
}

test.test('ledger days and burn rates are served to readers', async () => {
  const routes = operatorLedgerApi.createLedgerRoutes({
    ledgerDays: () => Promise.resolve([]),
    serviceLevels: () => Promise.resolve({ atMs: 1, configVersion: 1, objectives: [] }),
  });
  const bodyOf = async (path: string): Promise<string> =>
    String((await dispatch(routes, requestOf('GET', path), 'read')).body);
  assert.equal(await bodyOf('/api/ledger-days/zone-a'), '{"days":[]}');
  assert.equal(await bodyOf('/api/burn'), '{"atMs":1,"configVersion":1,"objectives":[]}');
});

/** Path and error kind that the handler throws, then the expected reports. */
const OBSERVED = [
  ['/call/plan', undefined, [{ customerId: 'acme', tookMs: 30, error: undefined }]],
  ['/call', 'overloaded', [{ customerId: 'acme', tookMs: 30, error: 'overloaded' }]],
  ['/v1/jobs', undefined, []],
  ['/callers', undefined, []],
] as const;

for (const [path, kind, expected] of OBSERVED) {
  test.test(`the observer's reports for ${path}, ${kind ?? 'answered'}`, async () => {
    const time = clock.createFakeClock();
    const reports: serviceLevelCounters.RequestEnd[] = [];
    const handler: httpServer.Handler = async () => {
      await time.advance(30);
      if (kind !== undefined) throw errors.fail(kind, 'full');
      return { status: 200 };
    };
    const observed = callObserver.observeCalls(handler, time, (end) => reports.push(end));
    const request = requestOf('POST', path, null, { 'auburnlift-customer': 'acme' });
    await observed(request).catch(() => undefined);
    assert.deepEqual(reports, expected);
  });
}
