/**
 * Exhaustive exploration, at small scope: configuration versions only increase at each hop.
 *
 * The model has two processes that watch the store (entries, which also write; schedulers apply
 * versions in the same way) and an agent, up to three versions, one restore of the store from any
 * earlier state and one restart of a process. All messages may be delayed: a watch may deliver any
 * state that the store ever had, a peer's answer any version that the peer ever had. Answers in
 * flight are lost when their sender restarts or is restored. The decisions are those of the
 * production code.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as configurationSample from '../../../state/common/test/configurationSample.js';
import * as configurationHolder from '../configurationHolder.js';
import * as configurationOrder from '../configurationOrder.js';

type Mark = configurationOrder.VersionMark;

/** Processes by index; the agent receives versions only from the others. */
const PROCESSES = ['entry-1', 'entry-2', 'agent'] as const;
const ENTRIES = [0, 1] as const;
const AGENT = 2;
const ALL_PROCESSES = [0, 1, 2] as const;
const MAX_VERSION = 3;

interface ModelState {
  readonly store: string;
  /** All versions that the store ever had, which a watch may still deliver. */
  readonly storeHistory: readonly string[];
  readonly held: readonly string[];
  /** All versions that each process ever had, which an answer may still deliver. */
  readonly history: readonly (readonly string[])[];
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

/** Result of offering `offered` to a process with the active version `held`. */
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

const offer = (state: ModelState, to: number, text: string): ModelState => {
  const held = afterOffer(state.held[to] ?? NOTHING, text);
  return {
    ...state,
    held: withAt(state.held, to, held),
    history: withAt(state.history, to, include(state.history[to] ?? [], held)),
  };
};

/**
 * An entry asks all processes for their versions and writes on top of the stored version, unless it
 * then finds that the store was restored.
 */
const write = (before: ModelState, entry: number): ModelState | undefined => {
  const state = ALL_PROCESSES.reduce(
    (asked, from) => offer(asked, entry, before.held[from] ?? NOTHING),
    before,
  );
  const known = toMark(state.held[entry] ?? NOTHING);
  const stored = toMark(state.store);
  if (known !== undefined && configurationOrder.isRestored(stored, known)) return undefined;
  const version = (stored?.version ?? 0) + 1;
  if (version > MAX_VERSION) return undefined;
  const text = `${version}:w${state.writes}`;
  const written = { ...state, store: text, storeHistory: include(state.storeHistory, text) };
  return offer({ ...written, writes: state.writes + 1 }, entry, text);
};

const stepsOf = (state: ModelState): readonly ModelState[] => {
  const steps: ModelState[] = [];
  for (const entry of ENTRIES) {
    const written = write(state, entry);
    if (written !== undefined) steps.push(written);
  }
  PROCESSES.forEach((_name, to) => {
    if (to !== AGENT) state.storeHistory.forEach((text) => steps.push(offer(state, to, text)));
    state.history.forEach((texts, from) => {
      if (from !== to && from !== AGENT) {
        texts.forEach((text) => steps.push(offer(state, to, text)));
      }
    });
    if (state.canRestart && state.held[to] !== NOTHING) {
      const held = withAt(state.held, to, NOTHING);
      // Its answers in flight are lost.
      const history = withAt(state.history, to, []);
      steps.push({ ...state, held, history, canRestart: false });
    }
  });
  if (state.canRestore) {
    const older = state.storeHistory.filter((it) => it !== state.store);
    // Watch answers in flight are lost by the restore.
    older.forEach((text) =>
      steps.push({ ...state, store: text, storeHistory: [text], canRestore: false }),
    );
  }
  return steps;
};

const assertForward = (before: ModelState, after: ModelState): void => {
  const isRestart = before.canRestart && !after.canRestart;
  before.held.forEach((held, index) => {
    const now = after.held[index] ?? NOTHING;
    if (held === now || (isRestart && now === NOTHING)) return;
    const order = configurationOrder.orderOf(toMark(now), toMark(held));
    assert.equal(order, 'newer', `${PROCESSES[index] ?? ''} went from ${held} to ${now}`);
  });
};

/** No two processes have the same version with different contents. */
const assertNoFork = (state: ModelState): void => {
  const held = new Set(state.held.filter((it) => it !== NOTHING));
  const versions = new Set([...held].map((it) => it.split(':')[0]));
  assert.equal(held.size, versions.size, JSON.stringify(state));
};

/** State after each process has received updates from the store and from all others. */
const exchange = (state: ModelState): ModelState =>
  ALL_PROCESSES.reduce((all, to) => {
    const updated = to === AGENT ? all : offer(all, to, all.store);
    return ALL_PROCESSES.reduce((it, from) => offer(it, to, it.held[from] ?? NOTHING), updated);
  }, state);

/** After the exchange all processes have the highest version of any process or the store. */
const assertConverges = (state: ModelState): void => {
  const settled = exchange(exchange(state));
  const versions = settled.held.map((it) => toMark(it)?.version ?? 0);
  const highest = Math.max(...versions, toMark(state.store)?.version ?? 0);
  assert.ok(
    versions.every((it) => it === highest),
    JSON.stringify({ state, settled }),
  );
};

test.test('no process goes back, and all converge on the highest version', (context) => {
  // Guards against an accepted change that later appears undone at one process. The cause is a
  // delayed watch, a delayed answer of a peer, or a store restored from a backup.
  const first: ModelState = {
    store: NOTHING,
    storeHistory: [NOTHING],
    held: PROCESSES.map(() => NOTHING),
    history: PROCESSES.map(() => []),
    canRestore: true,
    canRestart: true,
    writes: 0,
  };
  const seen = new Set([JSON.stringify(first)]);
  let frontier = [first];
  let steps = 0;
  while (frontier.length > 0) {
    const next: ModelState[] = [];
    for (const state of frontier) {
      assertConverges(state);
      assertNoFork(state);
      for (const after of stepsOf(state)) {
        steps += 1;
        assertForward(state, after);
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
