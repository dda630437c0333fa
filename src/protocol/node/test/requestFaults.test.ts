/**
 * Callers' results over a faulty network, and how often the upstreams run a request.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errors from '../../../base/common/errors.js';

import * as faultyNetwork from './faultyNetwork.js';

interface FaultCase {
  readonly name: string;
  readonly faults: faultyNetwork.Fault[];
  readonly isIdempotent?: boolean;
  readonly isUpstreamLost?: boolean;
  readonly outcome: string;
  readonly runs: number;
}

const ANSWER = 'body of r1';

const CASES: readonly FaultCase[] = [
  { name: 'no fault', faults: [], outcome: ANSWER, runs: 1 },
  { name: 'the request is lost', faults: ['silentBefore'], outcome: ANSWER, runs: 1 },
  { name: 'the reply is lost', faults: ['silentAfter'], outcome: ANSWER, runs: 1 },
  { name: 'the reply is truncated', faults: ['cutAfter'], outcome: ANSWER, runs: 1 },
  { name: "another attempt's reply arrives", faults: ['swapped'], outcome: ANSWER, runs: 1 },
  {
    name: 'the first agent refuses the connection',
    faults: ['refusedConnection'],
    outcome: ANSWER,
    runs: 1,
  },
  { name: 'the agent restarts', faults: ['restart'], outcome: 'outcomeUnknown', runs: 1 },
  { name: 'the agent restarts', faults: ['restart'], isIdempotent: true, outcome: ANSWER, runs: 2 },
  {
    name: 'the reply and the settle message are lost',
    faults: ['silentAfter', 'silentBefore'],
    outcome: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'the agent refuses the connection for the settle message',
    faults: ['cutAfter', 'refusedConnection'],
    outcome: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'the upstream loses its answer',
    faults: [],
    isUpstreamLost: true,
    outcome: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'every connection is refused',
    faults: ['refusedConnection', 'refusedConnection'],
    outcome: 'noUpstream',
    runs: 0,
  },
];

for (const it of CASES) {
  const kind = it.isIdempotent === true ? 'idempotent' : 'not idempotent';
  test.test(`${it.name}, ${kind}: ${it.outcome}, ${it.runs} runs`, async () => {
    const harness = faultyNetwork.createHarness([...it.faults], it.isUpstreamLost);
    const end = await faultyNetwork.send(harness, faultyNetwork.requestOf('r1', it.isIdempotent));
    assert.equal(end.outcome, it.outcome);
    assert.equal(harness.runs.length, it.runs);
    assert.ok(
      end.tookMs <= faultyNetwork.DEADLINE_MS,
      'the caller gets its result within the deadline',
    );
  });
}

test.test('in a burst, excess requests are rejected immediately and never run', async () => {
  // Guards against rejected requests that ran anyway: of 60 concurrent requests some are answered,
  // the rest are rejected immediately with `overloaded`.
  const harness = faultyNetwork.createHarness([]);
  const kinds: string[] = [];
  for (let index = 0; index < 60; index += 1) {
    harness.router.route(faultyNetwork.requestOf(`r${index}`)).then(
      () => kinds.push('answered'),
      (thrown: unknown) => kinds.push(errors.normalize(thrown).kind),
    );
  }
  await harness.time.advance(faultyNetwork.SERVICE_MS);
  const refusedAtOnce = kinds.filter((it) => it === 'overloaded').length;
  await harness.time.advance(faultyNetwork.DEADLINE_MS);
  assert.ok(refusedAtOnce >= 40, String(refusedAtOnce));
  assert.equal(kinds.filter((it) => it === 'answered').length, harness.runs.length);
  assert.equal(new Set(harness.runs).size, harness.runs.length);
});

test.test("at most half of an upstream's connections are in use", async () => {
  const harness = faultyNetwork.createHarness([]);
  const upstream = { upstreamId: 'u', url: 'http://u:1', slots: 8, connections: 4 };
  harness.hosts.forEach((it) => it.announce({ ...upstream, isLeaving: false }));
  const sent = Array.from({ length: 9 }, (_, index) =>
    harness.router.route(faultyNetwork.requestOf(`r${index}`)).catch(errors.normalize),
  );
  await harness.time.advance(faultyNetwork.SERVICE_MS / 2);
  const running = [...harness.hosts.values()].map((it) => it.load().running);
  assert.deepEqual(running, [2, 2]);
  await harness.time.advance(faultyNetwork.DEADLINE_MS);
  await Promise.all(sent);
});

test.test('a draining upstream finishes its running requests and gets no new ones', async () => {
  const harness = faultyNetwork.createHarness([]);
  const first = harness.router.route(faultyNetwork.requestOf('r1'));
  await harness.time.advance(1);
  harness.hosts.forEach((host) => host.startDraining());
  const second = harness.router.route(faultyNetwork.requestOf('r2')).catch(errors.normalize);
  await harness.time.advance(faultyNetwork.DEADLINE_MS);
  assert.equal(Buffer.from((await first).body).toString('utf8'), ANSWER);
  assert.equal(((await second) as errors.AuburnliftError).kind, 'draining');
  assert.deepEqual(harness.runs, ['r1']);
});

test.test(
  'a caller that repeats its key on the same agent gets the first answer again',
  async () => {
    const harness = faultyNetwork.createHarness([]);
    const [url] = faultyNetwork.URLS;
    harness.hosts.get(faultyNetwork.URLS[1] ?? '')?.startDraining();
    const answers = [
      await faultyNetwork.send(harness, faultyNetwork.requestOf('r1')),
      await faultyNetwork.send(harness, faultyNetwork.requestOf('r1')),
    ];
    assert.deepEqual(
      answers.map((it) => it.outcome),
      [ANSWER, ANSWER],
    );
    assert.deepEqual([harness.runs.length, harness.hosts.has(url ?? '')], [1, true]);
  },
);
