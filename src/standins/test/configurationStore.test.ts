/**
 * The write protocol of the configuration under lost and late answers, races, crashes and restored stores.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as memoryStore from '../memoryStore.js';
import * as configurationSample from '../../state/common/test/configurationSample.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as configurationHistory from '../../coordination/node/configurationHistory.js';
import * as configurationStore from '../../coordination/node/configurationStore.js';

const { SAMPLE } = configurationSample;

const change = (
  writeId: string,
  baseVersion: number,
  reclaimGraceMs = 1000,
): configurationStore.ConfigurationChange => ({
  writeId,
  baseVersion,
  author: `author of ${writeId}`,
  reason: 'a test',
  document: { ...SAMPLE, placement: { ...SAMPLE.placement, reclaimGraceMs } },
});

const create = (): memoryStore.MemoryStore =>
  memoryStore.createMemoryStore(clock.createFakeClock());

const write = (
  target: store.Store,
  wanted: configurationStore.ConfigurationChange,
  known?: { version: number; writeId: string },
) => configurationStore.writeConfiguration(target, wanted, 0, known);

const kindOf = async (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'accepted',
    (thrown: unknown) => errors.normalize(thrown).kind,
  );

type Swap = store.Store['compareAndSwap'];

/** A store whose swaps of the configuration are handled by the test. */
const withSwap = (target: store.Store, onSwap: (swap: Swap) => Swap): store.Store => {
  const handle = onSwap(target.compareAndSwap);
  return {
    ...target,
    compareAndSwap: (it) =>
      it.key === storeKeys.CONFIGURATION_KEY ? handle(it) : target.compareAndSwap(it),
  };
};

const lost = (): never => {
  throw new store.StoreOutcomeUnknown('lost');
};

const readActive = async (target: store.Store) => {
  const entry = await target.get(storeKeys.CONFIGURATION_KEY);
  return entry && configurationHistory.decodeRecord(entry.value);
};

interface FaultCase {
  readonly name: string;
  /** Wraps the swap of the second version; `other` writes a version on top of the stored one. */
  readonly swap: (swap: Swap, other: () => Promise<unknown>, down: () => void) => Swap;
  readonly verdict: string;
  /** Final write ids in the store, newest first. */
  readonly kept: readonly string[];
}

const inSequence = (steps: readonly Swap[]): Swap => {
  let turn = 0;
  return (it) => {
    const step = steps[Math.min(turn, steps.length - 1)];
    turn += 1;
    return (step ?? lost)(it);
  };
};

const FAULTS: readonly FaultCase[] = [
  {
    name: 'it takes effect and its answer is lost',
    swap: (swap) => inSequence([async (it) => swap(it).then(lost), swap]),
    verdict: 'accepted',
    kept: ['second', 'first'],
  },
  {
    name: 'it never arrives',
    swap: (swap) => inSequence([() => Promise.resolve().then(lost), swap]),
    verdict: 'accepted',
    kept: ['second', 'first'],
  },
  {
    name: 'it takes effect, its answer is lost, and another writer adds a version',
    swap: (swap, other) => inSequence([async (it) => swap(it).then(other).then(lost), swap]),
    verdict: 'accepted',
    kept: ['other', 'second', 'first'],
  },
  {
    name: 'it never arrives and another writer writes the version',
    swap: (swap, other) => inSequence([async () => other().then(lost), swap]),
    verdict: 'conflict',
    kept: ['other', 'first'],
  },
  {
    name: 'every answer is lost, the first swap took effect',
    swap: (swap) =>
      inSequence([async (it) => swap(it).then(lost), () => Promise.resolve().then(lost)]),
    verdict: 'outcomeUnknown',
    kept: ['second', 'first'],
  },
  {
    name: 'its answer is lost and the store goes down before it can be read back',
    swap: (swap, _other, down) =>
      inSequence([
        async (it) => {
          await swap(it);
          down();
          return lost();
        },
        swap,
      ]),
    verdict: 'outcomeUnknown',
    kept: ['second', 'first'],
  },
  {
    name: 'the store is down before the swap',
    swap: (swap, _other, down) =>
      inSequence([
        (it) => {
          down();
          return swap(it);
        },
      ]),
    verdict: 'storeUnavailable',
    kept: ['first'],
  },
];

const historyOf = async (target: store.Store): Promise<readonly string[]> => {
  const current = await readActive(target);
  assert.ok(current !== undefined);
  const versions = await configurationHistory.listVersions(target, current);
  return versions.map((it) => it.writeId);
};

