/**
 * Which events of collected logs are stored, and in which order they are returned.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logCollector from '../logCollector.js';
import type * as logLines from '../logLines.js';

const START_MS = Date.parse('2026-05-18T14:33:42.000Z');

const lineOf = (afterMs: number, rest: string, event = 'waits', node = 'edge-1'): string =>
  `at=${new Date(START_MS + afterMs).toISOString()} event=${event} role=scheduler node=${node} ` +
  `level=info ${rest}`;

const collect = (
  lines: readonly string[],
  query: logCollector.LogQuery = { needs: () => true },
  limits?: logCollector.JobLimits,
): logCollector.CollectedLogs => {
  const collector = logCollector.createLogCollector(query, limits);
  lines.forEach((it) => collector.add(it));
  const collected = collector.collected();
  assert.ok(collected !== undefined);
  return collected;
};

const eventsOf = (collected: logCollector.CollectedLogs): Record<string, logLines.LogEvent[]> =>
  Object.fromEntries([...collected.jobs()].map(({ jobId, events }) => [jobId, [...events]]));

test.describe('logCollector', () => {
  test.it('sorts events by time, counts other lines and ignores empty ones', () => {
    const [first, later] = [lineOf(1, 'job=a'), lineOf(1000, 'job=a')];
    const collected = collect([later, '', 'foreign', first, `${first} run=`, '']);
    assert.deepEqual(
      eventsOf(collected).a?.map(({ atMs }) => new Date(atMs).toISOString()),
      ['2026-05-18T14:33:42.001Z', '2026-05-18T14:33:43.000Z'],
    );
    assert.deepEqual(collected.skipped(), { foreign: 1, cut: 1, tooLong: 0, beyond: 0 });
    assert.equal(collected.logContext.lastAtMs, START_MS + 1000);
  });

  test.it('detects a log without an auburnlift line', () => {
    const collector = logCollector.createLogCollector({ needs: () => true });
    collector.add('foreign');
    assert.equal(collector.collected(), undefined);
  });

  test.it('stores the events and fields that the query needs unchanged', () => {
    const reason = 'no "room", 3 µs = ü';
    const lines = [
      lineOf(1, `job=a group=a.0.0 run=2 reason=${JSON.stringify(reason)}`),
      lineOf(2, 'task=b.0.0.1 run=1'),
      lineOf(3, 'job=c'),
    ];
    const events = eventsOf(
      collect(lines, {
        needs: (_, jobId) => jobId !== 'c',
        fields: new Set(['task', 'group', 'reason']),
      }),
    );
    const fieldsOf = (jobId: string) => Object.fromEntries(events[jobId]?.[0]?.fields ?? []);
    assert.deepEqual(Object.keys(events).sort(), ['a', 'b']);
    assert.deepEqual(fieldsOf('a'), { group: 'a.0.0', reason });
    assert.deepEqual(fieldsOf('b'), { task: 'b.0.0.1' });
  });

  test.it('returns values that look like its encoding, and one larger than a block', () => {
    const values = [
      '',
      '~',
      '~a',
      '"',
      '"a"',
      'a',
      'a.0',
      'a\t=\n~',
      'b=c',
      '\\',
      '€'.repeat(15_000),
    ];
    for (const jobId of ['a', '~', '"j', 'j\tk']) {
      const job = JSON.stringify(jobId);
      const lines = values.map((it) => lineOf(1, `job=${job} reason=${JSON.stringify(it)}`));
      const events = eventsOf(collect(lines))[jobId];
      assert.deepEqual(
        events?.map(({ fields }) => fields.get('reason')),
        values,
      );
      assert.ok(events.every(({ fields }) => fields.get('job') === jobId));
    }
  });

  test.it(
    'returns many blocks of many jobs, with events of the same millisecond in input order',
    () => {
      const jobs = 300;
      const turns = 40;
      const lines = Array.from({ length: jobs * turns }, (_, index) =>
        lineOf(index % 7, `job=job${index % jobs} run=${index}`),
      );
      const events = eventsOf(collect(lines));
      assert.equal(Object.keys(events).length, jobs);
      for (const its of Object.values(events)) {
        const keys = its.map(({ atMs, fields }) => [atMs, Number(fields.get('run'))] as const);
        const sorted = [...keys].sort(([a, runA], [b, runB]) => a - b || runA - runB);
        assert.equal(keys.length, turns);
        assert.deepEqual(keys, sorted);
      }
    },
  );

  const limits: readonly (readonly [name: string, limits: logCollector.JobLimits])[] = [
    ['lines', { maxJobEvents: 2, maxJobCharacters: 1000 }],
    ['characters', { maxJobEvents: 1000, maxJobCharacters: 90 }],
  ];
  for (const [name, it] of limits) {
    test.it(`limits the ${name} of one job to those read first, and counts the rest`, () => {
      // A log with an unlimited number of events of one job must not fill the memory.
      const times = [9, 5, 1];
      const lines = [...times.map((atMs) => lineOf(atMs, 'job=a run=1')), lineOf(1, 'job=b')];
      const collected = collect(lines, { needs: () => true }, it);
      const events = eventsOf(collected);
      assert.deepEqual(
        events.a?.map(({ atMs }) => atMs - START_MS),
        [5, 9],
      );
      assert.equal(events.b?.length, 1);
      assert.equal(collected.skipped().beyond, 1);
    });
  }
});

interface TermCase {
  readonly name: string;
  /** Milliseconds, event, node. */
  readonly lines: readonly (readonly [afterMs: number, event: string, node: string])[];
  readonly leaderless: readonly (readonly [fromMs: number, untilMs: number])[];
}

