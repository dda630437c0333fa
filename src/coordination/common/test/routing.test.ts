/**
 * Tests of upstream choice, agent health and the directory, without sockets.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as random from '../../../base/common/random.js';
import * as agentDirectory from '../agentDirectory.js';
import * as requestBudgets from '../requestBudgets.js';
import * as routing from '../routing.js';

const CAP = 0.34;

const registrationOf = (
  name: string,
  change: Partial<agentDirectory.Registration & agentDirectory.DirectoryUpstream> = {},
): agentDirectory.Registration => ({
  agentId: name,
  bootId: 'boot-1',
  clockMs: 0,
  url: `http://${name}:1`,
  zone: 'a',
  region: 'home',
  isLeaving: false,
  configVersion: 1,
  upstream: {
    upstreamId: name,
    slots: 8,
    connections: 64,
    isLeaving: false,
    running: 0,
    queued: 0,
    serviceMs: 40,
    ...change,
  },
  ...change,
});

const chooseMany = (
  directory: agentDirectory.AgentDirectory,
  nowMs: number,
  mayLeaveRegion = true,
): ReadonlyMap<string, number> => {
  const next = random.createRandom(3);
  const counts = new Map<string, number>();
  for (let index = 0; index < 1000; index += 1) {
    const chosen = routing.choose(
      {
        zone: 'a',
        region: 'home',
        candidates: directory.candidates(nowMs),
        excludedUrls: new Set(),
        policy: { crossRegionPriceMs: 250 },
        mayLeaveRegion,
      },
      next,
    );
    const name = chosen?.upstreamId ?? 'none';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
};

const busy = { running: 8, queued: 20 };
const overloaded = { running: 8, queued: 80 };
const remote = { region: 'far', zone: 'f' };

const CHOICES = [
  { name: 'its own zone first', agents: [{}, { zone: 'b' }], chosen: [1000, 0] },
  { name: 'its region when the zone is full', agents: [busy, { zone: 'b' }], chosen: [0, 1000] },
  {
    name: 'its region while the wait is below the price',
    agents: [busy, remote],
    chosen: [1000, 0],
  },
  { name: 'another region above the price', agents: [overloaded, remote], chosen: [0, 1000] },
  { name: 'no upstream that is draining', agents: [{ isLeaving: true }, {}], chosen: [0, 1000] },
  { name: 'a slow upstream rarely', agents: [{ serviceMs: 400 }, {}, {}], chosen: [0, 489, 511] },
] as const;

for (const { name, agents, chosen } of CHOICES) {
  test.test(`a request goes to ${name}`, () => {
    const directory = agentDirectory.createAgentDirectory();
    agents.forEach((it, index) => directory.register(registrationOf(`u${index}`, it), 0));
    const counts = chooseMany(directory, 60_000);
    assert.deepEqual(
      chosen.map((expected, index) => (counts.get(`u${index}`) ?? 0) > 0 === expected > 0),
      chosen.map(() => true),
      JSON.stringify([...counts]),
    );
  });
}

test.test('without credit for other regions a request stays in its region', () => {
  const directory = agentDirectory.createAgentDirectory();
  directory.register(registrationOf('u0', overloaded), 0);
  directory.register(registrationOf('u1', remote), 0);
  assert.equal(chooseMany(directory, 60_000, false).get('u0'), 1000);
});

test.test('a region link that is down for minutes keeps requests in their region', () => {
  // The local region is full and the link to the other one is down. Each agent there fails to
  // respond once; from then on requests wait locally, and the link is retried only occasionally.
  const directory = agentDirectory.createAgentDirectory();
  directory.register(registrationOf('u0', overloaded), 0);
  directory.register(registrationOf('u1', remote), 0);
  let lost = 0;
  for (let nowMs = 60_000; nowMs < 300_000; nowMs += 100) {
    directory.register(registrationOf('u0', overloaded), nowMs);
    directory.register(registrationOf('u1', remote), nowMs);
    if ((chooseMany(directory, nowMs).get('u1') ?? 0) > 0) {
      directory.recordNoResponse('http://u1:1', nowMs);
      lost += 1;
    }
  }
  assert.ok(lost > 0 && lost <= 13, String(lost));
});

test.test('an upstream that fails everything is ejected, but not all upstreams together', () => {
  // A faulty release reaches every upstream: with all ejected, callers would get no answer at all.
  const directory = agentDirectory.createAgentDirectory();
  const urls = ['u0', 'u1', 'u2', 'u3', 'u4', 'u5'].map((name) => {
    directory.register(registrationOf(name), 0);
    return `http://${name}:1`;
  });
  for (let round = 0; round < 6; round += 1) {
    urls.forEach((url) => directory.recordFailure(url, 60_000, CAP));
  }
  const avoided = directory.candidates(60_000).filter((it) => it.isAvoided);
  assert.equal(avoided.length, 2);
  assert.equal(directory.candidates(70_000).filter((it) => it.isAvoided).length, 0);
});

test.test('an unreachable agent is avoided immediately, stays known and is retried', () => {
  // The entry has lost its connection to an agent that others can reach. Removing it would lose it
  // until its next registration; it must be retried by itself after a growing delay.
  const directory = agentDirectory.createAgentDirectory();
  ['u0', 'u1'].forEach((name) => directory.register(registrationOf(name), 0));
  directory.recordNoResponse('http://u0:1', 60_000);
  assert.equal(chooseMany(directory, 60_000).get('u0'), undefined);
  assert.ok((chooseMany(directory, 90_000).get('u0') ?? 0) > 0);
});

test.test('a returning agent starts slowly', () => {
  const directory = agentDirectory.createAgentDirectory();
  ['u0', 'u1', 'u2'].forEach((name) => directory.register(registrationOf(name), 0));
  directory.register(registrationOf('u0', { bootId: 'boot-2' }), 60_000);
  assert.equal(chooseMany(directory, 60_000).get('u0'), undefined);
  assert.ok((chooseMany(directory, 70_000).get('u0') ?? 0) > 250);
});

test.test('slowness that no answer confirms decays', () => {
  const directory = agentDirectory.createAgentDirectory();
  ['u0', 'u1'].forEach((name) => directory.register(registrationOf(name), 0));
  const note = { running: 0, queued: 0, isLeaving: false, bootId: 'boot-1', clockMs: 0 };
  directory.recordAnswer('http://u1:1', { ...note, serviceMs: 40 }, 60_000);
  directory.recordAnswer('http://u0:1', { ...note, serviceMs: 400 }, 60_000);
  const decayed = [60_000, 65_000, 120_000].map((nowMs) =>
    Math.round(directory.candidates(nowMs)[0]?.serviceMs ?? 0),
  );
  assert.ok((decayed[0] ?? 0) > 390 && (decayed[1] ?? 0) < 230 && (decayed[2] ?? 0) < 50);
});

test.test('an attempt is addressed to the boot that answered last', () => {
  const directory = agentDirectory.createAgentDirectory();
  directory.register(registrationOf('u0', { clockMs: 500 }), 100);
  assert.deepEqual(directory.bootOf('http://u0:1', 200), { bootId: 'boot-1', clockMs: 600 });
  const note = { running: 0, queued: 0, serviceMs: 1, isLeaving: false };
  directory.recordAnswer('http://u0:1', { ...note, bootId: 'boot-2', clockMs: 10 }, 300);
  assert.deepEqual(directory.bootOf('http://u0:1', 300), { bootId: 'boot-2', clockMs: 10 });
});

test.test('an agent that does not renew its registration is removed', () => {
  const directory = agentDirectory.createAgentDirectory();
  directory.register(registrationOf('u0'), 0);
  directory.expire(2.5 * agentDirectory.REGISTER_MS);
  assert.equal(directory.entries().length, 1);
  directory.expire(2.5 * agentDirectory.REGISTER_MS + 1);
  assert.equal(directory.entries().length, 0);
});

test.test('retries are a share of the answered requests, whatever fails', () => {
  const budget = requestBudgets.createBudget(10);
  const taken = Array.from({ length: 1000 }, () => {
    budget.earn(0.1);
    return budget.take();
  });
  assert.ok(taken.filter(Boolean).length <= 110);
});
