/**
 * Callers' results over a faulty network, and how often the upstreams run a request.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errors from '../../../base/common/errors.js';

import * as faultyLine from './faultyLine.js';

interface FaultCase {
  readonly name: string;
  readonly faults: faultyLine.Fault[];
  readonly isIdempotent?: boolean;
  readonly isUpstreamLost?: boolean;
  readonly word: string;
  readonly runs: number;
}

const ANSWER = 'body of r1';

const CASES: readonly FaultCase[] = [
  { name: 'no fault', faults: [], word: ANSWER, runs: 1 },
  { name: 'the request is lost', faults: ['silentBefore'], word: ANSWER, runs: 1 },
  { name: 'the reply is lost', faults: ['silentAfter'], word: ANSWER, runs: 1 },
  { name: 'the reply is truncated', faults: ['cutAfter'], word: ANSWER, runs: 1 },
  { name: "another attempt's reply arrives", faults: ['swapped'], word: ANSWER, runs: 1 },
  {
    name: 'the first agent refuses the connection',
    faults: ['refusedConnection'],
    word: ANSWER,
    runs: 1,
  },
  { name: 'the agent restarts', faults: ['restart'], word: 'outcomeUnknown', runs: 1 },
  { name: 'the agent restarts', faults: ['restart'], isIdempotent: true, word: ANSWER, runs: 2 },
  {
    name: 'the reply and the settle message are lost',
    faults: ['silentAfter', 'silentBefore'],
    word: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'the agent refuses the connection for the settle message',
    faults: ['cutAfter', 'refusedConnection'],
    word: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'the upstream loses its answer',
    faults: [],
    isUpstreamLost: true,
    word: 'outcomeUnknown',
    runs: 1,
  },
  {
    name: 'every connection is refused',
    faults: ['refusedConnection', 'refusedConnection'],
    word: 'noUpstream',
    runs: 0,
  },
];

for (const it of CASES) {
  const kind = it.isIdempotent === true ? 'idempotent' : 'not idempotent';
  test.test(`${it.name}, ${kind}: ${it.word}, ${it.runs} runs`, async () => {
    const world = faultyLine.createWorld([...it.faults], it.isUpstreamLost);
    const end = await faultyLine.send(world, faultyLine.requestOf('r1', it.isIdempotent));
    assert.equal(end.word, it.word);
    assert.equal(world.runs.length, it.runs);
    assert.ok(
      end.tookMs <= faultyLine.DEADLINE_MS,
      'the caller gets its result within the deadline',
    );
  });
}

test.test('in a burst, excess requests are rejected immediately and never run', async () => {
  // Guards against rejected requests that ran anyway: of 60 concurrent requests some are answered,
  // the rest are rejected immediately with `overloaded`.
  const world = faultyLine.createWorld([]);
  const kinds: string[] = [];
  for (let index = 0; index < 60; index += 1) {
    world.router.route(faultyLine.requestOf(`r${index}`)).then(
      () => kinds.push('answered'),
      (thrown: unknown) => kinds.push(errors.normalize(thrown).kind),
    );
  }
  await world.time.advance(faultyLine.SERVICE_MS);
  const refusedAtOnce = kinds.filter((it) => it === 'overloaded').length;
  await world.time.advance(faultyLine.DEADLINE_MS);
  assert.ok(refusedAtOnce >= 40, String(refusedAtOnce));
  assert.equal(kinds.filter((it) => it === 'answered').length, world.runs.length);
  assert.equal(new Set(world.runs).size, world.runs.length);
});

test.test("at most half of an upstream's connections are in use", async () => {
  const world = faultyLine.createWorld([]);
  const upstream = { upstreamId: 'u', url: 'http://u:1', slots: 8, connections: 4 };
  world.hosts.forEach((it) => it.announce({ ...upstream, isLeaving: false }));
  const sent = Array.from({ length: 9 }, (_, index) =>
    world.router.route(faultyLine.requestOf(`r${index}`)).catch(errors.normalize),
  );
  await world.time.advance(faultyLine.SERVICE_MS / 2);
  const running = [...world.hosts.values()].map((it) => it.load().running);
  assert.deepEqual(running, [2, 2]);
  await world.time.advance(faultyLine.DEADLINE_MS);
  await Promise.all(sent);
});

test.test('a draining upstream finishes its running requests and gets no new ones', async () => {
  const world = faultyLine.createWorld([]);
  const first = world.router.route(faultyLine.requestOf('r1'));
  await world.time.advance(1);
  world.hosts.forEach((host) => host.leave());
  const second = world.router.route(faultyLine.requestOf('r2')).catch(errors.normalize);
  await world.time.advance(faultyLine.DEADLINE_MS);
  assert.equal(Buffer.from((await first).body).toString('utf8'), ANSWER);
  assert.equal(((await second) as errors.AuburnliftError).kind, 'draining');
  assert.deepEqual(world.runs, ['r1']);
});

test.test(
  'a caller that repeats its key on the same agent gets the first answer again',
  async () => {
    const world = faultyLine.createWorld([]);
    const [url] = faultyLine.URLS;
    world.hosts.get(faultyLine.URLS[1] ?? '')?.leave();
    const answers = [
      await faultyLine.send(world, faultyLine.requestOf('r1')),
      await faultyLine.send(world, faultyLine.requestOf('r1')),
    ];
    assert.deepEqual(
      answers.map((it) => it.word),
      [ANSWER, ANSWER],
    );
    assert.deepEqual([world.runs.length, world.hosts.has(url ?? '')], [1, true]);
  },
);
