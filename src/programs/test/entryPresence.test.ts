/**
 * How an entry discovers agents after a restart, without frequent registrations.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as http from '../../base/common/http.js';
import * as random from '../../base/common/random.js';
import * as agentDirectory from '../../coordination/common/agentDirectory.js';
import type * as httpServer from '../../transport/node/httpServer.js';
import * as agentDiscovery from '../agentDiscovery.js';
import * as entryPresence from '../entryPresence.js';

const ENTRY = 'http://entry:1';
const AGENTS = 335;

const createHolder = (
  time: clock.Clock,
  version: () => number = () => 1,
  onDidHear: (note: entryPresence.AgentPresence) => void = () => undefined,
): entryPresence.PresenceHolder =>
  entryPresence.createPresenceHolder({ clock: time, version, onDidReceive: onDidHear });

const requestOf = (path: string): httpServer.ServerRequest => {
  const url = new URL(path, ENTRY);
  return {
    method: 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: {},
    body: new Uint8Array(),
    signal: new AbortController().signal,
  };
};

const bodyOf = (reply: httpServer.ServerReply): Uint8Array => Buffer.from(reply.body ?? '');

test.test(
  'all agents of a region register within 2 s of a restart, spread over a second',
  async () => {
    // The only entry of a region is replaced. Its agents register once a minute: if they did not detect
    // the restart, every request would be refused for that long. Having detected it, they must not all
    // register simultaneously either.
    const time = clock.createFakeClock();
    let holder = createHolder(time);
    let breakAll: (() => void)[] = [];
    const call: http.HttpCall = async (request) => {
      const cut = new Promise<never>((_, reject) => {
        breakAll.push(() => reject(new http.HttpCallError(http.HttpFailure.lost, 'reset')));
      });
      const reply = await Promise.race([holder.hold(requestOf(request.path)), cut]);
      return { status: reply.status, headers: {}, body: bodyOf(reply) };
    };
    const returnsAtMs: number[] = [];
    const watches = Array.from({ length: AGENTS }, (_, index) => {
      const watch = entryPresence.createPresenceWatch({
        clock: time,
        random: random.createRandom(index),
        call,
        note: () => ({ agentUrl: `http://agent-${index}:1`, configVersion: 1 }),
        onDidReceiveVersion: () => Promise.resolve(),
        onDidReturn: () => returnsAtMs.push(time.monotonicMs()),
      });
      watch.watch([ENTRY]);
      return watch;
    });
    await time.advance(65_000);
    assert.equal(
      returnsAtMs.length,
      0,
      'agents do not register again with an entry that did not restart',
    );
    const restartMs = time.monotonicMs();
    holder = createHolder(time);
    breakAll.splice(0).forEach((it) => it());
    await time.advance(2000);
    await Promise.all(watches.map((it) => it.dispose()));
    breakAll = [];
    assert.equal(returnsAtMs.length, AGENTS);
    const perTenth = new Map<number, number>();
    returnsAtMs.forEach((it) => {
      const tenth = Math.floor((it - restartMs) / 100);
      perTenth.set(tenth, (perTenth.get(tenth) ?? 0) + 1);
    });
    assert.ok(Math.max(...perTenth.values()) < AGENTS / 5, JSON.stringify([...perTenth]));
  },
);

test.test('an entry that shuts down answers the open requests', async () => {
  const holder = createHolder(clock.createFakeClock());
  const request = requestOf('/presence?url=http%3A%2F%2Fagent%3A1&version=1');
  const held = holder.hold(request);
  await holder.dispose();
  const replies = [await held, await holder.hold(request)];
  assert.deepEqual(
    replies.map((it) => [it.status, Buffer.from(bodyOf(it)).toString('utf8')]),
    [
      [200, '{"configVersion":1}'],
      [200, '{"configVersion":1}'],
    ],
  );
});

test.test('a new configuration reaches agents that have no worker and no requests', async () => {
  // An operator changes a weight. Agents without a worker send no reports, and without requests they
  // receive no messages: with registrations a minute apart they would apply the old weight for that
  // long. Instead the open request of each is answered, and the next one reports that the agent has the
  // new version; an agent that can't fetch it does not retry without a delay.
  const time = clock.createFakeClock();
  let version = 1;
  const receivedVersions = new Map<string, number>();
  const holder = createHolder(
    time,
    () => version,
    (note) => receivedVersions.set(note.agentUrl, note.configVersion),
  );
  let calls = 0;
  const call: http.HttpCall = async (request) => {
    calls += 1;
    const reply = await holder.hold(requestOf(request.path));
    return { status: reply.status, headers: {}, body: bodyOf(reply) };
  };
  const activeVersions = new Map<number, number>();
  const atMs: number[] = [];
  const stuck = AGENTS - 1;
  const watches = Array.from({ length: AGENTS }, (_, index) => {
    activeVersions.set(index, 1);
    const watch = entryPresence.createPresenceWatch({
      clock: time,
      random: random.createRandom(index),
      call,
      note: () => ({
        agentUrl: `http://agent-${index}:1`,
        configVersion: activeVersions.get(index) ?? 0,
      }),
      onDidReceiveVersion: (_url, next) => {
        if (index !== stuck) activeVersions.set(index, next);
        atMs.push(time.monotonicMs());
        return Promise.resolve();
      },
      onDidReturn: () => assert.fail('the entry was never unreachable'),
    });
    watch.watch([ENTRY]);
    return watch;
  });
  await time.advance(1000);
  assert.equal(calls, AGENTS);
  version = 2;
  holder.release();
  await time.advance(1000);
  const lagging = [...receivedVersions.values()].filter((it) => it < version).length;
  assert.equal(lagging, 1, 'only the agent that cannot fetch the version');
  assert.ok(calls <= AGENTS * 2 + 2, `${calls} calls`);
  assert.ok(new Set(atMs).size > AGENTS / 4, 'the fetches are spread');
  await Promise.all(watches.map((it) => it.dispose()));
  await holder.dispose();
});

test.test('another entry receives live agents only, the least loaded first', () => {
  const directory = agentDirectory.createAgentDirectory();
  const upstream = { slots: 8, connections: 64, isLeaving: false, queued: 0, serviceMs: 40 };
  const register = (name: string, running: number, isLeaving: boolean): void =>
    directory.register(
      {
        agentId: name,
        bootId: 'boot-1',
        clockMs: 70,
        url: `http://${name}:1`,
        zone: 'z',
        region: 'r',
        isLeaving,
        configVersion: 1,
        upstream: { ...upstream, upstreamId: name, running },
      },
      50,
    );
  register('full', 8, false);
  register('empty', 0, false);
  register('half', 4, false);
  register('leaving', 0, true);
  register('silent', 0, false);
  directory.recordNoResponse('http://silent:1', 60);
  const described = agentDiscovery.describeAgents(directory, 'r', 2, 60);
  assert.deepEqual(
    described.map((it) => [it.agentId, it.clockMs]),
    [
      ['empty', 80],
      ['half', 80],
    ],
  );
});