for (const it of FAULTS) {
  test.test(`a write where ${it.name}: ${it.verdict}`, async () => {
    const target = create();
    await write(target, change('first', 0));
    const other = async (): Promise<unknown> => {
      const current = await readActive(target);
      return write(target, change('other', current?.version ?? 0, 7));
    };
    const down = (): void => {
      target.faults.isDown = true;
    };
    const faulty = withSwap(target, (swap) => it.swap(swap, other, down));
    assert.equal(await kindOf(write(faulty, change('second', 1))), it.verdict);
    target.faults.isDown = false;
    assert.deepEqual(await historyOf(target), it.kept);
    // The operator sends the same change again: a change that was accepted is accepted again.
    const again = await kindOf(write(target, change('second', 1)));
    const wasTaken = it.kept.includes('second');
    assert.equal(again, wasTaken || it.verdict === 'storeUnavailable' ? 'accepted' : 'conflict');
  });
}

test.test('a swap that arrives after the write of another writer changes nothing', async () => {
  // An operator receives a conflict. Minutes later the first attempt, delayed on a broken connection, reaches
  // the store. If it took effect, a refused change would overwrite an accepted version.
  const target = create();
  await write(target, change('first', 0));
  const stuck: (() => Promise<unknown>)[] = [];
  const faulty = withSwap(target, (swap) =>
    inSequence([
      async (it) => {
        stuck.push(() => swap(it));
        await write(target, change('other', 1, 7));
        return lost();
      },
      swap,
    ]),
  );
  assert.equal(await kindOf(write(faulty, change('second', 1))), 'conflict');
  await Promise.all(stuck.map((arrive) => arrive()));
  assert.deepEqual(await historyOf(target), ['other', 'first']);
});

test.test(
  'of two concurrent operators the second receives both changes and writes nothing',
  async () => {
    const target = create();
    await write(target, change('first', 0));
    await write(target, change('other', 1, 7));
    const thrown: unknown = await write(target, change('second', 1, 9)).catch((it: unknown) => it);
    const { kind, detail } = errors.normalize(thrown);
    assert.equal(kind, 'conflict');
    const facts = detail.facts as {
      current: { writeId: string };
      yours: configurationStore.ConfigurationChange;
    };
    assert.equal(facts.current.writeId, 'other');
    assert.equal(facts.yours.document.placement.reclaimGraceMs, 9);
    assert.deepEqual(await historyOf(target), ['other', 'first']);
  },
);

test.test('a write id that was accepted is not accepted for another document', async () => {
  // A form is sent, and sent again with another number after the back button. The second document would
  // be reported as accepted although only the first one was written.
  const target = create();
  await write(target, change('first', 0));
  assert.equal(await kindOf(write(target, change('first', 0, 5))), 'conflict');
});

test.test('no version is lost when a writer ends at any store call', async () => {
  // The entry VM is replaced in the middle of a write. If the copy of the previously active version were
  // written after the swap, that version would be missing from the history, so the copy is written first.
  const calls = async (limit: number): Promise<{ target: store.Store; made: number }> => {
    const target = create();
    await write(target, change('first', 0));
    await write(target, change('second', 1));
    let made = 0;
    const counted =
      <T extends unknown[], R>(call: (...args: T) => Promise<R>) =>
      (...args: T): Promise<R> => {
        made += 1;
        return made > limit ? Promise.reject(new Error('the process died')) : call(...args);
      };
    const dying: store.Store = {
      ...target,
      get: counted(target.get),
      compareAndSwap: counted(target.compareAndSwap),
    };
    await kindOf(write(dying, change('third', 2)));
    return { target, made };
  };
  const { made: all } = await calls(Number.POSITIVE_INFINITY);
  for (let limit = 0; limit <= all; limit += 1) {
    const { target } = await calls(limit);
    const kept = await historyOf(target);
    assert.deepEqual(kept.slice(-2), ['second', 'first']);
    assert.equal(kept.length, (await readActive(target))?.version);
    assert.equal(await kindOf(write(target, change('third', 2))), 'accepted');
  }
});

test.test('no version is written on a store that was restored from an older state', async () => {
  // The platform restores a backup. An operator's next change would reuse a version number that is already
  // active with other content, and processes would differ permanently.
  const cases = [
    { known: { version: 5, writeId: 'later' }, verdict: 'conflict' },
    { known: { version: 1, writeId: 'elsewhere' }, verdict: 'conflict' },
    { known: { version: 1, writeId: 'first' }, verdict: 'accepted' },
    { known: undefined, verdict: 'accepted' },
  ];
  for (const { known, verdict } of cases) {
    const target = create();
    await write(target, change('first', 0));
    assert.equal(await kindOf(write(target, change('second', 1), known)), verdict);
  }
});

test.test('the history stays within its bound', async () => {
  const target = create();
  const { HISTORY_VERSIONS } = configurationHistory;
  const last = HISTORY_VERSIONS + 3;
  for (let version = 1; version <= last; version += 1) {
    await write(target, change(`write-${version}`, version - 1));
  }
  const { entries } = await target.list(storeKeys.CONFIGURATION_HISTORY_PREFIX);
  assert.equal(entries.length, HISTORY_VERSIONS - 1);
  assert.equal(await configurationHistory.readArchived(target, 3), undefined);
  assert.equal((await configurationHistory.readArchived(target, 4))?.writeId, 'write-4');
});