const TERM_CASES: readonly TermCase[] = [
  {
    name: 'a crashed leader: the gap starts at its last line',
    lines: [
      [0, 'loaded', 'edge-1'],
      [500, 'placed', 'edge-1'],
      [900, 'waits', 'edge-2'],
      [1500, 'loaded', 'edge-2'],
    ],
    leaderless: [[500, 1500]],
  },
  {
    name: 'a leader that crashed and restarted: the gap starts at its last line',
    lines: [
      [0, 'loaded', 'edge-1'],
      [500, 'placed', 'edge-1'],
      [800, 'started', 'edge-1'],
      [900, 'waits', 'edge-1'],
      [1500, 'loaded', 'edge-1'],
    ],
    leaderless: [[500, 1500]],
  },
  {
    name: 'a leader that logs until the next one has loaded leaves no gap',
    lines: [
      [0, 'loaded', 'edge-1'],
      [1500, 'placed', 'edge-1'],
      [1500, 'loaded', 'edge-2'],
      [2000, 'placed', 'edge-1'],
    ],
    leaderless: [],
  },
  {
    name: 'a leader that loads again in the millisecond of its last line leaves no gap',
    lines: [
      [0, 'loaded', 'edge-1'],
      [1500, 'placed', 'edge-1'],
      [1500, 'loaded', 'edge-1'],
    ],
    leaderless: [],
  },
  {
    name: 'a leader that logs the end of its term: the gap starts there',
    lines: [
      [0, 'loaded', 'edge-1'],
      [500, 'leadershipLost', 'edge-1'],
      [900, 'placed', 'edge-1'],
      [1500, 'loaded', 'edge-2'],
    ],
    leaderless: [[500, 1500]],
  },
  {
    name: 'lines more than 49 days apart',
    lines: [
      [0, 'loaded', 'edge-1'],
      [5_000_000_000, 'placed', 'edge-1'],
      [9_000_000_000, 'loaded', 'edge-2'],
    ],
    leaderless: [[5_000_000_000, 9_000_000_000]],
  },
];

test.describe('leader terms from lines in any order', () => {
  for (const { name, lines, leaderless } of TERM_CASES) {
    test.it(name, () => {
      const texts = lines.map(([afterMs, event, node]) => lineOf(afterMs, '', event, node));
      for (const order of [texts, [...texts].reverse()]) {
        const found = collect(order).logContext.leaderless;
        const offsets = found.map((it) => [it.fromMs - START_MS, it.untilMs - START_MS]);
        assert.deepEqual(offsets, leaderless);
      }
    });
  }
});
