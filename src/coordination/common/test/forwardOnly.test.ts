/**
 * Forward-only at each hop, explored exhaustively at small scope.
 *
 * Two processes that watch the store (entries, which also write; schedulers take versions alike) and
 * an agent; up to three versions; one restoration of the store from any earlier state and one
 * restart of a process. Everything on its way may be late: a watch may give any state that the
 * store ever had, a peer's answer anything that the peer ever had. What a process or the store was
 * answering is lost when it restarts or is restored. The decisions are the real ones
 * (`configurationHolder`, `configurationOrder`).
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as configurationSample from '../../../state/common/test/configurationSample.js';
import * as configurationHolder from '../configurationHolder.js';
import * as configurationOrder from '../configurationOrder.js';

type Mark = configurationOrder.VersionMark;

/** Index of a process; the agent hears of versions only from the others. */
const PROCESSES = ['entry-1', 'entry-2', 'agent'] as const;
const ENTRIES = [0, 1] as const;
const AGENT = 2;
const EVERYBODY = [0, 1, 2] as const;
const MAX_VERSION = 3;

interface World {
  readonly store: string;
  /** All that the store ever held, and so may still be on its way in a watch. */
  readonly storePast: readonly string[];
  readonly held: readonly string[];
  /** All that each process ever held, and so may still be on its way in an answer. */
  readonly past: readonly (readonly string[])[];
  readonly canRestore: boolean;
  readonly canRestart: boolean;
  readonly writes: number;
}

const NOTHING = '';

const toMark = (text: string): Mark | undefined => {
  const [version = '', writeId = ''] = text.split(':');
  return text === NOTHING ? undefined : { version: Number(version), writeId };
};

const toRecord = (mark: Mark) => ({
  ...mark,
  author: 'a',
  reason: 'r',
  writtenAtMs: 0,
  document: configurationSample.SAMPLE,
});

/** What a holder that has `held` has after `offered`, by the real holder. */
const decide = (held: string, offered: string): string => {
  const holder = configurationHolder.createConfigurationHolder();
  for (const text of [held, offered]) {
    const mark = toMark(text);
    if (mark !== undefined) holder.offer(toRecord(mark));
  }
  const current = holder.current();
  return current === undefined ? NOTHING : `${current.version}:${current.writeId}`;
};

const decided = new Map<string, string>();

const afterOffer = (held: string, offered: string): string => {
  const key = `${held} ${offered}`;
  const result = decided.get(key) ?? decide(held, offered);
  decided.set(key, result);
  return result;
};

const withAt = <T>(list: readonly T[], index: number, value: T): readonly T[] =>
  list.map((it, at) => (at === index ? value : it));

const include = (list: readonly string[], text: string): readonly string[] =>
  list.includes(text) ? list : [...list, text].sort();

const offer = (world: World, to: number, text: string): World => {
  const held = afterOffer(world.held[to] ?? NOTHING, text);
  return {
    ...world,
    held: withAt(world.held, to, held),
    past: withAt(world.past, to, include(world.past[to] ?? [], held)),
  };
};

/**
 * An entry asks everybody whom it knows for their versions and writes on top of what the store
 * holds, unless it then knows that the store went back.
 */
const write = (before: World, entry: number): World | undefined => {
  const world = EVERYBODY.reduce(
    (asked, from) => offer(asked, entry, before.held[from] ?? NOTHING),
    before,
  );
  const known = toMark(world.held[entry] ?? NOTHING);
  const stored = toMark(world.store);
  if (known !== undefined && configurationOrder.isRestored(stored, known)) return undefined;
  const version = (stored?.version ?? 0) + 1;
  if (version > MAX_VERSION) return undefined;
  const text = `${version}:w${world.writes}`;
  const written = { ...world, store: text, storePast: include(world.storePast, text) };
  return offer({ ...written, writes: world.writes + 1 }, entry, text);
};

const stepsOf = (world: World): readonly World[] => {
  const steps: World[] = [];
  for (const entry of ENTRIES) {
    const written = write(world, entry);
    if (written !== undefined) steps.push(written);
  }
  PROCESSES.forEach((_name, to) => {
    if (to !== AGENT) world.storePast.forEach((text) => steps.push(offer(world, to, text)));
    world.past.forEach((texts, from) => {
      if (from !== to && from !== AGENT) {
        texts.forEach((text) => steps.push(offer(world, to, text)));
      }
    });
    if (world.canRestart && world.held[to] !== NOTHING) {
      const held = withAt(world.held, to, NOTHING);
      // What a process was answering is lost with it.
      const past = withAt(world.past, to, []);
      steps.push({ ...world, held, past, canRestart: false });
    }
  });
  if (world.canRestore) {
    const older = world.storePast.filter((it) => it !== world.store);
    // Watches that were being answered are lost with the service that is restored.
    older.forEach((text) =>
      steps.push({ ...world, store: text, storePast: [text], canRestore: false }),
    );
  }
  return steps;
};

const assertForward = (before: World, after: World): void => {
  const isRestart = before.canRestart && !after.canRestart;
  before.held.forEach((held, index) => {
    const now = after.held[index] ?? NOTHING;
    if (held === now || (isRestart && now === NOTHING)) return;
    const order = configurationOrder.orderOf(toMark(now), toMark(held));
    assert.equal(order, 'newer', `${PROCESSES[index] ?? ''} went from ${held} to ${now}`);
  });
};

/** No two processes have one version with different contents. */
const assertNoFork = (world: World): void => {
  const held = new Set(world.held.filter((it) => it !== NOTHING));
  const versions = new Set([...held].map((it) => it.split(':')[0]));
  assert.equal(held.size, versions.size, JSON.stringify(world));
};

/** What stands after each process has had its news from the store and from everybody. */
const exchange = (world: World): World =>
  EVERYBODY.reduce((all, to) => {
    const told = to === AGENT ? all : offer(all, to, all.store);
    return EVERYBODY.reduce((it, from) => offer(it, to, it.held[from] ?? NOTHING), told);
  }, world);

/** In the end nobody is below what any process has in force. */
const assertConverges = (world: World): void => {
  const settled = exchange(exchange(world));
  const versions = settled.held.map((it) => toMark(it)?.version ?? 0);
  const highest = Math.max(...versions, toMark(world.store)?.version ?? 0);
  assert.ok(
    versions.every((it) => it === highest),
    JSON.stringify({ world, settled }),
  );
};

test.test('no process goes back, and all meet at the highest version', (context) => {
  // A change is accepted and takes effect; later an operator sees the old value again at one
  // process. The cause is a late watch, a late answer of a peer, or a store restored from a backup.
  const first: World = {
    store: NOTHING,
    storePast: [NOTHING],
    held: PROCESSES.map(() => NOTHING),
    past: PROCESSES.map(() => []),
    canRestore: true,
    canRestart: true,
    writes: 0,
  };
  const seen = new Set([JSON.stringify(first)]);
  let frontier = [first];
  let steps = 0;
  while (frontier.length > 0) {
    const next: World[] = [];
    for (const world of frontier) {
      assertConverges(world);
      assertNoFork(world);
      for (const after of stepsOf(world)) {
        steps += 1;
        assertForward(world, after);
        const key = JSON.stringify(after);
        if (!seen.has(key)) {
          seen.add(key);
          next.push(after);
        }
      }
    }
    frontier = next;
  }
  context.diagnostic(`${seen.size} states, ${steps} steps explored`);
  assert.ok(seen.size > 1000);
});
