/**
 * How an entry gets to know agents after a restart, without frequent registrations.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as http from '../../base/common/http.js';
import * as random from '../../base/common/random.js';
import * as agentDirectory from '../../coordination/common/agentDirectory.js';
import * as entryDirectory from '../entryDirectory.js';
import * as entryPresence from '../entryPresence.js';

const ENTRY = 'http://entry:1';
const AGENTS = 335;

test.test(
  'all agents of a region register within 2 s of a restart, spread over a second',
  async () => {
    // The only entry of a region is replaced. Its agents register once a minute: without a sign of
    // the restart every request would be refused for that long. With the sign they must not all come
    // at the same moment either.
    const time = clock.createFakeClock();
    let holder = entryPresence.createPresenceHolder(time);
    let breakAll: (() => void)[] = [];
    const call: http.HttpCall = async () => {
      const cut = new Promise<never>((_, reject) => {
        breakAll.push(() => reject(new http.HttpCallError(http.HttpFailure.lost, 'reset')));
      });
      const reply = await Promise.race([holder.hold(), cut]);
      return { status: reply.status, headers: {}, body: new Uint8Array() };
    };
    const returnsAtMs: number[] = [];
    const watches = Array.from({ length: AGENTS }, (_, index) => {
      const watch = entryPresence.createPresenceWatch({
        clock: time,
        random: random.createRandom(index),
        call,
        onDidReturn: () => returnsAtMs.push(time.monotonicMs()),
      });
      watch.watch([ENTRY]);
      return watch;
    });
    await time.advance(65_000);
    assert.equal(returnsAtMs.length, 0, 'an entry that lives is not registered with again');
    const restartMs = time.monotonicMs();
    holder = entryPresence.createPresenceHolder(time);
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

test.test('an entry that leaves lets go of what it holds', async () => {
  const holder = entryPresence.createPresenceHolder(clock.createFakeClock());
  const held = holder.hold();
  await holder.dispose();
  assert.deepEqual([(await held).status, (await holder.hold()).status], [204, 204]);
});

test.test('another entry is told of live agents only, the emptiest first', () => {
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
  directory.noteSilence('http://silent:1', 60);
  const told = entryDirectory.describeAgents(directory, 'r', 2, 60);
  assert.deepEqual(
    told.map((it) => [it.agentId, it.clockMs]),
    [
      ['empty', 80],
      ['half', 80],
    ],
  );
});
